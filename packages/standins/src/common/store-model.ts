/**
 * State of the key-value stand-in: revisions, compare-and-swap, leases and
 * watches, without any transport.
 */
import type * as clockModule from '@hawthornfront/base/common/clock.js';
import * as disposable from '@hawthornfront/base/common/disposable.js';
import * as event from '@hawthornfront/base/common/event.js';
import type * as keyValueStore from '@hawthornfront/platform/common/key-value-store.js';

/** Largest value that the platform's store accepts. */
export const maxValueBytes = 1_048_576;

// Versions older than this serve no lagging reader of the tests.
const historyMs = 120_000;

type Version = {atMs: number; found: keyValueStore.KeyValue | undefined};

type LeaseState = {lease: keyValueStore.Lease; keys: Set<string>; timer: disposable.Disposable};

export type StoreModel = disposable.Disposable & {
	/** Value as it was `staleMs` ago; 0 reads the current one. */
	get(key: string, staleMs: number): keyValueStore.KeyValue | undefined;
	list(prefix: string, staleMs: number): Array<Omit<keyValueStore.KeyValue, 'value'>>;
	/** @returns undefined when `leaseId` names no lease in force. */
	compareAndSwap(
		key: string,
		value: string,
		expectedRevision: number,
		leaseId?: string,
	): keyValueStore.PutResult | undefined;
	compareAndDelete(key: string, expectedRevision: number): boolean;
	watch(
		key: string,
		afterRevision: number,
		waitMs: number,
		signal: AbortSignal,
	): Promise<keyValueStore.KeyValue | undefined>;
	grantLease(ttlMs: number): keyValueStore.Lease;
	renewLease(leaseId: string): boolean;
	revokeLease(leaseId: string): void;
	/** Ends every lease in force, as after a long pause of all holders. */
	expireLeases(): void;
	readonly revision: number;
	readonly waitingWatches: number;
};

/** Creates an empty store. */
export const createStoreModel = (clock: clockModule.Clock): StoreModel => {
	const versions = new Map<string, Version[]>();
	const leases = new Map<string, LeaseState>();
	const didChange = event.createEmitter<keyValueStore.KeyValue>();
	let revision = 0;
	let lastLeaseNumber = 0;
	let waitingWatches = 0;

	const read = (key: string, staleMs: number) => {
		const atMs = clock.nowMs() - staleMs;
		return versions.get(key)?.findLast((version) => version.atMs <= atMs)?.found;
	};

	const record = (key: string, found: keyValueStore.KeyValue | undefined) => {
		const nowMs = clock.nowMs();
		const old = versions.get(key) ?? [];
		// The newest version before the horizon stays, since it is still in force there.
		const first = old.findLastIndex((version) => version.atMs <= nowMs - historyMs);
		const kept = old.slice(Math.max(0, first));
		kept.push({atMs: nowMs, found});
		versions.set(key, kept);
		if (found) {
			didChange.fire(found);
		}
	};

	const endLease = (leaseId: string) => {
		const state = leases.get(leaseId);
		if (!state) {
			return;
		}

		leases.delete(leaseId);
		state.timer.dispose();
		for (const key of state.keys) {
			if (read(key, 0)?.leaseId === leaseId) {
				revision++;
				record(key, undefined);
			}
		}
	};

	const startLeaseTimer = (leaseId: string, ttlMs: number) =>
		clock.setTimer(() => {
			endLease(leaseId);
		}, ttlMs);

	return {
		get revision() {
			return revision;
		},
		get waitingWatches() {
			return waitingWatches;
		},
		get: read,
		list(prefix, staleMs) {
			const found = [];
			for (const key of versions.keys()) {
				const entry = key.startsWith(prefix) ? read(key, staleMs) : undefined;
				if (entry) {
					found.push({key, revision: entry.revision, leaseId: entry.leaseId});
				}
			}

			return found.sort((a, b) => (a.key < b.key ? -1 : 1));
		},
		compareAndSwap(key, value, expectedRevision, leaseId) {
			const current = read(key, 0);
			if ((current?.revision ?? 0) !== expectedRevision) {
				return {kind: 'conflict', current};
			}

			const lease = leaseId === undefined ? undefined : leases.get(leaseId);
			if (leaseId !== undefined && !lease) {
				return undefined;
			}

			revision++;
			lease?.keys.add(key);
			record(key, {key, value, revision, leaseId});
			return {kind: 'written', revision};
		},
		compareAndDelete(key, expectedRevision) {
			if (read(key, 0)?.revision !== expectedRevision) {
				return false;
			}

			revision++;
			record(key, undefined);
			return true;
		},
		async watch(key, afterRevision, waitMs, signal) {
			const current = read(key, 0);
			if (current && current.revision > afterRevision) {
				return current;
			}

			waitingWatches++;
			const owned = disposable.createDisposableStore();
			try {
				return await new Promise<keyValueStore.KeyValue | undefined>((resolve) => {
					owned.add(
						didChange.event((found) => {
							if (found.key === key && found.revision > afterRevision) {
								resolve(found);
							}
						}),
					);
					const giveUp = () => {
						resolve(undefined);
					};

					owned.add(clock.setTimer(giveUp, waitMs));
					signal.addEventListener('abort', giveUp, {once: true});
					owned.add({
						dispose() {
							signal.removeEventListener('abort', giveUp);
						},
					});
				});
			} finally {
				waitingWatches--;
				owned.dispose();
			}
		},
		grantLease(ttlMs) {
			lastLeaseNumber++;
			const lease = {leaseId: `lease-${lastLeaseNumber}`, number: lastLeaseNumber, ttlMs};
			const timer = startLeaseTimer(lease.leaseId, ttlMs);
			leases.set(lease.leaseId, {lease, keys: new Set(), timer});
			return lease;
		},
		renewLease(leaseId) {
			const state = leases.get(leaseId);
			if (!state) {
				return false;
			}

			state.timer.dispose();
			state.timer = startLeaseTimer(leaseId, state.lease.ttlMs);
			return true;
		},
		revokeLease: endLease,
		expireLeases() {
			const leaseIds = [...leases.keys()];
			for (const leaseId of leaseIds) {
				endLease(leaseId);
			}
		},
		dispose() {
			for (const state of leases.values()) {
				state.timer.dispose();
			}

			leases.clear();
			didChange.dispose();
		},
	};
};
