/** The queue of one model and its learned time per token. */
import type * as schema from '@hawthornfront/catalogue/common/schema.js';
import * as decayingEstimate from './decaying-estimate.js';
import type * as schedulerSettings from './scheduler-settings.js';
import type * as types from './types.js';
import type * as upstreamPool from './upstream-pool.js';
import type * as upstreamState from './upstream-state.js';
import * as workQueue from './work-queue.js';

/** An item in the queue. Resolving or rejecting it removes it. */
export type WaitingItem = workQueue.QueueItem & {
	readonly item: types.WorkItem;
	readonly enqueuedAtMs: number;
	/** Time from which the item competes for upstreams that other daemons keep full. */
	readonly starvedAtMs: number;
	resolve(assignment: types.Assignment): void;
	reject(error: Error): void;
};

export type ModelQueue = {
	readonly model: string;
	readonly queue: workQueue.WorkQueue<WaitingItem>;
	/** Short items in the queue, oldest first. */
	shortItems(): WaitingItem[];
	noteServed(running: upstreamState.Running, nowMs: number): void;
	expectedWaitMs(
		workClass: schema.WorkClass,
		pool: upstreamPool.UpstreamPool,
		nowMs: number,
	): number;
};

const classesAhead: Record<schema.WorkClass, readonly schema.WorkClass[]> = {
	short: ['short'],
	service: ['service'],
	long: ['short', 'long'],
};

export const createModelQueue = (
	model: string,
	settings: schedulerSettings.SchedulerSettings,
): ModelQueue => {
	const queue = workQueue.createWorkQueue<WaitingItem>({
		quantumTokens: settings.quantumTokens,
		classWeights: {
			short: settings.shortWeight,
			long: settings.longWeight,
			service: settings.serviceWeight,
		},
		lookAhead: settings.lookAheadItems,
	});
	const msPerToken = decayingEstimate.createDecayingEstimate({
		initial: settings.initialTokenMs,
		learningRate: settings.learningRate,
		halfLifeMs: settings.forgetHalfLifeMs,
	});

	const queuedTokens = (workClass: schema.WorkClass): number => {
		let tokens = 0;
		for (const ahead of classesAhead[workClass]) {
			for (const {cost} of queue.items(ahead)) {
				tokens += cost;
			}
		}

		return tokens;
	};

	const oldestWaitMs = (workClass: schema.WorkClass, nowMs: number): number => {
		let waitMs = 0;
		for (const {enqueuedAtMs} of queue.items(workClass)) {
			waitMs = Math.max(waitMs, nowMs - enqueuedAtMs);
		}

		return waitMs;
	};

	return {
		model,
		queue,
		shortItems: () => queue.items('short'),
		noteServed({item, startedAtMs}, nowMs) {
			msPerToken.add((nowMs - startedAtMs) / Math.max(1, item.estimatedTokens), nowMs);
		},
		expectedWaitMs(workClass, pool, nowMs) {
			const states = pool.candidates(model);
			if (states.length === 0) {
				return Number.POSITIVE_INFINITY;
			}

			const isFree = pool.hasFreeSlot(model, workClass);
			if (isFree && queue.count(workClass) === 0) {
				return 0;
			}

			let running = 0;
			let outstandingTokens = 0;
			for (const state of states) {
				running += state.running.size;
				outstandingTokens += state.outstandingTokens();
			}

			// The slots in use serve the queue in parallel. The first becomes free after
			// its share of the outstanding tokens.
			const servers = Math.max(1, running);
			const tokensAhead = queuedTokens(workClass) + (isFree ? 0 : outstandingTokens / servers);
			const estimatedMs = (tokensAhead / servers) * msPerToken.value(nowMs);
			return Math.max(estimatedMs, oldestWaitMs(workClass, nowMs));
		},
	};
};
