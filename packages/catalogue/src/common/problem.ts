/** Problems of a catalogue, each naming the record, the field and what was expected. */

export type CatalogueProblem = {
	/** Record such as `entry/contract-draft`, or its place in the file when it has no name. */
	record: string;
	/** Field such as `limits.deadlineMs`; empty when the whole record is meant. */
	field: string;
	/** What was expected, as half a sentence. */
	expected: string;
};

/** One line for a person. */
export const problemText = (problem: CatalogueProblem): string =>
	`${problem.record}${problem.field ? `, field "${problem.field}"` : ''}: ${problem.expected}`;
