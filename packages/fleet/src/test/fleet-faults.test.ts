// Guards the guarantees of section 9 of the design for faults of relays, store, links and clocks.
import * as tap from 'tap';
import * as catalogue from '@hawthornfront/catalogue/common/schema.js';
import * as memoryStore from '../common/memory-store.js';
import * as clusters from './fleet-cluster.js';

const joinMs = 15_000;
const inForceMs = 10_000;
const removalMs = 20_000;

const startAll = (cluster: clusters.Cluster, places: clusters.Place[], seeds?: string[]) => {
	for (const place of places) {
		cluster.start(place, seeds ?? [places[0]!.address, places.at(-1)!.address]);
	}
};

/** Creates a joined cluster with one team configured. */
const settle = async (seed: number, domains: string[], perDomain: number) => {
	const cluster = clusters.createCluster(seed);
	const places = clusters.createPlaces(domains, perDomain);
	cluster.configure([clusters.team('one')]);
	startAll(cluster, places);
	await cluster.clock.advance(joinMs);
	return {cluster, places};
};

const changeAndWait = async (cluster: clusters.Cluster, name: string) => {
	const revision = cluster.configure([clusters.team('one'), clusters.team(name)]);
	await cluster.clock.advance(inForceMs);
	return revision;
};

const cutBetween = (cluster: clusters.Cluster, isBothWays: boolean) => {
	cluster.network.faults.isCut = (from, to) =>
		(from.startsWith('10.0') && to.startsWith('10.1')) ||
		(isBothWays && from.startsWith('10.1') && to.startsWith('10.0'));
};

tap.t.test('one relay crashes: a change is applied everywhere within 10 s', async (t) => {
	const {cluster, places} = await settle(21, ['north/a'], 7);
	const [relay] = cluster.nodes.get(places[0]!.name)!.fleet.relays();
	cluster.crash(relay!);
	t.same(await changeAndWait(cluster, 'two'), cluster.revisionsInForce()[0]);
	t.equal(cluster.revisionsInForce().length, 1);
	cluster.disposeAll();
});

tap.t.test(
	'both relays crash: other daemons take over and the crashed ones are removed',
	async (t) => {
		const {cluster, places} = await settle(22, ['north/a'], 7);
		const lost = [...cluster.nodes.get(places[0]!.name)!.fleet.relays()];
		for (const name of lost) {
			cluster.crash(name);
		}

		const revision = await changeAndWait(cluster, 'two');
		t.same(cluster.revisionsInForce(), [revision]);
		await cluster.clock.advance(removalMs);
		for (const name of cluster.nodes.keys()) {
			t.equal(cluster.view(name).length, 5);
			t.notOk(
				cluster.nodes
					.get(name)!
					.fleet.relays()
					.some((relay) => lost.includes(relay)),
			);
		}

		cluster.disposeAll();
	},
);

tap.t.test('store down: a restarted daemon pulls the configuration from its peers', async (t) => {
	const {cluster, places} = await settle(23, ['north/a'], 5);
	cluster.store.mode = 'down';
	cluster.crash(places[2]!.name);
	await cluster.clock.advance(3000);
	const node = cluster.start(places[2]!, [places[0]!.address]);
	t.notOk(node.fleet.isReady());
	await cluster.clock.advance(inForceMs);
	t.ok(node.fleet.isReady());
	t.same(cluster.revisionsInForce(), [cluster.lastRevision]);
	cluster.disposeAll();
});

tap.t.test(
	'store unresponsive for a whole domain: the change arrives from another domain',
	async (t) => {
		const cluster = clusters.createCluster(24);
		const places = clusters.createPlaces(['north/a', 'south/b'], 5);
		const cutStore = new memoryStore.MemoryStore(cluster.clock);
		cutStore.mode = 'silent';
		cluster.configure([clusters.team('one')]);
		for (const place of places) {
			const store = place.region === 'south' ? cutStore : cluster.store;
			cluster.start(place, [places[0]!.address], {store});
		}

		await cluster.clock.advance(joinMs);
		const revision = await changeAndWait(cluster, 'two');
		t.same(cluster.revisionsInForce(), [revision]);
		cluster.disposeAll();
	},
);

