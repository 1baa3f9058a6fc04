/** Puts the parts of an answer in order: late parts are held, doubled parts dropped. */

/** A part of an answer with its position. */
export type IndexedPart = {index: number};

/** Parts held while an earlier one is missing; more means that it was lost. */
const maxHeldParts = 256;

export type TokenSequencer<T extends IndexedPart> = {
	/** Index of the next part to hand out. */
	readonly nextIndex: number;
	/** Takes one part and returns those that are now in order. @throws RangeError when too many are held. */
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
