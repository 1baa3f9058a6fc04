/** The newest samples of a quantity; samples beyond a maximum age are dropped. */

export type SampleWindow = {
	add(value: number, nowMs: number): void;
	/** Undefined when fewer than `minimumSamples` are recent. */
	median(nowMs: number, minimumSamples: number): number | undefined;
	clear(): void;
};

/** Middle of the values, the mean of the two middle ones for an even count. */
export const median = (values: readonly number[]): number | undefined => {
	if (values.length === 0) {
		return undefined;
	}

	const sorted = values.toSorted((a, b) => a - b);
	const middle = Math.floor(sorted.length / 2);
	return sorted.length % 2 === 1 ? sorted[middle] : (sorted[middle - 1]! + sorted[middle]!) / 2;
};

export const createSampleWindow = (capacity: number, maxAgeMs: number): SampleWindow => {
	let samples: Array<{value: number; atMs: number}> = [];
	return {
		add(value, nowMs) {
			samples.push({value, atMs: nowMs});
			if (samples.length > capacity) {
				samples.shift();
			}
		},
		median(nowMs, minimumSamples) {
			samples = samples.filter(({atMs}) => nowMs - atMs <= maxAgeMs);
			return samples.length < minimumSamples ? undefined : median(samples.map(({value}) => value));
		},
		clear() {
			samples = [];
		},
	};
};
