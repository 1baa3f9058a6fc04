// Relays of a daemon in its planned stop that is the last one of its failure domain.
import * as tap from 'tap';
import * as memoryFleet from './memory-fleet.js';

// Guards against stalled relays that are given up: the daemon received no gossip, so it counted the
// other regions as unreachable.
tap.t.test('the last daemon of a failure domain still reaches others in its stop', async (t) => {
	const {clock, nodes} = memoryFleet.startFleet();
	await clock.advance(4000);
	nodes.n1.stop();
	await clock.advance(5000);
	t.ok(nodes.n2.fleet.isReachable('s1'), 'before the stop of n2');
	nodes.n2.state.record = {...nodes.n2.state.record, isLeaving: true, isReady: false};
	nodes.n2.node.announceStop();
	for (let elapsedMs = 500; elapsedMs <= 8000; elapsedMs += 500) {
		await clock.advance(500);
		t.ok(nodes.n2.fleet.isReachable('s1'), `${elapsedMs} ms`);
	}
});
