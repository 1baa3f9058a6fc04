/** Repeats a step without overlap. */
import type * as clock from '@hawthornfront/base/common/clock.js';
import * as disposable from '@hawthornfront/base/common/disposable.js';

/** Runs a step that never rejects again and again; the pause counts from the end of a run. */
export const repeat = (
	timeSource: clock.Clock,
	pauseMs: number,
	step: () => Promise<void>,
): disposable.Disposable => {
	let isDisposed = false;
	let timer = timeSource.setTimer(onTimer, 0);

	async function run() {
		await step();
		if (!isDisposed) {
			timer = timeSource.setTimer(onTimer, pauseMs);
		}
	}

	function onTimer() {
		void run();
	}

	return disposable.toDisposable(() => {
		isDisposed = true;
		timer.dispose();
	});
};
