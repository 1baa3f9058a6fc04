// Requests that a daemon in its planned stop has relayed, with nobody left in its failure domain.
import * as tap from 'tap';
import * as memoryFleet from './memory-fleet.js';

// Nobody told it anything, so it took the other regions for cut off and gave up its silent relays.
tap.t.test('the last daemon of a failure domain reaches others in its stop', async (t) => {
	const {clock, nodes} = memoryFleet.startFleet();
	await clock.advance(4000);
	nodes.n1.stop();
	await clock.advance(5000);
	t.ok(nodes.n2.fleet.isReachable('s1'), 'before its stop');
	nodes.n2.state.record = {...nodes.n2.state.record, isLeaving: true, isReady: false};
	nodes.n2.node.announceStop();
	for (let elapsedMs = 500; elapsedMs <= 8000; elapsedMs += 500) {
		await clock.advance(500);
		t.ok(nodes.n2.fleet.isReachable('s1'), `${elapsedMs} ms`);
	}
});
