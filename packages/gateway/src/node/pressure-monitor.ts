/** Measures how busy the event loop is, and starts to refuse requests when it has no idle time. */
import type * as clock from '@hawthornfront/base/common/clock.js';
import type * as disposable from '@hawthornfront/base/common/disposable.js';
import * as processorPressure from '../common/processor-pressure.js';

const intervalMs = 250;

export type PressureMonitor = disposable.Disposable &
	Pick<processorPressure.ProcessorPressure, 'mustRefuse'>;

/** @param options `isServing`: a daemon that starts is busy too, but has no requests to refuse */
export const startPressureMonitor = (
	options: {clock: clock.Clock; isServing(): boolean} & Parameters<
		typeof processorPressure.createProcessorPressure
	>[0],
): PressureMonitor => {
	const pressure = processorPressure.createProcessorPressure(options);
	let last = performance.eventLoopUtilization();
	const timer = options.clock.setPeriodicTimer(() => {
		const before = last;
		last = performance.eventLoopUtilization();
		const {utilization} = performance.eventLoopUtilization(last, before);
		pressure.noteInterval(options.isServing() ? utilization : 0);
	}, intervalMs);
	return {
		mustRefuse: pressure.mustRefuse,
		dispose() {
			timer.dispose();
		},
	};
};
