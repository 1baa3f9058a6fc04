/**
 * Decides whether an unbound request is sent to another region. A crossing costs
 * network delay, transfer time and a cold KV cache, so it is worthwhile only when
 * the local wait exceeds their sum.
 */
import type * as clock from '@hawthornfront/base/common/clock.js';
import type * as schema from '@hawthornfront/catalogue/common/schema.js';
import * as zod from 'zod';
import * as setting from './setting.js';
import * as tokenBucket from './token-bucket.js';

/** Link to another region. */
export const linkSettingsSchema = zod.object({
	/** One-way delay. */
	delayMs: setting.number(50, 0, 60_000),
	bitsPerSecond: setting.number(100_000_000, 1, 1e12),
});

export const regionChooserSettingsSchema = zod.object({
	/** Links by name of the other region; nothing is sent to regions without a link. */
	links: zod.record(zod.string(), linkSettingsSchema).default({}),
	/** Crossing starts when the local wait exceeds the remote cost times this factor plus the margin. */
	enterRatio: setting.number(3, 1, 100),
	enterMarginMs: setting.number(3000, 0, 600_000),
	/** Crossing stops when the local wait is at most the remote cost times this factor. */
	leaveRatio: setting.number(1, 0, 100),
	/** Share of the unbound requests of this daemon that may cross. */
	maxRemoteShare: setting.share(0.2),
	/** Maximum accumulated budget of crossings. */
	maxSavedCrossings: setting.number(10, 1, 100_000),
	/** Part of the rate of a link that this daemon may use. */
	linkShare: setting.share(0.1),
	/** Burst size, as time at that rate. */
	linkBurstMs: setting.number(1000, 1, 600_000),
	/** Older summaries of other regions are ignored; the fleet keeps summaries for the same time. */
	summaryMaxAgeMs: setting.number(10_000, 1, 600_000),
	/** Cost of a prompt whose start is not cached in the other region. */
	coldCacheMs: setting.number(50, 0, 600_000),
	coldCacheMsPerToken: setting.number(0.1, 0, 1000),
	/** Added to the wait of a region per item sent there since its last summary. */
	waitPerSentItemMs: setting.number(20, 0, 60_000),
});
export type RegionChooserSettings = zod.infer<typeof regionChooserSettingsSchema>;

/** Expected wait in another region, as the fleet reports it. */
export type RegionSummary = {
	region: string;
	workClass: schema.WorkClass;
	model: string;
	expectedWaitMs: number;
	/** On the monotonic clock of this process. */
	receivedAtMs: number;
};

export type RegionQuestion = {
	workClass: schema.WorkClass;
	model: string;
	isBound: boolean;
	/** Crossings that the request has already made. */
	crossings: number;
	localWaitMs: number;
	promptTokens: number;
	/** Bytes that would cross the link in both directions. */
	transferBytes: number;
	summaries: readonly RegionSummary[];
};

export type RegionChoice = {kind: 'local'} | {kind: 'remote'; region: string};

export type RegionChooser = {
	/** Decides for one request. Each call charges the caps, so there must be one call per request. */
	choose(question: RegionQuestion): RegionChoice;
	/** Unbound requests and those sent to another region, since the start. */
	counts(): {unbound: number; remote: number};
};

type SentItems = {receivedAtMs: number; items: number};
type RemoteOption = {region: string; key: string; costMs: number; summary: RegionSummary};

const localChoice: RegionChoice = {kind: 'local'};