tap.t.test(
	'slow store and late answers of a lagging replica never decrease a revision',
	async (t) => {
		const {cluster} = await settle(25, ['north/a'], 5);
		const second = await changeAndWait(cluster, 'two');
		cluster.store.laggingRoot = cluster.firstRoot;
		cluster.store.mode = 'slow';
		cluster.store.slowMs = 9000;
		await cluster.clock.advance(60_000);
		t.same(cluster.revisionsInForce(), [second]);
		cluster.store.laggingRoot = undefined;
		cluster.store.mode = 'up';
		await cluster.clock.advance(20_000);
		t.same(cluster.revisionsInForce(), [second]);
		for (const node of cluster.nodes.values()) {
			t.same(
				node.revisions,
				[1, 2].map((item) => node.revisions[item - 1]),
			);
		}

		cluster.disposeAll();
	},
);

tap.t.test('without any configuration a daemon is not ready', async (t) => {
	const cluster = clusters.createCluster(26);
	const places = clusters.createPlaces(['north/a'], 3);
	cluster.store.mode = 'down';
	startAll(cluster, places);
	await cluster.clock.advance(60_000);
	for (const node of cluster.nodes.values()) {
		t.notOk(node.fleet.isReady());
	}

	cluster.configure([clusters.team('one')]);
	cluster.store.mode = 'up';
	await cluster.clock.advance(30_000);
	for (const node of cluster.nodes.values()) {
		t.ok(node.fleet.isReady());
	}

	cluster.disposeAll();
});

tap.t.test(
	'VM list wrong and one of two seeds dead: daemons still discover each other',
	async (t) => {
		const cluster = clusters.createCluster(27);
		const places = clusters.createPlaces(['north/a'], 5);
		cluster.configure([clusters.team('one')]);
		cluster.vmList.vms = ['10.9.9.9:1', '10.9.9.8:1'].map((address) => ({
			name: address,
			role: 'entry',
			region: 'north',
			failureDomain: 'north-a',
			address,
			state: 'live',
		}));
		startAll(cluster, places, ['10.9.9.7:1', places[1]!.address]);
		await cluster.clock.advance(60_000);
		for (const place of places) {
			t.equal(cluster.view(place.name).length, 5);
		}

		cluster.disposeAll();
	},
);

tap.t.test('daemons join through the VM list alone when no seeds are given', async (t) => {
	const cluster = clusters.createCluster(28);
	const places = clusters.createPlaces(['north/a'], 4);
	cluster.configure([clusters.team('one')]);
	cluster.vmList.vms = places.map(({name, region, failureDomain, address}) => ({
		name,
		role: 'entry',
		region,
		failureDomain,
		address,
		state: 'live',
	}));
	startAll(cluster, places, []);
	await cluster.clock.advance(30_000);
	for (const place of places) {
		t.equal(cluster.view(place.name).length, 4);
	}

	cluster.disposeAll();
});

for (const isBothWays of [true, false]) {
	const ways = isBothWays ? 'both ways' : 'one way';
	tap.t.test(
		`region link cut ${ways}: no member is removed and changes spread afterwards`,
		async (t) => {
			const {cluster, places} = await settle(29, ['north/a', 'south/b'], 5);
			cutBetween(cluster, isBothWays);
			await cluster.clock.advance(300_000);
			for (const place of places) {
				t.equal(cluster.view(place.name).length, 10);
			}

			const cutRevision = await changeAndWait(cluster, 'two');
			t.same(cluster.revisionsInForce(), [cutRevision]);
			cluster.network.faults.isCut = () => false;
			const revision = await changeAndWait(cluster, 'three');
			t.same(cluster.revisionsInForce(), [revision]);
			cluster.disposeAll();
		},
	);
}

