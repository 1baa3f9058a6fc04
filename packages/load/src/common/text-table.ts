/** Plain-text tables of results, for the terminal. */
import type * as summary from './summary.js';
import type * as targets from './targets.js';

/** Aligns columns; the first is a name, the others are numbers. */
export const formatTable = (
	header: readonly string[],
	rows: ReadonlyArray<readonly string[]>,
): string => {
	const all = [header, ...rows];
	const widths = header.map((_, column) => Math.max(...all.map((row) => row[column]?.length ?? 0)));
	const lines = all.map((row) =>
		row
			.map((cell, column) =>
				column === 0 ? cell.padEnd(widths[column]!) : cell.padStart(widths[column]!),
			)
			.join('  ')
			.trimEnd(),
	);
	return lines.join('\n');
};

/** A number with as many digits as a reader needs. */
export const formatNumber = (value: number): string => {
	if (Math.abs(value) >= 100 || Number.isInteger(value)) {
		return String(Math.round(value));
	}

	return Math.abs(value) >= 10 ? value.toFixed(1) : value.toFixed(2);
};

const median = (spread: summary.Spread): string => formatNumber(spread.median);

/** Median with lowest and highest value over the seeds. */
export const formatSpread = (spread: summary.Spread): string =>
	spread.minimum === spread.maximum
		? formatNumber(spread.median)
		: `${median(spread)} (${formatNumber(spread.minimum)}-${formatNumber(spread.maximum)})`;

const classHeader = [
	'class',
	'asked',
	'answered',
	'not run',
	'spoiled',
	'wait p50',
	'p95',
	'p99 ms',
	'latency p50',
	'p95',
	'p99 ms',
	'stretch p99',
];

const classCells = (item: summary.ClassResult): string[] => [
	String(item.asked),
	String(item.answered),
	String(item.notRun),
	String(item.spoiled),
	median(item.waitMs.p50),
	median(item.waitMs.p95),
	formatSpread(item.waitMs.p99),
	median(item.latencyMs.p50),
	median(item.latencyMs.p95),
	formatSpread(item.latencyMs.p99),
	item.stretch.p99.maximum === 0 ? '-' : formatSpread(item.stretch.p99),
];

/** Table of classes, as printed by experiments and by live runs. */
export const formatClasses = (
	rows: ReadonlyArray<{name: string; result: summary.ClassResult}>,
): string =>
	formatTable(
		classHeader,
		rows.map(({name, result}) => [name, ...classCells(result)]),
	);

/** Tables of one scenario. */
export const formatScenario = (results: readonly summary.PolicyResult[]): string => {
	const rows = results.flatMap((result) =>
		Object.entries(result.classes).map(([workClass, item]) => ({
			name: `${workClass}, ${result.policy}`,
			result: item,
		})),
	);
	rows.sort((a, b) => b.name.split(',')[0]!.localeCompare(a.name.split(',')[0]!));
	const cost = formatTable(
		['cost', 'busy slots s', 'tokens computed', 'generated again', 'prefill again', 'remote share'],
		results.map((result) => [
			result.policy,
			formatSpread(result.cost.busySlotSeconds),
			formatSpread(result.cost.tokensComputed),
			formatSpread(result.cost.tokensGeneratedAgain),
			formatSpread(result.cost.prefillTokensComputedAgain),
			formatSpread(result.remoteShare),
		]),
	);
	return `${formatClasses(rows)}\n\n${cost}`;
};

/** Targets against measured values. */
export const formatJudgements = (judgements: readonly targets.Judgement[]): string =>
	formatTable(
		['target', 'scenario', 'policy', 'measured', 'limit', 'better baseline', 'result'],
		judgements.map((item) => [
			item.target,
			item.scenario,
			item.policy,
			formatNumber(item.value),
			formatNumber(item.limit),
			item.baseline === undefined
				? '-'
				: `${formatNumber(item.baseline)} (${item.baselinePolicy ?? ''})`,
			item.isMet ? 'met' : 'missed',
		]),
	);
