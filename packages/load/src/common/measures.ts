/** Measures of one run: histograms per class, counts of outcomes, cost. */
import * as hdr from 'hdr-histogram-js';

export type Outcome = 'answered' | 'not-run' | 'truncated' | 'lost' | 'duplicated' | 'unknown';

export type Sample = {
	workClass: string;
	outcome: Outcome;
	/** From the intended arrival to the first token. */
	waitMs: number;
	/** From the intended arrival to the end of the answer. */
	latencyMs: number;
	/** Longest pause between two parts of the answer. */
	longestGapMs: number;
	/**
	 * Latency relative to the time that the request takes alone on a healthy
	 * runner. It keeps long answers from hiding slow ones; 0 when unknown.
	 */
	stretch: number;
};

export type Percentiles = {p50: number; p95: number; p99: number; max: number};

export type ClassSummary = {
	asked: number;
	outcomes: Record<Outcome, number>;
	waitMs: Percentiles;
	latencyMs: Percentiles;
	longestGapMs: Percentiles;
	stretch: Percentiles;
};

export type Cost = {
	/** Time for which slots of runners were held. */
	busySlotMs: number;
	tokensGenerated: number;
	prefillTokensComputed: number;
	/** Tokens generated beyond those of the answers. */
	tokensGeneratedAgain: number;
	/** Prompt tokens computed after their first computation, that is, without a cache that never forgets. */
	prefillTokensComputedAgain: number;
	cancelled: number;
};

const emptyOutcomes = (): Record<Outcome, number> => ({
	answered: 0,
	'not-run': 0,
	truncated: 0,
	lost: 0,
	duplicated: 0,
	unknown: 0,
});

const histogramSettings = {
	bitBucketSize: 64,
	lowestDiscernibleValue: 1,
	highestTrackableValue: 3_600_000,
	numberOfSignificantValueDigits: 3,
} as const;

// The histograms store whole numbers; hundredths keep ratios and short waits apart.
const unitsPerValue = 100;

const percentilesOf = (histogram: hdr.Histogram): Percentiles => ({
	p50: histogram.getValueAtPercentile(50) / unitsPerValue,
	p95: histogram.getValueAtPercentile(95) / unitsPerValue,
	p99: histogram.getValueAtPercentile(99) / unitsPerValue,
	max: histogram.maxValue / unitsPerValue,
});

const record = (histogram: hdr.Histogram, value: number) => {
	const highest = histogramSettings.highestTrackableValue * unitsPerValue;
	histogram.recordValue(Math.min(highest, Math.max(0, Math.round(value * unitsPerValue))));
};

const createHistogram = (): hdr.Histogram =>
	hdr.build({
		...histogramSettings,
		highestTrackableValue: histogramSettings.highestTrackableValue * unitsPerValue,
	});

export type Recorder = {
	record(sample: Sample): void;
	summary(): Record<string, ClassSummary>;
};

type ClassState = {
	asked: number;
	outcomes: Record<Outcome, number>;
	wait: hdr.Histogram;
	latency: hdr.Histogram;
	gap: hdr.Histogram;
	stretch: hdr.Histogram;
};

/** Collects the samples of one run. */
export const createRecorder = (): Recorder => {
	const classes = new Map<string, ClassState>();
	const stateOf = (workClass: string): ClassState => {
		const known = classes.get(workClass);
		if (known) {
			return known;
		}

		const created = {
			asked: 0,
			outcomes: emptyOutcomes(),
			wait: createHistogram(),
			latency: createHistogram(),
			gap: createHistogram(),
			stretch: createHistogram(),
		};
		classes.set(workClass, created);
		return created;
	};

	return {
		record(sample) {
			const state = stateOf(sample.workClass);
			state.asked++;
			state.outcomes[sample.outcome]++;
			record(state.wait, sample.waitMs);
			record(state.latency, sample.latencyMs);
			record(state.gap, sample.longestGapMs);
			record(state.stretch, sample.stretch);
		},
		summary() {
			const summaries = [...classes].map(([workClass, state]) => {
				const summary: ClassSummary = {
					asked: state.asked,
					outcomes: state.outcomes,
					waitMs: percentilesOf(state.wait),
					latencyMs: percentilesOf(state.latency),
					longestGapMs: percentilesOf(state.gap),
					stretch: percentilesOf(state.stretch),
				};
				return [workClass, summary] as const;
			});
			return Object.fromEntries(summaries);
		},
	};
};
