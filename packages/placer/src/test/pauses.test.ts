// Guards against orders that a placer sends after a pause beyond its lease, and against wrong final states.
import * as tap from 'tap';
import * as fakeRegion from './fake-region.js';
import * as scenario from './scenario.js';

for (const checksFencing of [true, false]) {
	const kind = checksFencing ? 'check fencing' : 'ignore fencing';
	tap.t.test(
		`a placer paused at any call sends nothing after its lease; runners ${kind}`,
		async (t) => {
			const calls = await scenario.countCalls();
			t.ok(calls > 50);
			for (let index = 1; index <= calls; index++) {
				const region = fakeRegion.createRegion(scenario.options(checksFencing));
				scenario.setDemandForB(region);
				const one = region.startPlacer('one');
				region.hooks.beforeCall = (call) => {
					if (call.placer === 'one' && call.index === index) {
						one.clock.pause();
					}
				};

				await region.time.advance(100);
				const two = region.startPlacer('two');
				await region.time.advance(25_000);
				// The demand shifts to model a while the first placer is paused.
				Object.assign(region.demand, {a: 1500, b: 100});
				await region.time.advance(45_000);
				one.clock.resume();
				await region.time.advance(20_000);
				scenario.checkFinalState(t, region, `paused at call ${index}`);
				t.equal(Object.values(region.desired()).filter(({model}) => model === 'b').length, 1);
				one.placer.dispose();
				two.placer.dispose();
			}
		},
	);
}
