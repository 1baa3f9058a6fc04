/** Settings of membership and configuration distribution. */
import * as zod from 'zod';

const durationMs = (value: number) => zod.number().positive().default(value);
const count = (value: number) => zod.number().int().nonnegative().default(value);

export const fleetSettingsSchema = zod.object({
	/** Period of the one timer that sends all control messages. */
	tickMs: durationMs(1000),
	/** Heartbeats to random peers in each tick, besides the probe. */
	gossipFanout: count(2),
	/** Peers asked to probe a member that did not answer. */
	indirectProbes: count(3),
	/** Time from suspicion to removal; must exceed the spread of a refutation, about 4 ticks at 41. */
	suspicionMs: durationMs(5000),
	/** Time for which a removed member is remembered, so that old claims do not bring it back. */
	forgetMs: durationMs(600_000),
	/** Silence after which the members of another failure domain are removed. */
	forgetDomainMs: durationMs(1_800_000),
	/** Relays in each failure domain. */
	relayCount: count(2),
	/** Daemons besides the relays that may watch the store when no relay can. */
	spareWatcherCount: count(3),
	/** Daemons that poll each upstream. */
	pollerCount: count(2),
	/** Period of summaries to each other failure domain. */
	summaryMs: durationMs(4000),
	/** Age at which the expected waits of a region expire. */
	regionSummaryLifeMs: durationMs(10_000),
	/** Shortest time between two shared reports of one upstream, unless `leaving` changes. */
	loadPublishMs: durationMs(3000),
	/** An unchanged report is shared again after this time. */
	loadRefreshMs: durationMs(6000),
	/** Maximum duration of one store watch; bounds the time to detect a store that stopped responding. */
	watchWaitMs: durationMs(5000),
	/** Longest random delay before a daemon joins. */
	joinJitterMs: durationMs(500),
	/** Longest random delay before a configuration is pulled from a peer of the same domain. */
	pullJitterMs: durationMs(300),
	/** Shortest time before a member without the relay role reads from another domain or the store. */
	selfHelpMs: durationMs(2500),
	/** Period of heartbeats to removed members. */
	reconnectMs: durationMs(5000),
	/** Period of the check of seeds and VM list. */
	candidateCheckMs: durationMs(30_000),
	/** Answers per second to each of `config.pull` and `members.sync`; further calls get `busy`. */
	maxAnswersPerSecond: count(20),
	/** Sends the full status in every heartbeat; only to benchmark it against the split status. */
	sendsFullStatus: zod.boolean().default(false),
});
export type FleetSettings = zod.infer<typeof fleetSettingsSchema>;
