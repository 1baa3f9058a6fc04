// Guards the invariants of membership and configuration under random faults, with fixed seeds.
import * as fc from 'fast-check';
import * as tap from 'tap';
import * as clusters from './fleet-cluster.js';

const size = 9;
const faultMs = 40_000;
const settleMs = 75_000;
const node = fc.integer({min: 0, max: size - 1});
const atMs = fc.integer({min: 15_000, max: 15_000 + faultMs});
const durationMs = fc.integer({min: 500, max: 20_000});

const faultArbitrary = fc.oneof(
	fc.record({kind: fc.constant('crash' as const), node, atMs, durationMs}),
	fc.record({kind: fc.constant('pause' as const), node, atMs, durationMs}),
	fc.record({kind: fc.constant('cut' as const), node, other: node, atMs, durationMs}),
	fc.record({kind: fc.constant('oneWay' as const), node, other: node, atMs, durationMs}),
	fc.record({kind: fc.constant('store' as const), atMs, durationMs}),
	fc.record({kind: fc.constant('lag' as const), atMs, durationMs}),
	fc.record({kind: fc.constant('change' as const), atMs}),
);
type Fault = typeof faultArbitrary extends fc.Arbitrary<infer Value> ? Value : never;

const scenarioArbitrary = fc.record({
	seed: fc.integer({min: 1, max: 1_000_000}),
	loss: fc.constantFrom(0, 0.02, 0.1),
	duplication: fc.constantFrom(0, 0.1),
	jitterMs: fc.constantFrom(0, 30, 1500),
	faults: fc.array(faultArbitrary, {maxLength: 8}),
});

const startAll = (
	cluster: clusters.Cluster,
	places: clusters.Place[],
	seeds = [places[0]!.address, places.at(-1)!.address],
) => {
	for (const place of places) {
		cluster.start(place, seeds);
	}
};

const schedule = (cluster: clusters.Cluster, places: clusters.Place[], faults: Fault[]) => {
	const {clock, network, store} = cluster;
	const cuts: Array<{from: string; to: string; untilMs: number; fromMs: number}> = [];
	const history: number[][] = [];
	network.faults.isCut = (from, to) =>
		cuts.some(
			(cut) =>
				cut.from === from &&
				cut.to === to &&
				clock.nowMs() >= cut.fromMs &&
				clock.nowMs() < cut.untilMs,
		);
	const during = (
		fault: {atMs: number; durationMs: number},
		begin: () => void,
		end: () => void,
	) => {
		clock.setTimer(begin, fault.atMs);
		clock.setTimer(end, Math.min(fault.atMs + fault.durationMs, 15_000 + faultMs));
	};

	for (const [index, fault] of faults.entries()) {
		const place = 'node' in fault ? places[fault.node]! : places[0]!;
		switch (fault.kind) {
			case 'crash': {
				const restart = () => {
					if (!cluster.nodes.has(place.name)) {
						startAll(cluster, [place], [places[0]!.address, places.at(-1)!.address]);
					}
				};

				const crash = () => {
					const old = cluster.nodes.get(place.name);
					if (old) {
						history.push(old.revisions);
						cluster.crash(place.name);
					}
				};

				during(fault, crash, restart);
				break;
			}

			case 'pause': {
				const pause = () => {
					cluster.setPaused(place.name, true);
				};

				const resume = () => {
					cluster.setPaused(place.name, false);
				};

				during(fault, pause, resume);
				break;
			}

			case 'cut':
			case 'oneWay': {
				const other = places[fault.other]!.address;
				const untilMs = Math.min(fault.atMs + fault.durationMs, 15_000 + faultMs);
				cuts.push({from: place.address, to: other, fromMs: fault.atMs, untilMs});
				if (fault.kind === 'cut') {
					cuts.push({from: other, to: place.address, fromMs: fault.atMs, untilMs});
				}

				break;
			}

			case 'store': {
				const down = () => {
					store.mode = 'down';
				};

				const up = () => {
					store.mode = 'up';
				};

				during(fault, down, up);
				break;
			}

			case 'lag': {
				const lag = () => {
					store.laggingRoot = cluster.firstRoot;
				};

				const current = () => {
					store.laggingRoot = undefined;
				};

				during(fault, lag, current);
				break;
			}

			case 'change': {
				clock.setTimer(() => {
					cluster.configure([clusters.team(`team-${index}`)]);
				}, fault.atMs);
				break;
			}
		}
	}

	return history;
};

