/**
 * Computes how many slots of an upstream this daemon may use. Several daemons share an
 * upstream, so the slots that other daemons use, as reported, are subtracted.
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
	/** Whether short work arrived recently for the same model. */
	isShortActive: boolean;
	/** Whether the item has waited long enough to compete with other daemons. */
	isStarved: boolean;
};

/** Slots that long work may not use. */
export const reservedSlots = (slots: number, reservedShare: number): number =>
	slots >= 2 ? Math.max(1, Math.floor(slots * reservedShare)) : 0;

/** Requests sent beyond `slots`, to keep the queue of the engine from running empty. */
export const overCommitSlots = (slots: number, overCommitShare: number): number =>
	Math.floor(slots * overCommitShare);

/** Slots that this daemon may use of an upstream at most, without over-commit. */
export const usableSlots = ({
	state,
	nowMs,
	share,
}: Pick<SlotQuery, 'state' | 'nowMs' | 'share'>): number =>
	share === 0 ? 0 : Math.max(1, Math.floor(state.slots(nowMs) * share));

/** Prevents short work from queueing behind long work in the engine due to over-commit. */
const canOverCommit = ({state, workClass, share, isShortActive}: SlotQuery): boolean => {
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
	const extra = canOverCommit(query) ? overCommitSlots(usable, settings.overCommitShare) : 0;
	const own = state.running.size;
	if (own >= usable + extra) {
		return false;
	}

	const reserved = isShortActive ? reservedSlots(usable, settings.reservedShare) : 0;
	const ownLong = state.countOf('long');
	if (workClass === 'long' && ownLong >= usable + extra - reserved) {
		return false;
	}

	// Reports do not contain the class of other daemons' work; it is assumed to be long.
	const others = state.others(nowMs);
	const isReserveFree = workClass !== 'long' || ownLong + others < usable + extra - reserved;
	if (own + others < usable + extra && isReserveFree) {
		return true;
	}

	// Each daemon learns of the slots that it frees before the others do, so the daemons that
	// first used the upstream could keep it full forever. A starved item may therefore be sent
	// to a full upstream whose engine queue is short.
	return isStarved && state.waiting(nowMs) + state.sentSinceReport(nowMs) <= extra;
};
