/**
 * Async iterators with clean-up. A generator that was never started does not run
 * its `finally` blocks when it is closed; these iterators always do.
 */

/**
 * Passes items on and calls `onEnd` exactly once when the source ends, fails or
 * is closed early, also when it was never read.
 */
export const withCleanUp = <T>(
	source: AsyncIterator<T>,
	onEnd: () => void,
): AsyncIterableIterator<T> => {
	let hasEnded = false;
	const end = () => {
		if (!hasEnded) {
			hasEnded = true;
			onEnd();
		}
	};

	return {
		[Symbol.asyncIterator]() {
			return this;
		},
		async next() {
			try {
				const result = await source.next();
				if (result.done) {
					end();
				}

				return result;
			} catch (error) {
				end();
				throw error;
			}
		},
		async return() {
			end();
			await source.return?.();
			return {done: true, value: undefined};
		},
	};
};

/** Applies a function to every item; closing it closes the source. */
export const mapAsync = <T, U>(
	source: AsyncIterator<T>,
	transform: (item: T) => U,
): AsyncIterableIterator<U> => ({
	[Symbol.asyncIterator]() {
		return this;
	},
	async next() {
		const result = await source.next();
		return result.done
			? {done: true, value: undefined}
			: {done: false, value: transform(result.value)};
	},
	async return() {
		await source.return?.();
		return {done: true, value: undefined};
	},
});

/** Puts an item that was already read back in front of its source. */
export const withFirst = <T>(first: T, source: AsyncIterator<T>): AsyncIterator<T> => {
	let isFirst = true;
	return {
		async next() {
			if (isFirst) {
				isFirst = false;
				return {done: false, value: first};
			}

			return source.next();
		},
		async return() {
			await source.return?.();
			return {done: true, value: undefined};
		},
	};
};
