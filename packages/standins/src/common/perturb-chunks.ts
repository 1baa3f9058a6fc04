/** Faults of a stream between the batching model and the caller. */
import type * as clockModule from '@hawthornfront/base/common/clock.js';
import type * as randomModule from '@hawthornfront/base/common/random.js';
import * as chunkBuffer from './chunk-buffer.js';

export type StreamFaults = {
	/** Breaks the connection instead of the answer's headers. */
	resetBeforeAnswer: boolean;
	/** Breaks the connection after this many tokens of this answer. */
	resetAfterTokens: number | undefined;
	/** Answers without an end marker after this many tokens, as a faulty runner does. */
	truncateAfterTokens: number | undefined;
	/** Probability that a chunk is sent twice. */
	duplicateProbability: number;
	/** Probability that a chunk is sent after the next one. */
	reorderProbability: number;
	/** Withholds the answer for this time; the generation itself is not delayed. */
	answerLateMs: number;
};

/** Switches with no fault on. */
export const createStreamFaults = (): StreamFaults => ({
	resetBeforeAnswer: false,
	resetAfterTokens: undefined,
	truncateAfterTokens: undefined,
	duplicateProbability: 0,
	reorderProbability: 0,
	answerLateMs: 0,
});

/**
 * Repeats and swaps chunks of a stream. The end chunk stays the last one.
 * @throws {@link chunkBuffer.GenerationError} after `resetAfterTokens`
 */
export async function* perturbChunks(
	chunks: AsyncIterable<chunkBuffer.Chunk>,
	faults: StreamFaults,
	random: randomModule.Random,
): AsyncGenerator<chunkBuffer.Chunk> {
	let held: chunkBuffer.Chunk | undefined;
	let sentTokens = 0;
	for await (const chunk of chunks) {
		if (chunk.kind === 'tokens' && !held && random.next() < faults.reorderProbability) {
			held = chunk;
			continue;
		}

		const isSwapped = chunk.kind === 'tokens';
		const ordered = held ? (isSwapped ? [chunk, held] : [held, chunk]) : [chunk];
		held = undefined;
		for (const item of ordered) {
			yield item;
			if (item.kind === 'end') {
				return;
			}

			sentTokens += item.count;
			if (sentTokens >= (faults.resetAfterTokens ?? Number.POSITIVE_INFINITY)) {
				throw new chunkBuffer.GenerationError('reset');
			}

			if (sentTokens >= (faults.truncateAfterTokens ?? Number.POSITIVE_INFINITY)) {
				return;
			}

			if (random.next() < faults.duplicateProbability) {
				yield item;
			}
		}
	}
}

/** Applies the faults that precede the first chunk. @throws {@link chunkBuffer.GenerationError} */
export const delayAnswer = async (
	clock: clockModule.Clock,
	faults: StreamFaults,
	signal: AbortSignal,
): Promise<void> => {
	if (faults.answerLateMs > 0) {
		await clock.sleep(faults.answerLateMs, signal);
	}

	if (faults.resetBeforeAnswer) {
		throw new chunkBuffer.GenerationError('reset');
	}
};
