/**
 * Represents an edit of the catalogue as changes of single records, so that an
 * edit that lost a race can be rebased on the newer catalogue.
 */
import type * as schema from './schema.js';

/** Identifier that is unique across all kinds, such as `entry/contract-draft`. */
export const recordId = (record: {kind: string; name: string}): string =>
	`${record.kind}/${record.name}`;

/** One changed record. An added record has no `before`, a removed record no `after`. */
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

/** JSON text that does not depend on the order of keys; empty for undefined. */
export const canonicalText = (record: schema.CatalogueRecord | undefined): string =>
	record ? JSON.stringify(sortKeys(record)) : '';

const isSame = (
	left: schema.CatalogueRecord | undefined,
	right: schema.CatalogueRecord | undefined,
): boolean => canonicalText(left) === canonicalText(right);

/** Maps records by {@link recordId}. */
export const indexRecords = (
	records: Iterable<schema.CatalogueRecord>,
): Map<string, schema.CatalogueRecord> => {
	const index = new Map<string, schema.CatalogueRecord>();
	for (const record of records) {
		index.set(recordId(record), record);
	}

	return index;
};

/** Changes between two catalogues, sorted by id. */
export const diffRecords = (
	before: Iterable<schema.CatalogueRecord>,
	after: Iterable<schema.CatalogueRecord>,
): RecordChange[] => {
	const oldRecords = indexRecords(before);
	const newRecords = indexRecords(after);
	const ids = [...new Set([...oldRecords.keys(), ...newRecords.keys()])].sort();
	return ids
		.map((id) => ({id, before: oldRecords.get(id), after: newRecords.get(id)}))
		.filter((change) => !isSame(change.before, change.after));
};

/**
 * Three-way merge: applies changes made against a base to the current catalogue.
 * A change that is already applied is skipped. A record that equals neither its
 * base version nor its new version is a conflict.
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
