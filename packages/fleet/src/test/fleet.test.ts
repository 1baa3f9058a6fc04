// Guards against daemons that do not discover each other and changes that do not reach all of them.
import * as tap from 'tap';
import * as clusters from './fleet-cluster.js';

tap.t.test(
	'daemons of two regions discover each other and apply a change within 10 s',
	async (t) => {
		const cluster = clusters.createCluster(1);
		const places = clusters.createPlaces(['north/a', 'south/b'], 7);
		const first = cluster.configure([clusters.team('one')]);
		for (const place of places) {
			cluster.start(place, [places[0]!.address, places[8]!.address]);
		}

		await cluster.clock.advance(20_000);
		for (const place of places) {
			t.same(cluster.view(place.name).length, 14, place.name);
			t.ok(cluster.nodes.get(place.name)!.fleet.isReady());
		}

		t.same(cluster.revisionsInForce(), [first]);
		const second = cluster.configure([clusters.team('one'), clusters.team('two')]);
		await cluster.clock.advance(10_000);
		t.same(cluster.revisionsInForce(), [second]);
		cluster.disposeAll();
	},
);
