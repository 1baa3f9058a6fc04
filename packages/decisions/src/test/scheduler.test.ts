// Guards against lost slots, work on leaving upstreams and items that wait forever.
import * as tap from 'tap';
import * as decisionsSettings from '../common/decisions-settings.js';
import * as fixtures from './fixtures.js';

const {createItem, createLong, createReport, createSubject, createUpstream, never} = fixtures;

tap.t.test('an item waits for a slot, which only the first release frees', async (t) => {
	const {subject} = createSubject();
	subject.setUpstreams([createUpstream('a')]);
	const first = await subject.acquire(createItem(), never);
	const second = subject.acquire(createItem(), never);
	t.equal(subject.acquireNow(createItem()), undefined);
	first.release('answered');
	first.release('answered');
	const assignment = await second;
	t.equal(assignment.upstream.name, 'a');
	t.equal(subject.inFlight(), 1);
});

tap.t.test('deadline and abort end the wait and clear the timer', async (t) => {
	const {clock, subject} = createSubject();
	subject.setUpstreams([createUpstream('a')]);
	await subject.acquire(createItem(), never);
	const expired = subject.acquire(createItem({deadlineAtMs: 50}), never);
	const controller = new AbortController();
	const aborted = subject.acquire(createItem(), controller.signal);
	controller.abort();
	await t.rejects(aborted, /caller-gone at step queued/u);
	const rejected = t.rejects(expired, /deadline-exceeded at step queued/u);
	await clock.advance(200);
	await rejected;
	t.equal(clock.pendingTimers, 0);
});

tap.t.test('work that expired during a pause is not started', async (t) => {
	const {clock, subject} = createSubject();
	subject.setUpstreams([createUpstream('a')]);
	const first = await subject.acquire(createItem(), never);
	const expired = subject.acquire(createItem({deadlineAtMs: 50}), never);
	clock.skip(60);
	first.release('answered');
	await t.rejects(expired, /deadline-exceeded/u);
	t.equal(subject.acquireNow(createItem({deadlineAtMs: 50})), undefined);
});

tap.t.test(
	'a leaving upstream gets no new work, whether marked or reported as leaving',
	async (t) => {
		const {subject} = createSubject();
		subject.setUpstreams([createUpstream('a', {slots: 4}), createUpstream('b', {slots: 4})]);
		subject.setLeaving(new Set(['a']));
		for (let count = 0; count < 4; count++) {
			const assignment = await subject.acquire(createItem(), never);
			t.equal(assignment.upstream.name, 'b');
		}

		const waiting = subject.acquire(createItem(), never);
		subject.report('b', createReport({leaving: true}));
		await t.rejects(waiting, /no-upstream/u);
	},
);

tap.t.test('a full queue refuses, and one team cannot fill it', async (t) => {
	const {subject} = createSubject({maxQueuedItems: 4});
	subject.setUpstreams([createUpstream('a')]);
	const waiting = ['x', 'x', 'x', 'y', 'z'].map(async (team) =>
		subject.acquire(createItem({team}), never),
	);
	await t.rejects(subject.acquire(createItem({team: 'x'}), never), /overloaded/u);
	const last = subject.acquire(createItem({team: 'z'}), never);
	await t.rejects(last, /overloaded/u);
	const first = await waiting[0]!;
	const ends = Promise.allSettled(waiting.slice(1));
	subject.dispose();
	first.release('answered');
	const results = await ends;
	t.ok(results.every(({status}) => status === 'rejected'));
});

tap.t.test('an upstream that failed the request is not used for it again', async (t) => {
	const {subject} = createSubject();
	subject.setUpstreams([createUpstream('a', {slots: 8}), createUpstream('b')]);
	const excluded = new Set(['a']);
	const assignment = await subject.acquire(createItem({excluded}), never);
	t.equal(assignment.upstream.name, 'b');
	const blocked = subject.acquire(createItem({excluded}), never);
	const other = await subject.acquire(createItem({team: 'other'}), never);
	t.equal(other.upstream.name, 'a');
	assignment.release('answered');
	await blocked;
});

tap.t.test('long work leaves a slot free after short work has arrived', async (t) => {
	const {clock, subject} = createSubject({reserveForMs: 1000});
	subject.setUpstreams([createUpstream('a', {slots: 4})]);
	const question = await subject.acquire(createItem(), never);
	question.release('answered');
	for (let count = 0; count < 3; count++) {
		await subject.acquire(createLong(), never);
	}

	t.equal(subject.acquireNow(createLong()), undefined);
	const reserved = subject.acquireNow(createItem());
	t.ok(reserved);
	reserved!.noteFirstToken();
	t.equal(subject.expectedWaitMs('short', 'other'), Number.POSITIVE_INFINITY);
	await clock.advance(2000);
	subject.setUpstreams([createUpstream('a', {slots: 5})]);
	t.ok(subject.acquireNow(createLong()), 'nothing is reserved without short work');
});

tap.t.test('reported work of other daemons is subtracted, own work is not', async (t) => {
	const {clock, subject} = createSubject();
	subject.setUpstreams([createUpstream('a', {slots: 4})]);
	const own = await subject.acquire(createItem(), never);
	own.noteFirstToken();
	await clock.advance(1000);
	subject.report('a', createReport({running: 3, slots: 4}));
	t.ok(subject.acquireNow(createItem()), 'two of others and one own leave one');
	t.equal(subject.acquireNow(createItem()), undefined);
});

tap.t.test('a starved item is sent to an upstream that other daemons keep full', async (t) => {
	const {clock, subject} = createSubject();
	subject.setUpstreams([createUpstream('a', {slots: 2})]);
	const report = () => {
		subject.report('a', createReport({running: 2, slots: 2, observedAtMs: clock.nowMs()}));
	};

	report();
	const {made, add} = fixtures.collect(subject);
	add(createItem());
	add(createItem());
	await clock.advance(90);
	t.equal(made.length, 0);
	await clock.advance(400);
	t.equal(made.length, 1, 'one per report, so that daemons do not pile up at the engine');
});

tap.t.test('slow start: a new runner starts with a share of its slots', async (t) => {
	const {clock, subject} = createSubject({rampMs: 10_000, rampInitialShare: 0.25});
	subject.setUpstreams([createUpstream('a')]);
	subject.setUpstreams([createUpstream('b', {slots: 8})]);
	t.ok(subject.acquireNow(createItem()));
	t.ok(subject.acquireNow(createItem()));
	t.equal(subject.acquireNow(createItem()), undefined);
	await clock.advance(10_000);
	t.ok(subject.acquireNow(createItem()));
});

tap.t.test('the expected wait grows with the queue and is 0 while a slot is free', async (t) => {
	const {subject} = createSubject();
	subject.setUpstreams([createUpstream('a', {slots: 2})]);
	t.equal(subject.expectedWaitMs('short', 'm'), 0);
	await subject.acquire(createItem(), never);
	await subject.acquire(createItem(), never);
	const waits = [subject.expectedWaitMs('short', 'm')];
	for (let count = 0; count < 3; count++) {
		subject.acquire(createItem(), never);
		waits.push(subject.expectedWaitMs('short', 'm'));
	}

	t.ok(waits.every((wait, index) => wait > (waits[index - 1] ?? 0)));
	t.ok(subject.expectedWaitMs('long', 'm') >= waits.at(-1)!);
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
