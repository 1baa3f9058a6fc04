/** Settings, requests, faults and counts of the runner stand-in. */
import type * as batchPlan from './batch-plan.js';
import type * as lagged from './lagged.js';
import type * as runnerOrders from './runner-orders.js';
import type * as tokens from './tokens.js';

export type RunnerSettings = batchPlan.BatchTimes &
	runnerOrders.OrderSettings & {
		/** Sequences processed at once. */
		slots: number;
		/** Memory of the prefix cache, in blocks of `tokensPerBlock` tokens. */
		cacheBlocks: number;
		/** Tokens that may wait for a slow reader before its sequence pauses. */
		maxBufferedTokens: number;
		/** Cache events that are kept for readers; 0 keeps none. */
		maxCacheEvents: number;
		/** Delay of load reports. */
		loadLagMs: number;
	};

export const defaultRunnerSettings: RunnerSettings = {
	slots: 8,
	prefillMsPerToken: 0.25,
	decodeMsPerToken: 20,
	batchGrowth: 0.04,
	prefillTokensPerStep: 512,
	maxIterationsPerStep: 1,
	cacheBlocks: 512,
	maxBufferedTokens: 64,
	maxCacheEvents: 4096,
	loadLagMs: 500,
	model: 'model',
	role: 'mixed',
	loadMs: 5000,
	checksFencing: true,
};

export type GenerationRequest = {
	requestId: string;
	model: string;
	prompt: tokens.Prompt;
	/** Length of the whole answer. */
	outputTokens: number;
	finishReason: 'stop' | 'length';
	/** Lower values first. */
	priority: number;
	resumeFromToken: number;
};

export type RunnerFaults = lagged.CacheEventFaults & {
	/** Multiplies all computing times. */
	slowFactor: number;
	/** Accepts requests and makes no progress. */
	hang: boolean;
	/** Reports itself as leaving; it still accepts work and counts it. */
	leaving: boolean;
	/** Refuses new requests. */
	refuse: boolean;
};

export type RunnerCounts = {
	received: number;
	receivedWhileLeaving: number;
	refused: number;
	/** Times that each request id got a slot. */
	executions: Map<string, number>;
	answered: number;
	cancelled: number;
	tokensGenerated: number;
	prefillTokensComputed: number;
	prefillTokensCached: number;
	/** Time for which slots were held, summed over the slots. */
	readonly busySlotMs: number;
};

export type RunnerLoad = {
	running: number;
	waiting: number;
	slots: number;
	leaving: boolean;
	model: string;
	role: string;
	/** Time of the observation on the clock of the runner. */
	observedAtMs: number;
};
