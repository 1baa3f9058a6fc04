/**
 * Collects a body. Small chunks are copied into blocks, because each chunk by itself costs
 * some hundred bytes: a body in chunks of one byte would take many times its size.
 */

/** Smaller chunks are copied. */
const ownBlockBytes = 16_384;
const minBlockBytes = 512;
/** Objects of a block beside its bytes. */
const blockOverheadBytes = 512;

export type BodyBlocks = {
	/** Appends a chunk; returns the memory that it takes. */
	append(chunk: Uint8Array): number;
	/** Returns all bytes; undefined if there are none. */
	take(): Uint8Array | undefined;
	/** Bytes of the body. */
	readonly length: number;
};

export const createBodyBlocks = (): BodyBlocks => {
	let blocks: Uint8Array[] = [];
	/** Last block, with room for further bytes. */
	let open: Uint8Array | undefined;
	let openLength = 0;
	let length = 0;

	const closeOpen = () => {
		if (open) {
			blocks.push(open.subarray(0, openLength));
			open = undefined;
			openLength = 0;
		}
	};

	return {
		append(chunk) {
			length += chunk.length;
			if (chunk.length >= ownBlockBytes) {
				closeOpen();
				blocks.push(chunk);
				return chunk.length + blockOverheadBytes;
			}

			let taken = 0;
			if (!open || openLength + chunk.length > open.length) {
				const nextBytes = Math.min(ownBlockBytes, 2 * (open?.length ?? 0));
				closeOpen();
				open = new Uint8Array(Math.max(minBlockBytes, chunk.length, nextBytes));
				taken = open.length + blockOverheadBytes;
			}

			open.set(chunk, openLength);
			openLength += chunk.length;
			return taken;
		},
		take() {
			closeOpen();
			const taken = blocks;
			blocks = [];
			if (taken.length <= 1) {
				return taken[0];
			}

			const body = new Uint8Array(length);
			let offset = 0;
			for (const block of taken) {
				body.set(block, offset);
				offset += block.length;
			}

			return body;
		},
		get length() {
			return length;
		},
	};
};
