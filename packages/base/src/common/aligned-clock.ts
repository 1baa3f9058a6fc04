/**
 * Aligns the periodic timers of a process. Waking an idle process costs more CPU
 * time than handling a control message, so a daemon runs all periodic work on one tick.
 */
import * as clock from './clock.js';
import type * as disposable from './disposable.js';

/** Clock whose periodic timers fire at multiples of their period since the clock was created. */
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
