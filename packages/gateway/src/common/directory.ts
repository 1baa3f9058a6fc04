/** Answers callers that ask which daemons to connect to. */
import type * as fleetView from './fleet-view.js';
import type * as gossipMessage from './gossip-message.js';

export type DirectoryQuery = {
	/** Region of the caller; undefined when it did not say. */
	region?: string;
	failureDomain?: string;
	/** Host that the caller wants to reach; undefined when it did not say. */
	host?: string;
};

export type DirectoryAnswer = {addresses: string[]; timeToLiveMs: number};

const maxAddresses = 64;

/**
 * Names the ready daemons of the caller's region. When it has none, it names those
 * of a region to which the host's bound routes may send, so that bound requests do
 * not enter a region that must pass them on. A daemon that is leaving names none:
 * its peers have stopped telling it of themselves, and callers ask the next one.
 *
 * @param homeRegions regions that are homes of all bound routes of the host
 */
export const answerDirectory = (
	query: DirectoryQuery,
	self: gossipMessage.MemberRecord,
	fleet: fleetView.FleetView,
	homeRegions: readonly string[],
	timeToLiveMs: number,
): DirectoryAnswer => {
	if (self.isLeaving) {
		return {addresses: [], timeToLiveMs};
	}

	const ready = [self, ...fleet.alive()].filter((member) => member.isReady && !member.isLeaving);
	const near = ready.filter((member) => member.region === query.region);
	const home = ready.filter((member) => homeRegions.includes(member.region));
	const chosen = [near, home, ready].find((members) => members.length > 0) ?? [];
	return {
		addresses: chosen.slice(0, maxAddresses).map((member) => member.callerAddress),
		timeToLiveMs,
	};
};
