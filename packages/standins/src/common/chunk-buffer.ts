/** Bounded buffer between a sequence of the batching model and its reader. */

/** Consecutive tokens of an answer, or its end. */
export type Chunk =
	| {kind: 'tokens'; tokenIndex: number; count: number}
	| {kind: 'end'; finishReason: 'stop' | 'length'; usage: Usage};

export type Usage = {
	promptTokens: number;
	/** Prompt tokens that the prefix cache supplied. */
	cachedTokens: number;
	/** Length of the whole answer, including tokens before a resume. */
	completionTokens: number;
};

/** A generation that ended without its end chunk. */
export class GenerationError extends Error {
	readonly reason: 'cancelled' | 'crashed' | 'reset' | 'refused' | 'not-loaded';

	constructor(reason: GenerationError['reason']) {
		super(`generation ended: ${reason}`);
		this.name = 'GenerationError';
		this.reason = reason;
	}
}

export type ChunkBuffer = AsyncIterable<Chunk> & {
	/** Tokens that the reader has not taken yet. */
	readonly bufferedTokens: number;
	push(chunk: Chunk): void;
	fail(error: Error): void;
};

/**
 * Creates a buffer for one reader. `onDrain` is called when the reader takes a
 * chunk, `onLeave` when it stops before the end.
 */
export const createChunkBuffer = (onDrain: () => void, onLeave: () => void): ChunkBuffer => {
	const chunks: Chunk[] = [];
	let bufferedTokens = 0;
	let failure: Error | undefined;
	let hasEnded = false;
	let wake: (() => void) | undefined;

	const take = (): Chunk | undefined => {
		const chunk = chunks.shift();
		if (chunk?.kind === 'tokens') {
			bufferedTokens -= chunk.count;
		}

		return chunk;
	};

	const mustWait = () => chunks.length === 0 && !hasEnded && !failure;
	const nextChange = async () =>
		new Promise<void>((resolve) => {
			wake = resolve;
		});

	const next = async (): Promise<IteratorResult<Chunk>> => {
		while (mustWait()) {
			await nextChange();
		}

		const chunk = take();
		if (chunk) {
			hasEnded ||= chunk.kind === 'end';
			onDrain();
			return {done: false, value: chunk};
		}

		if (failure) {
			throw failure;
		}

		return {done: true, value: undefined};
	};

	const notify = () => {
		const current = wake;
		wake = undefined;
		current?.();
	};

	return {
		get bufferedTokens() {
			return bufferedTokens;
		},
		push(chunk) {
			if (chunk.kind === 'tokens') {
				bufferedTokens += chunk.count;
			}

			chunks.push(chunk);
			notify();
		},
		fail(error) {
			failure ??= error;
			notify();
		},
		[Symbol.asyncIterator]: () => ({
			next,
			async return() {
				if (!hasEnded) {
					hasEnded = true;
					onLeave();
				}

				return {done: true as const, value: undefined};
			},
		}),
	};
};
