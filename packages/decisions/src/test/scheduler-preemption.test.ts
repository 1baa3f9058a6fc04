// Guards against short items stuck behind long streams, and against preemptions that free no slot.
import * as tap from 'tap';
import * as fixtures from './fixtures.js';

const {createItem, createLongItem, createTestScheduler, createUpstream, neverAborted} = fixtures;
const settings = {preemptAfterMs: 100, minimumRunMs: 1000, maxPreemptions: 2};

tap.t.test('a long stream is preempted for a short item that waited too long', async (t) => {
	const {clock, testScheduler} = createTestScheduler(settings);
	testScheduler.setUpstreams([createUpstream('a')]);
	const long = await testScheduler.acquire(createLongItem(), neverAborted);
	let preemptedAtMs = -1;
	long.onDidPreempt(() => {
		preemptedAtMs = clock.nowMs();
		long.release('cancelled');
	});
	await clock.advance(2000);
	const {assignments, add} = fixtures.collectAssignments(testScheduler);
	add(createLongItem({team: 'other'}));
	add(createItem());
	await clock.advance(99);
	t.equal(preemptedAtMs, -1);
	await clock.advance(1);
	t.equal(preemptedAtMs, 2100);
	t.same(
		assignments.map(({item}) => item.workClass),
		['short'],
		'the slot goes to the short item, not to waiting long work',
	);
});

tap.t.test('a stream is preempted only after its minimum run time', async (t) => {
	const {clock, testScheduler} = createTestScheduler(settings);
	testScheduler.setUpstreams([createUpstream('a')]);
	const long = await testScheduler.acquire(createLongItem(), neverAborted);
	let preemptedAtMs = -1;
	long.onDidPreempt(() => {
		preemptedAtMs = clock.nowMs();
	});
	testScheduler.acquire(createItem(), neverAborted);
	await clock.advance(999);
	t.equal(preemptedAtMs, -1);
	await clock.advance(1);
	t.equal(preemptedAtMs, 1000);
});

tap.t.test(
	'one stream is preempted per overdue item, the one with the fewest tokens',
	async (t) => {
		const {clock, testScheduler} = createTestScheduler(settings);
		testScheduler.setUpstreams([createUpstream('a', {slots: 3})]);
		const preemptedTeams: string[] = [];
		for (const [team, tokens] of [
			['x', 30],
			['y', 10],
			['z', 20],
		] as const) {
			const long = await testScheduler.acquire(createLongItem({team}), neverAborted);
			long.noteTokens(tokens);
			long.onDidPreempt(() => preemptedTeams.push(team));
		}

		await clock.advance(2000);
		testScheduler.acquire(createItem(), neverAborted);
		await clock.advance(5000);
		t.same(preemptedTeams, ['y']);
	},
);

for (const [name, upstream, item] of [
	['work that cannot be preempted', {}, {canBePreempted: false}],
	['an upstream that does not resume streams', {resumesStreams: false}, {}],
	['work that reached its limit of preemptions', {}, {preemptions: 2}],
] as const) {
	tap.t.test(`no stream is preempted: ${name}`, async (t) => {
		const {clock, testScheduler} = createTestScheduler(settings);
		testScheduler.setUpstreams([createUpstream('a', upstream)]);
		const long = await testScheduler.acquire(createLongItem(item), neverAborted);
		long.onDidPreempt(() => t.fail('preempted'));
		testScheduler.acquire(createItem(), neverAborted);
		await clock.advance(10_000);
		t.equal(testScheduler.inFlight(), 1);
	});
}

tap.t.test('no stream is preempted on an upstream that other daemons keep full', async (t) => {
	const {clock, testScheduler} = createTestScheduler(settings);
	testScheduler.setUpstreams([createUpstream('a', {slots: 2})]);
	const long = await testScheduler.acquire(createLongItem(), neverAborted);
	long.onDidPreempt(() => t.fail('preempted'));
	await clock.advance(2000);
	testScheduler.report('a', fixtures.createReport({running: 4, waiting: 4, slots: 2}));
	testScheduler.acquire(createItem(), neverAborted);
	await clock.advance(2000);
	t.equal(testScheduler.inFlight(), 1);
});

tap.t.test('resumed work goes to the front of the queue of its team', async (t) => {
	const {clock, testScheduler} = createTestScheduler(settings);
	testScheduler.setUpstreams([createUpstream('a')]);
	const first = await testScheduler.acquire(createLongItem(), neverAborted);
	const {assignments, add} = fixtures.collectAssignments(testScheduler);
	add(createLongItem());
	add(createLongItem({preemptions: 1}));
	first.release('answered');
	await clock.advance(0);
	t.equal(assignments[0]?.item.preemptions, 1);
});

