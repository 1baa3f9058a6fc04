/** Settings of the scheduler. Units are in the names; shares are between 0 and 1. */
import * as zod from 'zod';
import * as ejectionSettings from './ejection-settings.js';
import * as setting from './setting.js';

export const schedulerSettingsSchema = zod.object({
	/** Items that may wait in all queues of one daemon. */
	maxQueuedItems: setting.number(2000, 1, 1_000_000),
	/** Share of these that one team may hold. */
	maxQueueSharePerTeam: setting.share(0.5),
	/** Tokens that a flow of weight 1 gets per round of the deficit round robin. */
	quantumTokens: setting.number(500, 1, 1_000_000),
	shortWeight: setting.number(4, 0.01, 1000),
	longWeight: setting.number(1, 0.01, 1000),
	serviceWeight: setting.number(4, 0.01, 1000),
	/** Items per team that are looked at when the first ones exclude the free upstreams. */
	lookAheadItems: setting.number(8, 1, 1000),
	/** How often conditions that change with time are looked at while work is queued. */
	tickMs: setting.number(50, 1, 10_000),

	/** Share of the slots of each upstream that long work leaves to short work. */
	reservedShare: setting.share(0.4),
	/** Without short work for this time, nothing is reserved. */
	reserveForMs: setting.number(60_000, 0, 86_400_000),
	/** Share of slots given on top, so that the queue of the engine is not empty. */
	overCommitShare: setting.share(0.1),
	/** Wait after which an item competes for an upstream that other daemons keep full. */
	starvedAfterMs: setting.number(200, 0, 60_000),
	/** The same for long work, which would keep the upstream full for longer. */
	starvedLongAfterMs: setting.number(20_000, 0, 600_000),

	/** Wait of a short item after which a long stream makes room. */
	preemptAfterMs: setting.number(1500, 0, 60_000),
	/** A long stream runs at least this long before it makes room. */
	minimumRunMs: setting.number(2000, 0, 600_000),
	/** How often one request makes room. */
	maxPreemptions: setting.number(1, 0, 100),
	/** Tokens that may be computed again for stopped streams, per token of assigned work. */
	maxRecomputedShare: setting.share(0.03),
	/** Tokens of that budget that can be saved up; the budget starts full. */
	maxSavedRecomputedTokens: setting.number(10_000, 0, 100_000_000),

	/** How often the streams on ejected upstreams are looked at. */
	moveEveryMs: setting.number(100, 1, 60_000),
	/** Streams moved per look, so that they do not fill the other upstreams at once. */
	maxMovesAtOnce: setting.number(2, 0, 1000),
	/**
	 * Streams with more tokens to compute again are not moved. In experiments, moving them
	 * raised the tokens computed by about 3% and the latency of short work.
	 */
	maxMovedTokens: setting.number(1000, 0, 100_000_000),
	/** Stops of any kind after which a request is not moved. */
	maxMoves: setting.number(3, 0, 100),

	/** Delay between the observation and the receipt of a load report. */
	reportLagMs: setting.number(300, 0, 60_000),
	/** Reports that are older than this are not used. */
	reportMaxAgeMs: setting.number(5000, 1, 600_000),
	/** Weight of the newest observation in learned times. */
	learningRate: setting.share(0.2),
	/** Without observations, learned times return half of the way to the initial ones in this time. */
	forgetHalfLifeMs: setting.number(10_000, 1, 3_600_000),
	/** Assumed until the first observation. */
	initialFirstTokenMs: setting.number(200, 0, 60_000),
	initialTokenMs: setting.number(30, 0, 60_000),
	/** Part of the work ahead of an item in the same batch that counts as delay; 1 is a plain queue. */
	crowdingFactor: setting.share(0.5),
	/** Assumed cost of a request for a model that the runner does not report as loaded. */
	modelLoadMs: setting.number(5000, 0, 600_000),
	/** Share of the first-token time that a cached prefix saves. */
	affinitySavingShare: setting.share(0.6),
	/** Load relative to the mean up to which affinity counts. */
	affinityLoadFactor: setting.number(1.25, 1, 100),
	/** Up to this many free upstreams are all compared; of more, two random ones are. */
	maxScannedUpstreams: setting.number(16, 2, 10_000),

	/** A runner that is new starts with this share of its slots and gets all after `rampMs`. */
	rampInitialShare: setting.number(0.25, 0.01, 1),
	rampMs: setting.number(20_000, 0, 3_600_000),

	ejection: ejectionSettings.ejectionSettingsSchema.prefault({}),
});
export type SchedulerSettings = zod.infer<typeof schedulerSettingsSchema>;
