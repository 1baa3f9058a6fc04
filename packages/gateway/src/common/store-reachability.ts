/**
 * Whether the store is reachable, by this daemon's own watch or by a peer. It is derived
 * from the current state of both, so it does not depend on the order of their changes.
 * After a time without the store, and after its restore from a copy, entries may be
 * missing until their upstreams have registered again. A moment in which nobody watches
 * the store, because its watchers ended, is not an outage.
 */
import * as event from '@hawthornfront/base/common/event.js';
import type * as storeWatcherElection from './store-watcher-election.js';

/**
 * Time for which an entry that went missing during an outage or a restore of the store
 * is kept after the store is back. The platform restores entries within 2 s.
 */
export const missingEntryGraceMs = 2200;
/** A daemon whose watchers ended watches the store itself after this time, and notices an outage. */
const maxUnwatchedMs = 2500;

/** The inputs and the conclusion, for the log. */
export type ReachabilityChange = {
	isReachable: boolean;
	ownContact: storeWatcherElection.StoreContact;
	isReachedByPeers: boolean;
};

export type StoreReachability = {
	/** Fires when `isReachable` has changed. */
	readonly onDidChange: event.Event<ReachabilityChange>;
	readonly isReachable: boolean;
	/** Time for which it has been reachable; 0 if it is not. */
	reachableMs(): number;
	/** Sets whether the store responds to this daemon. */
	setOwnContact(contact: storeWatcherElection.StoreContact): void;
	/**
	 * Sets whether any peer reaches the store.
	 *
	 * @param isLost whether the store does not respond to a peer that watches it
	 */
	setReachedByPeers(isReached: boolean, isLost?: boolean): void;
	/** Notes that the store was restored from a copy, which may lack entries. */
	noteRestore(): void;
	/** Time until a missing entry counts as removed; infinite while the store is not reachable. */
	unsettledMs(): number;
};

/** Creates the state of a daemon that has not heard of the store yet. */
export const createStoreReachability = (nowMs: () => number): StoreReachability => {
	let ownContact: storeWatcherElection.StoreContact = 'none';
	let isReachedByPeers = false;
	let isLostByPeers = false;
	let reachableSinceMs: number | undefined;
	/** Set while nobody reaches the store and nobody has found that it does not respond. */
	let unwatched: {sinceMs: number; reachableSinceMs: number} | undefined;
	const didChange = event.createEmitter<ReachabilityChange>();

	const sinceOf = (isReachable: boolean): number | undefined => {
		if (!isReachable) {
			return undefined;
		}

		const isOutage = unwatched === undefined || nowMs() - unwatched.sinceMs > maxUnwatchedMs;
		return isOutage ? nowMs() : unwatched?.reachableSinceMs;
	};

	const update = () => {
		const isReachable = ownContact === 'reached' || isReachedByPeers;
		if (isReachable !== (reachableSinceMs !== undefined)) {
			const before = reachableSinceMs;
			reachableSinceMs = sinceOf(isReachable);
			unwatched = before === undefined ? undefined : {sinceMs: nowMs(), reachableSinceMs: before};
			didChange.fire({isReachable, ownContact, isReachedByPeers});
		}

		if (ownContact === 'lost' || isLostByPeers) {
			unwatched = undefined;
		}
	};

	return {
		onDidChange: didChange.event,
		get isReachable() {
			return reachableSinceMs !== undefined;
		},
		reachableMs: () => (reachableSinceMs === undefined ? 0 : nowMs() - reachableSinceMs),
		setOwnContact(contact) {
			ownContact = contact;
			update();
		},
		setReachedByPeers(isReached, isLost = !isReached) {
			isReachedByPeers = isReached;
			isLostByPeers = isLost;
			update();
		},
		noteRestore() {
			reachableSinceMs = reachableSinceMs === undefined ? undefined : nowMs();
		},
		unsettledMs: () =>
			reachableSinceMs === undefined
				? Number.POSITIVE_INFINITY
				: Math.max(0, reachableSinceMs + missingEntryGraceMs - nowMs()),
	};
};
