/** Settings of the ejection of slow upstreams. */
import * as zod from 'zod';
import * as setting from './setting.js';

export const ejectionSettingsSchema = zod.object({
	/** Ratio to the median of the peers above which an upstream is an outlier. */
	outlierRatio: setting.number(3, 1, 1000),
	/** Minimum difference to the median of the peers for an outlier in first-token latency. */
	minimumExcessMs: setting.number(250, 0, 600_000),
	/** Minimum difference to the median of the peers for an outlier in the time between tokens. */
	minimumTokenExcessMs: setting.number(20, 0, 600_000),
	/**
	 * Ratio of the newest token intervals to the median of the peers that ejects at once.
	 * It must exceed about 6: a step with a part of the prefill of a long prompt takes
	 * about 6 times as long as a step without, which is not a slowdown.
	 */
	suddenRatio: setting.number(8, 1, 1000),
	/** Maximum age of the newest token intervals. */
	suddenWindowMs: setting.number(3000, 1, 600_000),
	/** Recent samples that a median requires. */
	minimumSamples: setting.number(4, 1, 1000),
	windowSamples: setting.number(16, 1, 1000),
	windowMs: setting.number(15_000, 1, 3_600_000),
	/** Consecutive failures that eject an upstream. */
	maxConsecutiveFailures: setting.number(5, 1, 1000),
	/** Upper limit of the ejected share of the upstreams of a model. */
	maxEjectedShare: setting.number(1 / 3, 0, 1),
	/** Duration of the first ejection; each consecutive one lasts twice as long. */
	backOffMs: setting.number(3000, 1, 3_600_000),
	maxBackOffMs: setting.number(60_000, 1, 3_600_000),
	/** If no request arrives to probe with for this time, the return starts without a probe. */
	maxProbeWaitMs: setting.number(10_000, 1, 3_600_000),
	/** Share of slots right after a successful probe, and time until all slots are used. */
	returnShare: setting.number(0.25, 0.01, 1),
	returnMs: setting.number(10_000, 0, 3_600_000),
	/** Minimum interval between two evaluations. */
	evaluateEveryMs: setting.number(100, 0, 60_000),
});
export type EjectionSettings = zod.infer<typeof ejectionSettingsSchema>;
