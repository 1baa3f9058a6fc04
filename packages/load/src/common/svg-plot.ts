/** Bar charts as SVG text. */

export type Bar = {label: string; series: string; value: number; minimum: number; maximum: number};

export type BarChart = {
	title: string;
	/** Name of the measure with its unit. */
	axis: string;
	bars: readonly Bar[];
	isLogarithmic: boolean;
};

const width = 640;
const barHeight = 14;
const groupGap = 10;
const labelWidth = 60;
const topHeight = 34;
const axisHeight = 26;
const colors = ['#7a8ba0', '#3f6ea5', '#c08a2e', '#3c8f5d', '#8c4f8f', '#a5533f'];

/** Text that is safe inside markup. */
export const escapeMarkup = (text: string): string =>
	text
		.replaceAll('&', '&amp;')
		.replaceAll('<', '&lt;')
		.replaceAll('>', '&gt;')
		.replaceAll('"', '&quot;');

type Scale = {position: (value: number) => number; ticks: number[]};

const plotWidth = width - labelWidth - 90;

const logarithmicScale = (highest: number): Scale => {
	const decades = Math.max(1, Math.ceil(Math.log10(Math.max(10, highest))));
	return {
		position: (value) => (Math.log10(Math.max(1, value)) / decades) * plotWidth,
		ticks: Array.from({length: decades + 1}, (_, index) => 10 ** index),
	};
};

const linearScale = (highest: number): Scale => {
	const end = highest > 0 ? highest : 1;
	return {
		position: (value) => (value / end) * plotWidth,
		ticks: [0, end / 2, end],
	};
};

const shortNumber = (value: number): string =>
	value >= 10_000 ? `${Math.round(value / 1000)}k` : String(Math.round(value * 10) / 10);

const drawBar = (bar: Bar, y: number, color: string, scale: Scale): string => {
	const length = Math.max(1, scale.position(bar.value));
	const middle = y + barHeight / 2;
	const from = labelWidth + scale.position(bar.minimum);
	const to = labelWidth + scale.position(bar.maximum);
	const title = `${bar.series}, ${bar.label}: ${shortNumber(bar.value)}`;
	return [
		`<rect x="${labelWidth}" y="${y}" width="${length.toFixed(1)}" height="${barHeight - 3}" fill="${color}"><title>${escapeMarkup(title)}</title></rect>`,
		`<line x1="${from.toFixed(1)}" x2="${to.toFixed(1)}" y1="${middle - 1.5}" y2="${middle - 1.5}" stroke="#222"/>`,
		`<text x="${(Math.max(to, labelWidth + length) + 4).toFixed(1)}" y="${middle + 2}">${shortNumber(bar.value)}</text>`,
	].join('');
};

const drawAxis = (scale: Scale, y: number): string =>
	scale.ticks
		.map((tick) => {
			const x = (labelWidth + scale.position(tick)).toFixed(1);
			return `<line x1="${x}" x2="${x}" y1="${topHeight - 6}" y2="${y}" stroke="#ddd"/><text x="${x}" y="${y + 12}" text-anchor="middle">${shortNumber(tick)}</text>`;
		})
		.join('');

/** Color of the n-th series; all charts use the same order. */
export const seriesColor = (index: number): string => colors[index % colors.length]!;

/** Draws a chart: one group of bars for each label, one bar for each series. */
export const drawBarChart = (chart: BarChart): string => {
	const labels = [...new Set(chart.bars.map((bar) => bar.label))];
	const series = [...new Set(chart.bars.map((bar) => bar.series))];
	const highest = Math.max(...chart.bars.map((bar) => bar.maximum), 0);
	const scale = chart.isLogarithmic ? logarithmicScale(highest) : linearScale(highest);
	let y = topHeight;
	let body = '';
	for (const label of labels) {
		body += `<text x="4" y="${y + barHeight}">${escapeMarkup(label)}</text>`;
		for (const bar of chart.bars.filter((item) => item.label === label)) {
			body += drawBar(bar, y, seriesColor(series.indexOf(bar.series)), scale);
			y += barHeight;
		}

		y += groupGap;
	}

	const height = y + axisHeight;
	return `<svg viewBox="0 0 ${width} ${height}" width="${width}" height="${height}" role="img"><text x="4" y="14" font-weight="bold">${escapeMarkup(chart.title)}</text><text x="${width - 4}" y="14" text-anchor="end">${escapeMarkup(chart.axis)}</text>${drawAxis(scale, y)}${body}</svg>`;
};
