/** Catalogue source that reads from the store. Its revision never decreases. */
import type * as recordStore from '@hawthornfront/catalogue/common/record-store.js';
import type * as schema from '@hawthornfront/catalogue/common/schema.js';
import * as snapshot from '@hawthornfront/catalogue/common/snapshot.js';
import * as catalogueReader from '@hawthornfront/catalogue/node/catalogue-reader.js';
import type * as placer from '../common/placer.js';

/** Removes the records of parts that are no longer used; the rest spare reads of unchanged parts. */
const pruneCache = (cache: catalogueReader.PartCache, parts: readonly schema.PartReference[]) => {
	const used = new Set(parts.map((part) => part.digest));
	for (const digest of cache.keys()) {
		if (!used.has(digest)) {
			cache.delete(digest);
		}
	}
};

/** Creates a source with an empty snapshot. */
export const createStoreCatalogue = (store: recordStore.RecordStore): placer.CatalogueSource => {
	const cache: catalogueReader.PartCache = new Map();
	let current = snapshot.emptySnapshot;
	return {
		snapshot: () => current,
		async refresh() {
			const found = await catalogueReader.readRoot(store);
			if (!found || found.revision <= current.revision) {
				return;
			}

			const stored = await catalogueReader.readCatalogue(store, {cache});
			if (stored.revision > current.revision) {
				current = snapshot.createSnapshot(stored.revision, stored.records);
				pruneCache(cache, stored.root?.parts ?? []);
			}
		},
	};
};
