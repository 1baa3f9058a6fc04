/** Orders the parts of an answer: buffers parts that arrive early and drops duplicates. */

/** A part of an answer with its position in the answer. */
export type IndexedPart = {index: number};

/** Maximum number of buffered parts; if more parts arrive, the missing part counts as lost. */
const maxHeldParts = 256;

export type TokenSequencer<T extends IndexedPart> = {
	/** Index of the next part to return. */
	readonly nextIndex: number;
	/** Accepts one part and returns the parts that are now in order. @throws RangeError when too many parts are buffered. */
	push(part: T): T[];
};

/** Creates a sequencer that starts at `firstIndex`. */
export const createTokenSequencer = <T extends IndexedPart>(
	firstIndex: number,
): TokenSequencer<T> => {
	const held = new Map<number, T>();
	let nextIndex = firstIndex;
	return {
		get nextIndex() {
			return nextIndex;
		},
		push(part) {
			if (part.index < nextIndex) {
				return [];
			}

			held.set(part.index, part);
			if (held.size > maxHeldParts) {
				throw new RangeError(`part ${nextIndex} is missing after ${held.size} later parts`);
			}

			const ready: T[] = [];
			for (let next = held.get(nextIndex); next; next = held.get(nextIndex)) {
				held.delete(nextIndex);
				ready.push(next);
				nextIndex++;
			}

			return ready;
		},
	};
};
