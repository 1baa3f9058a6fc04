/** Models and runners of one region in the catalogue. */
import type * as schema from '@hawthornfront/catalogue/common/schema.js';
import type * as snapshot from '@hawthornfront/catalogue/common/snapshot.js';

/** Sorted models that entries may use in a region. */
export const modelsOf = (catalogue: snapshot.Snapshot, region: string): string[] => {
	const models = new Set<string>();
	for (const {target, homeRegion} of catalogue.entries.values()) {
		if (target.kind === 'model' && (homeRegion ?? region) === region) {
			models.add(target.model);
		}
	}

	return [...models].sort();
};

/** Runners of a region, sorted by name, without those of the old setup: they take no orders from the placer. */
export const runnersOf = (catalogue: snapshot.Snapshot, region: string): schema.Upstream[] =>
	[...catalogue.upstreams.values()]
		.filter(
			(upstream) => upstream.type === 'runner' && upstream.region === region && !upstream.oldSetup,
		)
		.sort((left, right) => (left.name < right.name ? -1 : 1));
