// Requests that are relayed to or from a daemon in its planned stop.
import * as tap from 'tap';
import * as manualClock from '@hawthornfront/base/common/manual-clock.js';
import * as fleetView from '../common/fleet-view.js';
import * as fixtures from './fixtures.js';
import * as memoryFleet from './memory-fleet.js';

// The relay of a silent request was given up as cut off when the relaying daemon began to stop.
tap.t.test('a daemon in its planned stop is reached', async (t) => {
	const clock = new manualClock.ManualClock();
	const fleet = fleetView.createFleetView(clock, 'n1');
	fleet.noteMember(fixtures.member('s1', {region: 'south'}), 0);
	fleet.noteMember(fixtures.member('s2', {region: 'south'}), 0);
	await clock.advance(200);
	fleet.noteMember(fixtures.member('s1', {region: 'south', isLeaving: true}), 0);
	t.ok(fleet.isReachable('s1'));
	t.same(
		fleet.aliveIn('south').map(({name}) => name),
		['s2'],
		'new requests go elsewhere',
	);
});

// The only daemon of a region counted as cut off soon after it began to stop.
tap.t.test('the only daemon of a region is reached in its planned stop', async (t) => {
	const clock = new manualClock.ManualClock();
	const fleet = fleetView.createFleetView(clock, 'n1');
	fleet.noteMember(fixtures.member('s1', {region: 'south'}), 0);
	fleet.noteMember(fixtures.member('s1', {region: 'south', isLeaving: true}), 0);
	await clock.advance(4000);
	t.ok(fleet.isReachable('s1'));
});

// A daemon that stops hears nobody after a while, and gave up its relays as cut off.
tap.t.test('a daemon in its planned stop reaches the others', async (t) => {
	const {clock, nodes} = memoryFleet.startFleet();
	await clock.advance(4000);
	nodes.n2.state.record = {...nodes.n2.state.record, isLeaving: true, isReady: false};
	nodes.n2.node.announceStop();
	for (let elapsedMs = 0; elapsedMs < 8000; elapsedMs += 500) {
		await clock.advance(500);
		t.ok(nodes.n2.fleet.isReachable('s1'), `${elapsedMs + 500} ms`);
	}
});
