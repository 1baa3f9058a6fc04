/** Slow start: gradual growth of the share of slots that may be used of a new or returning upstream. */

/** Grows linearly from `initialShare` to 1 over `durationMs`. */
export const slowStartShare = (ageMs: number, durationMs: number, initialShare: number): number => {
	if (ageMs >= durationMs) {
		return 1;
	}

	return initialShare + (1 - initialShare) * (Math.max(0, ageMs) / durationMs);
};