tap.t.test('views converge after faults and no revision decreases', async (t) => {
	await fc.assert(
		fc.asyncProperty(scenarioArbitrary, async (scenario) => {
			const cluster = clusters.createCluster(scenario.seed);
			const places = clusters.createPlaces(['north/a', 'south/b', 'east/c'], size / 3);
			const {loss, duplication, jitterMs} = scenario;
			cluster.configure([clusters.team('one')]);
			startAll(cluster, places);
			Object.assign(cluster.network.faults, {loss, duplication, jitterMs});
			const history = schedule(cluster, places, scenario.faults);
			await cluster.clock.advance(15_000 + faultMs);
			Object.assign(cluster.network.faults, {loss: 0, duplication: 0, jitterMs: 0});
			await cluster.clock.advance(settleMs);
			const expected = places.map((place) => place.name).join(' ');
			const views = places.map((place) => cluster.view(place.name).join(' '));
			const revisions = [...cluster.nodes.values()].map((item) => item.revisions);
			const inForce = cluster.revisionsInForce();
			cluster.disposeAll();
			for (const view of views) {
				if (view !== expected) {
					throw new Error(`view ${view} differs from ${expected}`);
				}
			}

			if (inForce.length !== 1 || inForce[0] !== cluster.lastRevision) {
				throw new Error(`in force: ${inForce.join(' ')}, accepted: ${cluster.lastRevision}`);
			}

			for (const list of [...revisions, ...history]) {
				if (list.some((revision, index) => index > 0 && revision <= list[index - 1]!)) {
					throw new Error(`revisions of one daemon decreased: ${list.join(' ')}`);
				}
			}
		}),
		{numRuns: 25, seed: 20_261_204},
	);
	t.pass();
});

tap.t.test('a daemon whose heartbeats reach a majority of its domain is not removed', async (t) => {
	const count = 7;
	const scenario = fc.record({
		seed: fc.integer({min: 1, max: 1_000_000}),
		// Cut links from and to the observed daemon; its heartbeats still reach four of six peers.
		cutToPeers: fc.uniqueArray(fc.integer({min: 1, max: count - 1}), {maxLength: 2}),
		cutFromPeers: fc.uniqueArray(fc.integer({min: 1, max: count - 1}), {maxLength: count - 1}),
		loss: fc.constantFrom(0, 0.05),
	});
	await fc.assert(
		fc.asyncProperty(scenario, async ({seed, cutToPeers, cutFromPeers, loss}) => {
			const cluster = clusters.createCluster(seed);
			const places = clusters.createPlaces(['north/a'], count);
			cluster.configure([clusters.team('one')]);
			startAll(cluster, places);
			await cluster.clock.advance(15_000);
			const observed = places[0]!;
			const cutTo = new Set(cutToPeers.map((index) => places[index]!.address));
			const cutFrom = new Set(cutFromPeers.map((index) => places[index]!.address));
			cluster.network.faults.loss = loss;
			cluster.network.faults.isCut = (from, to) =>
				(from === observed.address && cutTo.has(to)) ||
				(to === observed.address && cutFrom.has(from));
			const removedBy: string[] = [];
			for (const place of places.slice(1)) {
				cluster.nodes.get(place.name)!.fleet.onDidChangeMembers((members) => {
					if (!members.some((member) => member.name === observed.name)) {
						removedBy.push(`${place.name} at ${cluster.clock.nowMs()}`);
					}
				});
			}

			await cluster.clock.advance(60_000);
			cluster.disposeAll();
			if (removedBy.length > 0) {
				throw new Error(`removed by ${removedBy.join(', ')}`);
			}
		}),
		{numRuns: 25, seed: 20_261_205},
	);
	t.pass();
});
