/**
 * Elects the daemons that watch the store, in the order of the relays. A few daemons of each failure domain
 * watch it and the others pull changes from them, so that the load on the store
 * grows with the number of failure domains and not with the number of daemons.
 */
import * as zod from 'zod';
import * as relayElection from './relay-election.js';

/** Whether the store responds to a daemon that watches it; `none`: the daemon does not watch. */
export const storeContactSchema = zod.enum(['reached', 'lost', 'none']);
export type StoreContact = zod.infer<typeof storeContactSchema>;

export type StoreWatcherCandidate = {
	name: string;
	/** Processor share. */
	capacity: number;
	lastContactAgeMs: number;
	storeContact: StoreContact;
};

export type StoreWatcherElection = {
	/**
	 * @param peers other daemons of the place
	 * @param behindMs time for which a peer has held newer data than this daemon could pull
	 */
	update(peers: readonly StoreWatcherCandidate[], behindMs: number): boolean;
};

const defaultPeerTimeoutMs = 2000;
/** A daemon whose pulls lag for this long watches the store itself. */
const maxBehindMs = 1000;
/** A watcher that is no longer elected continues for this long, so that watchers do not alternate. */
const handoverMs = 2000;

/** Creates the election state of one daemon, which watches at first. */
export const createStoreWatcherElection = (options: {
	nowMs(): number;
	daemonName: string;
	/** Processor share of this daemon. */
	capacity: number;
	/** Failure domain or region whose daemons are compared. */
	place: string;
	watchers: number;
	/** A peer without contact for this long is not a candidate; several missed datagrams by default. */
	peerTimeoutMs?: number;
}): StoreWatcherElection => {
	const {nowMs, daemonName, capacity, place, peerTimeoutMs = defaultPeerTimeoutMs} = options;
	let neededAtMs = nowMs();

	/** A daemon that cannot reach the store keeps trying, but its peers do not elect it. */
	const isElected = (peers: readonly StoreWatcherCandidate[]): boolean => {
		const candidates = peers.filter(
			({lastContactAgeMs, storeContact}) =>
				lastContactAgeMs < peerTimeoutMs && storeContact !== 'lost',
		);
		return relayElection

			.orderCandidates(place, [{name: daemonName, capacity}, ...candidates])
			.slice(0, options.watchers)
			.some(({name}) => name === daemonName);
	};

	return {
		update(peers, behindMs) {
			if (isElected(peers) || behindMs > maxBehindMs) {
				neededAtMs = nowMs();
			}

			return nowMs() - neededAtMs < handoverMs;
		},
	};
};
