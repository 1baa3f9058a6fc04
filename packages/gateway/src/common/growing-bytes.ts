/**
 * Byte buffer that doubles its capacity when it is full, so that each byte is copied a
 * bounded number of times on average. It copies appended bytes, so that the larger buffer
 * in which they arrived can be freed.
 */

export type GrowingBytes = {
	readonly length: number;
	append(bytes: Uint8Array): void;
	/** All bytes, without a copy; valid until the next append. */
	view(): Uint8Array;
	/** The last bytes, without a copy; fewer when there are fewer. */
	last(count: number): Uint8Array;
	/** Returns all bytes and empties the buffer. */
	take(): Uint8Array;
};

/** Creates an empty buffer. */
export const createGrowingBytes = (): GrowingBytes => {
	let buffer: Uint8Array = new Uint8Array(0);
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
			if (needed > buffer.length) {
				const larger = new Uint8Array(Math.max(needed, 2 * buffer.length));
				larger.set(buffer.subarray(0, length));
				buffer = larger;
			}

			buffer.set(bytes, length);
			length = needed;
		},
		view: () => buffer.subarray(0, length),
		last: (count) => buffer.subarray(Math.max(0, length - count), length),
		take() {
			const all = buffer.subarray(0, length);
			buffer = new Uint8Array(0);
			length = 0;
			return all;
		},
	};
};
