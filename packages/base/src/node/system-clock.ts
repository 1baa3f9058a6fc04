/** System time and Node.js timers. */
import * as process from 'node:process';
import * as clock from '../common/clock.js';
import * as disposable from '../common/disposable.js';

/** Clock based on `process.hrtime` and the timers of Node.js. */
export class SystemClock extends clock.Clock {
	override nowMs(): number {
		return Number(process.hrtime.bigint()) / 1e6;
	}

	override wallMs(): number {
		return Date.now();
	}

	override setTimer(callback: () => void, delayMs: number): disposable.Disposable {
		const timer = setTimeout(callback, delayMs);
		return disposable.toDisposable(() => {
			clearTimeout(timer);
		});
	}
}
