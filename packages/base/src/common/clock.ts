/**
 * Injectable source of time and timers. Decisions use monotonic time only,
 * because the wall clock of a VM can jump.
 */
import type * as disposable from './disposable.js';

/** Reads time and sets timers. All values are milliseconds. */
export abstract class Clock {
	/** Monotonic time; the origin is arbitrary. */
	abstract nowMs(): number;

	/** Time since the Unix epoch; for display only. */
	abstract wallMs(): number;

	/** Calls `callback` once after `delayMs`, unless the timer is disposed first. */
	abstract setTimer(callback: () => void, delayMs: number): disposable.Disposable;

	/** Calls `callback` every `periodMs` until disposed. */
	setPeriodicTimer(callback: () => void, periodMs: number): disposable.Disposable {
		let timer = this.setTimer(tick, periodMs);
		let isDisposed = false;
		// eslint-disable-next-line @typescript-eslint/no-this-alias, unicorn/no-this-assignment
		const clock = this;
		function tick() {
			timer = clock.setTimer(tick, periodMs);
			callback();
			if (isDisposed) {
				timer.dispose();
			}
		}

		return {
			dispose() {
				isDisposed = true;
				timer.dispose();
			},
		};
	}

	/** Resolves after `delayMs`, or rejects with the reason of `signal` when it aborts first. */
	async sleep(delayMs: number, signal?: AbortSignal): Promise<void> {
		return new Promise((resolve, reject) => {
			if (signal?.aborted) {
				reject(signal.reason as Error);
				return;
			}

			const onAbort = () => {
				timer.dispose();
				reject(signal!.reason as Error);
			};

			const timer = this.setTimer(() => {
				signal?.removeEventListener('abort', onAbort);
				resolve();
			}, delayMs);
			signal?.addEventListener('abort', onAbort, {once: true});
		});
	}
}
