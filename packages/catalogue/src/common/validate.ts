/**
 * Consistency rules of the catalogue. The schema validates each record by
 * itself; these rules reject a catalogue that daemons could not serve as the
 * operator intended.
 */
import type * as problem from './problem.js';
import * as recordEdit from './record-edit.js';
import type * as schema from './schema.js';
import * as snapshot from './snapshot.js';

type Problems = problem.CatalogueProblem[];

const findDuplicates = (records: readonly schema.CatalogueRecord[]): Problems => {
	const seen = new Set<string>();
	const problems: Problems = [];
	for (const record of records) {
		const id = recordEdit.recordId(record);
		if (seen.has(id)) {
			problems.push({record: id, field: 'name', expected: 'expected a name used once in its kind'});
		}

		seen.add(id);
	}

	return problems;
};

const checkUpstream = (upstream: schema.Upstream): Problems => {
	const record = recordEdit.recordId(upstream);
	if (upstream.type === 'runner' && upstream.models.length === 0) {
		return [{record, field: 'models', expected: 'expected at least one model of a runner'}];
	}

	if (upstream.type === 'service' && upstream.service === undefined) {
		return [{record, field: 'service', expected: 'expected the service that it implements'}];
	}

	return [];
};

const targetName = (target: schema.Target): string =>
	target.kind === 'model' ? `model ${target.model}` : `service ${target.service}`;

const checkHasUpstream = (catalogue: snapshot.Snapshot, entry: schema.Entry): Problems => {
	const problems: Problems = [];
	const regionText = entry.homeRegion === undefined ? 'any region' : `region ${entry.homeRegion}`;
	const isServed = (oldSetup: boolean) =>
		snapshot.upstreamsFor(catalogue, entry, {region: entry.homeRegion, oldSetup}).length > 0;
	if (entry.oldSetupShare < 1 && !isServed(false)) {
		const expected = `expected an upstream that serves ${targetName(entry.target)} in ${regionText}`;
		problems.push({record: recordEdit.recordId(entry), field: 'target', expected});
	}

	if (entry.oldSetupShare > 0 && !isServed(true)) {
		const expected = `expected an upstream of the old setup that serves ${targetName(entry.target)} in ${regionText}, or share 0`;
		problems.push({record: recordEdit.recordId(entry), field: 'oldSetupShare', expected});
	}

	return problems;
};

const checkEntry = (entry: schema.Entry): Problems => {
	const record = recordEdit.recordId(entry);
	const problems: Problems = [];
	if ((entry.workClass === 'service') !== (entry.target.kind === 'service')) {
		const expected =
			'expected work class "service" for a target of kind "service", "short" or "long" for a model';
		problems.push({record, field: 'workClass', expected});
	}

	const needsReason = !entry.idempotent && entry.target.kind === 'model';
	if (needsReason && entry.nonIdempotentReason === undefined) {
		const expected = 'expected a reason, because the target is a model and idempotent is false';
		problems.push({record, field: 'nonIdempotentReason', expected});
	}

	if (entry.idempotent && entry.nonIdempotentReason !== undefined) {
		const expected = 'expected no reason, because idempotent is true';
		problems.push({record, field: 'nonIdempotentReason', expected});
	}

	return problems;
};

/**
 * Data of a bound team never leaves its home region, so the team could not use
 * an entry of its owner that is bound to another region.
 */
const checkRegions = (catalogue: snapshot.Snapshot): Problems => {
	const problems: Problems = [];
	const boundTeams = new Map<string, schema.Team[]>();
	for (const team of catalogue.teams.values()) {
		if (team.homeRegion !== undefined) {
			boundTeams.set(team.owner, [...(boundTeams.get(team.owner) ?? []), team]);
		}
	}

	for (const entry of catalogue.entries.values()) {
		if (entry.homeRegion === undefined) {
			continue;
		}

		for (const team of boundTeams.get(entry.owner) ?? []) {
			if (team.homeRegion !== entry.homeRegion) {
				const expected = `expected region ${team.homeRegion}, to which team/${team.name} of the same owner is bound`;
				problems.push({record: recordEdit.recordId(entry), field: 'homeRegion', expected});
			}
		}
	}

	return problems;
};

/** Checks the consistency rules; an empty list means that the catalogue is valid. */
export const validateRecords = (records: readonly schema.CatalogueRecord[]): Problems => {
	const catalogue = snapshot.createSnapshot(0, records);
	const owners = new Set([...catalogue.teams.values()].map((team) => team.owner));
	const problems = findDuplicates(records);
	for (const upstream of catalogue.upstreams.values()) {
		problems.push(...checkUpstream(upstream));
	}

	for (const entry of catalogue.entries.values()) {
		if (!owners.has(entry.owner)) {
			const expected = 'expected the owner of at least one team';
			problems.push({record: recordEdit.recordId(entry), field: 'owner', expected});
		}

		problems.push(...checkEntry(entry), ...checkHasUpstream(catalogue, entry));
	}

	problems.push(...checkRegions(catalogue));
	return problems;
};
