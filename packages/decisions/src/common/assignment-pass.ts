/**
 * Caches during one pass over a queue for which kinds of items a slot is free.
 * Without the cache, a full queue would check every upstream for every item.
 */
import type * as clock from '@hawthornfront/base/common/clock.js';
import type * as modelQueue from './model-queue.js';
import type * as types from './types.js';
import type * as upstreamPool from './upstream-pool.js';

export type AssignmentPassOptions = {
	clock: clock.Clock;
	pool: upstreamPool.UpstreamPool;
	assign(item: types.WorkItem, isStarved: boolean): types.Assignment | undefined;
};

/** One pass over a queue; nothing else may take slots during the pass. */
export type AssignmentPass = {
	canAssign(waiting: modelQueue.WaitingItem): boolean;
	/** Takes a slot for the item; the caller removes the item from the queue. */
	assignItem(waiting: modelQueue.WaitingItem): types.Assignment | undefined;
};

export const createAssignmentPass = ({
	clock,
	pool,
	assign,
}: AssignmentPassOptions): AssignmentPass => {
	const isAssignableByKind = new Map<string, boolean>();
	const isStarved = (waiting: modelQueue.WaitingItem) => clock.nowMs() >= waiting.starvedAtMs;
	const kindOf = (waiting: modelQueue.WaitingItem) => `${waiting.workClass}/${isStarved(waiting)}`;

	const canAssign = (waiting: modelQueue.WaitingItem): boolean => {
		const kind = kindOf(waiting);
		// If no slot is free for items without exclusions, none is free for an item with exclusions.
		const isKnown = isAssignableByKind.get(kind);
		if (isKnown === false || (isKnown && waiting.item.excluded.size === 0)) {
			return isKnown;
		}

		const isAssignable = pool.canAssign(waiting.item, isStarved(waiting));
		if (waiting.item.excluded.size === 0) {
			isAssignableByKind.set(kind, isAssignable);
		}

		return isAssignable;
	};

	return {
		canAssign,
		assignItem(waiting) {
			const assignment = canAssign(waiting) ? assign(waiting.item, isStarved(waiting)) : undefined;
			// No slot is released during a pass, so negative results stay valid.
			for (const [kind, isAssignable] of assignment ? isAssignableByKind : []) {
				if (isAssignable) {
					isAssignableByKind.delete(kind);
				}
			}

			return assignment;
		},
	};
};
