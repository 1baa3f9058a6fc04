/** A token bucket with a variable refill rate, whose level may become negative. */

export type TokenBucket = {
	/** Sets the refill rate and the capacity; the level is kept, up to the capacity. */
	configure(ratePerSecond: number, capacity: number, nowMs: number): void;
	/** Time until `amount` can be taken; 0 when it can be taken now. */
	waitMs(amount: number, nowMs: number): number;
	/** Takes unconditionally; a negative amount adds tokens. */
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
			// A full bucket stays full; otherwise one whose capacity grows before first use would start empty.
			const wasFull = level >= limit;
			rate = nextRate;
			limit = nextCapacity;
			level = wasFull ? limit : Math.min(limit, level);
		},
		waitMs(amount, atMs) {
			refill(atMs);
			// An amount above the capacity only requires a full bucket and makes the level negative;
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
