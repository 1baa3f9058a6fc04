/** Clock of a process that tests can pause. */
import * as clock from '@hawthornfront/base/common/clock.js';
import type * as disposable from '@hawthornfront/base/common/disposable.js';

/** Delays timers and answers of a paused process until it is resumed. */
export class PausableClock extends clock.Clock {
	readonly #inner: clock.Clock;
	#isPaused = false;
	#pendingCallbacks: Array<() => void> = [];

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
		const pendingCallbacks = this.#pendingCallbacks;
		this.#pendingCallbacks = [];
		for (const callback of pendingCallbacks) {
			callback();
		}
	}

	/** Resolves when the process is not paused. */
	async whenRunning(): Promise<void> {
		return new Promise((resolve) => {
			this.#run(resolve);
		});
	}

	#run(callback: () => void): void {
		if (this.#isPaused) {
			this.#pendingCallbacks.push(callback);
		} else {
			callback();
		}
	}
}
