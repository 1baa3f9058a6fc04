/** The clock of the operating system. */
import * as process from 'node:process';
import * as clock from '../common/clock.js';
import * as disposable from '../common/disposable.js';

/** Clock backed by `process.hrtime` and Node timers. */
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
