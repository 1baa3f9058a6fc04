/**
 * Whether the store is reachable, by this daemon's own watch or by a peer. It is derived
 * from the current state of both, so it does not depend on the order of their changes.
 * After a time without the store, and after its restore from a copy, entries may be
 * missing until their upstreams have registered again.
 */
import * as event from '@hawthornfront/base/common/event.js';
import type * as storeWatcherElection from './store-watcher-election.js';

/**
 * Time for which an entry that went missing during an outage or a restore of the store
 * is kept after the store is back. The platform restores entries within 2 s.
 */
export const missingEntryGraceMs = 2200;

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
	/** Sets whether the store responds to this daemon. */
	setOwnContact(contact: storeWatcherElection.StoreContact): void;
	/** Sets whether any peer reaches the store. */
	setReachedByPeers(isReached: boolean): void;
	/** Notes that the store was restored from a copy, which may lack entries. */
	noteRestore(): void;
	/** Time until a missing entry counts as removed; infinite while the store is not reachable. */
	unsettledMs(): number;
};

/** Creates the state of a daemon that has not heard of the store yet. */
export const createStoreReachability = (nowMs: () => number): StoreReachability => {
	let ownContact: storeWatcherElection.StoreContact = 'none';
	let isReachedByPeers = false;
	let reachableSinceMs: number | undefined;
	const didChange = event.createEmitter<ReachabilityChange>();

	const update = () => {
		const isReachable = ownContact === 'reached' || isReachedByPeers;
		if (isReachable !== (reachableSinceMs !== undefined)) {
			reachableSinceMs = isReachable ? nowMs() : undefined;
			didChange.fire({isReachable, ownContact, isReachedByPeers});
		}
	};

	return {
		onDidChange: didChange.event,
		get isReachable() {
			return reachableSinceMs !== undefined;
		},
		setOwnContact(contact) {
			ownContact = contact;
			update();
		},
		setReachedByPeers(isReached) {
			isReachedByPeers = isReached;
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
