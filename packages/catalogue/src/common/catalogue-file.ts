/** The catalogue file that operators edit: a JSON array of records. */
import * as zod from 'zod';
import type * as problem from './problem.js';
import * as recordEdit from './record-edit.js';
import * as schema from './schema.js';

export type ParsedCatalogue = {
	records: schema.CatalogueRecord[];
	problems: problem.CatalogueProblem[];
};

const namedSchema = zod.object({kind: zod.string(), name: zod.string()});

const recordLabel = (value: unknown, index: number): string => {
	const named = namedSchema.safeParse(value);
	return named.success ? recordEdit.recordId(named.data) : `record ${index + 1} of the file`;
};

const fileProblem = (expected: string): ParsedCatalogue => ({
	records: [],
	problems: [{record: 'file', field: '', expected}],
});

/** Parses a catalogue file and reports every invalid record. */
export const parseCatalogue = (text: string): ParsedCatalogue => {
	let values: unknown;
	try {
		values = JSON.parse(text);
	} catch (error) {
		return fileProblem(`expected JSON: ${error instanceof Error ? error.message : String(error)}`);
	}

	if (!Array.isArray(values)) {
		return fileProblem('expected an array of records');
	}

	const records: schema.CatalogueRecord[] = [];
	const problems: problem.CatalogueProblem[] = [];
	for (const [index, value] of values.entries()) {
		const result = schema.recordSchema.safeParse(value);
		if (result.success) {
			records.push(result.data);
			continue;
		}

		for (const issue of result.error.issues) {
			problems.push({
				record: recordLabel(value, index),
				field: issue.path.map(String).join('.'),
				expected: issue.message,
			});
		}
	}

	return {records, problems};
};

/** Formats a catalogue file with one record per line, sorted by kind and name. */
export const formatCatalogue = (records: Iterable<schema.CatalogueRecord>): string => {
	const lines = [...records]
		.sort((left, right) => (recordEdit.recordId(left) < recordEdit.recordId(right) ? -1 : 1))
		.map((record) => JSON.stringify(record));
	return lines.length === 0 ? '[]\n' : `[\n${lines.join(',\n')}\n]\n`;
};
