/** A bucket that refills at a rate that may change, and that may go into debt. */

export type TokenBucket = {
	/** Sets the refill per second and the capacity; what is in the bucket stays, up to the capacity. */
	configure(ratePerSecond: number, capacity: number, nowMs: number): void;
	/** Time until `amount` can be taken; 0 when it can be taken now. */
	waitMs(amount: number, nowMs: number): number;
	/** Takes unconditionally; a negative amount gives back. */
	take(amount: number, nowMs: number): void;
};

/** Creates a full bucket. */
export const createTokenBucket = (
	ratePerSecond: number,
	capacity: number,
	nowMs: number,
): TokenBucket => {
	let rate = ratePerSecond;
	let limit = capacity;
	let level = capacity;
	let updatedAtMs = nowMs;

	const refill = (atMs: number) => {
		level = Math.min(limit, level + (rate * (atMs - updatedAtMs)) / 1000);
		updatedAtMs = atMs;
	};

	return {
		configure(nextRate, nextCapacity, atMs) {
			refill(atMs);
			// A bucket whose capacity grows before first use would otherwise start empty.
			const wasFull = level >= limit;
			rate = nextRate;
			limit = nextCapacity;
			level = wasFull ? limit : Math.min(limit, level);
		},
		waitMs(amount, atMs) {
			refill(atMs);
			// An amount above the capacity needs a full bucket and leaves a debt;
			// otherwise it could never be taken.
			const missing = Math.min(amount, limit) - level;
			if (missing <= 0) {
				return 0;
			}

			return rate > 0 ? (missing / rate) * 1000 : Number.POSITIVE_INFINITY;
		},
		take(amount, atMs) {
			refill(atMs);
			level = Math.min(limit, level - amount);
		},
	};
};
