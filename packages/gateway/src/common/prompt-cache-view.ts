/**
 * Pattern: many requests share long prompt parts, and each runner reads a part
 * again unless it holds it. Keeps which parts this daemon has sent to which
 * runner, and names a preferred runner a part that all daemons agree on.
 */
import * as hash from '@hawthornfront/decisions/common/hash.js';
import * as lruCache from 'lru-cache';
import type * as wireFormat from './wire-format.js';

/** Parts remembered a runner; a runner's memory holds fewer long ones. */
const maxPartsPerRunner = 1000;
/** Confidence that the preferred runner holds a part that other daemons sent. */
const preferredConfidence = 0.7;

export type PromptCacheView = {
	/** Tokens of the shared parts that a runner is expected to hold. */
	heldTokens(runner: string, parts: readonly wireFormat.PromptPart[], preferred?: string): number;
	noteSent(runner: string, parts: readonly wireFormat.PromptPart[]): void;
	/** Runner that all daemons prefer for a chain of parts. */
	preferredRunner(
		parts: readonly wireFormat.PromptPart[],
		runners: readonly string[],
	): string | undefined;
	forget(runner: string): void;
};

/** @param heldMs time for which a part is expected to stay after its last use */
export const createPromptCacheView = (nowMs: () => number, heldMs: number): PromptCacheView => {
	const runners = new Map<string, lruCache.LRUCache<string, number>>();
	return {
		heldTokens(runner, parts, preferred) {
			const sent = runners.get(runner);
			const oldestMs = nowMs() - heldMs;
			const confidence = runner === preferred ? preferredConfidence : 0;
			let tokens = 0;
			let isChainSent = true;
			for (const part of parts) {
				// A part is held only where all parts before it are held too.
				isChainSent &&= (sent?.get(part.id) ?? Number.NEGATIVE_INFINITY) > oldestMs;
				if (!isChainSent && confidence === 0) {
					break;
				}

				tokens += isChainSent ? part.tokens : part.tokens * confidence;
			}

			return tokens;
		},
		noteSent(runner, parts) {
			let sent = runners.get(runner);
			if (!sent) {
				sent = new lruCache.LRUCache({max: maxPartsPerRunner});
				runners.set(runner, sent);
			}

			for (const part of parts) {
				sent.set(part.id, nowMs());
			}
		},
		preferredRunner(parts, names) {
			const last = parts.at(-1);
			if (!last) {
				return undefined;
			}

			let best: string | undefined;
			let bestRank = Number.NEGATIVE_INFINITY;
			for (const name of names) {
				const rank = hash.rank(last.id, name);
				if (rank > bestRank) {
					best = name;
					bestRank = rank;
				}
			}

			return best;
		},
		forget(runner) {
			runners.delete(runner);
		},
	};
};
