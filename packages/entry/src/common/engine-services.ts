/** Interfaces through which the request engine uses the rest of the daemon. */
import type * as clock from '@hawthornfront/base/common/clock.js';
import type * as gatewayError from '@hawthornfront/base/common/gateway-error.js';
import type * as httpClient from '@hawthornfront/base/common/http-client.js';
import type * as schema from '@hawthornfront/catalogue/common/schema.js';
import type * as snapshot from '@hawthornfront/catalogue/common/snapshot.js';
import type * as types from '@hawthornfront/decisions/common/types.js';
import type * as attempt from './attempt.js';
import type * as authorisation from './authorisation.js';
import type * as demandMeter from './demand-meter.js';
import type * as entryList from './entry-list.js';
import type * as runnerClient from './runner-client.js';
import type * as serviceAnswer from './service-answer.js';

/** Capacity of a team's limits that one request holds. */
export type Admission = {
	/** Replaces the estimated token count by the actual one. */
	settle(actualTokens: number): void;
	release(): void;
};

/** Limits of teams and catalogue entries at this daemon. */
export type Limits = {
	/** @throws GatewayException `over-limit` with the retry delay. */
	admit(team: schema.Team, entry: schema.Entry, estimatedTokens: number): Admission;
};

/** Properties of a request that decide whether it can be hedged or retried. */
export type RetryCandidate = {workClass: schema.WorkClass; isIdempotent: boolean};

/** Decides on hedges and retries within their budgets. */
export type RetryPolicy = {
	/** Adds budget for a request; called once per request. */
	noteRequest(candidate: RetryCandidate): void;
	/** Delay before a hedged attempt; undefined when the request must not be hedged. */
	hedgeDelayMs(candidate: RetryCandidate): number | undefined;
	/** Takes one hedge from the budget; false when the budget is used up. */
	tryHedge(workClass: schema.WorkClass): boolean;
	/** Takes one retry from the budget of the class; false when the budget is used up. */
	tryRetry(workClass: schema.WorkClass): boolean;
	/** Records the time from dispatch to the first token, or to the cancellation of an attempt without a token. */
	noteLatency(workClass: schema.WorkClass, durationMs: number): void;
};

/** A daemon of another region that requests can be sent to. */
export type RemoteDaemon = {
	region: string;
	address: string;
};

export type RemoteRegionQuery = {
	item: types.WorkItem;
	isBound: boolean;
	/** Region crossings of the request so far. */
	crossings: number;
	promptBytes: number;
	promptTokens: number;
};

/** Selects another region for requests that are not bound to a region. */
export type RemoteRegionSelector = {
	/** Undefined when the request should run in this region. */
	choose(query: RemoteRegionQuery): RemoteDaemon | undefined;
};

/** Estimates output lengths from earlier answers. */
export type OutputEstimator = {
	estimateTokens(team: string, workClass: schema.WorkClass, maxTokens: number): number;
	noteTokens(team: string, workClass: schema.WorkClass, tokens: number): void;
};

/** Where the owner of a key is. Only the owner can run a request under the key. */
export type KeyOwner =
	| {kind: 'self'}
	/** The owner is another live daemon of this region; the request is forwarded to it. */
	| {kind: 'other'; address: string}
	/** The owner has failed or is in another region; only the outcome can be resolved. */
	| {kind: 'gone'};

/** At-most-once execution of non-idempotent requests. */
export type KeyedExecution = {
	/** Issues idempotency keys for the entry list. */
	issue(count: number): string[];
	/** @throws GatewayException `key-unknown` when no daemon issued the key. */
	ownerOf(key: string): KeyOwner;
	/** Runs the request here, or replays its recorded answer. @throws GatewayException with the outcome. */
	run(
		key: string,
		fingerprint: string,
		execute: (markSent: () => () => void) => Promise<serviceAnswer.BufferedAnswer>,
		/** Waits for a slot; called before the request is recorded. */
		prepare: () => Promise<void>,
	): Promise<serviceAnswer.BufferedAnswer>;
	/**
	 * Permanently refuses a key that this daemon owns. Returns undefined when a request
	 * under the key was received earlier: then only `run` can determine its outcome.
	 */
	refuse(key: string, fingerprint: string): {freshKey: string} | undefined;
	/** Returns the stored answer of a request whose owner is gone. @throws GatewayException with the outcome. */
	resolve(key: string, fingerprint: string): Promise<serviceAnswer.BufferedAnswer>;
	/** Keyed requests by outcome since start-up, counted at the owner. */
	outcomes(): Record<gatewayError.Outcome, number>;
	/** Transfers key records to other daemons at a planned stop. */
	handOff(): Promise<void>;
	/** State without request contents. */
	dump(): unknown;
};

/** Counters of the engine. Labels are classes, outcomes and regions, never request contents. */
export type EngineCounters = {
	countRequest(workClass: schema.WorkClass | 'none', result: string): void;
	observeFirstToken(workClass: schema.WorkClass, latencyMs: number): void;
	observeAnswer(workClass: schema.WorkClass, latencyMs: number): void;
	countHedge(winner: 'first' | 'second'): void;
	countResume(): void;
	countCrossing(region: string): void;
};

export type EngineServices = {
	region: string;
	/** Identifier of this deployment in `CDN-Loop` headers. */
	cdnLoopIdentifier: string;
	clock: clock.Clock;
	digests: authorisation.Digests;
	/** Headers that authenticate this daemon to other daemons of the cluster. */
	clusterHeaders: Record<string, string>;
	snapshot(): snapshot.Snapshot;
	isReady(): boolean;
	isStopping(): boolean;
	entryVmsOf(region: string): string[];
	orderedEntryVms(team: string): entryList.EntryList['entries'];
	scheduler: types.Scheduler;
	limits: Limits;
	repetition: RetryPolicy;
	regionChoice: RemoteRegionSelector;
	outputEstimator: OutputEstimator;
	keyedExecution: KeyedExecution;
	demand: demandMeter.DemandMeter;
	runnerClient: runnerClient.RunnerClient;
	httpClient: httpClient.HttpClient;
	attemptSettings: attempt.AttemptSettings;
	counters: EngineCounters;
};
