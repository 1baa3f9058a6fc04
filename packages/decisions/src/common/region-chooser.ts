/**
 * Decides whether unbound work is sent to another region. Crossing costs delay,
 * transfer time on a slow link and a cold cache, so it pays only when the local
 * wait exceeds all of them.
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
	/** Links by name of the other region; no work is sent to regions without one. */
	links: zod.record(zod.string(), linkSettingsSchema).default({}),
	/** Work starts to cross when the local wait exceeds the remote cost by this factor and margin. */
	enterRatio: setting.number(3, 1, 100),
	enterMarginMs: setting.number(3000, 0, 600_000),
	/** It stops to cross when the local wait is below the remote cost times this factor. */
	leaveRatio: setting.number(1, 0, 100),
	/** Share of the unbound requests of this daemon that may cross. */
	maxRemoteShare: setting.share(0.2),
	/** Crossings that can be saved up. */
	maxSavedCrossings: setting.number(10, 1, 100_000),
	/** Part of the rate of a link that this daemon may use. */
	linkShare: setting.share(0.1),
	/** Time at that rate that may be used at once. */
	linkBurstMs: setting.number(1000, 1, 600_000),
	/** Summaries of other regions that are older are ignored; the fleet keeps them as long. */
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
	/** Crossings that the request made already. */
	crossings: number;
	localWaitMs: number;
	promptTokens: number;
	/** Bytes that would cross the link in both directions. */
	transferBytes: number;
	summaries: readonly RegionSummary[];
};

export type RegionChoice = {kind: 'local'} | {kind: 'remote'; region: string};

export type RegionChooser = {
	/** Decides for one request; call it once per request, since it charges the caps. */
	choose(question: RegionQuestion): RegionChoice;
	/** Unbound requests and those sent to another region, since the start. */
	counts(): {unbound: number; remote: number};
};

type Sent = {receivedAtMs: number; items: number};
type Option = {region: string; key: string; costMs: number; summary: RegionSummary};

const local: RegionChoice = {kind: 'local'};

/** Creates a chooser that sends nothing yet. */
export const createRegionChooser = (
	clock: clock.Clock,
	settings: RegionChooserSettings,
): RegionChooser => {
	const linkBuckets = new Map<string, tokenBucket.TokenBucket>();
	const sentSince = new Map<string, Sent>();
	const crossing = new Set<string>();
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
		const sent = sentSince.get(keyOf(summary));
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

	const bestOption = (question: RegionQuestion): Option | undefined => {
		let best: Option | undefined;
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

	/** Two thresholds keep the choice from flapping around one of them. */
	const isWorthCrossing = ({key, costMs}: Option, localWaitMs: number): boolean => {
		const enterMs = costMs * settings.enterRatio + settings.enterMarginMs;
		const leaveMs = costMs * settings.leaveRatio;
		const isWorth = localWaitMs > (crossing.has(key) ? leaveMs : enterMs);
		if (isWorth) {
			crossing.add(key);
		} else {
			crossing.delete(key);
		}

		return isWorth;
	};

	/** Charges the caps; false when one of them is reached. */
	const charge = ({region, key, summary}: Option, question: RegionQuestion): boolean => {
		const bucket = linkBuckets.get(region)!;
		// Work that no local upstream serves has no local alternative to be shared with.
		const isShareCapped = Number.isFinite(question.localWaitMs);
		if (isShareCapped && savedCrossings < 1 - 1e-9) {
			return false;
		}

		if (bucket.waitMs(question.transferBytes, clock.nowMs()) > 0) {
			return false;
		}

		bucket.take(question.transferBytes, clock.nowMs());
		savedCrossings -= isShareCapped ? 1 : 0;
		sentSince.set(key, {receivedAtMs: summary.receivedAtMs, items: sentItems(summary) + 1});
		return true;
	};

	return {
		choose(question) {
			if (question.isBound || question.crossings > 0) {
				return local;
			}

			unbound++;
			savedCrossings = Math.min(
				settings.maxSavedCrossings,
				savedCrossings + settings.maxRemoteShare,
			);
			const option = bestOption(question);
			if (!option || !isWorthCrossing(option, question.localWaitMs) || !charge(option, question)) {
				return local;
			}

			remote++;
			return {kind: 'remote', region: option.region};
		},
		counts: () => ({unbound, remote}),
	};
};
