/** Clock that a test advances explicitly. */
import * as clock from './clock.js';
import * as disposable from './disposable.js';

type Timer = {dueMs: number; sequence: number; callback: () => void};

/**
 * Waits for the next macrotask, so that all pending promises settle. A fixed
 * number of microtasks is not enough for chains of async generators.
 */
const settlePromises = async (): Promise<void> =>
	new Promise((resolve) => {
		setImmediate(resolve);
	});

/** Clock for tests and simulations. Timers fire in order of due time, then of registration. */
export class ManualClock extends clock.Clock {
	#nowMs = 0;
	#sequence = 0;
	#wallOffsetMs: number;
	readonly #timers = new Set<Timer>();

	constructor(wallOffsetMs = 1_700_000_000_000) {
		super();
		this.#wallOffsetMs = wallOffsetMs;
	}

	get pendingTimers(): number {
		return this.#timers.size;
	}

	override nowMs(): number {
		return this.#nowMs;
	}

	override wallMs(): number {
		return this.#wallOffsetMs + this.#nowMs;
	}

	override setTimer(callback: () => void, delayMs: number): disposable.Disposable {
		const timer: Timer = {
			dueMs: this.#nowMs + Math.max(0, delayMs),
			sequence: this.#sequence++,
			callback,
		};
		this.#timers.add(timer);
		return disposable.toDisposable(() => {
			this.#timers.delete(timer);
		});
	}

	/** Shifts wall time without monotonic time, as a clock synchronization may do. */
	jumpWall(deltaMs: number): void {
		this.#wallOffsetMs += deltaMs;
	}

	/** Advances time by `durationMs` and fires due timers; promises settle after each timer. */
	async advance(durationMs: number): Promise<void> {
		const endMs = this.#nowMs + durationMs;
		await settlePromises();
		for (;;) {
			const timer = this.#nextTimer(endMs);
			if (!timer) {
				break;
			}

			this.#timers.delete(timer);
			this.#nowMs = Math.max(this.#nowMs, timer.dueMs);
			timer.callback();
			await settlePromises();
		}

		this.#nowMs = endMs;
		await settlePromises();
	}

	/** Advances time without firing timers, to simulate a pause of the process. */
	skip(durationMs: number): void {
		this.#nowMs += durationMs;
	}

	#nextTimer(endMs: number): Timer | undefined {
		let next: Timer | undefined;
		for (const timer of this.#timers) {
			if (timer.dueMs > endMs) {
				continue;
			}

			const isEarlier =
				!next ||
				timer.dueMs < next.dueMs ||
				(timer.dueMs === next.dueMs && timer.sequence < next.sequence);
			if (isEarlier) {
				next = timer;
			}
		}

		return next;
	}
}
