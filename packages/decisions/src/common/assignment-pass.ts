/**
 * Remembers during one pass over a queue for which kinds of items there is a
 * free slot. Without this, a full queue looks at every upstream for every item.
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

/** One pass; nothing but this pass may take slots while it is in use. */
export type AssignmentPass = {
	canAssign(waiting: modelQueue.WaitingItem): boolean;
	/** Takes a slot for the item; the caller takes it out of the queue. */
	assignItem(waiting: modelQueue.WaitingItem): types.Assignment | undefined;
};

/** Starts a pass. */
export const createAssignmentPass = ({
	clock,
	pool,
	assign,
}: AssignmentPassOptions): AssignmentPass => {
	const known = new Map<string, boolean>();
	const isStarved = (waiting: modelQueue.WaitingItem) => clock.nowMs() >= waiting.starvedAtMs;
	const kindOf = (waiting: modelQueue.WaitingItem) => `${waiting.workClass}/${isStarved(waiting)}`;

	const canPlace = (waiting: modelQueue.WaitingItem): boolean => {
		const kind = kindOf(waiting);
		// What is blocked for all is blocked for an item that excludes upstreams too.
		const isKnown = known.get(kind);
		if (isKnown === false || (isKnown && waiting.item.excluded.size === 0)) {
			return isKnown;
		}

		const isPlaceable = pool.canAssign(waiting.item, isStarved(waiting));
		if (waiting.item.excluded.size === 0) {
			known.set(kind, isPlaceable);
		}

		return isPlaceable;
	};

	return {
		canAssign: canPlace,
		assignItem(waiting) {
			const assignment = canPlace(waiting) ? assign(waiting.item, isStarved(waiting)) : undefined;
			// Slots are only taken during a pass, so what is blocked stays blocked.
			for (const [kind, isPlaceable] of assignment ? known : []) {
				if (isPlaceable) {
					known.delete(kind);
				}
			}

			return assignment;
		},
	};
};
