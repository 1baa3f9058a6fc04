/**
 * Deterministic text of the runner stand-in. The same prompt, seed and model
 * give the same tokens on every runner, so that a stream can be resumed.
 */
/* eslint-disable no-bitwise -- hash functions are defined on bits */

const fnvOffset = 0x81_1c_9d_c5;
const fnvPrime = 0x01_00_01_93;
const charsPerToken = 4;

/** Prompt tokens that one block of the prefix cache covers. */
export const tokensPerBlock = 64;

/** FNV-1a over UTF-16 code units, continued from `start`. */
export const hashText = (text: string, start = fnvOffset): number => {
	let hash = start;
	for (let index = 0; index < text.length; index++) {
		// eslint-disable-next-line unicorn/prefer-code-point -- code units are enough for a hash
		hash = Math.imul(hash ^ text.charCodeAt(index), fnvPrime);
	}

	return hash >>> 0;
};

const mixPrimeA = 0x85_eb_ca_6b;
const mixPrimeB = 0xc2_b2_ae_35;

/** Mixes two numbers to 32 bits (finalizer of MurmurHash3). */
export const mix = (a: number, b: number): number => {
	let hash = Math.imul(a ^ Math.imul(b + 1, fnvPrime), mixPrimeA);
	hash = Math.imul(hash ^ (hash >>> 13), mixPrimeB);
	return (hash ^ (hash >>> 16)) >>> 0;
};

/** What the batching model needs to know of a prompt. */
export type Prompt = {
	/** Identifies the text; the answer is derived from it. */
	digest: number;
	tokens: number;
	/** Hash of the prompt up to the end of each whole block, in order. */
	prefixBlocks: readonly number[];
};

/** Splits a prompt into tokens and blocks. */
export const promptOfText = (text: string): Prompt => {
	const tokens = Math.max(1, Math.ceil(text.length / charsPerToken));
	const charsPerBlock = tokensPerBlock * charsPerToken;
	const prefixBlocks = [];
	let hash = fnvOffset;
	for (let end = charsPerBlock; end <= text.length; end += charsPerBlock) {
		hash = hashText(text.slice(end - charsPerBlock, end), hash);
		prefixBlocks.push(hash);
	}

	return {digest: hashText(text), tokens, prefixBlocks};
};

const syllables = [
	'ka',
	'ne',
	'ri',
	'to',
	'su',
	'mo',
	'la',
	'vi',
	'do',
	'pe',
	'ga',
	'hu',
	'ja',
	'lo',
	'me',
	'ti',
];

/** Identifies the answer to a prompt. */
export const answerDigest = (promptDigest: number, seed: number, model: string): number =>
	mix(mix(promptDigest, seed), hashText(model));

/** Text of the token at `index` of an answer. */
export const tokenText = (digest: number, index: number): string => {
	const hash = mix(digest, index);
	const first = syllables[hash & 15] ?? '';
	const second = syllables[(hash >>> 4) & 15] ?? '';
	return ` ${first}${second}`;
};

/** Length of an answer that is not cut by `max_tokens`. */
export const naturalLength = (digest: number, minimum: number, maximum: number): number =>
	minimum + (mix(digest, 0xff_ff) % (maximum - minimum + 1));
