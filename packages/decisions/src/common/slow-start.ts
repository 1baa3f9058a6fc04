/** Gradual growth of the share of slots that an upstream with cold caches may use. */

/** Linear from `initialShare` at the start to 1 after `durationMs`. */
export const slowStartShare = (ageMs: number, durationMs: number, initialShare: number): number => {
	if (ageMs >= durationMs) {
		return 1;
	}

	return initialShare + (1 - initialShare) * (Math.max(0, ageMs) / durationMs);
};
