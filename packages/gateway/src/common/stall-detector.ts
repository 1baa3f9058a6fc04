/**
 * Detects that a peer makes no progress. Only time in which this daemon reads the
 * connection counts, so neither delays of this daemon nor backpressure from the
 * caller make an upstream look stalled.
 */
import type * as clock from '@hawthornfront/base/common/clock.js';
import type * as disposable from '@hawthornfront/base/common/disposable.js';

/** Measurements of a detected stall. */
export type Stall = {
	silentMs: number;
	limitMs: number;
	/** Delay of the timer that detected the stall. */
	timerLateMs: number;
};

export type StallDetector = disposable.Disposable & {
	/** Restarts the wait after progress; the next progress is expected within this time. */
	setLimit(limitMs: number): void;
	/** Suspends the detector while this daemon does not read the connection. */
	pause(): void;
	resume(): void;
};

/** A timer that is later than this shows that the event loop was blocked. */
const maxTimerLateMs = 50;
/** Time for an event loop that was blocked to read the data that waits in its sockets. */
const catchUpMs = 100;
/** After this many late timers in a row, the silence counts as a stall anyway. */
const maxCatchUps = 3;
/** Interval at which a continuing stall is reported again. */
const repeatMs = 400;

/**
 * Creates a detector that starts now.
 *
 * @param onStall called when a silence exceeds the limit, and at intervals while it lasts
 */
export const createStallDetector = (
	time: clock.Clock,
	initialLimitMs: number,
	onStall: (stall: Stall) => void,
): StallDetector => {
	let limitMs = initialLimitMs;
	let silentSinceMs = time.nowMs();
	let catchUps = 0;
	let isPaused = false;
	let isDisposed = false;
	let timer: disposable.Disposable | undefined;
	let dueMs = 0;

	const arm = (delayMs: number) => {
		timer?.dispose();
		dueMs = time.nowMs() + delayMs;
		timer = time.setTimer(check, delayMs);
	};

	const check = () => {
		timer = undefined;
		const nowMs = time.nowMs();
		const remainingMs = silentSinceMs + limitMs - nowMs;
		if (remainingMs > 0) {
			arm(remainingMs);
			return;
		}

		const timerLateMs = nowMs - dueMs;
		if (timerLateMs > maxTimerLateMs && catchUps < maxCatchUps) {
			catchUps++;
			arm(catchUpMs);
			return;
		}

		catchUps = 0;
		onStall({silentMs: nowMs - silentSinceMs, limitMs, timerLateMs});
		if (!isDisposed && !isPaused) {
			arm(repeatMs);
		}
	};

	const restart = () => {
		silentSinceMs = time.nowMs();
		catchUps = 0;
		// A timer that is already armed computes the remaining time when it fires.
		if (!isPaused && (!timer || dueMs > silentSinceMs + limitMs)) {
			arm(limitMs);
		}
	};

	arm(limitMs);
	return {
		setLimit(nextMs) {
			limitMs = nextMs;
			restart();
		},
		pause() {
			isPaused = true;
			timer?.dispose();
			timer = undefined;
		},
		resume() {
			if (isPaused && !isDisposed) {
				isPaused = false;
				restart();
			}
		},
		dispose() {
			isDisposed = true;
			timer?.dispose();
		},
	};
};
