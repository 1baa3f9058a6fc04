/** Waits for a promise for a limited time. */
import type * as clock from '@hawthornfront/base/common/clock.js';

/** True when `pending` was fulfilled or rejected within `delayMs`. Never rejects. */
export const settlesWithin = async (
	time: clock.Clock,
	pending: Promise<unknown>,
	delayMs: number,
): Promise<boolean> =>
	new Promise((resolve) => {
		const timer = time.setTimer(() => {
			resolve(false);
		}, delayMs);
		const settle = () => {
			timer.dispose();
			resolve(true);
		};

		pending.then(settle, settle);
	});
