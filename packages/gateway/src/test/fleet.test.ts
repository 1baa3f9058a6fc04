// Daemons that find, lose and tell each other, on a manual clock.
import * as tap from 'tap';
import * as manualClock from '@hawthornfront/base/common/manual-clock.js';
import * as directory from '../common/directory.js';
import * as fleetView from '../common/fleet-view.js';
import * as gossipMessage from '../common/gossip-message.js';
import * as routeConfig from '../common/route-config.js';
import * as fixtures from './fixtures.js';
import * as memoryFleet from './memory-fleet.js';

const names = (fleet: fleetView.FleetView) =>
	fleet
		.alive()
		.map(({name}) => name)
		.sort();

tap.t.test('daemons find each other from a few seeds', async (t) => {
	const {clock, nodes} = memoryFleet.startFleet();
	await clock.advance(4000);
	t.same(names(nodes.n2.fleet), ['n1', 's1', 's2']);
	t.same(names(nodes.s2.fleet), ['n1', 'n2', 's1']);
});

tap.t.test('a daemon that is silent is lost, and found when it is back', async (t) => {
	const {clock, network, nodes} = memoryFleet.startFleet();
	await clock.advance(4000);
	network.cut.add('s1:90');
	await clock.advance(fleetView.memberLostAfterMs + 500);
	t.same(names(nodes.n1.fleet), ['n2', 's2'], 'also although others still tell of it');
	network.cut.delete('s1:90');
	await clock.advance(4000);
	t.same(names(nodes.n1.fleet), ['n2', 's1', 's2']);
});

tap.t.test('a daemon that leaves is left at once', async (t) => {
	const {clock, nodes} = memoryFleet.startFleet();
	await clock.advance(4000);
	nodes.n2.state.record = {...nodes.n2.state.record, isLeaving: true, isReady: false};
	nodes.n2.node.announceStop();
	t.same(names(nodes.n1.fleet), ['s1', 's2']);
	nodes.n2.stop();
	await clock.advance(10_000);
	t.same(names(nodes.s1.fleet), ['n1', 's2'], 'nobody brings it back');
});

tap.t.test('a new start replaces the old one, not the reverse', async (t) => {
	const clock = new manualClock.ManualClock();
	const fleet = fleetView.createFleetView(clock, 'n1');
	const changes: string[] = [];
	fleet.onDidChange(({kind}) => changes.push(kind));
	fleet.noteMember(fixtures.member('n2', {startedAtUnixMs: 10}), 0);
	await clock.advance(10);
	fleet.noteMember(fixtures.member('n2', {startedAtUnixMs: 20, callerAddress: 'new:80'}), 0);
	await clock.advance(10);
	fleet.noteMember(fixtures.member('n2', {startedAtUnixMs: 10}), 0);
	t.equal(fleet.member('n2')?.callerAddress, 'new:80');
	t.same(changes, ['joined', 'restarted']);
});

tap.t.test('what one daemon sent is told in all failure domains', async (t) => {
	const {clock, nodes} = memoryFleet.startFleet();
	await clock.advance(4000);
	nodes.n1.chains.push({partId: 'topic-4', runner: 'u1'});
	await clock.advance(2000);
	for (const name of ['n2', 's1', 's2'] as const) {
		const told = nodes[name].heard.flatMap(({promptPrefixes: chains}) => chains);
		t.ok(
			told.some(({partId, runner}) => partId === 'topic-4' && runner === 'u1'),
			`${name} knows`,
		);
	}
});

tap.t.test('control traffic stays small', async (t) => {
	const {clock, network} = memoryFleet.startFleet();
	await clock.advance(4000);
	network.bytes = 0;
	await clock.advance(10_000);
	const bytesPerS = network.bytes / 10 / 4;
	t.ok(bytesPerS < 6000, `${Math.round(bytesPerS)} B/s a daemon`);
});

