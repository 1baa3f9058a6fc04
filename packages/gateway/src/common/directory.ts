/** Answers callers that ask which daemons to connect to. */
import * as lruCache from 'lru-cache';
import type * as fleetView from './fleet-view.js';
import type * as gossipMessage from './gossip-message.js';

export type DirectoryQuery = {
	/** Region of the caller; undefined when it did not say. */
	region?: string;
	failureDomain?: string;
	/** Host that the caller wants to reach; undefined when it did not say. */
	host?: string;
};

export type DirectoryAnswer = {
	addresses: string[];
	/** Why these daemons are named; `leaving`: none is. */
	basis: 'near' | 'home' | 'any' | 'leaving';
	timeToLiveMs: number;
};

const maxAddresses = 64;
/** Regions and hosts for which changes are noticed; callers may send any names. */
const maxWatchedCallers = 500;

/**
 * Names the ready daemons of the caller's region. When it has none, it names those
 * of the region that is a home of most of the host's bound routes, so that few bound
 * requests enter a region that must pass them on. A daemon that is leaving names none:
 * its peers have stopped telling it of themselves, and callers ask the next one.
 *
 * @param homeCoverage number of bound routes of the host by region that is a home of them
 */
export const answerDirectory = (
	query: DirectoryQuery,
	self: gossipMessage.MemberRecord,
	fleet: fleetView.FleetView,
	homeCoverage: ReadonlyMap<string, number>,
	timeToLiveMs: number,
): DirectoryAnswer => {
	if (self.isLeaving) {
		return {addresses: [], basis: 'leaving', timeToLiveMs};
	}

	const ready = [self, ...fleet.alive()].filter((member) => member.isReady && !member.isLeaving);
	const near = ready.filter((member) => member.region === query.region);
	const coverageOf = (member: gossipMessage.MemberRecord) => homeCoverage.get(member.region) ?? 0;
	const bestCoverage = Math.max(0, ...ready.map((member) => coverageOf(member)));
	const home =
		bestCoverage > 0 ? ready.filter((member) => coverageOf(member) === bestCoverage) : [];
	const choices = [
		{basis: 'near', members: near},
		{basis: 'home', members: home},
	] as const;
	const {basis, members} = choices.find((choice) => choice.members.length > 0) ?? {
		basis: 'any',
		members: ready,
	};
	return {
		addresses: members.slice(0, maxAddresses).map((member) => member.callerAddress),
		basis,
		timeToLiveMs,
	};
};

/** Tells when the daemons that are named to a region change, for the log. */
export const createAnswerChangeDetector = (
	onChange: (region: string, answer: DirectoryAnswer) => void,
): ((query: DirectoryQuery, answer: DirectoryAnswer) => void) => {
	const told = new lruCache.LRUCache<string, string>({max: maxWatchedCallers});
	return ({region = '', host = ''}, answer) => {
		// A host matters only where its home regions decided.
		const key = answer.basis === 'home' ? `${region} ${host}` : region;
		const named = [answer.basis, ...[...answer.addresses].sort()].join(' ');
		if (told.get(key) !== named) {
			told.set(key, named);
			onChange(region, answer);
		}
	};
};
