/**
 * Retry budget per class of work. Each request adds a fraction of a retry, so a failing
 * upstream raises the load by at most that fraction.
 */
import type * as clock from '@hawthornfront/base/common/clock.js';
import type * as schema from '@hawthornfront/catalogue/common/schema.js';
import * as zod from 'zod';
import * as setting from './setting.js';
import * as tokenBucket from './token-bucket.js';

export const retryBudgetSettingsSchema = zod.object({
	/** Retries earned per request. */
	retryShare: setting.share(0.1),
	/** Retries per second that are allowed without traffic. */
	minimumRetriesPerSecond: setting.number(0.5, 0, 1000),
	/** Maximum accumulated budget of retries. */
	maxSavedRetries: setting.number(20, 1, 100_000),
});
export type RetryBudgetSettings = zod.infer<typeof retryBudgetSettingsSchema>;

export type RetryBudget = {
	/** Adds to the budget; called once per request, not per attempt. */
	noteRequest(workClass: schema.WorkClass): void;
	/** Spends one retry; returns false when the budget is exhausted. */
	tryRetry(workClass: schema.WorkClass): boolean;
	/** Retries that were refused since the start. */
	refused(): number;
};

/** Creates a full budget for every class. */
export const createRetryBudget = (
	clock: clock.Clock,
	settings: RetryBudgetSettings,
): RetryBudget => {
	const createBucket = () =>
		tokenBucket.createTokenBucket(
			settings.minimumRetriesPerSecond,
			settings.maxSavedRetries,
			clock.nowMs(),
		);
	const buckets: Record<schema.WorkClass, tokenBucket.TokenBucket> = {
		short: createBucket(),
		long: createBucket(),
		service: createBucket(),
	};
	let refused = 0;
	return {
		noteRequest(workClass) {
			buckets[workClass].take(-settings.retryShare, clock.nowMs());
		},
		tryRetry(workClass) {
			if (buckets[workClass].waitMs(1, clock.nowMs()) > 0) {
				refused++;
				return false;
			}

			buckets[workClass].take(1, clock.nowMs());
			return true;
		},
		refused: () => refused,
	};
};
