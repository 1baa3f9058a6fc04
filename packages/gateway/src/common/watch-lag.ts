/**
 * Detects a watch that no longer delivers changes although its connection is open. A peer
 * that keeps knowing of a change which the watch should have delivered shows this.
 */
import * as storePosition from './store-position.js';

export type WatchLag = {
	/**
	 * Compares a peer's position with that up to which the store has answered this daemon.
	 *
	 * @returns how long the watch has lacked the change, when that is too long, at intervals; else 0
	 */
	note(peerPosition: storePosition.StorePosition, answered: storePosition.StorePosition): number;
};

/** A feed pauses after changes, so a peer may know of the next ones first. */
const maxLagMs = 600;
/** Leaves time to list the store before the lag is reported again. */
const minReportGapMs = 2000;

export const createWatchLag = (nowMs: () => number): WatchLag => {
	let reportedAtMs = Number.NEGATIVE_INFINITY;
	let lacking: {position: storePosition.StorePosition; sinceMs: number} | undefined;
	return {
		note(peerPosition, answered) {
			if (lacking && !storePosition.isAfter(lacking.position, answered)) {
				lacking = undefined;
			}

			if (!storePosition.isAfter(peerPosition, answered)) {
				return 0;
			}

			lacking ??= {position: peerPosition, sinceMs: nowMs()};
			const lagMs = nowMs() - lacking.sinceMs;
			if (lagMs < maxLagMs || nowMs() - reportedAtMs < minReportGapMs) {
				return 0;
			}

			reportedAtMs = nowMs();
			return lagMs;
		},
	};
};
