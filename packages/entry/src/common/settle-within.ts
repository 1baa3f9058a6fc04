import type * as clock from '@hawthornfront/base/common/clock.js';

/** Resolves to true when `pending` settles within `delayMs`, else to false. Never rejects. */
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
