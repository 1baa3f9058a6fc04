/**
 * Decides whether this daemon watches the store itself. A few daemons of each
 * failure domain watch it, and the others pull changes from them, so that calls
 * of the store grow with the failure domains and not with the daemons.
 */
import * as hash from '@hawthornfront/decisions/common/hash.js';
import * as zod from 'zod';

/** Whether a daemon that watches the store gets answers; `none`: it does not watch. */
export const storeContactSchema = zod.enum(['reached', 'lost', 'none']);
export type StoreContact = zod.infer<typeof storeContactSchema>;

export type StoreWatcherCandidate = {
	name: string;
	lastContactAgeMs: number;
	storeContact: StoreContact;
};

export type StoreWatcherElection = {
	/**
	 * @param peers daemons of the own failure domain
	 * @param behindMs time for which a peer has known more than this daemon could pull
	 */
	update(peers: readonly StoreWatcherCandidate[], behindMs: number): boolean;
};

/** A peer that was not heard of for this long does not count: several missed datagrams. */
const silentPeerMs = 2000;
/** Pulls that bring nothing for this long are replaced by an own watch. */
const maxBehindMs = 1000;
/** An own watch goes on for this long after others took over, so that duties do not alternate. */
const handOverMs = 2000;

/** Creates the decision of one daemon, which watches at first. */
export const createStoreWatcherElection = (options: {
	nowMs(): number;
	ownName: string;
	failureDomain: string;
	watchers: number;
}): StoreWatcherElection => {
	const {nowMs, ownName, failureDomain} = options;
	let neededAtMs = nowMs();

	/** A daemon that cannot reach the store keeps trying, but others do not count on it. */
	const isChosen = (peers: readonly StoreWatcherCandidate[]): boolean => {
		const able = peers.filter(
			({lastContactAgeMs, storeContact}) =>
				lastContactAgeMs < silentPeerMs && storeContact !== 'lost',
		);
		return hash
			.order(failureDomain, [{name: ownName}, ...able.map(({name}) => ({name}))])
			.slice(0, options.watchers)
			.some(({name}) => name === ownName);
	};

	return {
		update(peers, behindMs) {
			if (isChosen(peers) || behindMs > maxBehindMs) {
				neededAtMs = nowMs();
			}

			return nowMs() - neededAtMs < handOverMs;
		},
	};
};
