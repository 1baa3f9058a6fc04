/** Percentile by rank; 0 for an empty list. @param share rank as a fraction, from 0 to 1 */
export const percentile = (values: readonly number[], share: number): number => {
	const sorted = [...values].sort((left, right) => left - right);
	return sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * share))] ?? 0;
};
