/** Collects what callers saw and prints the closing table. */
import * as percentiles from '@hawthornfront/base/common/percentile.js';
import type * as caller from './caller.js';

/** One finished request. */
export type Observation = caller.CallResult & {
	kind: 'contract draft' | 'fault message' | 'booking' | 'availability';
	region: string;
	/** Phase of the scenario in which the request was sent. */
	phase: string;
	/** Unique content, found again at the upstream. */
	body: string;
};

const columns = [
	'class',
	'asked',
	'answered',
	'not run',
	'unknown',
	'p50 ms',
	'p95 ms',
	'p99 ms',
	'first token p95 ms',
];

const rowOf = (kind: string, items: Observation[]): string[] => {
	const answered = items.filter((item) => item.outcome === 'answered');
	const latencies = answered.map((item) => item.latencyMs);
	const firstTokens = answered
		.map((item) => item.firstTokenMs)
		.filter((value) => value !== undefined);
	const count = (outcome: string) =>
		String(items.filter((item) => item.outcome === outcome).length);
	return [
		kind,
		String(items.length),
		String(answered.length),
		count('not-run'),
		count('unknown'),
		...[0.5, 0.95, 0.99].map((share) => percentiles.percentile(latencies, share).toFixed(0)),
		firstTokens.length > 0 ? percentiles.percentile(firstTokens, 0.95).toFixed(0) : '-',
	];
};

/** Renders the table of outcomes by class. */
export const renderTable = (observations: Observation[], crossings: number): string => {
	const kinds = [...new Set(observations.map((item) => item.kind))];
	const rows = [
		columns,
		...kinds.map((kind) =>
			rowOf(
				kind,
				observations.filter((item) => item.kind === kind),
			),
		),
	];
	const widths = columns.map((_, column) => Math.max(...rows.map((row) => row[column]!.length)));
	const lines = rows.map((row) =>
		row
			.map((cell, column) =>
				column === 0 ? cell.padEnd(widths[column]!) : cell.padStart(widths[column]!),
			)
			.join('  '),
	);
	return [...lines, `sent to another region: ${crossings}`].join('\n');
};
