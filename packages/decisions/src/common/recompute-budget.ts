/**
 * Budget of the tokens that preempted and migrated streams recompute. Without it, a rising
 * load would preempt more and more streams, and recomputing them would raise the load further.
 */
import type * as schedulerSettings from './scheduler-settings.js';

export type RecomputeBudget = {
	/** Adds a share of the tokens of assigned work to the budget. */
	noteAssigned(tokens: number): void;
	/** Spends the tokens of one stream; returns false when the budget does not cover them. */
	tryTake(tokens: number): boolean;
};

/** Creates a full budget. */
export const createRecomputeBudget = (
	settings: schedulerSettings.SchedulerSettings,
): RecomputeBudget => {
	let savedTokens = settings.maxSavedRecomputedTokens;
	return {
		noteAssigned(tokens) {
			savedTokens = Math.min(
				settings.maxSavedRecomputedTokens,
				savedTokens + tokens * settings.maxRecomputedShare,
			);
		},
		tryTake(tokens) {
			if (tokens > savedTokens) {
				return false;
			}

			savedTokens -= tokens;
			return true;
		},
	};
};
