/** Clock of one process in a test: its timers wait while the process is paused. */
import * as clock from './clock.js';
import * as disposable from './disposable.js';

/** Follows another clock; timers that fall due during a pause fire when it ends. */
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

	/** Pauses the process, or lets the timers that fell due meanwhile fire. */
	setPaused(isPaused: boolean): void {
		const due = this.#waiting ?? [];
		this.#waiting = isPaused ? due : undefined;
		for (const run of isPaused ? [] : due) {
			run();
		}
	}
}
