/**
 * Lets periodic work of one process fall due together. Each wake-up of an idle
 * process costs more processor time than the work of a control message, so a
 * daemon has one tick for all of its periodic work.
 */
import * as clock from './clock.js';
import type * as disposable from './disposable.js';

/** Clock whose periodic timers fire at multiples of their period, counted from its creation. */
export class AlignedClock extends clock.Clock {
	readonly #clock: clock.Clock;
	readonly #originMs: number;

	constructor(source: clock.Clock) {
		super();
		this.#clock = source;
		this.#originMs = source.nowMs();
	}

	override nowMs(): number {
		return this.#clock.nowMs();
	}

	override wallMs(): number {
		return this.#clock.wallMs();
	}

	override setTimer(callback: () => void, delayMs: number): disposable.Disposable {
		return this.#clock.setTimer(callback, delayMs);
	}

	override setPeriodicTimer(callback: () => void, periodMs: number): disposable.Disposable {
		let isDisposed = false;
		const arm = (): disposable.Disposable => {
			const elapsedMs = this.nowMs() - this.#originMs;
			const delayMs = periodMs - (elapsedMs % periodMs);
			return this.#clock.setTimer(tick, delayMs);
		};

		const tick = () => {
			timer = arm();
			callback();
			if (isDisposed) {
				timer.dispose();
			}
		};

		let timer = arm();
		return {
			dispose() {
				isDisposed = true;
				timer.dispose();
			},
		};
	}
}
