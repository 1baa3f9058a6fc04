/** Seeded random numbers, which make a run reproducible. */
import * as pureRand from 'pure-rand/generator/xoroshiro128plus';

/** A stream of random numbers. */
export type Random = {
	/** Uniform in [0, 1). */
	next(): number;
	/** Uniform integer in [minimum, maximum]. */
	integer(minimum: number, maximum: number): number;
	/** A uniformly chosen item; undefined for an empty list. */
	pick<T>(items: readonly T[]): T | undefined;
	/** Exponentially distributed with the given mean, such as the time between arrivals. */
	exponential(mean: number): number;
	/** An independent stream derived from this one. */
	fork(): Random;
};

const twoTo32 = 2 ** 32;

// The first numbers of the generator barely depend on a small seed: the very
// first one is above 0.9999 for every seed below 2000.
const discardedNumbers = 20;

/** Creates a stream from a 32-bit seed. */
export const createRandom = (seed: number): Random => {
	const generator = pureRand.xoroshiro128plus(seed);
	for (let count = 0; count < discardedNumbers; count++) {
		generator.next();
	}

	// The generator returns signed 32-bit integers.
	const next = () => (generator.next() / twoTo32 + 1) % 1;
	return {
		next,
		integer: (minimum, maximum) => minimum + Math.floor(next() * (maximum - minimum + 1)),
		pick: (items) => items[Math.floor(next() * items.length)],
		exponential: (mean) => -Math.log(1 - next()) * mean,
		fork: () => createRandom(Math.floor(next() * twoTo32)),
	};
};
