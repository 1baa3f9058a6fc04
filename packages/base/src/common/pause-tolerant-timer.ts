/**
 * Timer for judgments on the silence of others. After a pause of this process
 * its timers run before the data that waits in its sockets is read, so its own
 * delay would be taken for their silence.
 */
import type * as clock from './clock.js';
import type * as disposable from './disposable.js';

/** Timers that fire later than this show that the process was held up. */
const minPauseMs = 50;
/** Time to read what waits; data that a full socket kept at its sender needs a round trip between regions. */
const readDelayMs = 250;
/** A process that is held up all the time must still come to a verdict. */
const maxReadDelays = 4;

/** Calls `callback` after `delayMs`; after a pause of this process not before there was time to read. */
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
