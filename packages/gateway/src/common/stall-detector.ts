/**
 * Notices that a peer makes no progress. Only time in which this daemon reads the
 * connection counts: neither its own delays nor a caller that does not read make
 * an upstream look silent.
 */
import type * as clock from '@hawthornfront/base/common/clock.js';
import type * as disposable from '@hawthornfront/base/common/disposable.js';

/** Why a peer's silence counts as a stall. */
export type Stall = {
	silentMs: number;
	limitMs: number;
	/** Delay of this daemon's own timer. */
	timerLateMs: number;
};

export type StallDetector = disposable.Disposable & {
	/** The peer made progress; the next is expected within this time. */
	setLimit(limitMs: number): void;
	/** This daemon does not read the connection. */
	pause(): void;
	resume(): void;
};

/** A timer that is later than this shows that the event loop was held up. */
const maxTimerLateMs = 50;
/** Time in which a loop that was held up reads what waits in its sockets. */
const catchUpMs = 100;
/** Delays in a row after which a silence counts all the same. */
const maxCatchUps = 3;
/** A silence that goes on is reported again after this time. */
const repeatMs = 400;

/**
 * Creates a watch that counts from now.
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
		// A timer that is armed already looks at the remaining time when it fires.
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
