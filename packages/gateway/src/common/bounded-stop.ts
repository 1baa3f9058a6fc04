/** Bounds a stop in time, so that one that fails or hangs does not keep the process from its orderly end. */
import type * as clock from '@hawthornfront/base/common/clock.js';

export type BoundedStop = {
	clock: clock.Clock;
	limitMs: number;
	stop(): Promise<void>;
	/** Called once when the stop fails or does not finish in time. */
	onFailed(error: unknown): void;
};

/** A timer that is late by this time shows that the process was suspended or held up. */
const minLateMs = 100;
/** Time for a stop that was held up to deliver what arrived meanwhile. */
const lateExtensionMs = 500;

/**
 * Resolves when the stop has finished or failed, at the latest after `limitMs`, or shortly
 * after the end of a suspension that lasts longer.
 */
export const stopInTime = async ({clock, limitMs, stop, onFailed}: BoundedStop): Promise<void> =>
	new Promise((resolve) => {
		let hasEnded = false;
		const end = (failure?: {error: unknown}) => {
			if (hasEnded) {
				return;
			}

			hasEnded = true;
			timer.dispose();
			if (failure) {
				onFailed(failure.error);
			}

			resolve();
		};

		const giveUp = () => {
			end({error: new Error(`the stop did not finish within ${limitMs} ms`)});
		};

		const dueMs = clock.nowMs() + limitMs;
		let timer = clock.setTimer(() => {
			if (clock.nowMs() < dueMs + minLateMs) {
				giveUp();
			} else {
				timer = clock.setTimer(giveUp, lateExtensionMs);
			}
		}, limitMs);
		const run = async () => {
			try {
				await stop();
				end();
			} catch (error) {
				end({error});
			}
		};

		void run();
	});
