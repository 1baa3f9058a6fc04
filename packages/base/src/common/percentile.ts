/** Value below which a share of the values lies, by rank; 0 without values. @param share 0 to 1 */
export const percentile = (values: readonly number[], share: number): number => {
	const sorted = [...values].sort((left, right) => left - right);
	return sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * share))] ?? 0;
};
