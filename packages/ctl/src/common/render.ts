/** Formats changes, conflicts and problems for operators. */
import * as problem from '@hawthornfront/catalogue/common/problem.js';
import type * as recordEdit from '@hawthornfront/catalogue/common/record-edit.js';
import type * as schema from '@hawthornfront/catalogue/common/schema.js';

const valueText = (value: unknown): string =>
	value === undefined ? '(none)' : JSON.stringify(value);

const changedFields = (
	before: schema.CatalogueRecord,
	after: schema.CatalogueRecord,
): Array<{field: string; from: string; to: string}> => {
	const old = new Map<string, unknown>(Object.entries(before));
	const wanted = new Map<string, unknown>(Object.entries(after));
	return [...new Set([...old.keys(), ...wanted.keys()])]
		.map((field) => ({
			field,
			from: valueText(old.get(field)),
			to: valueText(wanted.get(field)),
		}))
		.filter((change) => change.from !== change.to);
};

/** Lines of one change: `+` added, `-` removed, `~` changed with its fields. */
export const changeLines = (change: recordEdit.RecordChange): string[] => {
	if (!change.before) {
		return [`+ ${change.id}`];
	}

	if (!change.after) {
		return [`- ${change.id}`];
	}

	const fields = changedFields(change.before, change.after);
	return [`~ ${change.id}`, ...fields.map(({field, from, to}) => `    ${field}: ${from} -> ${to}`)];
};

/** One line for each record that two operators changed differently. */
export const conflictLines = (conflicts: readonly recordEdit.RecordConflict[]): string[] =>
	conflicts.map(({id, mine, theirs}) => {
		if (!theirs) {
			return `${id}: removed by another operator, changed by you`;
		}

		if (!mine) {
			return `${id}: changed by another operator, removed by you`;
		}

		const fields = changedFields(theirs, mine).map(
			({field, from, to}) => `${field} is ${from}, you want ${to}`,
		);
		return `${id}: ${fields.join('; ')}`;
	});

/** One line for each problem. */
export const problemLines = (problems: readonly problem.CatalogueProblem[]): string[] =>
	problems.map((item) => problem.problemText(item));
