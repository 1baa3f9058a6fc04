/**
 * Decides when a hedged request is sent because the first attempt is late. The delay
 * is a learned quantile of the latency of the class, so only the slowest requests are
 * hedged. A budget bounds the extra load.
 */
import type * as clock from '@hawthornfront/base/common/clock.js';
import type * as schema from '@hawthornfront/catalogue/common/schema.js';
import * as hdrHistogram from 'hdr-histogram-js';
import * as zod from 'zod';
import * as setting from './setting.js';

export const hedgeSettingsSchema = zod.object({
	/** Quantile of the latency to the first token after which the second attempt is sent. */
	quantile: setting.share(0.95),
	/** Hedges per request at most. */
	budgetShare: setting.share(0.05),
	/** Maximum accumulated budget of hedges. */
	maxSavedHedges: setting.number(10, 1, 100_000),
	minimumDelayMs: setting.number(20, 0, 60_000),
	maximumDelayMs: setting.number(5000, 1, 600_000),
	/** Delay until enough samples are known. */
	initialDelayMs: setting.number(1000, 1, 600_000),
	minimumSamples: setting.number(20, 1, 100_000),
	/** Samples are kept for one to two times this long. */
	windowMs: setting.number(60_000, 1, 3_600_000),
});
export type HedgeSettings = zod.infer<typeof hedgeSettingsSchema>;

/** Attributes of a request that determine whether it may be hedged. */
export type HedgeCandidate = {workClass: schema.WorkClass; isIdempotent: boolean};

export type HedgePolicy = {
	/** Adds to the budget; called once per request. */
	noteRequest(candidate: HedgeCandidate): void;
	/** Latency of an attempt from its dispatch to its first token, or its age when it was cancelled without one. */
	noteLatency(workClass: schema.WorkClass, durationMs: number): void;
	/** Delay before the second attempt; undefined when the request must not be hedged. */
	delayMs(candidate: HedgeCandidate): number | undefined;
	/** Spends one hedge; returns false when the budget is exhausted. */
	tryHedge(workClass: schema.WorkClass): boolean;
	/** Hedges sent and refused since the start. */
	counts(): {sent: number; refused: number};
};

type LatencyHistory = {
	current: hdrHistogram.Histogram;
	previous: hdrHistogram.Histogram;
	startedAtMs: number;
	saved: number;
};

const highestLatencyMs = 600_000;

const createHistogram = () =>
	hdrHistogram.build({
		bitBucketSize: 32,
		highestTrackableValue: highestLatencyMs,
		numberOfSignificantValueDigits: 2,
	});

const isHedgeable = ({workClass, isIdempotent}: HedgeCandidate) =>
	isIdempotent && workClass !== 'long';

/** Creates a policy without samples and with an empty budget. */
export const createHedgePolicy = (clock: clock.Clock, settings: HedgeSettings): HedgePolicy => {
	const createLatencyHistory = (): LatencyHistory => ({
		current: createHistogram(),
		previous: createHistogram(),
		startedAtMs: clock.nowMs(),
		saved: 0,
	});
	const byClass: Record<schema.WorkClass, LatencyHistory> = {
		short: createLatencyHistory(),
		long: createLatencyHistory(),
		service: createLatencyHistory(),
	};
	let sent = 0;
	let refused = 0;

	const rotate = (histories: LatencyHistory) => {
		const ageMs = clock.nowMs() - histories.startedAtMs;
		if (ageMs < settings.windowMs) {
			return;
		}

		[histories.current, histories.previous] = [histories.previous, histories.current];
		histories.current.reset();
		if (ageMs >= 2 * settings.windowMs) {
			histories.previous.reset();
		}

		histories.startedAtMs = clock.nowMs();
	};

	const learnedMs = (histories: LatencyHistory): number | undefined => {
		rotate(histories);
		const {current, previous} = histories;
		if (current.totalCount + previous.totalCount < settings.minimumSamples) {
			return undefined;
		}

		// The window with more samples decides; right after a change that is the previous one.
		const larger = current.totalCount >= previous.totalCount ? current : previous;
		return larger.getValueAtPercentile(settings.quantile * 100);
	};

	return {
		noteRequest(candidate) {
			if (isHedgeable(candidate)) {
				const histories = byClass[candidate.workClass];
				histories.saved = Math.min(settings.maxSavedHedges, histories.saved + settings.budgetShare);
			}
		},
		noteLatency(workClass, durationMs) {
			const histories = byClass[workClass];
			rotate(histories);
			const valueMs = Math.min(highestLatencyMs, Math.max(0, Math.round(durationMs)));
			histories.current.recordValue(valueMs);
		},
		delayMs(candidate) {
			if (!isHedgeable(candidate)) {
				return undefined;
			}

			const delayMs = learnedMs(byClass[candidate.workClass]) ?? settings.initialDelayMs;
			return Math.min(settings.maximumDelayMs, Math.max(settings.minimumDelayMs, delayMs));
		},
		tryHedge(workClass) {
			const histories = byClass[workClass];
			// Tolerates the rounding error of many additions of a small share.
			if (workClass === 'long' || histories.saved < 1 - 1e-9) {
				refused++;
				return false;
			}

			histories.saved -= 1;
			sent++;
			return true;
		},
		counts: () => ({sent, refused}),
	};
};
