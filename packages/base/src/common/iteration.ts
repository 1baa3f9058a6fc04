/**
 * Async iterators that always run their clean-up. A generator skips its
 * `finally` blocks when it is closed before its first item is read.
 */

/**
 * Forwards items and calls `onEnd` exactly once, when the source ends, fails or
 * is closed early, even if no item was read.
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

/** Applies a function to every item. Closing the iterator closes its source. */
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

/** Prepends an item that was already read to the rest of its source. */
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
