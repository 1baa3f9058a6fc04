/** Queues the requests of one entry daemon and assigns them to the upstreams of its region. */
import type * as clock from '@hawthornfront/base/common/clock.js';
import type * as disposable from '@hawthornfront/base/common/disposable.js';
import type * as random from '@hawthornfront/base/common/random.js';
import * as modelQueue from './model-queue.js';
import * as streamMigrator from './stream-migrator.js';
import * as assignmentPass from './assignment-pass.js';
import * as preemptorModule from './preemptor.js';
import * as recomputeBudget from './recompute-budget.js';
import * as refusal from './refusal.js';
import type * as schedulerSettings from './scheduler-settings.js';
import type * as types from './types.js';
import * as upstreamPool from './upstream-pool.js';
import * as waitingItem from './waiting-item.js';

export type SchedulerOptions = {
	clock: clock.Clock;
	random: random.Random;
	settings: schedulerSettings.SchedulerSettings;
};

/** Creates a scheduler without upstreams. */
export const createScheduler = (options: SchedulerOptions): types.Scheduler => {
	const {clock, random, settings} = options;
	const pool = upstreamPool.createUpstreamPool(options);
	const modelQueues = new Map<string, modelQueue.ModelQueue>();
	const queuedByTeam = new Map<string, number>();
	const budget = recomputeBudget.createRecomputeBudget(settings);
	const preemptor = preemptorModule.createPreemptor({clock, pool, settings, budget});
	const migrator = streamMigrator.createStreamMigrator({clock, pool, settings, budget});
	const counters = {assigned: 0, overloaded: 0, expired: 0};
	let queued = 0;
	let timer: disposable.Disposable | undefined;
	let isDisposed = false;
	let isDraining = false;
	let isDrainRequested = false;

	const modelQueueOf = (model: string): modelQueue.ModelQueue => {
		const known = modelQueues.get(model);
		if (known) {
			return known;
		}

		const created = modelQueue.createModelQueue(model, settings);
		modelQueues.set(model, created);
		return created;
	};

	const countQueued = (team: string, change: number) => {
		queued += change;
		const count = (queuedByTeam.get(team) ?? 0) + change;
		if (count === 0) {
			queuedByTeam.delete(team);
		} else {
			queuedByTeam.set(team, count);
		}
	};

	const assign = (item: types.WorkItem, starved: boolean) => {
		const assignment = pool.assign(item, starved);
		if (assignment) {
			counters.assigned++;
			budget.noteAssigned(item.estimatedTokens);
			if (item.canBeMigrated) {
				migrator.start();
			}
		}

		return assignment;
	};

	/** Assigns overdue short items first, so that no long item takes the slot of a preempted stream. */
	const assignOverdue = (current: modelQueue.ModelQueue) => {
		const overdueSinceMs = clock.nowMs() - settings.preemptAfterMs;
		const pass = assignmentPass.createAssignmentPass({clock, pool, assign});
		for (const waiting of current.shortItems()) {
			if (waiting.enqueuedAtMs > overdueSinceMs) {
				return;
			}

			const assignment = pass.assignItem(waiting);
			if (assignment) {
				current.queue.remove(waiting, true);
				waiting.resolve(assignment);
			}
		}
	};

	const assignInTurn = ({queue}: modelQueue.ModelQueue) => {
		const pass = assignmentPass.createAssignmentPass({clock, pool, assign});
		for (;;) {
			const waiting = queue.take(pass.canAssign);
			if (!waiting) {
				return;
			}

			const assignment = pass.assignItem(waiting);
			if (!assignment) {
				// Back into the queue: an item that is neither queued nor assigned would wait until its deadline.
				queue.push(waiting, true);
				return;
			}

			waiting.resolve(assignment);
		}
	};

	const rejectUnservable = () => {
		for (const {queue} of modelQueues.values()) {
			for (const waiting of queue.allItems()) {
				if (!pool.isServable(waiting.item)) {
					waiting.reject(refusal.createRefusal('no-upstream', 0));
				}
			}
		}
	};

	/** Needed after a pause of the process, when slots may become free before the deadline timers fire. */
	const rejectExpired = ({queue}: modelQueue.ModelQueue) => {
		for (const waiting of queue.allItems()) {
			if (waiting.item.deadlineAtMs <= clock.nowMs()) {
				counters.expired++;
				waiting.reject(refusal.createRefusal('deadline-exceeded', 0));
			}
		}
	};

	const schedule = (nextAtMs: number) => {
		timer?.dispose();
		timer = undefined;
		const tickAtMs = queued > 0 ? clock.nowMs() + settings.tickMs : Number.POSITIVE_INFINITY;
		const atMs = Math.min(nextAtMs, tickAtMs);
		if (Number.isFinite(atMs) && !isDisposed) {
			timer = clock.setTimer(drain, Math.max(1, atMs - clock.nowMs()));
		}
	};

	const drainOnce = () => {
		const busy = [...modelQueues.values()].filter(({queue}) => queue.size() > 0);
		for (const current of busy) {
			rejectExpired(current);
			assignOverdue(current);
		}

		// Starts at a random model, so that no model always comes first on shared upstreams.
		const first = busy.length > 1 ? random.integer(0, busy.length - 1) : 0;
		for (const current of [...busy.slice(first), ...busy.slice(0, first)]) {
			assignInTurn(current);
		}

		schedule(preemptor.run(busy));
	};

	/** Runs further passes if a listener of `onDidPreempt` releases its slot during a pass. */
	function drain() {
		isDrainRequested = true;
		if (isDraining) {
			return;
		}

		isDraining = true;
		while (isDrainRequested) {
			isDrainRequested = false;
			drainOnce();
		}

		isDraining = false;
	}

	const subscription = pool.onDidRelease((running) => {
		modelQueueOf(running.item.model).noteServed(running, clock.nowMs());
		drain();
	});

	const changeUpstreams = (change: () => void) => {
		change();
		rejectUnservable();
		drain();
	};

	const expectedWaitMs: types.Scheduler['expectedWaitMs'] = (workClass, model) =>
		(modelQueues.get(model) ?? modelQueue.createModelQueue(model, settings)).expectedWaitMs(
			workClass,
			pool,
			clock.nowMs(),
		);

	const checkAdmission = (item: types.WorkItem, signal: AbortSignal) => {
		if (isDisposed) {
			throw refusal.createRefusal('stopping', 0);
		}

		if (signal.aborted) {
			throw refusal.createRefusal('caller-gone', 0);
		}

		if (item.deadlineAtMs <= clock.nowMs()) {
			counters.expired++;
			throw refusal.createRefusal('deadline-exceeded', 0);
		}

		if (!pool.isServable(item)) {
			throw refusal.createRefusal('no-upstream', settings.tickMs);
		}

		// A preempted request was admitted before, so the queue limits do not apply again.
		if ((item.preemptions ?? 0) > 0) {
			return;
		}

		const ofTeam = queuedByTeam.get(item.team) ?? 0;
		const teamLimit = Math.max(1, settings.maxQueuedItems * settings.maxQueueSharePerTeam);
		if (queued >= settings.maxQueuedItems || ofTeam >= teamLimit) {
			counters.overloaded++;
			throw refusal.createRefusal('overloaded', expectedWaitMs(item.workClass, item.model));
		}
	};

	/** Assigns a slot without queueing, unless items of the same model and class already wait. */
	const assignNow = (item: types.WorkItem) => {
		const waiting = modelQueues.get(item.model)?.queue.count(item.workClass) ?? 0;
		return waiting > 0 ? undefined : assign(item, false);
	};

	const enqueue = async (item: types.WorkItem, signal: AbortSignal): Promise<types.Assignment> => {
		const {queue} = modelQueueOf(item.model);
		const afterMs =
			item.workClass === 'long' ? settings.starvedLongAfterMs : settings.starvedAfterMs;
		// Jitter keeps daemons whose items starve at the same time from sending all at once.
		const starvedAfterMs = afterMs * (0.5 + random.next());
		const {waiting, promise} = waitingItem.createWaitingItem({
			clock,
			item,
			signal,
			starvedAfterMs,
			onExpire() {
				counters.expired++;
			},
			onSettle(settled) {
				queue.remove(settled, false);
				countQueued(item.team, -1);
			},
		});
		countQueued(item.team, 1);
		queue.push(waiting, (item.preemptions ?? 0) > 0);
		drain();
		return promise;
	};

	return {
		setUpstreams(upstreams) {
			changeUpstreams(() => {
				pool.setUpstreams(upstreams);
			});
		},
		report(upstream, load) {
			const isLeavingChanged = pool.report(upstream, load);
			if (isLeavingChanged) {
				rejectUnservable();
			}

			// Reports are frequent; the pass is skipped when there is nothing to assign.
			if (queued > 0) {
				drain();
			}
		},
		setLeaving(upstreams) {
			changeUpstreams(() => {
				pool.setLeaving(upstreams);
			});
		},
		async acquire(item, signal) {
			checkAdmission(item, signal);
			if (item.workClass === 'short') {
				pool.noteShort(item.model);
			}

			const assignment = assignNow(item);
			if (!assignment) {
				return enqueue(item, signal);
			}

			if (queued > 0) {
				drain();
			} else {
				schedule(preemptor.run([]));
			}

			return assignment;
		},
		acquireNow: (item) =>
			item.deadlineAtMs <= clock.nowMs() || isDisposed ? undefined : assignNow(item),
		expectedWaitMs,
		inFlight: () => pool.inFlight(),
		dump: () => ({
			...counters,
			preempted: preemptor.count(),
			moved: migrator.count(),
			queued,
			inFlight: pool.inFlight(),
			lanes: [...modelQueues.values()].map(({model, queue}) => ({
				model,
				short: queue.count('short'),
				long: queue.count('long'),
				service: queue.count('service'),
			})),
			pool: pool.dump(),
		}),
		dispose() {
			isDisposed = true;
			timer?.dispose();
			migrator.dispose();
			subscription.dispose();
			for (const {queue} of modelQueues.values()) {
				for (const waiting of queue.allItems()) {
					waiting.reject(refusal.createRefusal('stopping', 0));
				}
			}

			pool.dispose();
		},
	};
};
