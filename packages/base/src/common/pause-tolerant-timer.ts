/**
 * Timer for timeouts on peers. After a pause of this process, its timers run
 * before the data in its socket buffers is read. A plain timer would therefore
 * report a timeout of a peer that has already responded.
 */
import type * as clock from './clock.js';
import type * as disposable from './disposable.js';

/** A timer that fires later than this indicates a pause of the process. */
const minPauseMs = 50;
/** Time to read buffered data; data that a full socket held back at its sender needs a round trip between regions. */
const readDelayMs = 250;
/** Bounds the delay, so that the timer also fires in a process that pauses continually. */
const maxReadDelays = 4;

/** Calls `callback` after `delayMs`, or after a pause of this process once buffered data could be read. */
export const setPauseTolerantTimer = (
	time: clock.Clock,
	callback: () => void,
	delayMs: number,
): disposable.Disposable => {
	let timer: disposable.Disposable;
	let readDelayCount = 0;
	const arm = (waitMs: number) => {
		const dueMs = time.nowMs() + Math.max(0, waitMs);
		timer = time.setTimer(() => {
			if (time.nowMs() - dueMs > minPauseMs && readDelayCount < maxReadDelays) {
				readDelayCount++;
				arm(readDelayMs);
			} else {
				callback();
			}
		}, waitMs);
	};

	arm(delayMs);
	return {
		dispose() {
			timer.dispose();
		},
	};
};
