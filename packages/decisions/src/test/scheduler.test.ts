// Guards against lost slots, work on leaving upstreams and items that wait forever.
import * as tap from 'tap';
import * as decisionsSettings from '../common/decisions-settings.js';
import * as fixtures from './fixtures.js';

const {
	createItem,
	createLongItem,
	createReport,
	createTestScheduler,
	createUpstream,
	neverAborted,
} = fixtures;

tap.t.test('an item waits for a slot, and a second release frees nothing', async (t) => {
	const {testScheduler} = createTestScheduler();
	testScheduler.setUpstreams([createUpstream('a')]);
	const first = await testScheduler.acquire(createItem(), neverAborted);
	const second = testScheduler.acquire(createItem(), neverAborted);
	t.equal(testScheduler.acquireNow(createItem()), undefined);
	first.release('answered');
	first.release('answered');
	const assignment = await second;
	t.equal(assignment.upstream.name, 'a');
	t.equal(testScheduler.inFlight(), 1);
});

tap.t.test('deadline and abort end the wait and clear the timer', async (t) => {
	const {clock, testScheduler} = createTestScheduler();
	testScheduler.setUpstreams([createUpstream('a')]);
	await testScheduler.acquire(createItem(), neverAborted);
	const expired = testScheduler.acquire(createItem({deadlineAtMs: 50}), neverAborted);
	const controller = new AbortController();
	const aborted = testScheduler.acquire(createItem(), controller.signal);
	controller.abort();
	await t.rejects(aborted, /caller-gone at step queued/u);
	const rejected = t.rejects(expired, /deadline-exceeded at step queued/u);
	await clock.advance(200);
	await rejected;
	t.equal(clock.pendingTimers, 0);
});

tap.t.test('work that expired during a pause is not started', async (t) => {
	const {clock, testScheduler} = createTestScheduler();
	testScheduler.setUpstreams([createUpstream('a')]);
	const first = await testScheduler.acquire(createItem(), neverAborted);
	const expired = testScheduler.acquire(createItem({deadlineAtMs: 50}), neverAborted);
	clock.skip(60);
	first.release('answered');
	await t.rejects(expired, /deadline-exceeded/u);
	t.equal(testScheduler.acquireNow(createItem({deadlineAtMs: 50})), undefined);
});

tap.t.test(
	'a leaving upstream gets no new work, whether marked or reported as leaving',
	async (t) => {
		const {testScheduler} = createTestScheduler();
		testScheduler.setUpstreams([createUpstream('a', {slots: 4}), createUpstream('b', {slots: 4})]);
		testScheduler.setLeaving(new Set(['a']));
		for (let count = 0; count < 4; count++) {
			const assignment = await testScheduler.acquire(createItem(), neverAborted);
			t.equal(assignment.upstream.name, 'b');
		}

		const waiting = testScheduler.acquire(createItem(), neverAborted);
		testScheduler.report('b', createReport({leaving: true}));
		await t.rejects(waiting, /no-upstream/u);
	},
);

tap.t.test('a full queue refuses, and one team cannot fill it', async (t) => {
	const {testScheduler} = createTestScheduler({maxQueuedItems: 4});
	testScheduler.setUpstreams([createUpstream('a')]);
	const waiting = ['x', 'x', 'x', 'y', 'z'].map(async (team) =>
		testScheduler.acquire(createItem({team}), neverAborted),
	);
	await t.rejects(testScheduler.acquire(createItem({team: 'x'}), neverAborted), /overloaded/u);
	const last = testScheduler.acquire(createItem({team: 'z'}), neverAborted);
	await t.rejects(last, /overloaded/u);
	const first = await waiting[0]!;
	const ends = Promise.allSettled(waiting.slice(1));
	testScheduler.dispose();
	first.release('answered');
	const results = await ends;
	t.ok(results.every(({status}) => status === 'rejected'));
});

tap.t.test('an upstream that failed the request is not used for it again', async (t) => {
	const {testScheduler} = createTestScheduler();
	testScheduler.setUpstreams([createUpstream('a', {slots: 8}), createUpstream('b')]);
	const excluded = new Set(['a']);
	const assignment = await testScheduler.acquire(createItem({excluded}), neverAborted);
	t.equal(assignment.upstream.name, 'b');
	const blocked = testScheduler.acquire(createItem({excluded}), neverAborted);
	const other = await testScheduler.acquire(createItem({team: 'other'}), neverAborted);
	t.equal(other.upstream.name, 'a');
	assignment.release('answered');
	await blocked;
});

