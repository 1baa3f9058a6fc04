/**
 * Detects waits that exceed a limit. One timer serves many waits and is rearmed only
 * when it fires, because a timer for each token costs more than the token itself.
 */
import type * as clock from '@hawthornfront/base/common/clock.js';
import type * as disposable from '@hawthornfront/base/common/disposable.js';
import * as pauseTolerantTimer from '@hawthornfront/base/common/pause-tolerant-timer.js';

export type StallDetector = disposable.Disposable & {
	/** Starts a wait of at most `limitMs`. */
	begin(limitMs: number): void;
	/** Ends the wait. */
	end(): void;
};

/** Creates a detector; `onStall` is called each time a wait has lasted another `limitMs`. */
export const createStallDetector = (time: clock.Clock, onStall: () => void): StallDetector => {
	let timer: disposable.Disposable | undefined;
	let timerDueMs = Number.POSITIVE_INFINITY;
	let stallAtMs: number | undefined;
	let currentLimitMs = 0;

	const arm = (delayMs: number) => {
		timer?.dispose();
		timerDueMs = time.nowMs() + delayMs;
		timer = pauseTolerantTimer.setPauseTolerantTimer(time, check, delayMs);
	};

	const check = () => {
		timer = undefined;
		timerDueMs = Number.POSITIVE_INFINITY;
		if (stallAtMs === undefined) {
			return;
		}

		const remainingMs = stallAtMs - time.nowMs();
		if (remainingMs > 0) {
			arm(remainingMs);
		} else {
			stallAtMs = time.nowMs() + currentLimitMs;
			arm(currentLimitMs);
			onStall();
		}
	};

	return {
		begin(limitMs) {
			stallAtMs = time.nowMs() + limitMs;
			currentLimitMs = limitMs;
			if (timerDueMs > stallAtMs) {
				arm(limitMs);
			}
		},
		end() {
			stallAtMs = undefined;
		},
		dispose() {
			timer?.dispose();
			stallAtMs = undefined;
		},
	};
};
