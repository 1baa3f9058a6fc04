/** Logs and counts the bodies, answers and heads that gave way, one line for each kind and interval. */
import * as metrics from '@hawthornfront/base/node/metrics.js';
import type * as gatewayEvent from '../common/gateway-event.js';
import type * as memoryBudget from '../common/memory-budget.js';

export type GaveWayLog = {
	/** Call it at regular intervals and before the process ends. */
	flush(): void;
};

export const createGaveWayLog = (
	budget: memoryBudget.MemoryBudget,
	log: gatewayEvent.EventLog,
	registry: metrics.Registry,
): GaveWayLog => {
	const counter = metrics.createCounter(
		registry,
		'hawthornfront_gave_way_total',
		'Bodies, answers and heads that gave way to others because their memory is bounded',
		['what'],
	);
	return {
		flush() {
			for (const {what, count, bytes} of budget.takeGaveWay()) {
				counter.inc({what}, count);
				const heldBytes = budget.bodyBytes + budget.answerBytes;
				log.note({kind: 'gave-way', what, count, bytes, heldBytes, limitBytes: budget.limitBytes});
			}
		},
	};
};
