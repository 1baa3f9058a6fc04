// Guards against short items stuck behind long streams, and against preemptions that free no slot.
import * as tap from 'tap';
import * as fixtures from './fixtures.js';

const {createItem, createLong, createSubject, createUpstream, never} = fixtures;
const settings = {preemptAfterMs: 100, minimumRunMs: 1000, maxPreemptions: 2};

tap.t.test('a long stream is preempted for a short item that waited too long', async (t) => {
	const {clock, subject} = createSubject(settings);
	subject.setUpstreams([createUpstream('a')]);
	const long = await subject.acquire(createLong(), never);
	let firedAtMs = -1;
	long.onDidPreempt(() => {
		firedAtMs = clock.nowMs();
		long.release('cancelled');
	});
	await clock.advance(2000);
	const {made, add} = fixtures.collect(subject);
	add(createLong({team: 'other'}));
	add(createItem());
	await clock.advance(99);
	t.equal(firedAtMs, -1);
	await clock.advance(1);
	t.equal(firedAtMs, 2100);
	t.same(
		made.map(({item}) => item.workClass),
		['short'],
		'the slot goes to the short item, not to waiting long work',
	);
});

tap.t.test('a stream is preempted only after its minimum run time', async (t) => {
	const {clock, subject} = createSubject(settings);
	subject.setUpstreams([createUpstream('a')]);
	const long = await subject.acquire(createLong(), never);
	let firedAtMs = -1;
	long.onDidPreempt(() => {
		firedAtMs = clock.nowMs();
	});
	subject.acquire(createItem(), never);
	await clock.advance(999);
	t.equal(firedAtMs, -1);
	await clock.advance(1);
	t.equal(firedAtMs, 1000);
});

tap.t.test(
	'one stream is preempted per overdue item, the one with the fewest tokens',
	async (t) => {
		const {clock, subject} = createSubject(settings);
		subject.setUpstreams([createUpstream('a', {slots: 3})]);
		const fired: string[] = [];
		for (const [team, tokens] of [
			['x', 30],
			['y', 10],
			['z', 20],
		] as const) {
			const long = await subject.acquire(createLong({team}), never);
			long.noteTokens(tokens);
			long.onDidPreempt(() => fired.push(team));
		}

		await clock.advance(2000);
		subject.acquire(createItem(), never);
		await clock.advance(5000);
		t.same(fired, ['y']);
	},
);

for (const [name, upstream, item] of [
	['work that cannot be pre-empted', {}, {canBePreempted: false}],
	['an upstream that does not resume streams', {resumesStreams: false}, {}],
	['work that made room often enough', {}, {preemptions: 2}],
] as const) {
	tap.t.test(`${name} is never stopped`, async (t) => {
		const {clock, subject} = createSubject(settings);
		subject.setUpstreams([createUpstream('a', upstream)]);
		const long = await subject.acquire(createLong(item), never);
		long.onDidPreempt(() => t.fail('stopped'));
		subject.acquire(createItem(), never);
		await clock.advance(10_000);
		t.equal(subject.inFlight(), 1);
	});
}

tap.t.test('no stream is preempted on an upstream that other daemons keep full', async (t) => {
	const {clock, subject} = createSubject(settings);
	subject.setUpstreams([createUpstream('a', {slots: 2})]);
	const long = await subject.acquire(createLong(), never);
	long.onDidPreempt(() => t.fail('stopped'));
	await clock.advance(2000);
	subject.report('a', fixtures.createReport({running: 4, waiting: 4, slots: 2}));
	subject.acquire(createItem(), never);
	await clock.advance(2000);
	t.equal(subject.inFlight(), 1);
});

tap.t.test('resumed work goes to the front of the queue of its team', async (t) => {
	const {clock, subject} = createSubject(settings);
	subject.setUpstreams([createUpstream('a')]);
	const first = await subject.acquire(createLong(), never);
	const {made, add} = fixtures.collect(subject);
	add(createLong());
	add(createLong({preemptions: 1}));
	first.release('answered');
	await clock.advance(0);
	t.equal(made[0]?.item.preemptions, 1);
});

