/**
 * Decides whether a daemon shall watch the store. The relays do; when no daemon
 * of the failure domain has a working watch for a while, a few more try, one
 * after the other, so that an outage of the store does not turn all daemons
 * into callers.
 */
import type * as fleetSettings from './fleet-settings.js';

const spareStepMs = 2000;

export type WatchDuty = {
	/** @param rank place of this daemon in the relay order; -1 when it is not eligible. */
	decide(rank: number, hasEarlierWatcher: boolean, nowMs: number): boolean;
};

/** Creates the decision. `jitter` in [0, 1) spreads the spares of several domains. */
export const createWatchDuty = (
	settings: Pick<fleetSettings.FleetSettings, 'relayCount' | 'spareWatcherCount' | 'selfHelpMs'>,
	jitter: number,
): WatchDuty => {
	let silentSinceMs: number | undefined;
	return {
		decide(rank, hasEarlierWatcher, nowMs) {
			if (hasEarlierWatcher) {
				silentSinceMs = undefined;
			} else {
				silentSinceMs ??= nowMs;
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
				silentSinceMs !== undefined &&
				nowMs - silentSinceMs >= waitMs
			);
		},
	};
};
