// Guards against placements that unload the last runner of a model, oscillate or load too many models at once.
import * as manualClock from '@hawthornfront/base/common/manual-clock.js';
import * as tap from 'tap';
import * as demand from '../common/demand.js';
import * as placement from '../common/placement.js';
import * as fakeRegion from './fake-region.js';

const settings = fakeRegion.testSettings('test').placement;

const createRunner = (
	name: string,
	model: string,
	change: Partial<placement.RunnerState> = {},
): placement.RunnerState => ({
	name,
	models: ['a', 'b', 'c'],
	slots: 8,
	observed: {model, role: 'mixed', leaving: false},
	desired: {model, role: 'mixed'},
	sinceChangeMs: 1_000_000,
	...change,
});

const decide = (
	runners: placement.RunnerState[],
	models: string[],
	demandOf: Record<string, number> | undefined = undefined,
) =>
	placement
		.decidePlacement(
			{runners, models, demand: demandOf && new Map(Object.entries(demandOf))},
			settings,
		)
		.map(({runner, place, reason}) => `${runner} ${place.model} ${reason}`);

tap.t.test('the first start adopts the models that runners serve', async (t) => {
	const fresh = {desired: undefined};
	const runners = [createRunner('r1', 'a', fresh), createRunner('r2', 'b', fresh)];
	t.same(decide(runners, ['a', 'b']), ['r1 a adopted', 'r2 b adopted']);
});

tap.t.test('a model without a runner gets one from a model with several', async (t) => {
	const three = ['r1', 'r2', 'r3'].map((name) => createRunner(name, 'a'));
	t.same(decide(three, ['a', 'b']), ['r1 b no-runner']);
	t.same(decide([createRunner('r1', 'a')], ['a', 'b']), []);
	t.same(decide([createRunner('r1', 'a'), createRunner('r2', 'b')], ['a', 'b', 'c']), []);
});

tap.t.test(
	'a runner is not reassigned while the other runner of its model is not serving it',
	async (t) => {
		const coming = {observed: {model: '', role: 'mixed', leaving: false}, sinceChangeMs: 1000};
		const runners = [createRunner('r1', 'a'), createRunner('r2', 'a', coming)];
		t.same(decide(runners, ['a', 'b']), []);
		const leaving = {observed: {model: 'a', role: 'mixed', leaving: true}};
		t.same(decide([createRunner('r1', 'a'), createRunner('r2', 'a', leaving)], ['a', 'b']), []);
		const silent = {observed: undefined};
		t.same(decide([createRunner('r1', 'a'), createRunner('r2', 'a', silent)], ['a', 'b']), []);
	},
);

tap.t.test(
	'demand moves a runner only from below the low share to above the high share',
	async (t) => {
		const runners = [
			...['r1', 'r2', 'r3'].map((name) => createRunner(name, 'a')),
			createRunner('r4', 'b'),
		];
		t.same(decide(runners, ['a', 'b'], {a: 100, b: 700}), ['r1 b demand']);
		t.same(decide(runners, ['a', 'b'], {a: 100, b: 600}), [], 'b is not above the high share');
		t.same(
			decide(runners, ['a', 'b'], {a: 900, b: 700}),
			[],
			'a would not stay under the low share',
		);
		t.same(decide(runners, ['a', 'b'], undefined), [], 'unknown demand moves nothing');
		const recent = runners.map((runner) => ({...runner, sinceChangeMs: 1000}));
		t.same(decide(recent, ['a', 'b'], {a: 100, b: 700}), [], 'changed too recently');
	},
);

tap.t.test('changes in progress are limited, and a stuck runner does not block them', async (t) => {
	const runners = Array.from({length: 8}, (_, index) => createRunner(`r${index}`, 'a'));
	const overloaded = {a: 0, b: 5000};
	t.equal(decide(runners, ['a', 'b'], overloaded).length, settings.maxChangesInProgress);
	const stuck = {desired: {model: 'c', role: 'mixed'}};
	const withStuck = [createRunner('s1', '', stuck), createRunner('s2', '', stuck), ...runners];
	t.equal(decide(withStuck, ['a', 'b'], overloaded).length, settings.maxChangesInProgress);
	const busy = {...stuck, sinceChangeMs: 1000};
	const withBusy = [createRunner('s1', '', busy), createRunner('s2', '', busy), ...runners];
	t.equal(decide(withBusy, ['a', 'b'], overloaded).length, 0);
});

tap.t.test('two runners that are assigned the model of each other keep their models', async (t) => {
	const crossed = [
		createRunner('r1', 'a', {desired: {model: 'b', role: 'mixed'}}),
		createRunner('r2', 'b', {desired: {model: 'a', role: 'mixed'}}),
	];
	t.same(decide(crossed, ['a', 'b']), ['r1 a kept', 'r2 b kept']);
});

tap.t.test(
	'the last demand of a daemon that stops answering counts until it is stale',
	async (t) => {
		const clock = new manualClock.ManualClock();
		const tracker = demand.createDemandTracker(clock, {halfLifeMs: 1000, staleMs: 5000});
		t.equal(tracker.current(), undefined);
		tracker.report('one', {a: 100});
		tracker.report('two', {a: 50, b: 10});
		tracker.update();
		t.same(Object.fromEntries(tracker.current()!), {a: 150, b: 10});
		await clock.advance(1000);
		tracker.report('one', {a: 0});
		tracker.update();
		t.same(
			Object.fromEntries(tracker.current()!),
			{a: 100, b: 10},
			'half of the change is reflected',
		);
		await clock.advance(6000);
		t.equal(tracker.current(), undefined);
	},
);
