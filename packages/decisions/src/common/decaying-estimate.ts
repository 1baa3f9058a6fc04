/**
 * A moving average that decays to its initial value without new samples, so that
 * an upstream that was slow once is tried again.
 */
export type DecayingEstimate = {
	add(sample: number, nowMs: number): void;
	value(nowMs: number): number;
};

export type DecayingEstimateOptions = {
	initial: number;
	/** Value to which it returns; the initial one by default. */
	restingValue?: (nowMs: number) => number;
	/** Weight of the newest sample, 0 to 1. */
	learningRate: number;
	halfLifeMs: number;
};

/** Creates an estimate without samples. */
export const createDecayingEstimate = ({
	initial,
	restingValue = () => initial,
	learningRate,
	halfLifeMs,
}: DecayingEstimateOptions): DecayingEstimate => {
	let learned = initial;
	let learnedAtMs = Number.NEGATIVE_INFINITY;
	const value = (nowMs: number) => {
		const resting = restingValue(nowMs);
		return resting + (learned - resting) * 0.5 ** ((nowMs - learnedAtMs) / halfLifeMs);
	};

	return {
		add(sample, nowMs) {
			const current = value(nowMs);
			learned = current + learningRate * (sample - current);
			learnedAtMs = nowMs;
		},
		value,
	};
};
