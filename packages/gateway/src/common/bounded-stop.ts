/** Bounds a stop in time, so that one that fails or hangs does not keep the process from its orderly end. */
import type * as clock from '@hawthornfront/base/common/clock.js';

export type BoundedStop = {
	clock: clock.Clock;
	limitMs: number;
	stop(): Promise<void>;
	/** Called once when the stop fails or does not finish in time. */
	onFailed(error: unknown): void;
};

/** Resolves when the stop has finished or failed, at the latest after `limitMs`. */
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

		const timer = clock.setTimer(() => {
			end({error: new Error(`the stop did not finish within ${limitMs} ms`)});
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
