/** Reads the catalogue from the store: the root, then its parts by digest. */
import * as zod from 'zod';
import type * as recordStore from '../common/record-store.js';
import * as schema from '../common/schema.js';
import * as partition from './partition.js';

const maxAttempts = 5;

/** One revision of the catalogue in the store. Revision 0 has no root. */
export type StoredCatalogue = {
	revision: number;
	root?: schema.Root;
	records: schema.CatalogueRecord[];
};

/** A root or a part in the store is missing or does not match its digest or its schema. */
export class CatalogueDataError extends Error {
	readonly key: string;

	constructor(key: string, message: string) {
		super(`${key}: ${message}`);
		this.name = 'CatalogueDataError';
		this.key = key;
	}
}

/** Records of parts by digest. Entries never become stale, because parts are immutable. */
export type PartCache = Map<string, schema.CatalogueRecord[]>;

export type ReadOptions = {
	cache?: PartCache;
	signal?: AbortSignal;
};

const parse = <Schema extends zod.ZodType>(
	key: string,
	text: string,
	valueSchema: Schema,
): zod.infer<Schema> => {
	try {
		return valueSchema.parse(JSON.parse(text));
	} catch (error) {
		const detail = error instanceof zod.ZodError ? error.issues[0]?.message : String(error);
		throw new CatalogueDataError(key, `invalid value: ${detail ?? 'unknown'}`);
	}
};

/** Reads one part. @returns undefined when the part was removed. @throws {@link CatalogueDataError} */
export const readPart = async (
	store: recordStore.RecordStore,
	digest: string,
	options: ReadOptions = {},
): Promise<schema.CatalogueRecord[] | undefined> => {
	const known = options.cache?.get(digest);
	if (known) {
		return known;
	}

	const key = schema.partKey(digest);
	const found = await store.get(key, options.signal);
	if (!found) {
		return undefined;
	}

	if (partition.digestOf(found.value) !== digest) {
		throw new CatalogueDataError(key, 'the value does not match its digest');
	}

	const records = parse(key, found.value, schema.partSchema);
	options.cache?.set(digest, records);
	return records;
};

/** Reads the root. @returns undefined before the first edit. */
export const readRoot = async (
	store: recordStore.RecordStore,
	signal?: AbortSignal,
): Promise<{revision: number; root: schema.Root} | undefined> => {
	const found = await store.get(schema.rootKey, signal);
	return found
		? {revision: found.revision, root: parse(schema.rootKey, found.value, schema.rootSchema)}
		: undefined;
};

/**
 * Reads the whole catalogue. A missing part means that an edit replaced the root
 * and the clean-up removed the part during the read, so the read is retried.
 * @throws {@link CatalogueDataError} when a part of the current root is missing or damaged.
 */
export const readCatalogue = async (
	store: recordStore.RecordStore,
	options: ReadOptions = {},
): Promise<StoredCatalogue> => {
	let missingDigest = '';
	for (let attempt = 0; attempt < maxAttempts; attempt++) {
		const found = await readRoot(store, options.signal);
		if (!found) {
			return {revision: 0, records: []};
		}

		const {root, revision} = found;
		const parts = await Promise.all(
			root.parts.map(async ({digest}) => readPart(store, digest, options)),
		);
		const gone = parts.indexOf(undefined);
		if (gone === -1) {
			return {revision, root, records: parts.flatMap((records) => records ?? [])};
		}

		missingDigest = root.parts[gone]?.digest ?? '';
	}

	throw new CatalogueDataError(schema.partKey(missingDigest), 'the part does not exist');
};
