/** Executes the plans of `preemption`: marks the streams and notifies their owners. */
import type * as clock from '@hawthornfront/base/common/clock.js';
import type * as modelQueue from './model-queue.js';
import * as preemption from './preemption.js';
import type * as recomputeBudget from './recompute-budget.js';
import type * as schedulerSettings from './scheduler-settings.js';
import type * as upstreamPool from './upstream-pool.js';
import type * as upstreamState from './upstream-state.js';

export type PreemptorOptions = {
	clock: clock.Clock;
	pool: upstreamPool.UpstreamPool;
	settings: schedulerSettings.SchedulerSettings;
	budget: recomputeBudget.RecomputeBudget;
};

export type Preemptor = {
	/** Preempts streams for overdue items. Returns the time of the next run; Infinity when nothing is due. */
	run(modelQueues: readonly modelQueue.ModelQueue[]): number;
	/** Streams preempted since the start. */
	count(): number;
};

/** Creates a preemptor. */
export const createPreemptor = ({clock, pool, settings, budget}: PreemptorOptions): Preemptor => {
	let count = 0;

	/** Whether some candidate can resume the stream; its own upstream may be leaving. */
	const isResumable = ({item}: upstreamState.Running): boolean =>
		pool
			.candidates(item.model)
			.some(({upstream}) => upstream.resumesStreams && !item.excluded.has(upstream.name));

	const executePlan = ({victims: planned, nextAtMs}: preemption.PreemptionPlan): number => {
		const victims = planned.filter(
			(victim) => isResumable(victim) && budget.tryTake(preemption.recomputedTokens(victim)),
		);
		// All victims are marked first, since a listener may release its slot at once and trigger the next plan.
		for (const victim of victims) {
			victim.isPreempted = true;
			count++;
		}

		for (const victim of victims) {
			victim.preempt.fire();
		}

		return nextAtMs ?? Number.POSITIVE_INFINITY;
	};

	return {
		run(modelQueues) {
			const shared = {usableSlots: pool.usableSlots, nowMs: clock.nowMs(), settings};
			let nextAtMs = executePlan(
				preemption.planStuckPreemptions({...shared, upstreams: pool.all()}),
			);
			for (const current of modelQueues) {
				const plan = preemption.planPreemptions({
					...shared,
					waiting: current.shortItems(),
					upstreams: pool.candidates(current.model),
				});
				nextAtMs = Math.min(nextAtMs, executePlan(plan));
			}

			return nextAtMs;
		},
		count: () => count,
	};
};
