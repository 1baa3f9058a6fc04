/**
 * Watches the root of the catalogue in the store while this daemon is an elected
 * watcher of its failure domain, and applies new revisions.
 */
import * as schema from '@hawthornfront/catalogue/common/schema.js';
import type * as disposable from '@hawthornfront/base/common/disposable.js';
import type * as fleetParts from './fleet-parts.js';
import {withTimeout} from './fleet-parts.js';

const readTimeoutMs = 3000;
const watchGraceMs = 2000;
const minBackoffMs = 500;
const maxBackoffMs = 10_000;

export type StoreWatcher = disposable.Disposable & {
	setActive(isActive: boolean): void;
	isActive(): boolean;
	/** True when the store answered the last watch. */
	isHealthy(): boolean;
	/** Reads the root once, for a daemon that received no configuration from peers. */
	readOnce(): Promise<void>;
	dump(): unknown;
};

/** Creates an inactive watcher. `onDidChangeHealth` is called after each change of `isHealthy`. */
export const createStoreWatcher = (
	parts: fleetParts.FleetParts,
	onDidChangeHealth: () => void,
): StoreWatcher => {
	const {clock, random, settings, counters, configuration, store, logger} = parts;
	let watchAbort: AbortController | undefined;
	let isHealthy = false;
	let lastError = '';
	let failures = 0;
	let isReading = false;

	const setHealthy = (next: boolean, error = '') => {
		failures = next ? 0 : failures + 1;
		lastError = error;
		if (next !== isHealthy) {
			isHealthy = next;
			logger.info({isHealthy, error}, 'store watch changed');
			onDidChangeHealth();
		}
	};

	const readPart = async (digest: string, signal: AbortSignal): Promise<string> => {
		counters.storeCalls++;
		const found = await withTimeout(clock, readTimeoutMs, signal, async (inner) =>
			store.get(schema.partKey(digest), inner),
		);
		if (!found) {
			throw new Error(`part ${digest} is not in the store yet`);
		}

		return found.value;
	};

	const apply = async (revision: number, root: string, signal: AbortSignal) => {
		const result = await configuration.apply({
			revision,
			root,
			source: 'store',
			readPart: async (digest) => readPart(digest, signal),
		});
		if (result === 'refused') {
			logger.warn({revision}, 'configuration refused');
		}
	};

	const watchOnce = async (signal: AbortSignal) => {
		counters.storeCalls++;
		const afterRevision = configuration.seenRevision();
		const {watchWaitMs} = settings;
		const found = await withTimeout(clock, watchWaitMs + watchGraceMs, signal, async (inner) =>
			store.watch(schema.rootKey, afterRevision, watchWaitMs, inner),
		);
		setHealthy(true);
		if (found && found.revision > afterRevision) {
			await apply(found.revision, found.value, signal);
		} else if (found) {
			// A lagging replica answers at once with an old root; the pause avoids a tight loop.
			await clock.sleep(minBackoffMs + random.next() * minBackoffMs, signal);
		}
	};

	const backOff = async (signal: AbortSignal) => {
		const limitMs = Math.min(maxBackoffMs, minBackoffMs * 2 ** Math.min(failures, 10));
		try {
			await clock.sleep(limitMs / 2 + (random.next() * limitMs) / 2, signal);
		} catch {
			// The watcher was deactivated; the loop checks the signal.
		}
	};

	const run = async (signal: AbortSignal) => {
		while (!signal.aborted) {
			try {
				await watchOnce(signal);
			} catch (error) {
				if (signal.aborted) {
					return;
				}

				counters.storeFailures++;
				setHealthy(false, error instanceof Error ? error.message : String(error));
				await backOff(signal);
			}
		}
	};

	const setActive = (next: boolean) => {
		if (next === (watchAbort !== undefined) || parts.signal.aborted) {
			return;
		}

		watchAbort?.abort(new Error('this daemon is no longer an elected store watcher'));
		watchAbort = undefined;
		if (next) {
			watchAbort = new AbortController();
			void run(watchAbort.signal);
		} else {
			setHealthy(false);
		}
	};

	return {
		setActive,
		isActive: () => watchAbort !== undefined,
		isHealthy: () => isHealthy,
		async readOnce() {
			if (isReading || watchAbort) {
				return;
			}

			isReading = true;
			try {
				counters.storeCalls++;
				const found = await withTimeout(clock, readTimeoutMs, parts.signal, async (inner) =>
					store.get(schema.rootKey, inner),
				);
				if (found && found.revision > configuration.seenRevision()) {
					await apply(found.revision, found.value, parts.signal);
				}
			} catch {
				counters.storeFailures++;
			} finally {
				isReading = false;
			}
		},
		dump: () => ({isActive: watchAbort !== undefined, isHealthy, failures, lastError}),
		dispose() {
			watchAbort?.abort(new Error('the daemon is stopping'));
			watchAbort = undefined;
		},
	};
};
