/** Prompts of the experiments, described by lengths and block hashes instead of text. */
import type * as runnerTypes from '@hawthornfront/standins/common/runner-types.js';
import * as tokens from '@hawthornfront/standins/common/tokens.js';
import type * as workload from './workload.js';

/** Model that all runners of the experiments serve. */
export const modelName = 'model';

/** Settings that keep virtual time fast; without a slowdown they do not change any time of the model. */
export const runnerSettings: Partial<runnerTypes.RunnerSettings> = {
	maxIterationsPerStep: 64,
	maxBufferedTokens: 1_000_000,
	maxCacheEvents: 0,
};

/** Start of the prompt that the requests of a team and class share. */
export const sharedPrefix = (request: workload.WorkRequest): string =>
	`${request.team}/${request.workClass}`;

/** Prompt of a request. Blocks of the shared part have the same hashes in every request. */
export const promptOf = (request: workload.WorkRequest): tokens.Prompt => {
	const shared = tokens.hashText(sharedPrefix(request));
	const own = tokens.hashText(request.id);
	const total = request.sharedPromptTokens + request.ownPromptTokens;
	const blocks = Math.floor(total / tokens.tokensPerBlock);
	const sharedBlocks = Math.floor(request.sharedPromptTokens / tokens.tokensPerBlock);
	const prefixBlocks = Array.from({length: blocks}, (_, index) =>
		tokens.mix(index < sharedBlocks ? shared : own, index),
	);
	return {digest: own, tokens: total, prefixBlocks};
};

/** Prompt tokens that must be computed even by one cache that never forgets. */
export const firstPrefillTokens = (work: readonly workload.WorkRequest[]): number => {
	const seen = new Set<string>();
	let total = 0;
	for (const request of work) {
		const prefix = sharedPrefix(request);
		const cacheable =
			Math.floor(request.sharedPromptTokens / tokens.tokensPerBlock) * tokens.tokensPerBlock;
		total += request.sharedPromptTokens + request.ownPromptTokens;
		total -= seen.has(prefix) ? cacheable : 0;
		seen.add(prefix);
	}

	return total;
};