tap.t.test('a message survives its coding', async (t) => {
	const message: gossipMessage.GossipMessage = {
		sender: fixtures.member('n1'),
		others: [{record: fixtures.member('s1'), ageMs: 40}],
		loads: [
			{
				upstreamId: 'u1',
				requests: 3,
				urgentReadTokens: 10,
				otherReadTokens: 20,
				memoryTokens: 30,
			},
		],
		outlooks: [
			{
				region: 'north',
				service: 'model',
				urgentMs: 60,
				otherMs: Number.POSITIVE_INFINITY,
				ageMs: 5,
			},
		],
		promptPrefixes: [{partId: 'p', runner: 'u1', isFromOtherDomain: true}],
	};
	t.same(gossipMessage.decodeGossip(gossipMessage.encodeGossip(message)), message);
	const withoutLoads = {...message, loads: undefined};
	t.same(gossipMessage.decodeGossip(gossipMessage.encodeGossip(withoutLoads)), withoutLoads);
	t.throws(() => gossipMessage.decodeGossip(new Uint8Array([1, 2, 3])));
});

tap.t.test('the directory names ready daemons of the caller first', async (t) => {
	const clock = new manualClock.ManualClock();
	const fleet = fleetView.createFleetView(clock, 'n1');
	const self = fixtures.member('n1');
	const homes = new Map([['north', 2]]);
	const ask = (region: string, own = self) =>
		directory.answerDirectory({region}, own, fleet, homes, 2000).addresses;
	t.same(ask('south'), ['n1:80'], 'itself when it knows nobody else');
	fleet.noteMember(fixtures.member('n2'), 0);
	fleet.noteMember(fixtures.member('n3', {isReady: false}), 0);
	fleet.noteMember(fixtures.member('s1', {region: 'south'}), 0);
	t.same(ask('north'), ['n1:80', 'n2:80']);
	t.same(ask('south'), ['s1:80']);
	t.same(ask('north', {...self, isReady: false}), ['n2:80']);
	t.same(ask('north', {...self, isReady: false, isLeaving: true}), [], 'its view grows old');
	fleet.noteMember(fixtures.member('s1', {region: 'south', isLeaving: true}), 0);
	fleet.noteMember(fixtures.member('w1', {region: 'west'}), 0);
	t.same(ask('south'), ['n1:80', 'n2:80'], 'a home region before the others');
	await clock.advance(fleetView.memberLostAfterMs + 1);
	t.same(ask('south'), ['n1:80'], 'a daemon that was not heard of is not named');
});

tap.t.test('without a common home, the directory names the home of most routes', async (t) => {
	const fleet = fleetView.createFleetView(new manualClock.ManualClock(), 'n1');
	fleet.noteMember(fixtures.member('s1', {region: 'south'}), 0);
	fleet.noteMember(fixtures.member('s2', {region: 'south'}), 0);
	const coverage = new Map([
		['west', 5],
		['south', 3],
		['north', 1],
	]);
	const answer = directory.answerDirectory(
		{region: 'west'},
		fixtures.member('n1'),
		fleet,
		coverage,
		2000,
	);
	t.match(answer, {addresses: ['s1:80', 's2:80'], basis: 'home'});
});

tap.t.test('a change of the daemons that are named is told once', async (t) => {
	const told: string[] = [];
	const watch = directory.createAnswerChangeDetector((region, {basis, addresses}) => {
		told.push(`${region} ${basis} ${addresses.length}`);
	});
	const answer = (addresses: string[]): directory.DirectoryAnswer => ({
		addresses,
		basis: 'near',
		timeToLiveMs: 2000,
	});
	watch({region: 'north'}, answer(['n1:80', 'n2:80']));
	watch({region: 'north', host: 'a.example'}, answer(['n2:80', 'n1:80']));
	watch({region: 'south'}, answer(['s1:80']));
	watch({region: 'north'}, answer(['n1:80']));
	t.same(told, ['north near 2', 'south near 1', 'north near 1']);
});

tap.t.test('the homes of a host are counted over its bound routes', async (t) => {
	const tableOf = (...homes: string[][]) =>
		routeConfig.createRouteTable({
			...fixtures.config,
			routes: homes.map((homeRegions) => ({...fixtures.longRoute, homeRegions})),
		});
	t.same(
		[...tableOf([], ['north', 'south'], ['south']).homeCoverage('a.example')],
		[
			['north', 1],
			['south', 2],
		],
	);
	t.equal(tableOf([]).homeCoverage('a.example').size, 0);
	t.equal(tableOf(['north']).homeCoverage('b.example').size, 0);
});
