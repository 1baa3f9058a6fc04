/** A clock that moves only when a test says so. */
import * as clock from './clock.js';
import * as disposable from './disposable.js';

type Timer = {dueMs: number; sequence: number; callback: () => void};

/**
 * Lets all pending promises settle. A fixed number of microtask rounds is not
 * enough for chains of async generators, so this waits for the next macrotask.
 */
const settlePromises = async (): Promise<void> =>
	new Promise((resolve) => {
		setImmediate(resolve);
	});

/** Clock for tests and simulations: timers fire in order of due time, then of registration. */
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

	/** Moves the wall clock without the monotonic one, as a time service may do. */
	jumpWall(deltaMs: number): void {
		this.#wallOffsetMs += deltaMs;
	}

	/** Moves time by `durationMs`, fires due timers and lets promises settle between them. */
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

	/** Moves time without firing timers, as a process that was paused sees it. */
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
