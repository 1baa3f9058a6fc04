/** Reads the catalogue from the store: the root, then its parts by digest. */
import * as zod from 'zod';
import type * as recordStore from '../common/record-store.js';
import * as schema from '../common/schema.js';
import * as partition from './partition.js';

const maxAttempts = 5;

/** One revision of the catalogue as it stands in the store. Revision 0 has no root. */
export type StoredCatalogue = {
	revision: number;
	root?: schema.Root;
	records: schema.CatalogueRecord[];
};

/** The store holds a root or a part that does not fit its digest or its schema. */
export class CatalogueDataError extends Error {
	readonly key: string;

	constructor(key: string, message: string) {
		super(`${key}: ${message}`);
		this.name = 'CatalogueDataError';
		this.key = key;
	}
}

/** Records of parts that were read before, by digest; parts never change. */
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
		throw new CatalogueDataError(key, `wrong value: ${detail ?? 'unknown'}`);
	}
};

/** Reads one part. @returns undefined when it was removed. @throws {@link CatalogueDataError} */
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

/** Reads the root. @returns undefined when there is no catalogue yet. */
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
 * Reads the whole catalogue. A part that is gone means that the root was
 * replaced and cleaned up during the read, which then starts again.
 * @throws {@link CatalogueDataError} when a part of the current root is missing or damaged.
 */
export const readCatalogue = async (
	store: recordStore.RecordStore,
	options: ReadOptions = {},
): Promise<StoredCatalogue> => {
	let missing = '';
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

		missing = root.parts[gone]?.digest ?? '';
	}

	throw new CatalogueDataError(schema.partKey(missing), 'the part does not exist');
};
