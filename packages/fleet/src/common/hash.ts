/** 32-bit hashes for rendezvous hashing, digests and short names. */
import xxhash from 'xxhash-wasm';

const hasher = await xxhash();

/** Hash of a text, 0 to 2^32 - 1; the same in every daemon. */
export const hash32 = (text: string): number => hasher.h32(text);
