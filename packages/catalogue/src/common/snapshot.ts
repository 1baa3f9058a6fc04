/** Immutable view of one revision of the catalogue, with lookups for daemons. */
import type * as schema from './schema.js';

/** One revision of the catalogue. Revision 0 is the empty catalogue before the first read. */
export type Snapshot = {
	/** Store revision of the root. */
	readonly revision: number;
	readonly entries: ReadonlyMap<string, schema.Entry>;
	/** Entries by owner, because a request can use only entries of its team's owner. */
	readonly entriesByOwner: ReadonlyMap<string, readonly schema.Entry[]>;
	readonly teams: ReadonlyMap<string, schema.Team>;
	readonly upstreams: ReadonlyMap<string, schema.Upstream>;
};

const groupByOwner = (entries: Iterable<schema.Entry>): Map<string, schema.Entry[]> => {
	const groups = new Map<string, schema.Entry[]>();
	for (const entry of entries) {
		const group = groups.get(entry.owner) ?? [];
		group.push(entry);
		groups.set(entry.owner, group);
	}

	return groups;
};

/** Creates a snapshot. Of several records with the same kind and name, the last one wins. */
export const createSnapshot = (
	revision: number,
	records: Iterable<schema.CatalogueRecord>,
): Snapshot => {
	const entries = new Map<string, schema.Entry>();
	const teams = new Map<string, schema.Team>();
	const upstreams = new Map<string, schema.Upstream>();
	for (const record of records) {
		switch (record.kind) {
			case 'entry': {
				entries.set(record.name, record);
				break;
			}

			case 'team': {
				teams.set(record.name, record);
				break;
			}

			case 'upstream': {
				upstreams.set(record.name, record);
				break;
			}
		}
	}

	const entriesByOwner = groupByOwner(entries.values());
	return {revision, entries, entriesByOwner, teams, upstreams};
};

/** Snapshot in use before the first configuration is loaded. */
export const emptySnapshot: Snapshot = createSnapshot(0, []);

export const entriesOf = (snapshot: Snapshot, owner: string): readonly schema.Entry[] =>
	snapshot.entriesByOwner.get(owner) ?? [];

/** Region that a request of a team for an entry is bound to; undefined when unbound. */
export const homeRegionOf = (team: schema.Team, entry: schema.Entry): string | undefined =>
	entry.homeRegion ?? team.homeRegion;

/** Upstreams that can serve an entry, either of the old setup or, by default, outside it. */
export const upstreamsFor = (
	snapshot: Snapshot,
	entry: schema.Entry,
	options: {region?: string; oldSetup?: boolean} = {},
): schema.Upstream[] => {
	const {target} = entry;
	return [...snapshot.upstreams.values()].filter((upstream) => {
		if (upstream.oldSetup !== (options.oldSetup ?? false)) {
			return false;
		}

		if (options.region !== undefined && upstream.region !== options.region) {
			return false;
		}

		return target.kind === 'model'
			? upstream.type === 'runner' && upstream.models.includes(target.model)
			: upstream.type === 'service' && upstream.service === target.service;
	});
};
