/**
 * Texts that are kept beyond the message they came with. V8 stores a text that is cut out
 * of another as a reference into it, and a sum of texts as references to its parts, so a
 * short id can keep a whole header in memory.
 */

/** V8 copies the characters of shorter texts. */
const minReferenceLength = 13;

/**
 * Copies a text, so that it refers to no other one. Call it when a text is kept, not for
 * each text that is read.
 *
 * @param maxLength the rest is cut off; an id that would be cut off must not be kept
 */
export const ownText = (text: string, maxLength: number): string => {
	const kept = text.length > maxLength ? text.slice(0, maxLength) : text;
	if (kept.length < minReferenceLength) {
		return kept;
	}

	// Parsing always makes a new text, and keeps characters that are no valid Unicode.
	const quoted = JSON.stringify(kept);
	return JSON.parse(quoted) as string;
};
