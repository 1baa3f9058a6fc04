// Fault matrix of the placer: each fault at each service call, and a store outage that starts at each call.
import * as tap from 'tap';
import type * as fakeStore from '@hawthornfront/platform/test/fake-key-value-store.js';
import * as fakeRegion from './fake-region.js';
import * as scenario from './scenario.js';

const faults: fakeStore.StoreFault[] = ['refused', 'dropped', 'lost', 'late'];

for (const fault of faults) {
	tap.t.test(`fault at every call: ${fault}`, async (t) => {
		const calls = await scenario.countCalls();
		for (let index = 1; index <= calls; index++) {
			const region = fakeRegion.createRegion(scenario.options(false));
			scenario.setDemandForB(region);
			const steps: string[] = [];
			region.hooks.chooseFault = (call) => {
				if (call.index !== index) {
					return 'none';
				}

				steps.push(`${call.service} ${call.operation}`);
				return fault;
			};

			const one = region.startPlacer('one');
			await region.time.advance(40_000);
			scenario.checkFinalState(t, region, `${fault} at call ${index} (${steps.join(', ')})`);
			one.placer.dispose();
		}
	});
}

tap.t.test(
	'store outage from any call on: no order is sent after the lease and runners keep their models',
	async (t) => {
		const calls = await scenario.countCalls();
		for (let index = 1; index <= calls; index++) {
			const region = fakeRegion.createRegion(scenario.options(false));
			scenario.setDemandForB(region);
			const one = region.startPlacer('one');
			let downAtMs: number | undefined;
			region.hooks.chooseFault = (call) => {
				if (call.index >= index) {
					downAtMs ??= region.time.nowMs();
				}

				return downAtMs !== undefined && call.service === 'store' ? 'dropped' : 'none';
			};

			await region.time.advance(40_000);
			const {leaseMs, leaseMarginMs} = fakeRegion.testSettings('one');
			const lastMs = (downAtMs ?? 0) + leaseMs - leaseMarginMs;
			const late = region.sent.filter((order) => order.atMs > lastMs);
			t.same(late, [], `down at call ${index}`);
			t.same(scenario.ordersOutsideLease(region), []);
			t.ok(region.runners.some((runner) => runner.model === 'a'));
			t.notOk(one.placer.isHolder());
			region.hooks.chooseFault = () => 'none';
			await region.time.advance(40_000);
			scenario.checkFinalState(t, region, `up again after call ${index}`);
			one.placer.dispose();
		}
	},
);