// Guards against an admitted stream that is preempted and then refused by the queue limits.
for (const [name, limits] of Object.entries({
	'a full queue': {maxQueuedItems: 1, maxQueueSharePerTeam: 1},
	'a full share of its team': {maxQueuedItems: 2, maxQueueSharePerTeam: 0.5},
})) {
	tap.t.test(`pre-empted work is not refused by ${name}`, async (t) => {
		const {clock, subject} = createSubject({...settings, ...limits});
		subject.setUpstreams([createUpstream('a')]);
		const first = await subject.acquire(createLong(), never);
		const {made, add} = fixtures.collect(subject);
		add(createLong());
		await t.rejects(subject.acquire(createLong(), never), /the queue is full/u);
		const resuming = add(createLong({preemptions: 1}));
		first.release('answered');
		await clock.advance(0);
		await t.resolves(resuming);
		t.equal(made[0]?.item.preemptions, 1);
	});
}

tap.t.test(
	'a stream is preempted for a short item that is stuck in the queue of the engine',
	async (t) => {
		const {clock, subject} = createSubject(settings);
		subject.setUpstreams([createUpstream('a', {slots: 3})]);
		const long = await subject.acquire(createLong(), never);
		long.noteTokens(1);
		let fired = 0;
		long.onDidPreempt(() => {
			fired++;
		});
		await clock.advance(2000);
		const answered = await subject.acquire(createItem(), never);
		answered.noteFirstToken();
		await clock.advance(1000);
		t.equal(fired, 0);
		answered.release('answered');
		const stuck = await subject.acquire(createItem(), never);
		await clock.advance(1000);
		t.equal(fired, 1, 'the engine has work that no report shows');
		t.equal(subject.acquireNow(createItem()), undefined);
		stuck.release('cancelled');
	},
);

// Guards against preempting an admitted stream that no upstream may resume.
for (const [name, others, expected] of [
	['no other', [], 0],
	['one that does not resume streams', [createUpstream('b', {resumesStreams: false})], 0],
	['one that resumes streams', [createUpstream('b')], 1],
] as const) {
	tap.t.test(`stream of a leaving upstream beside ${name}`, async (t) => {
		const {clock, subject} = createSubject(settings);
		subject.setUpstreams([createUpstream('a', {slots: 3})]);
		const long = await subject.acquire(createLong(), never);
		long.noteTokens(1);
		let fired = 0;
		long.onDidPreempt(() => {
			fired++;
		});
		await clock.advance(2000);
		await subject.acquire(createItem(), never);
		subject.setUpstreams([createUpstream('a', {slots: 2}), ...others]);
		subject.setLeaving(new Set(['a']));
		// The engine queues the short item behind work that no report shows yet.
		subject.report('a', fixtures.createReport({running: 2, waiting: 1, slots: 2, leaving: true}));
		await clock.advance(5000);
		t.equal(fired, expected);
	});
}

tap.t.test(
	'the stream with the fewest tokens to recompute is preempted, prompt included',
	async (t) => {
		const {clock, subject} = createSubject(settings);
		subject.setUpstreams([createUpstream('a', {slots: 3})]);
		const fired: string[] = [];
		for (const [team, promptTokens, tokens] of [
			['x', 4000, 10],
			['y', 100, 500],
		] as const) {
			const long = await subject.acquire(createLong({team, promptTokens}), never);
			long.noteTokens(tokens);
			long.onDidPreempt(() => fired.push(team));
		}

		subject.acquire(createItem(), never);
		await clock.advance(2000);
		subject.acquire(createItem(), never);
		await clock.advance(2000);
		t.equal(fired[0], 'y');
	},
);

tap.t.test('streams are preempted only within the budget of recomputed tokens', async (t) => {
	const {clock, subject} = createSubject({
		...settings,
		maxSavedRecomputedTokens: 1000,
		maxRecomputedShare: 0.01,
	});
	subject.setUpstreams([createUpstream('a', {slots: 2}), createUpstream('b', {slots: 2})]);
	const stopped: string[] = [];
	for (const team of ['x', 'y']) {
		const long = await subject.acquire(createLong({team, promptTokens: 600}), never);
		long.onDidPreempt(() => stopped.push(team));
	}

	await clock.advance(2000);
	for (let count = 0; count < 6; count++) {
		subject.acquire(createItem(), never);
	}

	await clock.advance(5000);
	t.equal(stopped.length, 1, 'the budget covers one of the two streams');
});
