/** Settings of the decisions on model runners and plain services. */
import * as setting from '@hawthornfront/decisions/common/setting.js';
import * as zod from 'zod';

export const loadSettingsSchema = zod.object({
	/** Prefill rate of a runner that is also decoding, in prompt tokens per millisecond; from the engines' data sheet. */
	prefillTokensPerMs: setting.number(90, 1, 100_000),
	/** Time to the first event without a queue; from the engines' data sheet. */
	baseFirstEventMs: setting.number(55, 0, 10_000),
	/** Initial estimate of the time of a plain request. */
	initialServiceMs: setting.number(40, 0, 10_000),
	/** Share of a runner's memory that may be allocated; the rest absorbs wrong estimates. */
	usableMemoryShare: setting.share(0.9),
	/** Expected wait when a runner has no slot or memory left. */
	fullRunnerPenaltyMs: setting.number(700, 0, 60_000),
	/** Added to the expected time for each unit of the recent failure rate. */
	failurePenaltyMs: setting.number(3000, 0, 60_000),
	/** Older reports of peers are ignored. */
	peerLoadMaxAgeMs: setting.number(1500, 100, 60_000),
	/** Greatest age of the loads that other daemons report: they are sent every 250 ms and arrive up to one interval late. */
	loadReportAgeMs: setting.number(500, 0, 60_000),
	/** Minimum advantage in expected time of another failure domain, since traffic between domains has a cost. */
	otherDomainMarginMs: setting.number(15, 0, 10_000),
	/** Minimum advantage in expected time of another region, since traffic between regions costs more. */
	otherRegionMarginMs: setting.number(90, 0, 10_000),
	/** Round-trip time between regions plus the processing time of the relaying daemon. */
	regionRoundTripMs: setting.number(120, 0, 10_000),
	/** Work is not sent to another region if its expected local time is within this share of the goal. */
	localGoalShare: setting.share(0.3),
	/** Requests are refused when their expected first event is later than this share of the time left. */
	admissionShare: setting.share(0.9),
	/** Requests are refused when their first event is expected later than this multiple of the goal. */
	admissionGoalFactor: setting.number(1.2, 0.1, 100),
	/**
	 * Share of the time that the goal leaves for waiting from which requests are shed, up to
	 * {@link admissionGoalFactor}. At twice the capacity, the queue grows by the rest of usual
	 * goals before its load is reported.
	 */
	sheddingStartShare: setting.share(0.65),
	/** Least share of a kind's callers that is served, relative to those of all kinds, so that none starves. */
	sheddingMinServedShare: setting.share(0.3),
	/** Initial estimate of the time between two events of a stream. */
	initialEventMs: setting.number(45, 0, 10_000),
	/** Time for which a prompt part that was read is expected to stay cached. */
	cachedPartMs: setting.number(30_000, 0, 600_000),
});
export type LoadSettings = zod.infer<typeof loadSettingsSchema>;
