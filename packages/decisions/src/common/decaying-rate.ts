/** Rate of a quantity per second, over roughly the last `windowMs`. */

export type DecayingRate = {
	add(amount: number, nowMs: number): void;
	perSecond(nowMs: number): number;
};

export const createDecayingRate = (windowMs: number): DecayingRate => {
	let sum = 0;
	let updatedAtMs = 0;
	const decay = (nowMs: number) => {
		sum *= Math.exp(-(nowMs - updatedAtMs) / windowMs);
		updatedAtMs = nowMs;
	};

	return {
		add(amount, nowMs) {
			decay(nowMs);
			sum += amount;
		},
		perSecond(nowMs) {
			decay(nowMs);
			return (sum / windowMs) * 1000;
		},
	};
};