tap.t.test(
	'the summary of a partitioned region expires and returns after the partition',
	async (t) => {
		const {cluster, places} = await settle(30, ['north/a', 'south/b'], 5);
		for (const node of cluster.nodes.values()) {
			node.fleet.publishWaits([{model: 'm', workClass: 'short', waitMs: 40}]);
		}

		const {fleet} = cluster.nodes.get(places[0]!.name)!;
		await cluster.clock.advance(inForceMs);
		t.same(
			fleet.regionSummaries().map(({region, waits}) => ({region, waits})),
			[{region: 'south', waits: [{model: 'm', workClass: 'short', waitMs: 40}]}],
		);
		cutBetween(cluster, true);
		await cluster.clock.advance(20_000);
		t.same(fleet.regionSummaries(), []);
		cluster.network.faults.isCut = () => false;
		await cluster.clock.advance(inForceMs);
		t.equal(fleet.regionSummaries().length, 1);
		cluster.disposeAll();
	},
);

tap.t.test('whole domain replaced at once: new members are listed, old ones removed', async (t) => {
	const {cluster, places} = await settle(31, ['north/a', 'south/b'], 5);
	for (const place of places.slice(5)) {
		cluster.crash(place.name);
	}

	const replacements = clusters.createPlaces(['none/z', 'south/b'], 5, 'n').slice(5);
	startAll(cluster, replacements, [places[0]!.address, places[7]!.address]);
	await cluster.clock.advance(60_000);
	const expected = [...places.slice(0, 5), ...replacements].map((place) => place.name).sort();
	for (const name of cluster.nodes.keys()) {
		t.same(cluster.view(name), expected, name);
	}

	t.same(cluster.revisionsInForce(), [cluster.lastRevision]);
	cluster.disposeAll();
});

tap.t.test(
	'wall clock jumps back: members stay, and a restart with a lower clock is accepted',
	async (t) => {
		const {cluster, places} = await settle(32, ['north/a'], 5);
		cluster.clock.jumpWall(-86_400_000);
		await cluster.clock.advance(30_000);
		for (const place of places) {
			t.equal(cluster.view(place.name).length, 5);
		}

		const {name} = places[3]!;
		const before = cluster.nodes.get(name)!.fleet.identity().incarnation;
		cluster.crash(name);
		await cluster.clock.advance(2000);
		cluster.start(places[3]!, [places[0]!.address]);
		await cluster.clock.advance(removalMs);
		t.ok(cluster.nodes.get(name)!.fleet.identity().incarnation > before);
		for (const place of places) {
			t.equal(cluster.view(place.name).length, 5);
		}

		cluster.disposeAll();
	},
);