export const createRegionChooser = (
	clock: clock.Clock,
	settings: RegionChooserSettings,
): RegionChooser => {
	const linkBuckets = new Map<string, tokenBucket.TokenBucket>();
	const sentSinceSummary = new Map<string, SentItems>();
	const activeCrossings = new Set<string>();
	let savedCrossings = 0;
	let unbound = 0;
	let remote = 0;

	for (const [region, {bitsPerSecond}] of Object.entries(settings.links)) {
		const bytesPerSecond = (bitsPerSecond / 8) * settings.linkShare;
		const capacity = (bytesPerSecond * settings.linkBurstMs) / 1000;
		const bucket = tokenBucket.createTokenBucket(bytesPerSecond, capacity, clock.nowMs());
		linkBuckets.set(region, bucket);
	}

	const keyOf = ({region, workClass, model}: RegionSummary) => `${region}/${workClass}/${model}`;

	const sentItems = (summary: RegionSummary): number => {
		const sent = sentSinceSummary.get(keyOf(summary));
		return sent?.receivedAtMs === summary.receivedAtMs ? sent.items : 0;
	};

	const costOf = (question: RegionQuestion, summary: RegionSummary): number => {
		const {delayMs, bitsPerSecond} = settings.links[summary.region]!;
		const transferMs = ((question.transferBytes * 8) / bitsPerSecond) * 1000;
		const coldMs =
			question.workClass === 'service'
				? 0
				: settings.coldCacheMs + settings.coldCacheMsPerToken * question.promptTokens;
		const queueMs = summary.expectedWaitMs + sentItems(summary) * settings.waitPerSentItemMs;
		return queueMs + 2 * delayMs + transferMs + coldMs;
	};

	const isUsable = (question: RegionQuestion, summary: RegionSummary): boolean =>
		summary.model === question.model &&
		summary.workClass === question.workClass &&
		summary.region in settings.links &&
		Number.isFinite(summary.expectedWaitMs) &&
		clock.nowMs() - summary.receivedAtMs <= settings.summaryMaxAgeMs;

	const bestOption = (question: RegionQuestion): RemoteOption | undefined => {
		let best: RemoteOption | undefined;
		for (const summary of question.summaries) {
			if (!isUsable(question, summary)) {
				continue;
			}

			const costMs = costOf(question, summary);
			if (!best || costMs < best.costMs) {
				best = {region: summary.region, key: keyOf(summary), costMs, summary};
			}
		}

		return best;
	};

	/** Hysteresis: two thresholds keep the choice from flapping. */
	const isCrossingWorthwhile = ({key, costMs}: RemoteOption, localWaitMs: number): boolean => {
		const enterMs = costMs * settings.enterRatio + settings.enterMarginMs;
		const leaveMs = costMs * settings.leaveRatio;
		const isWorthwhile = localWaitMs > (activeCrossings.has(key) ? leaveMs : enterMs);
		if (isWorthwhile) {
			activeCrossings.add(key);
		} else {
			activeCrossings.delete(key);
		}

		return isWorthwhile;
	};

	/** Charges the caps; returns false if one of them is reached. */
	const charge = ({region, key, summary}: RemoteOption, question: RegionQuestion): boolean => {
		const bucket = linkBuckets.get(region)!;
		// The share cap does not apply to requests that no local upstream can serve.
		const isShareCapped = Number.isFinite(question.localWaitMs);
		if (isShareCapped && savedCrossings < 1 - 1e-9) {
			return false;
		}

		if (bucket.waitMs(question.transferBytes, clock.nowMs()) > 0) {
			return false;
		}

		bucket.take(question.transferBytes, clock.nowMs());
		savedCrossings -= isShareCapped ? 1 : 0;
		sentSinceSummary.set(key, {receivedAtMs: summary.receivedAtMs, items: sentItems(summary) + 1});
		return true;
	};

	return {
		choose(question) {
			if (question.isBound || question.crossings > 0) {
				return localChoice;
			}

			unbound++;
			savedCrossings = Math.min(
				settings.maxSavedCrossings,
				savedCrossings + settings.maxRemoteShare,
			);
			const option = bestOption(question);
			if (
				!option ||
				!isCrossingWorthwhile(option, question.localWaitMs) ||
				!charge(option, question)
			) {
				return localChoice;
			}

			remote++;
			return {kind: 'remote', region: option.region};
		},
		counts: () => ({unbound, remote}),
	};
};
