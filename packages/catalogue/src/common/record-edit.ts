/**
 * Edits of the catalogue as changes of single records, so that an edit that
 * lost a race can be rebased on the catalogue that won it.
 */
import type * as schema from './schema.js';

/** Name of a record over all kinds, such as `entry/contract-draft`. */
export const recordId = (record: {kind: string; name: string}): string =>
	`${record.kind}/${record.name}`;

/** One changed record. `before` is absent for an added record, `after` for a removed one. */
export type RecordChange = {
	id: string;
	before?: schema.CatalogueRecord;
	after?: schema.CatalogueRecord;
};

/** A record that two operators changed differently. */
export type RecordConflict = {
	id: string;
	base?: schema.CatalogueRecord;
	mine?: schema.CatalogueRecord;
	theirs?: schema.CatalogueRecord;
};

export type RebaseResult =
	| {kind: 'rebased'; records: schema.CatalogueRecord[]; remaining: RecordChange[]}
	| {kind: 'conflict'; conflicts: RecordConflict[]};

const sortKeys = (value: unknown): unknown => {
	if (Array.isArray(value)) {
		return value.map((item) => sortKeys(item));
	}

	if (typeof value !== 'object' || value === null) {
		return value;
	}

	const pairs = Object.entries(value).filter(([, item]) => item !== undefined);
	pairs.sort(([left], [right]) => (left < right ? -1 : 1));
	return Object.fromEntries(pairs.map(([key, item]) => [key, sortKeys(item)]));
};

/** Text that is the same for equal records whatever the order of their keys. */
export const canonicalText = (record: schema.CatalogueRecord | undefined): string =>
	record ? JSON.stringify(sortKeys(record)) : '';

const isSame = (
	left: schema.CatalogueRecord | undefined,
	right: schema.CatalogueRecord | undefined,
): boolean => canonicalText(left) === canonicalText(right);

/** Records by their id. */
export const indexRecords = (
	records: Iterable<schema.CatalogueRecord>,
): Map<string, schema.CatalogueRecord> => {
	const index = new Map<string, schema.CatalogueRecord>();
	for (const record of records) {
		index.set(recordId(record), record);
	}

	return index;
};

/** Changes that lead from one catalogue to another, sorted by id. */
export const diffRecords = (
	before: Iterable<schema.CatalogueRecord>,
	after: Iterable<schema.CatalogueRecord>,
): RecordChange[] => {
	const old = indexRecords(before);
	const wanted = indexRecords(after);
	const ids = [...new Set([...old.keys(), ...wanted.keys()])].sort();
	return ids
		.map((id) => ({id, before: old.get(id), after: wanted.get(id)}))
		.filter((change) => !isSame(change.before, change.after));
};

/**
 * Three-way merge: applies changes made against a base to the current
 * catalogue. A change that is already there is skipped; a record that is
 * neither as in the base nor as wanted is a conflict.
 */
export const rebaseChanges = (
	changes: readonly RecordChange[],
	current: Iterable<schema.CatalogueRecord>,
): RebaseResult => {
	const index = indexRecords(current);
	const conflicts: RecordConflict[] = [];
	const remaining: RecordChange[] = [];
	for (const change of changes) {
		const theirs = index.get(change.id);
		if (isSame(theirs, change.after)) {
			continue;
		}

		if (!isSame(theirs, change.before)) {
			conflicts.push({id: change.id, base: change.before, mine: change.after, theirs});
			continue;
		}

		remaining.push(change);
		if (change.after) {
			index.set(change.id, change.after);
		} else {
			index.delete(change.id);
		}
	}

	return conflicts.length > 0
		? {kind: 'conflict', conflicts}
		: {kind: 'rebased', records: [...index.values()], remaining};
};