tap.t.test('invalid content is refused as a whole and shown in the dump', async (t) => {
	const {cluster, places} = await settle(33, ['north/a'], 3);
	const good = cluster.lastRevision;
	const broken = {...clusters.team('two'), weight: -1};
	cluster.configure([clusters.team('three'), broken]);
	await cluster.clock.advance(inForceMs);
	t.same(cluster.revisionsInForce(), [good]);
	const [relay] = cluster.nodes.get(places[0]!.name)!.fleet.relays();
	const dump = JSON.stringify(cluster.nodes.get(relay!)!.fleet.dump());
	t.match(dump, /"refusals":\[\{"revision":\d+,"source":"store","reason":"part/u);
	const next = await changeAndWait(cluster, 'four');
	t.same(cluster.revisionsInForce(), [next]);
	cluster.disposeAll();
});

tap.t.test('an upstream that sets `leaving` is known in the domain within 3 s', async (t) => {
	const {cluster, places} = await settle(34, ['north/a'], 7);
	const upstream = catalogue.upstreamSchema.parse({
		kind: 'upstream',
		name: 'runner-1',
		type: 'runner',
		region: 'north',
		failureDomain: 'north-a',
		address: '10.0.0.1:80',
		models: ['m'],
	});
	cluster.configure([upstream]);
	await cluster.clock.advance(inForceMs);
	const pollers = cluster.nodes.get(places[0]!.name)!.fleet.pollersOf('runner-1');
	t.equal(pollers.length, 2);
	const {fleet} = cluster.nodes.get(pollers[0]!)!;
	const report = {running: 1, waiting: 0, slots: 8, model: 'm', role: 'both'};
	const publish = (leaving: boolean) => {
		fleet.publishLoad('runner-1', {...report, leaving, observedAtMs: cluster.clock.nowMs()});
	};

	for (let second = 0; second < 12; second++) {
		publish(false);
		await cluster.clock.advance(1000);
	}

	for (const node of cluster.nodes.values()) {
		t.match(node.fleet.loadReports().get('runner-1'), {leaving: false, slots: 8});
	}

	publish(true);
	await cluster.clock.advance(2900);
	for (const node of cluster.nodes.values()) {
		const held = node.fleet.loadReports().get('runner-1');
		t.match(held, {leaving: true, model: 'm', running: 1});
	}

	cluster.disposeAll();
});

tap.t.test('a planned stop removes a daemon without a suspicion timeout', async (t) => {
	const {cluster, places} = await settle(35, ['north/a', 'south/b'], 4);
	const {name} = places[1]!;
	const {fleet} = cluster.nodes.get(name)!;
	fleet.announceStopping();
	await cluster.clock.advance(1000);
	const seen = cluster.nodes.get(places[0]!.name)!.fleet.members();
	t.equal(seen.find((member) => member.name === name)?.state, 'stopping');
	t.notOk(cluster.nodes.get(places[0]!.name)!.fleet.relays().includes(name));
	fleet.dispose();
	await cluster.clock.advance(1000);
	t.notOk(cluster.view(places[0]!.name).includes(name));
	await cluster.clock.advance(inForceMs);
	t.notOk(cluster.view(places[6]!.name).includes(name));
	cluster.disposeAll();
});

tap.t.test('state of replaced daemons is forgotten', async (t) => {
	const cluster = clusters.createCluster(36, {forgetMs: 30_000});
	const places = clusters.createPlaces(['north/a'], 4);
	cluster.configure([clusters.team('one')]);
	startAll(cluster, places);
	await cluster.clock.advance(joinMs);
	for (let round = 0; round < 30; round++) {
		const place = {...places[3]!, name: `r${round}`, address: `10.0.7.${round}:7000`};
		cluster.start(place, [places[0]!.address]);
		await cluster.clock.advance(8000);
		cluster.crash(place.name);
	}

	await cluster.clock.advance(90_000);
	for (const node of cluster.nodes.values()) {
		const {members} = node.fleet.dump() as {members: unknown[]};
		t.equal(members.length, 4);
	}

	cluster.disposeAll();
});

tap.t.test('a restarted daemon is not ready before it has the revision of its peers', async (t) => {
	const cluster = clusters.createCluster(37);
	const places = clusters.createPlaces(['north/a'], 5);
	const laggingStore = new memoryStore.MemoryStore(cluster.clock);
	cluster.configure([clusters.team('one')]);
	const [first, lagging] = places;
	const restarted = places.at(-1);
	for (const place of places) {
		const store = place === lagging ? laggingStore : cluster.store;
		cluster.start(place, [first!.address], {store});
	}

	await cluster.clock.advance(joinMs);
	cluster.crash(restarted!.name);
	const isOf = (place: clusters.Place, from: string, to: string) =>
		from === place.address || to === place.address;
	// The lagging daemon can exchange messages with the restarted one only.
	cluster.network.faults.isCut = (from, to) =>
		isOf(lagging!, from, to) && !isOf(restarted!, from, to);
	const second = await changeAndWait(cluster, 'two');
	cluster.store.mode = 'down';
	const {fleet} = cluster.start(restarted!, [lagging!.address, first!.address]);
	while (!fleet.isReady()) {
		await cluster.clock.advance(5);
	}

	t.equal(fleet.snapshot().revision, second);
	cluster.disposeAll();
	await cluster.clock.advance(20_000);
	t.equal(cluster.clock.pendingTimers, 0, 'a disposed fleet leaves no timer');
});
