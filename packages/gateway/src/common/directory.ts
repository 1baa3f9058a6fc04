/** Directory answers: the daemons that a caller should connect to. */
import * as ownText from '@hawthornfront/base/common/own-text.js';
import * as lruCache from 'lru-cache';
import type * as fleetView from './fleet-view.js';
import type * as gossipMessage from './gossip-message.js';

export type DirectoryQuery = {
	/** Region of the caller; undefined when the query has none. */
	region?: string;
	failureDomain?: string;
	/** Host that the caller wants to reach; undefined when the query has none. */
	host?: string;
};

export type DirectoryAnswer = {
	addresses: string[];
	/** Why these daemons were chosen; `leaving`: the list is empty. */
	basis: 'near' | 'home' | 'any' | 'leaving';
	timeToLiveMs: number;
};

const maxAddresses = 64;
/** Limit of regions and hosts whose answers are tracked, since callers may send any names. */
const maxTrackedCallers = 500;
/** Longest region and host that are tracked and logged. */
const maxNameLength = 64;

/**
 * Returns the ready daemons of the caller's region, by their heartbeats, since the store may list daemons that have ended. If there are none, returns those
 * of the region that is a home of most of the host's bound routes, so that few bound
 * requests enter a region that must forward them. A daemon that is leaving returns an
 * empty list, since it receives no gossip any more; callers then query the next daemon.
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

	const ready = [self, ...fleet.confirmed()].filter(
		(member) => member.isReady && !member.isLeaving,
	);
	const inRegion = ready.filter((member) => member.region === query.region);
	const coverageOf = (member: gossipMessage.MemberRecord) => homeCoverage.get(member.region) ?? 0;
	const bestCoverage = Math.max(0, ...ready.map((member) => coverageOf(member)));
	const home =
		bestCoverage > 0 ? ready.filter((member) => coverageOf(member) === bestCoverage) : [];
	const choices = [
		{basis: 'near', members: inRegion},
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

/** Detects changes of the answers for a region, for the log. */
export const createAnswerChangeDetector = (
	onChange: (region: string, answer: DirectoryAnswer) => void,
): ((query: DirectoryQuery, answer: DirectoryAnswer) => void) => {
	const lastAnswers = new lruCache.LRUCache<string, string>({max: maxTrackedCallers});
	return (query, answer) => {
		const region = ownText.ownText(query.region ?? '', maxNameLength);
		const host = ownText.ownText(query.host ?? '', maxNameLength);
		// The answer depends on the host only when it was chosen by home regions.
		const key = answer.basis === 'home' ? `${region} ${host}` : region;
		const named = [answer.basis, ...[...answer.addresses].sort()].join(' ');
		if (lastAnswers.get(key) !== named) {
			lastAnswers.set(key, named);
			onChange(region, answer);
		}
	};
};
