/** Answers callers that ask which daemons to connect to. */
import type * as fleetView from './fleet-view.js';
import type * as gossipMessage from './gossip-message.js';

export type DirectoryQuery = {
	/** Region of the caller; undefined when it did not say. */
	region?: string;
	failureDomain?: string;
};

export type DirectoryAnswer = {addresses: string[]; timeToLiveMs: number};

const maxAddresses = 64;

/**
 * Names the ready daemons of the caller's region, or of all regions when it has
 * none. A daemon that is not in touch with its peers only names itself.
 */
export const answerDirectory = (
	query: DirectoryQuery,
	self: gossipMessage.MemberRecord,
	fleet: fleetView.FleetView,
	timeToLiveMs: number,
): DirectoryAnswer => {
	const ready = [self, ...fleet.alive()].filter((member) => member.isReady && !member.isLeaving);
	const near = ready.filter((member) => member.region === query.region);
	const chosen = near.length > 0 ? near : ready;
	return {
		addresses: chosen.slice(0, maxAddresses).map((member) => member.callerAddress),
		timeToLiveMs,
	};
};
