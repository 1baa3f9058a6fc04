/** One HTML page with the results of a benchmark, without any outside resource. */
import type * as summary from './summary.js';
import * as svgPlot from './svg-plot.js';
import type * as targets from './targets.js';
import * as textTable from './text-table.js';

export type Report = {
	title: string;
	/** What was run: command, seeds, virtual time. */
	facts: Record<string, string>;
	results: readonly summary.PolicyResult[];
	judgements: readonly targets.Judgement[];
};

const style = `
body { font: 14px/1.45 system-ui, sans-serif; margin: 2rem auto; max-width: 1360px; color: #222; }
svg text { font: 11px system-ui, sans-serif; fill: #222; }
figure { display: inline-block; margin: 0 0.5rem 1rem 0; vertical-align: top; }
table { border-collapse: collapse; margin: 0.5rem 0 1.5rem; }
td, th { border-bottom: 1px solid #ddd; padding: 0.2rem 0.7rem; text-align: right; }
td:first-child, th:first-child, td.text { text-align: left; }
.met { color: #1c6b3a; } .missed { color: #a02020; font-weight: bold; }
.key span { display: inline-block; margin-right: 1.2rem; }
.key i { display: inline-block; width: 0.9rem; height: 0.9rem; margin-right: 0.4rem; vertical-align: -0.1rem; }
`;

const percentiles = ['p50', 'p95', 'p99'] as const;

const percentileChart = (
	title: string,
	results: readonly summary.PolicyResult[],
	read: (result: summary.PolicyResult) => summary.PercentileSpread | undefined,
	axis = 'ms, logarithmic',
): string => {
	const bars = percentiles.flatMap((label) =>
		results.flatMap((result) => {
			const spread = read(result)?.[label];
			return spread ? [{label, series: result.policy, ...spread, value: spread.median}] : [];
		}),
	);
	const chart = {title, axis, bars, isLogarithmic: true};
	return `<figure>${svgPlot.drawBarChart(chart)}</figure>`;
};

const costChart = (
	title: string,
	axis: string,
	results: readonly summary.PolicyResult[],
	read: (result: summary.PolicyResult) => summary.Spread,
): string => {
	const bars = results.map((result) => {
		const spread = read(result);
		return {label: '', series: result.policy, ...spread, value: spread.median};
	});
	return `<figure>${svgPlot.drawBarChart({title, axis, bars, isLogarithmic: false})}</figure>`;
};

const key = (results: readonly summary.PolicyResult[]): string => {
	const policies = [...new Set(results.map((result) => result.policy))];
	const items = policies.map(
		(policy, index) =>
			`<span><i style="background:${svgPlot.seriesColor(index)}"></i>${svgPlot.escapeMarkup(policy)}</span>`,
	);
	return `<p class="key">${items.join('')}</p>`;
};

const scenarioSection = (name: string, results: readonly summary.PolicyResult[]): string =>
	[
		`<h2>${svgPlot.escapeMarkup(name)}</h2>`,
		key(results),
		percentileChart(
			'Wait of short work to the first token',
			results,
			(result) => result.classes.short?.waitMs,
		),
		percentileChart('Latency of short work', results, (result) => result.classes.short?.latencyMs),
		percentileChart(
			'Wait of long work to the first token',
			results,
			(result) => result.classes.long?.waitMs,
		),
		percentileChart('Latency of long work', results, (result) => result.classes.long?.latencyMs),
		percentileChart(
			'Latency of long work relative to its time alone',
			results,
			(result) => result.classes.long?.stretch,
			'ratio, logarithmic',
		),
		costChart('Busy slot time', 's', results, (result) => result.cost.busySlotSeconds),
		costChart('Tokens computed', 'tokens', results, (result) => result.cost.tokensComputed),
		`<pre>${svgPlot.escapeMarkup(textTable.formatScenario(results))}</pre>`,
	].join('\n');

const judgementRow = (item: targets.Judgement): string => {
	const result = item.isMet ? 'met' : 'missed';
	const baseline =
		item.baseline === undefined
			? '-'
			: `${textTable.formatNumber(item.baseline)} (${item.baselinePolicy ?? ''})`;
	const cells = [item.scenario, item.policy].map(
		(text) => `<td class="text">${svgPlot.escapeMarkup(text)}</td>`,
	);
	return `<tr><td>${svgPlot.escapeMarkup(item.target)}</td>${cells.join('')}<td>${textTable.formatNumber(item.value)}</td><td>${textTable.formatNumber(item.limit)}</td><td>${svgPlot.escapeMarkup(baseline)}</td><td class="${result}">${result}</td></tr>`;
};

/** Renders the page. */
export const renderReport = (report: Report): string => {
	const scenarioNames = [...new Set(report.results.map((result) => result.scenario))];
	const facts = Object.entries(report.facts).map(
		([name, value]) =>
			`<tr><td>${svgPlot.escapeMarkup(name)}</td><td class="text">${svgPlot.escapeMarkup(value)}</td></tr>`,
	);
	const head =
		'<tr><th>target</th><th>scenario</th><th>policy</th><th>measured</th><th>limit</th><th>better baseline</th><th>result</th></tr>';
	const sections = scenarioNames.map((name) =>
		scenarioSection(
			name,
			report.results.filter((result) => result.scenario === name),
		),
	);
	return [
		'<!doctype html>',
		`<html lang="en"><head><meta charset="utf-8"><title>${svgPlot.escapeMarkup(report.title)}</title><style>${style}</style></head><body>`,
		`<h1>${svgPlot.escapeMarkup(report.title)}</h1>`,
		`<table>${facts.join('')}</table>`,
		'<p>Bars show the median over the seeds, lines the lowest and highest value. Latency counts from the intended arrival.</p>',
		'<h2>Targets</h2>',
		`<table>${head}${report.judgements.map((item) => judgementRow(item)).join('')}</table>`,
		...sections,
		'</body></html>',
		'',
	].join('\n');
};
