// Requests relayed to or from a daemon in its planned stop.
import * as tap from 'tap';
import * as manualClock from '@hawthornfront/base/common/manual-clock.js';
import * as fleetView from '../common/fleet-view.js';
import * as fixtures from './fixtures.js';
import * as memoryFleet from './memory-fleet.js';

// Guards against a stalled relay that is given up as unreachable when the daemon that runs the
// request starts its stop.
tap.t.test('a daemon in its planned stop is reachable', async (t) => {
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

// Guards against the only daemon of a region that counts as unreachable soon after its stop starts.
tap.t.test('the only daemon of a region is reachable in its planned stop', async (t) => {
	const clock = new manualClock.ManualClock();
	const fleet = fleetView.createFleetView(clock, 'n1');
	fleet.noteMember(fixtures.member('s1', {region: 'south'}), 0);
	fleet.noteMember(fixtures.member('s1', {region: 'south', isLeaving: true}), 0);
	await clock.advance(4000);
	t.ok(fleet.isReachable('s1'));
});

// Guards against relays that a stopping daemon gives up as unreachable, since it receives no gossip
// after a while.
tap.t.test('a daemon in its planned stop still reaches others', async (t) => {
	const {clock, nodes} = memoryFleet.startFleet();
	await clock.advance(4000);
	nodes.n2.state.record = {...nodes.n2.state.record, isLeaving: true, isReady: false};
	nodes.n2.node.announceStop();
	for (let elapsedMs = 0; elapsedMs < 8000; elapsedMs += 500) {
		await clock.advance(500);
		t.ok(nodes.n2.fleet.isReachable('s1'), `${elapsedMs + 500} ms`);
	}
});
