/** Resident memory of the process. */
import * as process from 'node:process';

/** @param read reads the resident memory; it may throw, because on Linux it opens a file */
export const createResidentMemoryReader = (
	read: () => number = process.memoryUsage.rss,
): (() => number) => {
	let lastBytes = 0;
	/** Returns the last value while no descriptor is free. */
	return () => {
		try {
			lastBytes = read();
		} catch {
			// The caller is a timer or a scrape, which must not fail for a measurement.
		}

		return lastBytes;
	};
};
