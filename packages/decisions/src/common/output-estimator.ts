/**
 * Learns how many tokens the answers of a team have. Work is scheduled and
 * limited by estimates, since the length of an answer is known only at its end.
 */
import type * as schema from '@hawthornfront/catalogue/common/schema.js';
import * as lruCache from 'lru-cache';
import * as zod from 'zod';
import * as setting from './setting.js';

export const outputEstimatorSettingsSchema = zod.object({
	/** Weight of the newest answer. */
	learningRate: setting.share(0.1),
	/** The high estimate is exceeded by the rest of the answers. */
	highQuantile: setting.share(0.95),
	/** Teams and classes for which an estimate of their own is kept. */
	maxTracked: setting.number(4096, 1, 1_000_000),
	/** Answers after which the estimate of a team counts as much as that of its class. */
	confidentSamples: setting.number(10, 0, 10_000),
	initialShortTokens: setting.number(150, 1, 1_000_000),
	initialLongTokens: setting.number(1500, 1, 1_000_000),
	initialServiceTokens: setting.number(1, 1, 1_000_000),
});
export type OutputEstimatorSettings = zod.infer<typeof outputEstimatorSettingsSchema>;

export type OutputEstimate = {
	/** For queue order and expected completion. */
	meanTokens: number;
	/** For admission, where too low an estimate costs more than too high a one. */
	highTokens: number;
};

export type OutputEstimator = {
	observe(team: string, workClass: schema.WorkClass, outputTokens: number): void;
	/** Estimates are bounded by `maxOutputTokens`, the limit that the request names. */
	estimate(team: string, workClass: schema.WorkClass, maxOutputTokens?: number): OutputEstimate;
	/** Teams and classes for which an estimate of their own is kept. */
	tracked(): number;
};

type Learned = {meanTokens: number; highTokens: number; samples: number};

/** Creates an estimator that has seen no answers. */
export const createOutputEstimator = (settings: OutputEstimatorSettings): OutputEstimator => {
	const createLearned = (tokens: number): Learned => ({
		meanTokens: tokens,
		highTokens: tokens * 2,
		samples: 0,
	});
	const byClass: Record<schema.WorkClass, Learned> = {
		short: createLearned(settings.initialShortTokens),
		long: createLearned(settings.initialLongTokens),
		service: createLearned(settings.initialServiceTokens),
	};
	const byTeam = new lruCache.LRUCache<string, Learned>({max: settings.maxTracked});

	const learn = (learned: Learned, tokens: number) => {
		// The first answers count fully, so that the start value does not linger.
		const rate = Math.max(settings.learningRate, 1 / (learned.samples + 1));
		learned.meanTokens += rate * (tokens - learned.meanTokens);
		// Steps up and down balance where the quantile has its share of answers above it.
		const step = settings.learningRate * Math.max(1, learned.highTokens);
		learned.highTokens +=
			tokens > learned.highTokens
				? step * settings.highQuantile
				: -step * (1 - settings.highQuantile);
		learned.highTokens = Math.max(learned.highTokens, 1);
		learned.samples++;
	};

	const keyOf = (team: string, workClass: schema.WorkClass) => `${workClass}/${team}`;

	return {
		observe(team, workClass, outputTokens) {
			const key = keyOf(team, workClass);
			const ofTeam = byTeam.get(key) ?? {...byClass[workClass], samples: 0};
			byTeam.set(key, ofTeam);
			learn(ofTeam, outputTokens);
			learn(byClass[workClass], outputTokens);
		},
		estimate(team, workClass, maxOutputTokens = Number.POSITIVE_INFINITY) {
			const ofClass = byClass[workClass];
			const ofTeam = byTeam.get(keyOf(team, workClass)) ?? {...ofClass, samples: 0};
			const trust =
				ofTeam.samples === 0 ? 0 : ofTeam.samples / (ofTeam.samples + settings.confidentSamples);
			const blend = (own: number, prior: number) =>
				Math.min(maxOutputTokens, Math.ceil(own * trust + prior * (1 - trust)));
			const meanTokens = blend(ofTeam.meanTokens, ofClass.meanTokens);
			const highTokens = blend(ofTeam.highTokens, ofClass.highTokens);
			return {meanTokens, highTokens: Math.max(meanTokens, highTokens)};
		},
		tracked: () => byTeam.size,
	};
};
