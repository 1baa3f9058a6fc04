/**
 * Many requests share long prompt parts, and a runner must prefill a part again
 * unless its KV cache holds it. Records which parts this daemon and its peers sent to
 * which runner, and chooses for each part a preferred runner that is the same on all
 * daemons.
 */
import * as ownText from '@hawthornfront/base/common/own-text.js';
import * as hash from '@hawthornfront/decisions/common/hash.js';
import * as lruCache from 'lru-cache';
import type * as wireFormat from './wire-format.js';

/** Limit of tracked parts; the runners of a large deployment hold about as many. */
const maxParts = 20_000;
/** Parts with longer ids are not tracked; platforms use 8 to 16 characters. */
export const maxTrackedIdLength = 64;
/** Estimated memory of a tracked part without its id and its runners. */
const partBytes = 400;
/** Estimated memory of one runner of a part. */
const runnerBytes = 72;
const charBytes = 2;
/** Limit of the memory of the tracked parts, by the estimates above. */
export const maxPartBytes = 16_777_216;
/** Limit of the memory of the prefixes that were given to gossip. */
export const maxGossipedBytes = 4_194_304;
/** Estimated memory of such a prefix without its ids. */
const gossipedBytes = 128;
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
	readonly trackedParts: number;
	/** Estimated memory of the tracked parts. */
	readonly trackedBytes: number;
};

/** Limit of prefixes in one gossip message; a datagram holds about as many. */
const maxGossipedPrefixes = 40;

/** Callers and peers choose the ids. */
export const isTracked = (partId: string): boolean => partId.length <= maxTrackedIdLength;

const bytesOf = (partId: string): number => partBytes + partId.length * charBytes;

const gossipKey = (partId: string, runner: string): string => `${partId} ${runner}`;

/** @param heldMs time for which a part is expected to stay after its last use */
export const createPromptCacheView = (nowMs: () => number, heldMs: number): PromptCacheView => {
	let trackedBytes = 0;
	/** Runners by the part that they were sent, with the time of the last send. */
	const runnersByPart = new lruCache.LRUCache<string, Map<string, number>>({
		max: maxParts,
		dispose(runners, partId) {
			trackedBytes -= bytesOf(partId) + runners.size * runnerBytes;
		},
	});
	const ungossiped = new Map<string, SentPromptPrefix>();
	/** Times at which prefixes were last given to gossip; peers expect them to be held for longer. */
	const gossipedAtMs = new lruCache.LRUCache<string, number>({
		max: maxParts,
		maxSize: maxGossipedBytes,
		sizeCalculation: (_, key) => gossipedBytes + key.length * charBytes,
	});

	const isOverLimit = () => trackedBytes > maxPartBytes && runnersByPart.size > 1;

	const note = (runner: string, partId: string) => {
		if (!isTracked(partId)) {
			return;
		}

		let runners = runnersByPart.get(partId);
		if (!runners) {
			runners = new Map();
			trackedBytes += bytesOf(partId);
			runnersByPart.set(ownText.ownText(partId, maxTrackedIdLength), runners);
		}

		trackedBytes += runners.has(runner) ? 0 : runnerBytes;
		runners.set(runner, nowMs());
		while (isOverLimit()) {
			runnersByPart.pop();
		}
	};

	/** Notes a prefix to be gossiped; of too many, the oldest are dropped. */
	const noteUngossiped = (partId: string, runner: string) => {
		const key = gossipKey(partId, runner);
		gossipedAtMs.set(ownText.ownText(key, key.length), nowMs());
		ungossiped.delete(partId);
		const ownId = ownText.ownText(partId, maxTrackedIdLength);
		ungossiped.set(ownId, {partId: ownId, runner});
		for (const oldest of ungossiped.keys()) {
			if (ungossiped.size <= maxGossipedPrefixes) {
				break;
			}

			ungossiped.delete(oldest);
		}
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
			for (const part of parts) {
				note(runner, part.id);
			}

			if (partId === undefined || !isTracked(partId)) {
				return;
			}

			const sentAtMs = gossipedAtMs.get(gossipKey(partId, runner));
			if (sentAtMs === undefined || sentAtMs < nowMs() - heldMs / 3) {
				noteUngossiped(partId, runner);
			}
		},
		notePeerSent({partId, runner}) {
			note(runner, partId);
		},
		takeSent() {
			const prefixes = [...ungossiped.values()];
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
				trackedBytes -= runners.delete(runner) ? runnerBytes : 0;
			}
		},
		get trackedParts() {
			return runnersByPart.size;
		},
		get trackedBytes() {
			return trackedBytes;
		},
	};
};
