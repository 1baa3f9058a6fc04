/** Estimates the work of a request for an upstream. */
import type * as routeConfig from './route-config.js';
import type * as wireFormat from './wire-format.js';

export type WorkEstimate = {
	/** Tokens of the whole prompt; 0 for plain services. */
	promptTokens: number;
	/** Tokens that the request holds in a runner's KV cache when it ends. */
	memoryTokens: number;
	/** Expected output; 0 for plain services. */
	outputTokens: number;
	/** First {@link maxSharedParts} of the prompt parts that other requests may share, in order. */
	sharedParts: readonly wireFormat.PromptPart[];
	/** Whether it is processed before work of higher rank. */
	isUrgent: boolean;
};

/** Callers choose how many parts they list; the first ones are shared most. */
export const maxSharedParts = 64;

/** Estimates a request from its caller's facts and its route, whose rank orders the requests of teams with equal ranks. */
export const estimateWork = (
	facts: wireFormat.RequestFacts,
	{rank}: Pick<routeConfig.Route, 'rank'>,
): WorkEstimate => {
	const partTokens = facts.promptParts.reduce((sum, part) => sum + part.tokens, 0);
	const promptTokens = Math.max(facts.promptTokens, partTokens);
	const outputTokens = Math.min(
		facts.maxOutputTokens,
		facts.expectedOutputTokens ?? facts.maxOutputTokens,
	);
	return {
		promptTokens,
		memoryTokens: promptTokens + outputTokens,
		outputTokens,
		sharedParts: facts.promptParts.slice(0, -1).slice(0, maxSharedParts),
		isUrgent: rank === 0,
	};
};
