/**
 * Bytes that arrive in pieces, in one array that doubles when it is full: each
 * byte is copied a bounded number of times, and no piece keeps the buffer alive
 * in which it arrived.
 */

export type GrowingBytes = {
	readonly length: number;
	append(bytes: Uint8Array): void;
	/** All bytes, without a copy; valid until the next append. */
	view(): Uint8Array;
	/** The last bytes, without a copy; fewer when there are fewer. */
	last(count: number): Uint8Array;
	/** Hands all bytes over and starts again. */
	take(): Uint8Array;
};

/** Creates an empty array. */
export const createGrowingBytes = (): GrowingBytes => {
	let store: Uint8Array = new Uint8Array(0);
	let length = 0;

	return {
		get length() {
			return length;
		},
		append(bytes) {
			if (bytes.length === 0) {
				return;
			}

			const needed = length + bytes.length;
			if (needed > store.length) {
				const larger = new Uint8Array(Math.max(needed, 2 * store.length));
				larger.set(store.subarray(0, length));
				store = larger;
			}

			store.set(bytes, length);
			length = needed;
		},
		view: () => store.subarray(0, length),
		last: (count) => store.subarray(Math.max(0, length - count), length),
		take() {
			const all = store.subarray(0, length);
			store = new Uint8Array(0);
			length = 0;
			return all;
		},
	};
};
