/**
 * Measures processor time and memory of one daemon in a separate process. Start
 * `bench-solo.js peers` in one terminal, which prints an address, then
 * `bench-solo.js observe ADDRESS` in another one.
 */
import * as process from 'node:process';
import * as benchLoad from './bench-load.js';
import * as benchMeasure from './bench-measure.js';
import * as benchWorld from './bench-world.js';

const peerCount = 40;
const runnersPerDomain = 60;
const teams = 14_000;
const peersRunMs = 180_000;
const settleMs = 25_000;
const measureMs = 40_000;

const records = () => [
	...benchLoad.createTeams(teams),
	...benchLoad.createRunners('domain-0', runnersPerDomain),
];

const runPeers = async () => {
	const world = benchWorld.createLoopbackWorld(1, {});
	benchWorld.configure(world.store, records());
	const seeds: string[] = [];
	for (const place of benchWorld.createPlaces(peerCount, 1)) {
		const node = await world.start(place, [...seeds]);
		if (seeds.length < 3) {
			seeds.push(node.place.address);
		}
	}

	const load = benchLoad.startLoad(world, runnersPerDomain, 1);
	console.log(seeds[0]);
	await world.advance(peersRunMs);
	load.dispose();
	await world.dispose();
};

const observe = async (seed: string) => {
	const world = benchWorld.createLoopbackWorld(2, {});
	// The store of this process stays empty; the configuration comes from the peers.
	const place = {name: 'observed', region: 'region-0', failureDomain: 'domain-0', address: ''};
	const node = await world.start(place, [seed]);
	const load = benchLoad.startLoad(world, runnersPerDomain, 2);
	await world.advance(settleMs);
	const result = await benchMeasure.measureCell(world, measureMs);
	load.dispose();
	const rates = result.relay.daemons > 0 ? result.relay : result.plain;
	console.log(
		JSON.stringify({
			members: node.fleet.members().length,
			revision: node.fleet.snapshot().revision,
			isRelay: result.relay.daemons > 0,
			cpuPercent: result.cpuPercent,
			residentMb: process.memoryUsage().rss / 1e6,
			rates,
		}),
	);
	await world.dispose();
};

const [role, address] = process.argv.slice(2);
if (role === 'peers') {
	await runPeers();
} else if (role === 'observe' && address !== undefined) {
	await observe(address);
} else {
	throw new Error('expected "peers" or "observe ADDRESS"');
}
