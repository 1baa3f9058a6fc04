/**
 * Budget of the tokens that stopped streams compute again. Without it, a rising
 * load stops ever more streams and computes ever more again.
 */
import type * as schedulerSettings from './scheduler-settings.js';

export type RecomputeBudget = {
	/** Earns for assigned work. */
	noteAssigned(tokens: number): void;
	/** Takes the tokens of one stream; false when the budget does not cover them. */
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