// Guards against an admitted stream that is preempted and then refused by the queue limits.
for (const [name, limits] of Object.entries({
	'a full queue': {maxQueuedItems: 1, maxQueueSharePerTeam: 1},
	'a full share of its team': {maxQueuedItems: 2, maxQueueSharePerTeam: 0.5},
})) {
	tap.t.test(`preempted work is not refused by ${name}`, async (t) => {
		const {clock, testScheduler} = createTestScheduler({...settings, ...limits});
		testScheduler.setUpstreams([createUpstream('a')]);
		const first = await testScheduler.acquire(createLongItem(), neverAborted);
		const {assignments, add} = fixtures.collectAssignments(testScheduler);
		add(createLongItem());
		await t.rejects(testScheduler.acquire(createLongItem(), neverAborted), /the queue is full/u);
		const resuming = add(createLongItem({preemptions: 1}));
		first.release('answered');
		await clock.advance(0);
		await t.resolves(resuming);
		t.equal(assignments[0]?.item.preemptions, 1);
	});
}

tap.t.test(
	'a stream is preempted for a short item that waits in the queue of the engine',
	async (t) => {
		const {clock, testScheduler} = createTestScheduler(settings);
		testScheduler.setUpstreams([createUpstream('a', {slots: 3})]);
		const long = await testScheduler.acquire(createLongItem(), neverAborted);
		long.noteTokens(1);
		let preemptionCount = 0;
		long.onDidPreempt(() => {
			preemptionCount++;
		});
		await clock.advance(2000);
		const answered = await testScheduler.acquire(createItem(), neverAborted);
		answered.noteFirstToken();
		await clock.advance(1000);
		t.equal(preemptionCount, 0);
		answered.release('answered');
		const stuck = await testScheduler.acquire(createItem(), neverAborted);
		await clock.advance(1000);
		t.equal(preemptionCount, 1, 'the engine has work that no report shows');
		t.equal(testScheduler.acquireNow(createItem()), undefined);
		stuck.release('cancelled');
	},
);

// Guards against preempting an admitted stream that no upstream may resume.
for (const [name, others, expected] of [
	['none', [], 0],
	['one that does not resume streams', [createUpstream('b', {resumesStreams: false})], 0],
	['one that resumes streams', [createUpstream('b')], 1],
] as const) {
	tap.t.test(`stream on a leaving upstream, other upstreams: ${name}`, async (t) => {
		const {clock, testScheduler} = createTestScheduler(settings);
		testScheduler.setUpstreams([createUpstream('a', {slots: 3})]);
		const long = await testScheduler.acquire(createLongItem(), neverAborted);
		long.noteTokens(1);
		let preemptionCount = 0;
		long.onDidPreempt(() => {
			preemptionCount++;
		});
		await clock.advance(2000);
		await testScheduler.acquire(createItem(), neverAborted);
		testScheduler.setUpstreams([createUpstream('a', {slots: 2}), ...others]);
		testScheduler.setLeaving(new Set(['a']));
		// The engine queues the short item behind work that no report shows yet.
		testScheduler.report(
			'a',
			fixtures.createReport({running: 2, waiting: 1, slots: 2, leaving: true}),
		);
		await clock.advance(5000);
		t.equal(preemptionCount, expected);
	});
}

tap.t.test(
	'the stream with the fewest tokens to recompute is preempted, prompt included',
	async (t) => {
		const {clock, testScheduler} = createTestScheduler(settings);
		testScheduler.setUpstreams([createUpstream('a', {slots: 3})]);
		const preemptedTeams: string[] = [];
		for (const [team, promptTokens, tokens] of [
			['x', 4000, 10],
			['y', 100, 500],
		] as const) {
			const long = await testScheduler.acquire(createLongItem({team, promptTokens}), neverAborted);
			long.noteTokens(tokens);
			long.onDidPreempt(() => preemptedTeams.push(team));
		}

		testScheduler.acquire(createItem(), neverAborted);
		await clock.advance(2000);
		testScheduler.acquire(createItem(), neverAborted);
		await clock.advance(2000);
		t.equal(preemptedTeams[0], 'y');
	},
);

tap.t.test('streams are preempted only within the budget of recomputed tokens', async (t) => {
	const {clock, testScheduler} = createTestScheduler({
		...settings,
		maxSavedRecomputedTokens: 1000,
		maxRecomputedShare: 0.01,
	});
	testScheduler.setUpstreams([createUpstream('a', {slots: 2}), createUpstream('b', {slots: 2})]);
	const preemptedTeams: string[] = [];
	for (const team of ['x', 'y']) {
		const long = await testScheduler.acquire(
			createLongItem({team, promptTokens: 600}),
			neverAborted,
		);
		long.onDidPreempt(() => preemptedTeams.push(team));
	}

	await clock.advance(2000);
	for (let count = 0; count < 6; count++) {
		testScheduler.acquire(createItem(), neverAborted);
	}

	await clock.advance(5000);
	t.equal(preemptedTeams.length, 1, 'the budget covers one of the two streams');
});
