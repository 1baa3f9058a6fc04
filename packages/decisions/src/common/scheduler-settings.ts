/** Settings of the scheduler. Units are in the names; shares are between 0 and 1. */
import * as zod from 'zod';
import * as ejectionSettings from './ejection-settings.js';
import * as setting from './setting.js';

export const schedulerSettingsSchema = zod.object({
	/** Maximum number of items in all queues of one daemon. */
	maxQueuedItems: setting.number(2000, 1, 1_000_000),
	/** Share of these that one team may hold. */
	maxQueueSharePerTeam: setting.share(0.5),
	/** Tokens that a flow of weight 1 gets per round of the deficit round robin. */
	quantumTokens: setting.number(500, 1, 1_000_000),
	shortWeight: setting.number(4, 0.01, 1000),
	longWeight: setting.number(1, 0.01, 1000),
	serviceWeight: setting.number(4, 0.01, 1000),
	/** Items per team that are checked when the first ones exclude the free upstreams. */
	lookAheadItems: setting.number(8, 1, 1000),
	/** Interval of the checks of time-dependent conditions while work is queued. */
	tickMs: setting.number(50, 1, 10_000),

	/** Share of the slots of each upstream that long work leaves to short work. */
	reservedShare: setting.share(0.4),
	/** Without short work for this time, nothing is reserved. */
	reserveForMs: setting.number(60_000, 0, 86_400_000),
	/** Share of slots added by over-commit, so that the queue of the engine does not run empty. */
	overCommitShare: setting.share(0.1),
	/** Wait after which an item competes for an upstream that other daemons keep full. */
	starvedAfterMs: setting.number(200, 0, 60_000),
	/** The same for long work, which would keep the upstream full for longer. */
	starvedLongAfterMs: setting.number(20_000, 0, 600_000),

	/** Wait of a short item after which a long stream is preempted. */
	preemptAfterMs: setting.number(1500, 0, 60_000),
	/** Minimum run time of a long stream before it may be preempted. */
	minimumRunMs: setting.number(2000, 0, 600_000),
	/** Maximum number of preemptions of one request. */
	maxPreemptions: setting.number(1, 0, 100),
	/** Tokens that may be recomputed for stopped streams, per token of assigned work. */
	maxRecomputedShare: setting.share(0.03),
	/** Maximum accumulated budget of recomputed tokens; the budget starts full. */
	maxSavedRecomputedTokens: setting.number(10_000, 0, 100_000_000),

	/** Interval of the checks for streams to migrate from ejected upstreams. */
	moveEveryMs: setting.number(100, 1, 60_000),
	/** Streams migrated per check, so that they do not fill the other upstreams at once. */
	maxMovesAtOnce: setting.number(2, 0, 1000),
	/**
	 * Streams with more tokens to recompute are not migrated. Migrating them raised the
	 * computed tokens by about 3% and also the latency of short work.
	 */
	maxMovedTokens: setting.number(1000, 0, 100_000_000),
	/** Preemptions and migrations after which a request is not migrated again. */
	maxMoves: setting.number(3, 0, 100),

	/** Delay between the observation and the receipt of a load report. */
	reportLagMs: setting.number(300, 0, 60_000),
	/** Reports that are older than this are not used. */
	reportMaxAgeMs: setting.number(5000, 1, 600_000),
	/** Weight of the newest observation in learned times. */
	learningRate: setting.share(0.2),
	/** Half-life of learned times without observations; they decay to the initial ones. */
	forgetHalfLifeMs: setting.number(10_000, 1, 3_600_000),
	/** Initial values of the learned times. */
	initialFirstTokenMs: setting.number(200, 0, 60_000),
	initialTokenMs: setting.number(30, 0, 60_000),
	/** Fraction of the work ahead of an item that delays it; 1 is a queue without batching. */
	crowdingFactor: setting.share(0.5),
	/** Assumed cost of a request for a model that the runner does not report as loaded. */
	modelLoadMs: setting.number(5000, 0, 600_000),
	/** Share of the first-token time that a cached prefix saves. */
	affinitySavingShare: setting.share(0.6),
	/** Load relative to the mean up to which affinity counts. */
	affinityLoadFactor: setting.number(1.25, 1, 100),
	/** Maximum number of free upstreams that are all compared; of more, only two random ones are. */
	maxScannedUpstreams: setting.number(16, 2, 10_000),

	/** Slow start: a new runner starts with this share of its slots and reaches all after `rampMs`. */
	rampInitialShare: setting.number(0.25, 0.01, 1),
	rampMs: setting.number(20_000, 0, 3_600_000),

	ejection: ejectionSettings.ejectionSettingsSchema.prefault({}),
});
export type SchedulerSettings = zod.infer<typeof schedulerSettingsSchema>;
