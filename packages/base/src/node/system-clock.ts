/** System time and Node.js timers. */
import * as process from 'node:process';
import * as clock from '../common/clock.js';
import * as disposable from '../common/disposable.js';

/** Longest delay of a timer of Node.js; it fires at once for a longer one. */
const maxDelayMs = 2_147_483_647;

/** Clock based on `process.hrtime` and the timers of Node.js. */
export class SystemClock extends clock.Clock {
	override nowMs(): number {
		return Number(process.hrtime.bigint()) / 1e6;
	}

	override wallMs(): number {
		return Date.now();
	}

	override setTimer(callback: () => void, delayMs: number): disposable.Disposable {
		const timer = setTimeout(callback, Math.min(maxDelayMs, delayMs));
		return disposable.toDisposable(() => {
			clearTimeout(timer);
		});
	}
}
