/** Benchmark targets of the design page, judged against the better baseline of the same run. */
import type * as summary from './summary.js';

export type Judgement = {
	scenario: string;
	policy: string;
	target: string;
	/** Measured value of the policy. */
	value: number;
	/** Value of the better baseline; undefined for an absolute target. */
	baseline?: number;
	baselinePolicy?: string;
	limit: number;
	isMet: boolean;
};

type RelativeTarget = {
	name: string;
	/** Highest allowed ratio to the better baseline. */
	ratio: number;
	situations: readonly string[];
	measure: (result: summary.PolicyResult) => number | undefined;
	/** Chooses the better baseline by another measure than the judged one. */
	compareBy?: (result: summary.PolicyResult) => number | undefined;
};

const everySituation = ['daily peak', 'long against short', 'slowed upstreams'];

const relativeTargets: RelativeTarget[] = [
	{
		name: 'wait of short questions, p99 in ms',
		ratio: 1 / 3,
		situations: ['daily peak', 'long against short'],
		measure: (result) => result.classes.short?.waitMs.p99.median,
	},
	{
		name: 'latency of short questions with slowed upstreams, p99 in ms',
		ratio: 0.5,
		situations: ['slowed upstreams'],
		measure: (result) => result.classes.short?.latencyMs.p99.median,
	},
	{
		name: 'latency of long work with slowed upstreams, p99 in ms',
		ratio: 0.5,
		situations: ['slowed upstreams'],
		measure: (result) => result.classes.long?.latencyMs.p99.median,
	},
	{
		// The latency of long work is mostly its own length; this one is not.
		name: 'latency of long work relative to its time alone, with slowed upstreams, p99',
		ratio: 0.5,
		situations: ['slowed upstreams'],
		measure: (result) => result.classes.long?.stretch.p99.median,
	},
	{
		// No higher share than the baseline with the better tail, whose tail is judged above.
		name: 'share sent to another region',
		ratio: 1,
		situations: everySituation,
		measure: (result) => result.remoteShare.median,
		compareBy: (result) => result.classes.short?.latencyMs.p99.median,
	},
	{
		name: 'cost, busy slot time in s',
		ratio: 1.05,
		situations: everySituation,
		measure: (result) => result.cost.busySlotSeconds.median,
	},
	{
		name: 'cost, tokens computed',
		ratio: 1.05,
		situations: everySituation,
		measure: (result) => result.cost.tokensComputed.median,
	},
];

const judgeRelative = (
	target: RelativeTarget,
	result: summary.PolicyResult,
	baselines: readonly summary.PolicyResult[],
): Judgement | undefined => {
	const value = target.measure(result);
	const rank = (item: summary.PolicyResult) =>
		(target.compareBy ?? target.measure)(item) ?? Number.POSITIVE_INFINITY;
	const better = baselines.toSorted((a, b) => rank(a) - rank(b))[0];
	const baseline = better ? target.measure(better) : undefined;
	if (value === undefined || !better || baseline === undefined) {
		return undefined;
	}

	const limit = baseline * target.ratio;
	return {
		scenario: result.scenario,
		policy: result.policy,
		target: target.name,
		value,
		baseline,
		baselinePolicy: better.policy,
		limit,
		isMet: value <= limit,
	};
};

const judgeAnswers = (result: summary.PolicyResult): Judgement => {
	let spoiled = 0;
	for (const item of Object.values(result.classes)) {
		spoiled += item.spoiled;
	}

	return {
		scenario: result.scenario,
		policy: result.policy,
		target: 'answers lost, duplicated or truncated',
		value: spoiled,
		limit: 0,
		isMet: spoiled === 0,
	};
};

/** Judges every result that is not a baseline. */
export const judge = (results: readonly summary.PolicyResult[]): Judgement[] =>
	results
		.filter((result) => !result.isBaseline)
		.flatMap((result) => {
			const baselines = results.filter(
				(item) => item.isBaseline && item.scenario === result.scenario,
			);
			const relative = relativeTargets
				.filter((target) => target.situations.includes(result.situation))
				.flatMap((target) => judgeRelative(target, result, baselines) ?? []);
			return [...relative, judgeAnswers(result)];
		});
