/** Repeats an asynchronous step without overlap. */
import type * as clock from '@hawthornfront/base/common/clock.js';
import * as disposable from '@hawthornfront/base/common/disposable.js';

/** Runs a step repeatedly until disposed; the pause starts at the end of a run. The step must never reject. */
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
