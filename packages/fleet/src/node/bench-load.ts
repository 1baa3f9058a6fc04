/** Synthetic catalogue, load reports and expected waits for the control benchmark. */
import type * as disposable from '@hawthornfront/base/common/disposable.js';
import * as randomNumbers from '@hawthornfront/base/common/random.js';
import * as catalogue from '@hawthornfront/catalogue/common/schema.js';
import type * as benchWorld from './bench-world.js';

const models = Array.from({length: 10}, (_, index) => `model-${index}-instruct`);
const reportPeriodMs = 1000;
const slots = 32;

/** Creates teams with all optional fields at their defaults; only the first has `editedWeight`. */
export const createTeams = (count: number, editedWeight = 1): catalogue.CatalogueRecord[] =>
	Array.from({length: count}, (_, index) =>
		catalogue.teamSchema.parse({
			kind: 'team',
			name: `team-${index}`,
			owner: `owner-${index % 100}`,
			keySha256: 'a'.repeat(64),
			weight: index === 0 ? editedWeight : 1,
		}),
	);

/** Creates runners of one failure domain. */
export const createRunners = (failureDomain: string, count: number): catalogue.CatalogueRecord[] =>
	Array.from({length: count}, (_, index) =>
		catalogue.upstreamSchema.parse({
			kind: 'upstream',
			name: `runner-${failureDomain}-${index}`,
			type: 'runner',
			region: 'region-0',
			failureDomain,
			address: `10.200.0.1:${1000 + index}`,
			models: models.slice(0, 2 + (index % 3)),
			slots,
		}),
	);

/** Each second, publishes a random report of each runner at its pollers and waits at all daemons. */
export const startLoad = (
	world: benchWorld.World,
	runnersPerDomain: number,
	seed: number,
): disposable.Disposable => {
	const random = randomNumbers.createRandom(seed);
	const publishFor = (node: benchWorld.BenchNode) => {
		const {failureDomain} = node.place;
		for (let index = 0; index < runnersPerDomain; index++) {
			const upstream = `runner-${failureDomain}-${index}`;
			if (node.fleet.isPollerOf(upstream)) {
				node.fleet.publishLoad(upstream, {
					running: random.integer(0, slots),
					waiting: random.integer(0, 40),
					slots,
					leaving: false,
					model: models[index % 2]!,
					role: 'both',
					observedAtMs: world.clock.nowMs(),
				});
			}
		}

		node.fleet.publishWaits(
			models.flatMap((model) => [
				{model, workClass: 'short' as const, waitMs: random.integer(10, 900)},
				{model, workClass: 'long' as const, waitMs: random.integer(100, 9000)},
			]),
		);
	};

	return world.clock.setPeriodicTimer(() => {
		for (const node of world.nodes) {
			publishFor(node);
		}
	}, reportPeriodMs);
};
