/** Clock of a process that a test pauses. */
import * as clock from '@hawthornfront/base/common/clock.js';
import type * as disposable from '@hawthornfront/base/common/disposable.js';

/** A process that can be paused: its timers and answers wait until it is resumed. */
export class PausableClock extends clock.Clock {
	readonly #inner: clock.Clock;
	#isPaused = false;
	#waiting: Array<() => void> = [];

	constructor(inner: clock.Clock) {
		super();
		this.#inner = inner;
	}

	override nowMs(): number {
		return this.#inner.nowMs();
	}

	override wallMs(): number {
		return this.#inner.wallMs();
	}

	override setTimer(callback: () => void, delayMs: number): disposable.Disposable {
		return this.#inner.setTimer(() => {
			this.#run(callback);
		}, delayMs);
	}

	pause(): void {
		this.#isPaused = true;
	}

	resume(): void {
		this.#isPaused = false;
		const waiting = this.#waiting;
		this.#waiting = [];
		for (const callback of waiting) {
			callback();
		}
	}

	/** Resolves as soon as the process runs. */
	async running(): Promise<void> {
		return new Promise((resolve) => {
			this.#run(resolve);
		});
	}

	#run(callback: () => void): void {
		if (this.#isPaused) {
			this.#waiting.push(callback);
		} else {
			callback();
		}
	}
}
