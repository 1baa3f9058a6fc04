// Guards against wrong final states, loads above the rate of the weight store and oscillation.
import * as tap from 'tap';
import * as fakeRegion from './fake-region.js';
import * as scenario from './scenario.js';

tap.t.test('runners move to a model without a runner and to models in demand', async (t) => {
	const region = fakeRegion.createRegion(scenario.options(true));
	scenario.setDemandForB(region);
	const one = region.startPlacer('one');
	await region.time.advance(30_000);
	scenario.checkFinalState(t, region, 'plain');
	t.equal(Object.values(region.desired()).filter(({model}) => model === 'b').length, 2);
	t.ok(one.placer.isHolder());
	t.equal(one.placer.counts().failedStoreCalls, 0);
	one.placer.dispose();
});

tap.t.test('a stale order that reaches a runner is corrected', async (t) => {
	for (const checksFencing of [true, false]) {
		const region = fakeRegion.createRegion(scenario.options(checksFencing));
		scenario.setDemandForB(region);
		const one = region.startPlacer('one');
		await region.time.advance(30_000);
		const stopping = one.placer.stop();
		await region.time.advance(100);
		await stopping;
		const two = region.startPlacer('two');
		await region.time.advance(30_000);
		const servesB = region.runners.find((runner) => runner.model === 'b')!;
		servesB.applyOrder({order: 'load', fencing: 1, model: 'a', role: 'mixed'});
		servesB.applyOrder({order: 'change-role', fencing: 1, model: 'a', role: 'long'});
		t.equal(servesB.role, checksFencing ? 'mixed' : 'long');
		t.equal(servesB.model, checksFencing ? 'b' : '');
		await region.time.advance(30_000);
		t.same(region.differences(), []);
		t.same(region.missing(), []);
		two.placer.dispose();
	}
});

tap.t.test(
	'loads stay within the rate of the weight store and never unload the last runner of a model',
	async (t) => {
		const region = fakeRegion.createRegion({
			models: ['a', 'b', 'c'],
			runners: ['a', 'a', 'a', 'a', 'a', 'a', 'a', 'a'],
			checksFencing: true,
			ticketPeriodMs: 20_000,
		});
		Object.assign(region.demand, {a: 100, b: 1500, c: 1500});
		const one = region.startPlacer('one');
		for (let second = 0; second < 300; second++) {
			await region.time.advance(1000);
			t.ok(region.runners.some((runner) => runner.model === 'a'));
			t.ok(
				region.runners.filter((runner) => runner.model === '').length <= 2,
				'loads are staggered',
			);
		}

		scenario.checkFinalState(t, region, 'limited');
		t.ok(one.placer.counts().ticketsLimited > 0);
		one.placer.dispose();
	},
);

tap.t.test('oscillating demand does not make the placement oscillate', async (t) => {
	const region = fakeRegion.createRegion(scenario.options(true));
	const one = region.startPlacer('one');
	let changes = 0;
	one.placer.onDidChange((change) => {
		changes += change.kind === 'placed' && change.reason !== 'adopted' ? 1 : 0;
	});
	for (let cycle = 0; cycle < 60; cycle++) {
		Object.assign(region.demand, {a: 200, b: 2000});
		await region.time.advance(15_000);
		Object.assign(region.demand, {a: 2000, b: 200});
		await region.time.advance(15_000);
	}

	t.ok(changes >= 1 && changes <= 3, `${changes} changes in 30 minutes`);
	t.same(region.differences(), []);
	one.placer.dispose();
});

tap.t.test(
	'a runner that ignores orders and one that does not answer do not block the others',
	async (t) => {
		const region = fakeRegion.createRegion(scenario.options(true));
		scenario.setDemandForB(region);
		region.runners[0]!.applyOrder = () => 'accepted';
		region.runners[1]!.isSilent = true;
		const one = region.startPlacer('one');
		await region.time.advance(400_000);
		t.ok(region.runners.some((runner) => runner.model === 'b'));
		t.ok(region.runners.some((runner) => runner.model === 'a' && !runner.isSilent));
		one.placer.dispose();
	},
);

tap.t.test(
	'the last runner of a model is not unloaded because of an outdated report of another runner',
	async (t) => {
		const region = fakeRegion.createRegion({
			models: ['a', 'b'],
			runners: ['a', 'a'],
			checksFencing: true,
		});
		const one = region.startPlacer('one');
		let decided = 0;
		one.placer.onDidChange((change) => {
			if (change.kind === 'placed' && change.reason === 'no-runner') {
				decided++;
				region.runners[1]!.leaving = true;
			}
		});
		await region.time.advance(30_000);
		t.equal(decided, 1);
		t.equal(region.runners[0]!.model, 'a');
		t.equal(region.runners[0]!.loads, 0);
		one.placer.dispose();
	},
);
