/**
 * Decides whether a daemon watches the store. The relays always do. When no
 * daemon of the failure domain has had a working watch for a while, a few spare
 * daemons start one after the other, so that an outage of the store does not
 * make all daemons call it.
 */
import type * as fleetSettings from './fleet-settings.js';

const spareStepMs = 2000;

export type StoreWatcherElection = {
	/** @param rank position of this daemon in the relay order; -1 when it is not eligible. */
	shouldWatch(rank: number, hasHigherRankedWatcher: boolean, nowMs: number): boolean;
};

/** Creates the election. `jitter` in [0, 1) staggers the spares of several domains. */
export const createStoreWatcherElection = (
	settings: Pick<fleetSettings.FleetSettings, 'relayCount' | 'spareWatcherCount' | 'selfHelpMs'>,
	jitter: number,
): StoreWatcherElection => {
	let unwatchedSinceMs: number | undefined;
	return {
		shouldWatch(rank, hasHigherRankedWatcher, nowMs) {
			if (hasHigherRankedWatcher) {
				unwatchedSinceMs = undefined;
			} else {
				unwatchedSinceMs ??= nowMs;
			}

			if (rank < 0) {
				return false;
			}

			if (rank < settings.relayCount) {
				return true;
			}

			const spare = rank - settings.relayCount;
			const waitMs = settings.selfHelpMs + (spare + jitter) * spareStepMs;
			return (
				spare < settings.spareWatcherCount &&
				unwatchedSinceMs !== undefined &&
				nowMs - unwatchedSinceMs >= waitMs
			);
		},
	};
};
