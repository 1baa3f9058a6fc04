// Discovery, loss and gossip of daemons, on a manual clock.
import * as tap from 'tap';
import * as manualClock from '@hawthornfront/base/common/manual-clock.js';
import * as directory from '../common/directory.js';
import * as fleetView from '../common/fleet-view.js';
import * as gossipMessage from '../common/gossip-message.js';
import * as routeConfig from '../common/route-config.js';
import * as fixtures from './fixtures.js';
import * as memoryFleet from './memory-fleet.js';

const aliveNames = (fleet: fleetView.FleetView) =>
	fleet
		.alive()
		.map(({name}) => name)
		.sort();

tap.t.test('daemons discover each other through a few seeds', async (t) => {
	const {clock, nodes} = memoryFleet.startFleet();
	await clock.advance(4000);
	t.same(aliveNames(nodes.n2.fleet), ['n1', 's1', 's2']);
	t.same(aliveNames(nodes.s2.fleet), ['n1', 'n2', 's1']);
});

tap.t.test('a silent daemon is lost, and found when it returns', async (t) => {
	const {clock, network, nodes} = memoryFleet.startFleet();
	await clock.advance(4000);
	network.isolatedAddresses.add('s1:90');
	await clock.advance(fleetView.memberLostAfterMs + 500);
	t.same(aliveNames(nodes.n1.fleet), ['n2', 's2'], 'although other daemons still report it');
	network.isolatedAddresses.delete('s1:90');
	await clock.advance(4000);
	t.same(aliveNames(nodes.n1.fleet), ['n2', 's1', 's2']);
});

tap.t.test('a leaving daemon is removed at once', async (t) => {
	const {clock, nodes} = memoryFleet.startFleet();
	await clock.advance(4000);
	nodes.n2.state.record = {...nodes.n2.state.record, isLeaving: true, isReady: false};
	nodes.n2.node.announceStop();
	t.same(aliveNames(nodes.n1.fleet), ['s1', 's2']);
	nodes.n2.stop();
	await clock.advance(10_000);
	t.same(aliveNames(nodes.s1.fleet), ['n1', 's2'], 'gossip does not bring it back');
});

