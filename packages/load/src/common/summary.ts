/** Medians and spread over the seeds of one scenario and policy. */
import * as zod from 'zod';
import type * as experiment from './experiment.js';
import type * as measures from './measures.js';

/** Median, lowest and highest value over the seeds. */
export const spreadSchema = zod.object({
	median: zod.number(),
	minimum: zod.number(),
	maximum: zod.number(),
});
export type Spread = zod.infer<typeof spreadSchema>;

export const percentileSpreadSchema = zod.object({
	p50: spreadSchema,
	p95: spreadSchema,
	p99: spreadSchema,
});
export type PercentileSpread = zod.infer<typeof percentileSpreadSchema>;

export const classResultSchema = zod.object({
	/** Totals over all seeds. */
	asked: zod.number(),
	answered: zod.number(),
	notRun: zod.number(),
	/** Truncated, lost, duplicated or of unknown outcome. */
	spoiled: zod.number(),
	waitMs: percentileSpreadSchema,
	latencyMs: percentileSpreadSchema,
	longestGapMs: percentileSpreadSchema,
	/** Latency relative to the time alone on a healthy runner; 0 when unknown. */
	stretch: percentileSpreadSchema,
});
export type ClassResult = zod.infer<typeof classResultSchema>;

export const policyResultSchema = zod.object({
	scenario: zod.string(),
	situation: zod.string(),
	policy: zod.string(),
	isBaseline: zod.boolean(),
	seeds: zod.number(),
	classes: zod.record(zod.string(), classResultSchema),
	cost: zod.object({
		busySlotSeconds: spreadSchema,
		/** Generated tokens and computed prompt tokens. */
		tokensComputed: spreadSchema,
		tokensGeneratedAgain: spreadSchema,
		prefillTokensComputedAgain: spreadSchema,
	}),
	remoteShare: spreadSchema,
});
export type PolicyResult = zod.infer<typeof policyResultSchema>;

/** Median of a list; the mean of the middle two for an even count, 0 for none. */
export const medianOf = (values: readonly number[]): number => {
	const sorted = values.toSorted((a, b) => a - b);
	const middle = Math.floor(sorted.length / 2);
	const upper = sorted[middle] ?? 0;
	return sorted.length % 2 === 1 ? upper : (upper + (sorted[middle - 1] ?? 0)) / 2;
};

/** Spread of a list. */
export const spreadOf = (values: readonly number[]): Spread => ({
	median: medianOf(values),
	minimum: Math.min(...values),
	maximum: Math.max(...values),
});

const sumOf = (values: readonly number[]): number => {
	let sum = 0;
	for (const value of values) {
		sum += value;
	}

	return sum;
};

const percentileSpread = (items: readonly measures.Percentiles[]): PercentileSpread => ({
	p50: spreadOf(items.map((item) => item.p50)),
	p95: spreadOf(items.map((item) => item.p95)),
	p99: spreadOf(items.map((item) => item.p99)),
});

/** Combines the summaries of one class over the seeds. */
export const combineClasses = (items: readonly measures.ClassSummary[]): ClassResult => {
	const count = (...outcomes: measures.Outcome[]) =>
		sumOf(items.flatMap((item) => outcomes.map((outcome) => item.outcomes[outcome])));
	return {
		asked: sumOf(items.map((item) => item.asked)),
		answered: count('answered'),
		notRun: count('not-run'),
		spoiled: count('truncated', 'lost', 'duplicated', 'unknown'),
		waitMs: percentileSpread(items.map((item) => item.waitMs)),
		latencyMs: percentileSpread(items.map((item) => item.latencyMs)),
		longestGapMs: percentileSpread(items.map((item) => item.longestGapMs)),
		stretch: percentileSpread(items.map((item) => item.stretch)),
	};
};

/** Combines the runs of one scenario and policy. */
export const combineRuns = (
	name: Pick<PolicyResult, 'scenario' | 'situation' | 'policy' | 'isBaseline'>,
	runs: readonly experiment.RunResult[],
): PolicyResult => {
	const names = new Set(runs.flatMap((run) => Object.keys(run.classes)));
	const classes = [...names].map((workClass) => {
		const items = runs.flatMap((run) => run.classes[workClass] ?? []);
		return [workClass, combineClasses(items)] as const;
	});
	const costs = runs.map((run) => run.cost);
	return {
		...name,
		seeds: runs.length,
		classes: Object.fromEntries(classes),
		cost: {
			busySlotSeconds: spreadOf(costs.map((cost) => cost.busySlotMs / 1000)),
			tokensComputed: spreadOf(
				costs.map((cost) => cost.tokensGenerated + cost.prefillTokensComputed),
			),
			tokensGeneratedAgain: spreadOf(costs.map((cost) => cost.tokensGeneratedAgain)),
			prefillTokensComputedAgain: spreadOf(costs.map((cost) => cost.prefillTokensComputedAgain)),
		},
		remoteShare: spreadOf(runs.map((run) => run.remoteShare)),
	};
};