tap.t.test('long work leaves a slot free after short work has arrived', async (t) => {
	const {clock, testScheduler} = createTestScheduler({reserveForMs: 1000});
	testScheduler.setUpstreams([createUpstream('a', {slots: 4})]);
	const shortAssignment = await testScheduler.acquire(createItem(), neverAborted);
	shortAssignment.release('answered');
	for (let count = 0; count < 3; count++) {
		await testScheduler.acquire(createLongItem(), neverAborted);
	}

	t.equal(testScheduler.acquireNow(createLongItem()), undefined);
	const reserved = testScheduler.acquireNow(createItem());
	t.ok(reserved);
	reserved!.noteFirstToken();
	t.equal(testScheduler.expectedWaitMs('short', 'other'), Number.POSITIVE_INFINITY);
	await clock.advance(2000);
	testScheduler.setUpstreams([createUpstream('a', {slots: 5})]);
	t.ok(testScheduler.acquireNow(createLongItem()), 'nothing is reserved without short work');
});

tap.t.test(
	'reported work of other daemons is subtracted, local work is not counted twice',
	async (t) => {
		const {clock, testScheduler} = createTestScheduler();
		testScheduler.setUpstreams([createUpstream('a', {slots: 4})]);
		const localAssignment = await testScheduler.acquire(createItem(), neverAborted);
		localAssignment.noteFirstToken();
		await clock.advance(1000);
		testScheduler.report('a', createReport({running: 3, slots: 4}));
		t.ok(
			testScheduler.acquireNow(createItem()),
			'two of other daemons and one local leave one slot',
		);
		t.equal(testScheduler.acquireNow(createItem()), undefined);
	},
);

tap.t.test('a starved item is sent to an upstream that other daemons keep full', async (t) => {
	const {clock, testScheduler} = createTestScheduler();
	testScheduler.setUpstreams([createUpstream('a', {slots: 2})]);
	const report = () => {
		testScheduler.report('a', createReport({running: 2, slots: 2, observedAtMs: clock.nowMs()}));
	};

	report();
	const {assignments, add} = fixtures.collectAssignments(testScheduler);
	add(createItem());
	add(createItem());
	await clock.advance(90);
	t.equal(assignments.length, 0);
	await clock.advance(400);
	t.equal(
		assignments.length,
		1,
		'one per report, so that daemons do not overload the engine together',
	);
});

tap.t.test('slow start: a new runner starts with a share of its slots', async (t) => {
	const {clock, testScheduler} = createTestScheduler({rampMs: 10_000, rampInitialShare: 0.25});
	testScheduler.setUpstreams([createUpstream('a')]);
	testScheduler.setUpstreams([createUpstream('b', {slots: 8})]);
	t.ok(testScheduler.acquireNow(createItem()));
	t.ok(testScheduler.acquireNow(createItem()));
	t.equal(testScheduler.acquireNow(createItem()), undefined);
	await clock.advance(10_000);
	t.ok(testScheduler.acquireNow(createItem()));
});

tap.t.test('the expected wait grows with the queue and is 0 while a slot is free', async (t) => {
	const {testScheduler} = createTestScheduler();
	testScheduler.setUpstreams([createUpstream('a', {slots: 2})]);
	t.equal(testScheduler.expectedWaitMs('short', 'm'), 0);
	await testScheduler.acquire(createItem(), neverAborted);
	await testScheduler.acquire(createItem(), neverAborted);
	const waits = [testScheduler.expectedWaitMs('short', 'm')];
	for (let count = 0; count < 3; count++) {
		testScheduler.acquire(createItem(), neverAborted);
		waits.push(testScheduler.expectedWaitMs('short', 'm'));
	}

	t.ok(waits.every((wait, index) => wait > (waits[index - 1] ?? 0)));
	t.ok(testScheduler.expectedWaitMs('long', 'm') >= waits.at(-1)!);
});

tap.t.test('settings are parsed from text and validated', async (t) => {
	const parse = (input: unknown) => decisionsSettings.decisionsSettingsSchema.safeParse(input);
	const good = parse({scheduler: {tickMs: '20'}, regions: {links: {saare: {delayMs: '40'}}}});
	t.equal(good.data?.scheduler.tickMs, 20);
	t.equal(good.data?.regions.links.saare?.delayMs, 40);
	t.match(parse({hedge: {quantile: '2'}}).error?.issues[0], {
		path: ['hedge', 'quantile'],
		message: 'expected a number from 0 to 1',
	});
});
