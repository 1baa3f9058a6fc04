/** Settings of the ejection of slow upstreams. */
import * as zod from 'zod';
import * as setting from './setting.js';

export const ejectionSettingsSchema = zod.object({
	/** Ratio to the median of the peers above which an upstream is an outlier. */
	outlierRatio: setting.number(3, 1, 1000),
	/** Difference to the median of the peers below which first-token latency never counts. */
	minimumExcessMs: setting.number(250, 0, 600_000),
	/** The same for the time between tokens. */
	minimumTokenExcessMs: setting.number(20, 0, 600_000),
	/**
	 * Ratio of the newest token intervals to the median of the peers that ejects at once.
	 * With the times of the experiments, a step that computes a part of a long prompt
	 * takes about 6 times as long as one without, which is no slowdown.
	 */
	suddenRatio: setting.number(8, 1, 1000),
	/** Age up to which token intervals are the newest. */
	suddenWindowMs: setting.number(3000, 1, 600_000),
	/** Samples that must be recent before a median counts. */
	minimumSamples: setting.number(4, 1, 1000),
	windowSamples: setting.number(16, 1, 1000),
	windowMs: setting.number(15_000, 1, 3_600_000),
	/** Failures in a row that eject. */
	maxConsecutiveFailures: setting.number(5, 1, 1000),
	/** Upper limit of the ejected share of the upstreams of a model. */
	maxEjectedShare: setting.number(1 / 3, 0, 1),
	/** First ejection; each further one in a row lasts twice as long. */
	backOffMs: setting.number(3000, 1, 3_600_000),
	maxBackOffMs: setting.number(60_000, 1, 3_600_000),
	/** Without a request to probe with for this time, the return starts without a probe. */
	maxProbeWaitMs: setting.number(10_000, 1, 3_600_000),
	/** Share of slots right after a good probe, and time until all slots are used. */
	returnShare: setting.number(0.25, 0.01, 1),
	returnMs: setting.number(10_000, 0, 3_600_000),
	/** Pause between two evaluations. */
	evaluateEveryMs: setting.number(100, 0, 60_000),
});
export type EjectionSettings = zod.infer<typeof ejectionSettingsSchema>;
