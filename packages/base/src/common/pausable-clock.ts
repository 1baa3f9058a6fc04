/** Clock of one simulated process; no timer fires while the process is paused. */
import * as clock from './clock.js';
import * as disposable from './disposable.js';

/** Reads time from another clock. Timers that become due during a pause fire when the pause ends. */
export class PausableClock extends clock.Clock {
	readonly #clock: clock.Clock;
	#waiting: Array<() => void> | undefined;

	constructor(source: clock.Clock) {
		super();
		this.#clock = source;
	}

	override nowMs(): number {
		return this.#clock.nowMs();
	}

	override wallMs(): number {
		return this.#clock.wallMs();
	}

	override setTimer(callback: () => void, delayMs: number): disposable.Disposable {
		let isDisposed = false;
		const run = () => {
			if (!isDisposed) {
				callback();
			}
		};

		const timer = this.#clock.setTimer(() => {
			if (this.#waiting) {
				this.#waiting.push(run);
			} else {
				run();
			}
		}, delayMs);
		return disposable.toDisposable(() => {
			isDisposed = true;
			timer.dispose();
		});
	}

	/** Pauses or resumes the process; on resume, timers that became due during the pause fire. */
	setPaused(isPaused: boolean): void {
		const due = this.#waiting ?? [];
		this.#waiting = isPaused ? due : undefined;
		for (const run of isPaused ? [] : due) {
			run();
		}
	}
}
