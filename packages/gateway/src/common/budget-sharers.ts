/**
 * Counts the daemons that may use a part of the shared retry budget. A member that was lost
 * may be cut off and still be sending, so it counts for longer than its heartbeats. A daemon
 * that has just started does not know the other members, nor what it sent before.
 */
import type * as fleetView from './fleet-view.js';

export type BudgetSharers = {
	/** Applies a change of the fleet. */
	noteMember(change: Pick<fleetView.MemberChange, 'kind'> & {member: {name: string}}): void;
	/** Daemons including this one; infinite in the first window after the start. */
	count(): number;
};

/** A lost member counts for this long, which exceeds the usual cuts between regions. */
const lostMemberMs = 600_000;

/**
 * Creates the count of a daemon that starts now.
 *
 * @param windowMs window of the retry budget
 */
export const createBudgetSharers = (nowMs: () => number, windowMs: () => number): BudgetSharers => {
	const startedAtMs = nowMs();
	/** Until when each other member counts. */
	const countedUntilMs = new Map<string, number>();
	return {
		noteMember({kind, member: {name}}) {
			const keptMs = {
				joined: Number.POSITIVE_INFINITY,
				restarted: Number.POSITIVE_INFINITY,
				left: windowMs(),
				lost: lostMemberMs,
			}[kind];
			countedUntilMs.set(name, nowMs() + keptMs);
		},
		count() {
			if (nowMs() - startedAtMs < windowMs()) {
				return Number.POSITIVE_INFINITY;
			}

			for (const [name, untilMs] of countedUntilMs) {
				if (untilMs <= nowMs()) {
					countedUntilMs.delete(name);
				}
			}

			return 1 + countedUntilMs.size;
		},
	};
};
