/**
 * Counts the daemons that may use a part of the shared retry budget. A member that was lost
 * may be cut off and still be sending, so it counts for longer than its heartbeats. A daemon
 * that has just started does not know the other members, nor what it sent before. One that
 * was started while it is cut off does not learn of them until it hears of the store.
 */
import type * as fleetView from './fleet-view.js';

export type BudgetSharers = {
	/** Applies a change of the fleet. */
	noteMember(
		change: Pick<fleetView.MemberChange, 'kind'> & {
			member: {name: string; failureDomain: string};
		},
	): void;
	/** Notes that the store answered this daemon, or a peer that it hears: other members become known. */
	noteStoreReached(): void;
	/** Daemons including this one; infinite in the first window after the start, and while the others cannot be known. */
	count(): number;
	/** The other daemons that count. */
	members(): Sharer[];
};

export type Sharer = {name: string; failureDomain: string};

/** A lost member counts for this long, which exceeds the usual cuts between regions. */
const lostMemberMs = 600_000;
/** Time in which all members become known once the store was reached. */
const membersKnownMs = 2000;
/** Limit of the members that count; more make the part of a daemon no smaller. */
export const maxSharers = 4096;

/**
 * Creates the count of a daemon that starts now.
 *
 * @param windowMs window of the retry budget
 */
export const createBudgetSharers = (nowMs: () => number, windowMs: () => number): BudgetSharers => {
	const startedAtMs = nowMs();
	let storeReachedAtMs = Number.POSITIVE_INFINITY;
	/** Until when each other member counts. */
	const countedUntilMs = new Map<string, {failureDomain: string; untilMs: number}>();

	const forgetOld = () => {
		for (const [name, {untilMs}] of countedUntilMs) {
			if (untilMs <= nowMs()) {
				countedUntilMs.delete(name);
			}
		}
	};

	return {
		noteMember({kind, member: {name, failureDomain}}) {
			const keptMs = {
				joined: Number.POSITIVE_INFINITY,
				restarted: Number.POSITIVE_INFINITY,
				left: windowMs(),
				lost: lostMemberMs,
			}[kind];
			if (countedUntilMs.has(name) || countedUntilMs.size < maxSharers) {
				countedUntilMs.set(name, {failureDomain, untilMs: nowMs() + keptMs});
			}
		},
		noteStoreReached() {
			storeReachedAtMs = Math.min(storeReachedAtMs, nowMs());
		},
		count() {
			if (nowMs() < Math.max(startedAtMs + windowMs(), storeReachedAtMs + membersKnownMs)) {
				return Number.POSITIVE_INFINITY;
			}

			forgetOld();
			return 1 + countedUntilMs.size;
		},
		members() {
			forgetOld();
			return [...countedUntilMs].map(([name, {failureDomain}]) => ({name, failureDomain}));
		},
	};
};