tap.t.test('a newer start replaces an older one, not the reverse', async (t) => {
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

// Guards against daemons that ended and that a restored store lists again, under a lease that had ended.
tap.t.test('a daemon that only the store lists is contacted, but not named', async (t) => {
	const {clock, network, nodes} = memoryFleet.startFleet();
	await clock.advance(4000);
	const named = (fleet: fleetView.FleetView) =>
		directory
			.answerDirectory({region: 'south'}, fixtures.member('x'), fleet, new Map(), 2000)
			.addresses.join(' ');
	t.equal(named(nodes.n1.fleet), 's1:80 s2:80');
	const ended = nodes.s2.state.record;
	nodes.s2.stop();
	await clock.advance(10_000);
	t.equal(named(nodes.n1.fleet), 's1:80');
	nodes.n1.fleet.noteStoreMember(ended);
	for (let second = 0; second < 5; second++) {
		for (const {fleet} of [nodes.n1, nodes.n2, nodes.s1]) {
			t.notMatch(named(fleet), /s2/u);
		}

		await clock.advance(1000);
	}

	const returned = memoryFleet.startNode(clock, network, ended, []);
	nodes.n1.fleet.noteStoreMember(ended);
	await clock.advance(3000);
	t.equal(named(nodes.n1.fleet), 's1:80 s2:80', 'once it answers');
	returned.stop();
});

tap.t.test('prompt prefixes that one daemon sent reach all failure domains', async (t) => {
	const {clock, nodes} = memoryFleet.startFleet();
	await clock.advance(4000);
	nodes.n1.pendingPromptPrefixes.push({partId: 'topic-4', runner: 'u1'});
	await clock.advance(2000);
	for (const name of ['n2', 's1', 's2'] as const) {
		const receivedPrefixes = nodes[name].receivedMessages.flatMap(
			({promptPrefixes}) => promptPrefixes,
		);
		t.ok(
			receivedPrefixes.some(({partId, runner}) => partId === 'topic-4' && runner === 'u1'),
			`${name} has received it`,
		);
	}
});

tap.t.test('gossip traffic stays small', async (t) => {
	const {clock, network} = memoryFleet.startFleet();
	await clock.advance(4000);
	network.bytes = 0;
	await clock.advance(10_000);
	const bytesPerS = network.bytes / 10 / 4;
	t.ok(bytesPerS < 6000, `${Math.round(bytesPerS)} B/s per daemon`);
});

tap.t.test('a gossip message survives encoding and decoding', async (t) => {
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
		promptPrefixes: [{partId: 'p', runner: 'u1'}],
		isRelayed: true,
		heartbeats: [{memberId: gossipMessage.memberId(fixtures.member('s1')), ageMs: 150}],
		partReports: [
			{
				service: 'model',
				partId: 'p',
				answeredAgeMs: undefined,
				quarantines: 1,
				crashes: [
					{upstreamKey: 7, ageMs: 20, sentBeforeMs: 300, wasAnswering: true, basis: 'suspect'},
				],
			},
		],
		rateLimits: [
			{upstreamId: 'u1', requestsPerS: 2.5, ageMs: 30},
			{upstreamId: 'u2', requestsPerS: undefined, ageMs: 40},
		],
		warmth: [
			{upstreamId: 'u1', belief: 'suspected', ageMs: 20, coldLeftMs: 0, evidence: 1},
			{upstreamId: 'u2', belief: 'cold', ageMs: 0, coldLeftMs: 3000, evidence: 2 ** 32 - 1},
		],
		wantedMembers: [7],
		teamUse: {
			ageMs: 120,
			unheardShare: 0.25,
			uses: [{team: 't1', requestedPerS: 9000, admittedPerS: 7000, silentShare: 0.125}],
		},
	};
	t.same(gossipMessage.decodeGossip(gossipMessage.encodeGossip(message)), message);
	const withoutLoads = {...message, loads: undefined};
	t.same(gossipMessage.decodeGossip(gossipMessage.encodeGossip(withoutLoads)), withoutLoads);
	t.throws(() => gossipMessage.decodeGossip(new Uint8Array([1, 2, 3])));
});

tap.t.test('the directory lists ready daemons of the region first', async (t) => {
	const clock = new manualClock.ManualClock();
	const fleet = fleetView.createFleetView(clock, 'n1');
	const self = fixtures.member('n1');
	const homes = new Map([['north', 2]]);
	const directoryFor = (region: string, localRecord = self) =>
		directory.answerDirectory({region}, localRecord, fleet, homes, 2000).addresses;
	t.same(directoryFor('south'), ['n1:80'], 'itself without other daemons');
	fleet.noteMember(fixtures.member('n2'), 0);
	fleet.noteMember(fixtures.member('n3', {isReady: false}), 0);
	fleet.noteMember(fixtures.member('s1', {region: 'south'}), 0);
	t.same(directoryFor('north'), ['n1:80', 'n2:80']);
	t.same(directoryFor('south'), ['s1:80']);
	t.same(directoryFor('north', {...self, isReady: false}), ['n2:80']);
	t.same(
		directoryFor('north', {...self, isReady: false, isLeaving: true}),
		[],
		'its view becomes outdated',
	);
	fleet.noteMember(fixtures.member('s1', {region: 'south', isLeaving: true}), 0);
	fleet.noteMember(fixtures.member('w1', {region: 'west'}), 0);
	t.same(directoryFor('south'), ['n1:80', 'n2:80'], 'a home region before other regions');
	await clock.advance(fleetView.memberLostAfterMs + 1);
	t.same(directoryFor('south'), ['n1:80'], 'a lost daemon is not listed');
});

tap.t.test('without a common home region, the directory lists that of most routes', async (t) => {
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

tap.t.test('a change of the listed daemons is reported once', async (t) => {
	const reportedChanges: string[] = [];
	const watch = directory.createAnswerChangeDetector((region, {basis, addresses}) => {
		reportedChanges.push(`${region} ${basis} ${addresses.length}`);
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
	t.same(reportedChanges, ['north near 2', 'south near 1', 'north near 1']);
});

tap.t.test('the home regions of a host are counted over its bound routes', async (t) => {
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
