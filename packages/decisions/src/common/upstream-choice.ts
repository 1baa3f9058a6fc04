/**
 * Picks the upstream with the earliest expected completion. The load of this daemon
 * is exact, that of other daemons comes from lagged reports. A request that waits
 * long for its first token reveals a slowdown before any report does.
 */
import type * as random from '@hawthornfront/base/common/random.js';
import * as hash from './hash.js';
import type * as schedulerSettings from './scheduler-settings.js';
import type * as types from './types.js';
import type * as upstreamState from './upstream-state.js';

/** Requests per slot: those of this daemon and those of others, queued ones included. */
export const loadOf = (state: upstreamState.UpstreamState, nowMs: number): number =>
	(state.running.size + state.others(nowMs)) / state.slots(nowMs);

/** Expected time from now to the last token of an item if it is sent to this upstream. */
export const expectedCompletionMs = (
	state: upstreamState.UpstreamState,
	item: types.WorkItem,
	nowMs: number,
	settings: schedulerSettings.SchedulerSettings,
): number => {
	const slots = state.slots(nowMs);
	const own = state.running.size;
	const others = state.others(nowMs);
	// Requests of other daemons are assumed to have as many tokens left as the average own request,
	// or as this item if there is none.
	const tokensPerOther = own > 0 ? state.outstandingTokens() / own : item.estimatedTokens;
	const tokensAhead = state.outstandingTokens() + others * tokensPerOther;
	const firstTokenMs = Math.max(
		state.firstTokenMs[item.workClass].value(nowMs),
		state.unansweredMs(nowMs),
	);
	const loaded = state.loadedModel(nowMs);
	const loadMs = loaded !== undefined && loaded !== item.model ? settings.modelLoadMs : 0;
	const crowdingTokens = (tokensAhead / slots) * settings.crowdingFactor;
	return (
		firstTokenMs + loadMs + (crowdingTokens + item.estimatedTokens) * state.tokenMs.value(nowMs)
	);
};

export type ChoiceOptions = {
	item: types.WorkItem;
	/** Upstreams with a free slot. */
	free: readonly upstreamState.UpstreamState[];
	/** All upstreams that serve the item, including busy ones; prefix owners are chosen among these. */
	candidates: readonly upstreamState.UpstreamState[];
	nowMs: number;
};

/** The upstream whose KV cache should hold the prefix, skipping upstreams loaded beyond the bound. */
export const prefixOwner = (
	{item, candidates, nowMs}: ChoiceOptions,
	loadFactor: number,
): upstreamState.UpstreamState | undefined => {
	if (item.prefixHash === undefined || candidates.length === 0) {
		return undefined;
	}

	let totalLoad = 0;
	for (const state of candidates) {
		totalLoad += loadOf(state, nowMs);
	}

	const boundLoad = (loadFactor * totalLoad) / candidates.length;
	let owner: upstreamState.UpstreamState | undefined;
	let ownerRank = 0;
	for (const state of candidates) {
		const rank = hash.rank(item.prefixHash, state.upstream.name, state.upstream.slots);
		// One request is always within the bound; otherwise an idle group would have no owner.
		const isWithinBound =
			state.running.size === 0 ||
			loadOf(state, nowMs) <= Math.max(boundLoad, 1 / state.slots(nowMs));
		if (isWithinBound && rank > ownerRank) {
			owner = state;
			ownerRank = rank;
		}
	}

	return owner;
};

/** Chooses among the upstreams with a free slot; undefined when there is none. */
export const chooseUpstream = (
	options: ChoiceOptions,
	random: random.Random,
	settings: schedulerSettings.SchedulerSettings,
): upstreamState.UpstreamState | undefined => {
	const {item, free, nowMs} = options;
	const owner = prefixOwner(options, settings.affinityLoadFactor);
	// All daemons receive the same lagged reports. With many free upstreams, comparing two
	// random ones keeps the daemons from all sending to the same upstream.
	const compared =
		free.length <= settings.maxScannedUpstreams
			? free
			: [...free.filter((state) => state === owner), random.pick(free)!, random.pick(free)!];
	// Defaults to the first upstream, so that NaN estimates do not leave free slots unused.
	let [best] = compared;
	let bestMs = Number.POSITIVE_INFINITY;
	for (const state of compared) {
		const firstTokenMs = state.firstTokenMs[item.workClass].value(nowMs);
		const savingMs = state === owner ? firstTokenMs * settings.affinitySavingShare : 0;
		// Up to 2% of noise keeps daemons from all choosing the same one of equal upstreams.
		const noise = 1 + random.next() * 0.02;
		const expectedMs = (expectedCompletionMs(state, item, nowMs, settings) - savingMs) * noise;
		if (expectedMs < bestMs) {
			best = state;
			bestMs = expectedMs;
		}
	}

	return best;
};
