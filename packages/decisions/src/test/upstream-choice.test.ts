// Guards against sending work to a slow, cold or loaded upstream while a better one is free.
import * as tap from 'tap';
import * as hash from '../common/hash.js';
import * as fixtures from './fixtures.js';

const {createItem, createReport, createTestScheduler, createUpstream, neverAborted} = fixtures;

const createWithUpstreams = (names: string[], settings: Record<string, unknown> = {}) => {
	const context = createTestScheduler(settings, 3);
	context.testScheduler.setUpstreams(names.map((name) => createUpstream(name, {slots: 8})));
	return context;
};

tap.t.test('upstreams are compared by outstanding tokens, not by requests', async (t) => {
	const {testScheduler} = createWithUpstreams(['a', 'b']);
	const big = await testScheduler.acquire(createItem({estimatedTokens: 6000}), neverAborted);
	for (let count = 0; count < 3; count++) {
		const small = await testScheduler.acquire(createItem(), neverAborted);
		t.not(small.upstream.name, big.upstream.name);
	}
});

tap.t.test('an upstream with an overdue first token is avoided before any report', async (t) => {
	const {clock, testScheduler} = createWithUpstreams(['a', 'b']);
	const stuck = await testScheduler.acquire(createItem(), neverAborted);
	await clock.advance(3000);
	for (let count = 0; count < 5; count++) {
		const next = await testScheduler.acquire(createItem(), neverAborted);
		t.not(next.upstream.name, stuck.upstream.name);
		next.noteFirstToken();
	}
});

tap.t.test('reported work of other daemons adds to the load', async (t) => {
	const {testScheduler} = createWithUpstreams(['a', 'b']);
	testScheduler.report('a', createReport({running: 6, slots: 8}));
	for (let count = 0; count < 3; count++) {
		const next = await testScheduler.acquire(createItem(), neverAborted);
		t.equal(next.upstream.name, 'b');
	}
});

tap.t.test(
	'a runner with another model loaded is used only when there is no better one',
	async (t) => {
		const {testScheduler} = createWithUpstreams(['a', 'b']);
		testScheduler.report('a', createReport({model: 'other'}));
		const next = await testScheduler.acquire(createItem(), neverAborted);
		t.equal(next.upstream.name, 'b');
		t.ok(testScheduler.acquireNow(createItem({excluded: new Set(['b'])})));
	},
);

tap.t.test(
	'requests with one prefix go to one upstream until its load exceeds the bound',
	async (t) => {
		const {testScheduler} = createWithUpstreams(['a', 'b', 'c', 'd']);
		const usedNames: string[] = [];
		for (let count = 0; count < 10; count++) {
			const next = await testScheduler.acquire(createItem({prefixHash: 'tariff'}), neverAborted);
			usedNames.push(next.upstream.name);
			next.noteFirstToken();
			next.release('answered');
		}

		t.equal(new Set(usedNames).size, 1);
		const usedUnderLoad = new Set<string>();
		for (let count = 0; count < 16; count++) {
			const next = await testScheduler.acquire(createItem({prefixHash: 'tariff'}), neverAborted);
			usedUnderLoad.add(next.upstream.name);
		}

		t.ok(usedUnderLoad.size >= 3, 'a popular prefix is spread over upstreams');
	},
);

tap.t.test('random sampling of many upstreams still finds the owner of a prefix', async (t) => {
	const names = Array.from({length: 40}, (_, index) => `u${index}`);
	const {testScheduler} = createWithUpstreams(names);
	const named = names.map((name) => ({name}));
	for (const prefixHash of ['tariff', 'contract', 'fault', 'season']) {
		const [owner] = hash.order(prefixHash, named);
		const next = await testScheduler.acquire(createItem({prefixHash}), neverAborted);
		t.equal(next.upstream.name, owner!.name);
		// Two prefixes may have the same owner, whose load must not decide.
		next.noteFirstToken();
		next.release('answered');
	}
});

tap.t.test('an upstream that was slow once is tried again', async (t) => {
	const {clock, testScheduler} = createWithUpstreams(['a', 'b']);
	const slow = await testScheduler.acquire(createItem({excluded: new Set(['b'])}), neverAborted);
	await clock.advance(2000);
	slow.noteFirstToken();
	slow.release('answered');
	const next = await testScheduler.acquire(createItem(), neverAborted);
	t.equal(next.upstream.name, 'b');
	next.noteFirstToken();
	await clock.advance(120_000);
	const later = await testScheduler.acquire(createItem(), neverAborted);
	t.equal(later.upstream.name, 'a');
});

tap.t.test('an ejected upstream gets no work and returns after a probe', async (t) => {
	const {clock, testScheduler} = createWithUpstreams(['a', 'b', 'c']);
	const answer = async (name: string, durationMs: number) => {
		const excluded = new Set(['a', 'b', 'c'].filter((other) => other !== name));
		const assignment = await testScheduler.acquire(createItem({excluded}), neverAborted);
		await clock.advance(durationMs);
		assignment.noteFirstToken();
		assignment.release('answered');
	};

	for (let count = 0; count < 4; count++) {
		await answer('a', 100);
		await answer('b', 100);
		await answer('c', 1000);
	}

	const excluded = new Set(['a', 'b']);
	t.equal(testScheduler.acquireNow(createItem({excluded})), undefined);
	await clock.advance(3000);
	const probe = testScheduler.acquireNow(createItem({excluded}));
	t.ok(probe);
	t.equal(testScheduler.acquireNow(createItem({excluded})), undefined, 'one probe at a time');
	await clock.advance(100);
	probe!.noteFirstToken();
	t.ok(testScheduler.acquireNow(createItem({excluded})));
});
