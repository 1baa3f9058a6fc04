/** Queues the work of one entry daemon and assigns it to the upstreams of its region. */
import type * as clock from '@hawthornfront/base/common/clock.js';
import * as disposable from '@hawthornfront/base/common/disposable.js';
import * as event from '@hawthornfront/base/common/event.js';
import * as gatewayError from '@hawthornfront/base/common/gateway-error.js';
import type * as random from '@hawthornfront/base/common/random.js';
import type * as schema from '@hawthornfront/catalogue/common/schema.js';
import type * as schedulerSettings from './scheduler-settings.js';
import type * as types from './types.js';

export type SchedulerOptions = {
	clock: clock.Clock;
	random: random.Random;
	settings: schedulerSettings.SchedulerSettings;
};

type Waiting = {
	item: types.WorkItem;
	resolve(assignment: types.Assignment): void;
	reject(error: Error): void;
};

const retryAfterMs = 1000;

const refusal = (error: 'overloaded' | 'no-upstream' | 'deadline-exceeded' | 'caller-gone') =>
	new gatewayError.GatewayException({
		kind: error,
		step: 'queued',
		peer: '',
		outcome: 'not-run',
		detail: 'the request left the queue without being sent',
		retryAfterMs,
	});

const serves = (upstream: schema.Upstream, model: string): boolean =>
	upstream.type === 'runner' ? upstream.models.includes(model) : upstream.service === model;

/** Creates a scheduler without upstreams. */
export const createScheduler = ({clock, settings}: SchedulerOptions): types.Scheduler => {
	let upstreams = new Map<string, schema.Upstream>();
	let leaving: ReadonlySet<string> = new Set();
	const reportedLeaving = new Set<string>();
	const inFlight = new Map<string, number>();
	const queue = new Set<Waiting>();
	let firstTokens = 0;
	let tokens = 0;

	const mayServe = (upstream: schema.Upstream, item: types.WorkItem) =>
		serves(upstream, item.model) &&
		!item.excluded.has(upstream.name) &&
		!leaving.has(upstream.name) &&
		!reportedLeaving.has(upstream.name);

	const assign = (upstream: schema.Upstream): types.Assignment => {
		const preempt = event.createEmitter<void>();
		inFlight.set(upstream.name, (inFlight.get(upstream.name) ?? 0) + 1);
		const slot = disposable.toDisposable(() => {
			inFlight.set(upstream.name, inFlight.get(upstream.name)! - 1);
			preempt.dispose();
			drain();
		});
		return {
			upstream,
			onDidPreempt: preempt.event,
			noteFirstToken() {
				firstTokens++;
			},
			noteTokens(count) {
				tokens += count;
			},
			release() {
				slot.dispose();
			},
		};
	};

	const acquireNow = (item: types.WorkItem): types.Assignment | undefined => {
		let best: schema.Upstream | undefined;
		let bestLoad = 1;
		for (const upstream of upstreams.values()) {
			const load = (inFlight.get(upstream.name) ?? 0) / upstream.slots;
			if (mayServe(upstream, item) && load < bestLoad) {
				best = upstream;
				bestLoad = load;
			}
		}

		return best && assign(best);
	};

	const drain = () => {
		for (const waiting of queue) {
			if (![...upstreams.values()].some((upstream) => mayServe(upstream, waiting.item))) {
				waiting.reject(refusal('no-upstream'));
				continue;
			}

			const assignment = acquireNow(waiting.item);
			if (assignment) {
				waiting.resolve(assignment);
			}
		}
	};

	const wait = async (item: types.WorkItem, signal: AbortSignal): Promise<types.Assignment> =>
		new Promise((resolve, reject) => {
			const cleanUp = disposable.createDisposableStore();
			const waiting: Waiting = {
				item,
				resolve(assignment) {
					cleanUp.dispose();
					resolve(assignment);
				},
				reject(error) {
					cleanUp.dispose();
					reject(error);
				},
			};
			const onAbort = () => {
				waiting.reject(refusal('caller-gone'));
			};

			signal.addEventListener('abort', onAbort);
			cleanUp.add(
				disposable.toDisposable(() => {
					signal.removeEventListener('abort', onAbort);
				}),
			);
			cleanUp.add(
				clock.setTimer(() => {
					waiting.reject(refusal('deadline-exceeded'));
				}, item.deadlineAtMs - clock.nowMs()),
			);
			cleanUp.add(disposable.toDisposable(() => queue.delete(waiting)));
			queue.add(waiting);
			drain();
		});

	return {
		setUpstreams(list) {
			upstreams = new Map(list.map((upstream) => [upstream.name, upstream]));
			drain();
		},
		report(upstream, load) {
			if (load.leaving) {
				reportedLeaving.add(upstream);
			} else {
				reportedLeaving.delete(upstream);
			}

			drain();
		},
		setLeaving(names) {
			leaving = names;
			drain();
		},
		async acquire(item, signal) {
			if (signal.aborted) {
				throw refusal('caller-gone');
			}

			if (item.deadlineAtMs <= clock.nowMs()) {
				throw refusal('deadline-exceeded');
			}

			if (queue.size >= settings.maxQueuedItems) {
				throw refusal('overloaded');
			}

			return wait(item, signal);
		},
		acquireNow,
		expectedWaitMs(_workClass, model) {
			const candidates = [...upstreams.values()].filter((upstream) => serves(upstream, model));
			return candidates.length === 0 ? Number.POSITIVE_INFINITY : 0;
		},
		inFlight() {
			let total = 0;
			for (const count of inFlight.values()) {
				total += count;
			}

			return total;
		},
		dump: () => ({
			queued: queue.size,
			firstTokens,
			tokens,
			inFlight: Object.fromEntries(inFlight),
			leaving: [...leaving, ...reportedLeaving],
		}),
		dispose() {
			for (const waiting of queue) {
				waiting.reject(refusal('overloaded'));
			}
		},
	};
};
