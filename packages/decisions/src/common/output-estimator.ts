/**
 * Learns the output lengths of each team. Scheduling and rate limits need estimates,
 * since the length of an answer is known only at its end.
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
	/** Answers after which the estimates of a team and of its class have equal weight. */
	confidentSamples: setting.number(10, 0, 10_000),
	initialShortTokens: setting.number(150, 1, 1_000_000),
	initialLongTokens: setting.number(1500, 1, 1_000_000),
	initialServiceTokens: setting.number(1, 1, 1_000_000),
});
export type OutputEstimatorSettings = zod.infer<typeof outputEstimatorSettingsSchema>;

export type OutputEstimate = {
	/** For queue order and expected completion. */
	meanTokens: number;
	/** For admission, where an underestimate costs more than an overestimate. */
	highTokens: number;
};

export type OutputEstimator = {
	observe(team: string, workClass: schema.WorkClass, outputTokens: number): void;
	/** Estimates are bounded by `maxOutputTokens`, the limit in the request. */
	estimate(team: string, workClass: schema.WorkClass, maxOutputTokens?: number): OutputEstimate;
	/** Teams and classes for which an estimate of their own is kept. */
	tracked(): number;
};

type Learned = {meanTokens: number; highTokens: number; samples: number};

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
		// The first answers are averaged, so that the initial value has no lasting weight.
		const rate = Math.max(settings.learningRate, 1 / (learned.samples + 1));
		learned.meanTokens += rate * (tokens - learned.meanTokens);
		// Steps up and down balance when `1 - highQuantile` of the answers exceed the estimate.
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
			const ownWeight =
				ofTeam.samples === 0 ? 0 : ofTeam.samples / (ofTeam.samples + settings.confidentSamples);
			const blend = (own: number, prior: number) =>
				Math.min(maxOutputTokens, Math.ceil(own * ownWeight + prior * (1 - ownWeight)));
			const meanTokens = blend(ofTeam.meanTokens, ofClass.meanTokens);
			const highTokens = blend(ofTeam.highTokens, ofClass.highTokens);
			return {meanTokens, highTokens: Math.max(meanTokens, highTokens)};
		},
		tracked: () => byTeam.size,
	};
};
