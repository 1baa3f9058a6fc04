/**
 * Many requests share long prompt parts, and a runner must prefill a part again
 * unless its KV cache holds it. Records which parts this daemon and its peers sent to
 * which runner, and chooses for each part a preferred runner that is the same on all
 * daemons.
 */
import * as hash from '@hawthornfront/decisions/common/hash.js';
import * as lruCache from 'lru-cache';
import type * as wireFormat from './wire-format.js';

/** Limit of tracked parts; the runners of a large deployment hold about as many. */
const maxParts = 20_000;
/** Confidence that the preferred runner holds a part that other daemons sent. */
const preferredConfidence = 0.7;

/** A prompt prefix that a runner was sent, identified by its last part. */
export type SentPromptPrefix = {partId: string; runner: string};

export type PromptCacheView = {
	/** Tokens of the shared parts that a runner is expected to hold. */
	heldTokens(runner: string, parts: readonly wireFormat.PromptPart[], preferred?: string): number;
	/** Runners that are expected to hold most of the shared parts, and how many tokens they hold. */
	holders(parts: readonly wireFormat.PromptPart[]): {runners: string[]; tokens: number};
	/** Records a prefix that this daemon sends, to be gossiped. */
	noteSent(runner: string, parts: readonly wireFormat.PromptPart[]): void;
	/** Records a prefix that another daemon sent. */
	notePeerSent(prefix: SentPromptPrefix): void;
	/** Prefixes that this daemon sent since the last call; only the newest ones if they exceed one message. */
	takeSent(): SentPromptPrefix[];
	/** Runner that all daemons prefer for a prefix. */
	preferredRunner(
		parts: readonly wireFormat.PromptPart[],
		runners: readonly string[],
	): string | undefined;
	forget(runner: string): void;
};

/** Limit of prefixes in one gossip message; a datagram holds about as many. */
const maxGossipedPrefixes = 40;

/** @param heldMs time for which a part is expected to stay after its last use */
export const createPromptCacheView = (nowMs: () => number, heldMs: number): PromptCacheView => {
	/** Runners by the part that they were sent, with the time of the last send. */
	const runnersByPart = new lruCache.LRUCache<string, Map<string, number>>({max: maxParts});
	const ungossiped = new Map<string, SentPromptPrefix>();
	/** Times at which prefixes were last given to gossip; peers expect them to be held for longer. */
	const gossipedAtMs = new lruCache.LRUCache<string, number>({max: maxParts});

	const note = (runner: string, partId: string) => {
		let runners = runnersByPart.get(partId);
		if (!runners) {
			runners = new Map();
			runnersByPart.set(partId, runners);
		}

		runners.set(runner, nowMs());
	};

	return {
		heldTokens(runner, parts, preferred) {
			const oldestMs = nowMs() - heldMs;
			const confidence = runner === preferred ? preferredConfidence : 0;
			const total = parts.reduce((sum, part) => sum + part.tokens, 0);
			// A runner that was sent a part was sent all parts before it.
			let tokens = total;
			for (let index = parts.length - 1; index >= 0; index--) {
				const {id, tokens: partTokens} = parts[index]!;
				if ((runnersByPart.get(id)?.get(runner) ?? Number.NEGATIVE_INFINITY) > oldestMs) {
					return tokens + (total - tokens) * confidence;
				}

				tokens -= partTokens;
			}

			return total * confidence;
		},
		holders(parts) {
			const oldestMs = nowMs() - heldMs;
			let tokens = parts.reduce((sum, part) => sum + part.tokens, 0);
			for (let index = parts.length - 1; index >= 0; index--) {
				const {id, tokens: partTokens} = parts[index]!;
				const sentAt = runnersByPart.get(id) ?? new Map<string, number>();
				const runners = [...sentAt].filter(([, atMs]) => atMs > oldestMs).map(([name]) => name);
				if (runners.length > 0) {
					return {runners, tokens};
				}

				tokens -= partTokens;
			}

			return {runners: [], tokens: 0};
		},
		noteSent(runner, parts) {
			const partId = parts.at(-1)?.id;
			const sentAtMs = partId === undefined ? undefined : gossipedAtMs.get(`${partId} ${runner}`);
			for (const part of parts) {
				note(runner, part.id);
			}

			if (partId !== undefined && (sentAtMs === undefined || sentAtMs < nowMs() - heldMs / 3)) {
				gossipedAtMs.set(`${partId} ${runner}`, nowMs());
				ungossiped.delete(partId);
				ungossiped.set(partId, {partId, runner});
			}
		},
		notePeerSent({partId, runner}) {
			note(runner, partId);
		},
		takeSent() {
			const prefixes = [...ungossiped.values()].slice(-maxGossipedPrefixes);
			ungossiped.clear();
			return prefixes;
		},
		preferredRunner(parts, names) {
			const last = parts.at(-1);
			if (!last) {
				return undefined;
			}

			let best: string | undefined;
			let bestRank = Number.NEGATIVE_INFINITY;
			for (const name of names) {
				const rank = hash.uniform(last.id, name);
				if (rank > bestRank) {
					best = name;
					bestRank = rank;
				}
			}

			return best;
		},
		forget(runner) {
			for (const runners of runnersByPart.values()) {
				runners.delete(runner);
			}
		},
	};
};
