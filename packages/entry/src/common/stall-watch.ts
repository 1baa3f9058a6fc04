/**
 * Notices when a reader waits too long. One timer serves many waits: it is only
 * armed again when it fires, because a timer for each token of a stream costs
 * more than the token.
 */
import type * as clock from '@hawthornfront/base/common/clock.js';
import type * as disposable from '@hawthornfront/base/common/disposable.js';
import * as pauseTolerantTimer from '@hawthornfront/base/common/pause-tolerant-timer.js';

export type StallWatch = disposable.Disposable & {
	/** A wait begins that may take up to `limitMs`. */
	begin(limitMs: number): void;
	/** The wait is over. */
	end(): void;
};

/** Creates a watch; `onStall` is called each time a wait has taken another `limitMs`. */
export const createStallWatch = (time: clock.Clock, onStall: () => void): StallWatch => {
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
