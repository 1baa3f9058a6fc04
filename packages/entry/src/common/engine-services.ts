/** What the request engine needs from the rest of the daemon. */
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

/** Permission to use a part of the team's limits. */
export type Admission = {
	/** Replaces the estimated tokens by the actual ones. */
	settle(actualTokens: number): void;
	release(): void;
};

/** Limits of teams and entries at this daemon. */
export type Limits = {
	/** @throws GatewayException `over-limit` with the time after which to try again. */
	admit(team: schema.Team, entry: schema.Entry, estimatedTokens: number): Admission;
};

/** What decides whether a request may be repeated. */
export type RepetitionCandidate = {workClass: schema.WorkClass; isIdempotent: boolean};

/** Decisions about repeated attempts. */
export type Repetition = {
	/** Earns budget for a request; called once per request. */
	noteRequest(candidate: RepetitionCandidate): void;
	/** Delay of a second attempt; undefined when the request must not be hedged. */
	hedgeDelayMs(candidate: RepetitionCandidate): number | undefined;
	/** Takes one hedge from the budget; false when it is used up. */
	tryHedge(workClass: schema.WorkClass): boolean;
	/** Takes one retry from the budget of the class; false when it is used up. */
	tryRetry(workClass: schema.WorkClass): boolean;
	/** Time from dispatch to the first token, or the age of an attempt cancelled without one. */
	noteLatency(workClass: schema.WorkClass, durationMs: number): void;
};

/** A daemon of another region that takes work over. */
export type RemoteDaemon = {
	region: string;
	address: string;
};

export type RegionQuestion = {
	item: types.WorkItem;
	isBound: boolean;
	/** Crossings that the request made already. */
	crossings: number;
	promptBytes: number;
	promptTokens: number;
};

/** Choice of another region for unbound work. */
export type RegionChoice = {
	/** Undefined when the work should stay. */
	choose(question: RegionQuestion): RemoteDaemon | undefined;
};

/** Learned output lengths. */
export type OutputEstimator = {
	estimateTokens(team: string, workClass: schema.WorkClass, maxTokens: number): number;
	noteTokens(team: string, workClass: schema.WorkClass, tokens: number): void;
};

/** Who can run a request under a key. */
export type KeyOwner =
	| {kind: 'self'}
	/** The owner is alive elsewhere in this region: the request goes to it. */
	| {kind: 'other'; address: string}
	/** The owner is gone, or in another region: only the outcome can be found out. */
	| {kind: 'gone'};

/** Execution of non-idempotent requests at most once. */
export type KeyedExecution = {
	/** Issues keys for the entry list. */
	issue(count: number): string[];
	/** @throws GatewayException `key-unknown` when the system did not issue the key. */
	ownerOf(key: string): KeyOwner;
	/** Runs the request here, or repeats what is known. @throws GatewayException with the outcome. */
	run(
		key: string,
		fingerprint: string,
		execute: (markSent: () => () => void) => Promise<serviceAnswer.WholeAnswer>,
		/** Waits for a slot before anything is recorded about the request. */
		prepare: () => Promise<void>,
	): Promise<serviceAnswer.WholeAnswer>;
	/**
	 * Refuses a key of this daemon for good; undefined when a request under it was
	 * received before, so that only `run` can tell its outcome.
	 */
	refuse(key: string, fingerprint: string): {freshKey: string} | undefined;
	/** The stored answer of a request whose owner is gone. @throws GatewayException with the outcome. */
	resolve(key: string, fingerprint: string): Promise<serviceAnswer.WholeAnswer>;
	/** Keyed requests by outcome since the start, from the owner's side. */
	outcomes(): Record<gatewayError.Outcome, number>;
	/** Hands records over at a planned stop. */
	handOff(): Promise<void>;
	/** State without any content of requests. */
	dump(): unknown;
};

/** Counters of the engine; implementations label by class and outcome only, never by content. */
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
	/** Name of this deployment in `CDN-Loop` headers. */
	cdnLoopIdentifier: string;
	clock: clock.Clock;
	digests: authorisation.Digests;
	/** Headers that prove membership of the cluster to other daemons. */
	clusterHeaders: Record<string, string>;
	snapshot(): snapshot.Snapshot;
	isReady(): boolean;
	isStopping(): boolean;
	entryVmsOf(region: string): string[];
	orderedEntryVms(team: string): entryList.EntryList['entries'];
	scheduler: types.Scheduler;
	limits: Limits;
	repetition: Repetition;
	regionChoice: RegionChoice;
	outputEstimator: OutputEstimator;
	keyedExecution: KeyedExecution;
	demand: demandMeter.DemandMeter;
	runnerClient: runnerClient.RunnerClient;
	httpClient: httpClient.HttpClient;
	attemptSettings: attempt.AttemptSettings;
	counters: EngineCounters;
};
