/**
 * How many slots of an upstream this daemon may use now. Several daemons share
 * an upstream, so what the reports show of the others is subtracted.
 */
import type * as schema from '@hawthornfront/catalogue/common/schema.js';
import type * as schedulerSettings from './scheduler-settings.js';
import type * as upstreamState from './upstream-state.js';

export type SlotQuery = {
	state: upstreamState.UpstreamState;
	workClass: schema.WorkClass;
	nowMs: number;
	/** Share of the slots that may be used; 0 when ejected. */
	share: number;
	/** Whether the upstream is being probed: one unanswered request at a time. */
	isProbing: boolean;
	/** Whether short work was seen recently for the same model. */
	isShortActive: boolean;
	/** Whether the item has waited long enough to compete with other daemons. */
	isStarved: boolean;
};

/** Slots kept free of long work. */
export const reservedSlots = (slots: number, reservedShare: number): number =>
	slots >= 2 ? Math.max(1, Math.floor(slots * reservedShare)) : 0;

/** Slots on top of `slots`, for the queue of the engine. */
export const overCommitSlots = (slots: number, overCommitShare: number): number =>
	Math.floor(slots * overCommitShare);

/** Slots that this daemon may use of an upstream at most, without over-commit. */
export const usableSlots = ({
	state,
	nowMs,
	share,
}: Pick<SlotQuery, 'state' | 'nowMs' | 'share'>): number =>
	share === 0 ? 0 : Math.max(1, Math.floor(state.slots(nowMs) * share));

/** Over-commit never puts short work behind long work in the queue of the engine. */
const mayOverCommit = ({state, workClass, share, isShortActive}: SlotQuery): boolean => {
	if (share < 1) {
		return false;
	}

	return workClass === 'long' ? !isShortActive : state.countOf('long') === 0;
};

/** Whether one more item of the class may be sent to the upstream. */
export const hasFreeSlot = (
	query: SlotQuery,
	settings: schedulerSettings.SchedulerSettings,
): boolean => {
	const {state, workClass, nowMs, isShortActive, isStarved} = query;
	if (query.isProbing) {
		return state.running.size < state.slots(nowMs) && !state.hasUnanswered();
	}

	const usable = usableSlots(query);
	const extra = mayOverCommit(query) ? overCommitSlots(usable, settings.overCommitShare) : 0;
	const own = state.running.size;
	if (own >= usable + extra) {
		return false;
	}

	const reserved = isShortActive ? reservedSlots(usable, settings.reservedShare) : 0;
	const ownLong = state.countOf('long');
	if (workClass === 'long' && ownLong >= usable + extra - reserved) {
		return false;
	}

	// The class of the work of others is not reported; long work is assumed.
	const others = state.others(nowMs);
	const leavesReserve = workClass !== 'long' || ownLong + others < usable + extra - reserved;
	if (own + others < usable + extra && leavesReserve) {
		return true;
	}

	// Daemons that saw the upstream first would keep it full for ever, since each
	// learns of its own free slots before the others do. A starved item therefore
	// competes for a short queue at the engine.
	return isStarved && state.waiting(nowMs) + state.sentSinceReport(nowMs) <= extra;
};
