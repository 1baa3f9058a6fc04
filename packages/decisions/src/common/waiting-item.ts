/** A queued item that ends its wait at its deadline or when its caller aborts. */
import type * as clock from '@hawthornfront/base/common/clock.js';
import * as disposable from '@hawthornfront/base/common/disposable.js';
import type * as modelQueue from './model-queue.js';
import * as refusal from './refusal.js';
import type * as types from './types.js';

export type WaitingItemOptions = {
	clock: clock.Clock;
	item: types.WorkItem;
	signal: AbortSignal;
	starvedAfterMs: number;
	onExpire(): void;
	/** Called exactly once, when the item is assigned or rejected. */
	onSettle(waiting: modelQueue.WaitingItem): void;
};

/** Creates the item. Its deadline timer and abort signal reject it without a pass over the queue. */
export const createWaitingItem = (
	options: WaitingItemOptions,
): {waiting: modelQueue.WaitingItem; promise: Promise<types.Assignment>} => {
	const {clock, item, signal} = options;
	const cleanUp = disposable.createDisposableStore();
	let resolvePromise: (assignment: types.Assignment) => void;
	let rejectPromise: (error: Error) => void;
	const promise = new Promise<types.Assignment>((resolve, reject) => {
		resolvePromise = resolve;
		rejectPromise = reject;
	});
	const nowMs = clock.nowMs();
	const waiting: modelQueue.WaitingItem = {
		workClass: item.workClass,
		team: item.team,
		weight: item.weight ?? 1,
		cost: item.estimatedTokens,
		item,
		enqueuedAtMs: nowMs,
		starvedAtMs: nowMs + options.starvedAfterMs,
		resolve(assignment) {
			cleanUp.dispose();
			resolvePromise(assignment);
		},
		reject(error) {
			cleanUp.dispose();
			rejectPromise(error);
		},
	};
	const onAbort = () => {
		waiting.reject(refusal.createRefusal('caller-gone', 0));
	};

	signal.addEventListener('abort', onAbort, {once: true});
	cleanUp.add(
		disposable.toDisposable(() => {
			signal.removeEventListener('abort', onAbort);
		}),
	);
	const timer = clock.setTimer(() => {
		options.onExpire();
		waiting.reject(refusal.createRefusal('deadline-exceeded', 0));
	}, item.deadlineAtMs - nowMs);
	cleanUp.add(timer);
	cleanUp.add(
		disposable.toDisposable(() => {
			options.onSettle(waiting);
		}),
	);
	return {waiting, promise};
};
