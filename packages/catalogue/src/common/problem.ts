/** Validation errors of a catalogue. */

export type CatalogueProblem = {
	/** Record such as `entry/contract-draft`, or its position in the file when it has no name. */
	record: string;
	/** Field such as `limits.deadlineMs`; empty for the whole record. */
	field: string;
	/** Phrase that begins with `expected`. */
	expected: string;
};

/** Formats a problem as one line of text. */
export const problemText = (problem: CatalogueProblem): string =>
	`${problem.record}${problem.field ? `, field "${problem.field}"` : ''}: ${problem.expected}`;
