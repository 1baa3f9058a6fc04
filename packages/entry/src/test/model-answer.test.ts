// Guards against answers that are truncated, duplicated or out of order, and against the outcome `not-run` after a runner received the request.
import * as tap from 'tap';
import * as manualClock from '@hawthornfront/base/common/manual-clock.js';
import * as modelAnswer from '../common/model-answer.js';
import * as modelAnswerHarness from './model-answer-harness.js';
import * as fakeRunner from './fake-runner.js';

const {length, run} = modelAnswerHarness;

const allTokens = Array.from({length}, (_, index) => index);

tap.t.test('complete answer releases its slot once and leaves no timer', async (t) => {
	const result = await run({});
	t.same(result.tokens, allTokens);
	t.ok(result.isComplete);
	t.same(result.sources[0]?.releases, ['answered']);
	t.equal(result.pendingTimers, 0);
});

tap.t.test('late and duplicate parts are put in order', async (t) => {
	const result = await run({scripts: {a: [{order: [1, 0, 0, 3, 3, 2, 5, 4]}]}});
	t.same(result.tokens, allTokens);
	t.ok(result.isComplete);
});

for (const [name, script] of Object.entries({
	'broken stream': {breaksAt: 3},
	'stalled stream': {hangsAt: 3},
	'truncated stream': {truncatesAt: 3},
	'lost part': {order: [0, 1, 2, 4, 5]},
})) {
	tap.t.test(`${name} resumes at the exact token`, async (t) => {
		const result = await run({scripts: {a: [script]}});
		t.same(result.tokens, allTokens);
		t.ok(result.isComplete);
		t.same(result.runners.executions, [
			{address: 'a', from: 0},
			{address: 'b', from: 3},
		]);
		t.same(result.sources[0]?.releases, ['failed']);
	});
}

const withoutSuccessor: Record<string, modelAnswerHarness.Options> = {
	'without another upstream': {names: ['a']},
	'when the retry budget is spent': {mayRetry: false},
	'when it is not idempotent': {isIdempotent: false},
	'while no slot is free': {slotDelayMs: 6000},
	'that ends before a slot is free': {slotDelayMs: 300},
};

// Guards against a stalled answer that is cancelled although no other upstream can continue it.
for (const [name, options] of Object.entries({
	...withoutSuccessor,
	'when no other upstream resumes streams': {cannotResume: ['b', 'c']},
})) {
	tap.t.test(`stalled stream ${name} continues`, async (t) => {
		const result = await run({scripts: {a: [{pausesAt: 3, pauseMs: 400}]}, ...options});
		t.same(result.tokens, allTokens);
		t.ok(result.isComplete);
		t.same(result.runners.executions, [{address: 'a', from: 0}]);
		t.same(result.sources[0]?.releases, ['answered']);
		t.ok(result.sources.slice(1).every(({releases}) => releases.join(',') === 'cancelled'));
	});
}

// Guards against the same before the first token, by the stall detector or by the timeout of the HTTP client.
for (const [name, options] of Object.entries(withoutSuccessor)) {
	tap.t.test(`late first token ${name} is awaited`, async (t) => {
		const result = await run({scripts: {a: [{delayMs: 1200}]}, ...options});
		t.same(result.tokens, allTokens);
		t.same(result.runners.executions, [{address: 'a', from: 0}]);
	});
}

// Guards against a running attempt that is cancelled in favour of a hedge without a token.
for (const [name, script] of Object.entries({
	'ends its stream immediately': {truncatesAt: 0},
	breaks: {breaksAt: 0},
	refuses: {refuses: true},
})) {
	tap.t.test(`hedge that ${name} does not end the first attempt`, async (t) => {
		const result = await run({
			hedgeDelayMs: 50,
			mayRetry: false,
			scripts: {a: [{delayMs: 400}], b: [script]},
		});
		t.same(result.tokens, allTokens);
		t.ok(result.isComplete);
		t.same(result.sources[0]?.releases, ['answered']);
	});
}

tap.t.test('hedge that started during the search for a successor is not cancelled', async (t) => {
	const result = await run({
		hedgeDelayMs: 1100,
		slotDelayMs: 300,
		scripts: {a: [{hangsAt: 0}], b: [{delayMs: 400}]},
	});
	t.same(result.tokens, allTokens);
	t.same(result.runners.executions, [
		{address: 'a', from: 0},
		{address: 'b', from: 0},
	]);
});

tap.t.test('stalled hedged pair continues at a third upstream', async (t) => {
	const hangs = [{hangsAt: 0}];
	const result = await run({hedgeDelayMs: 50, scripts: {a: hangs, b: [...hangs]}});
	t.same(result.tokens, allTokens);
	t.same(result.runners.executions.at(-1), {address: 'c', from: 0});
	t.same(
		result.sources.map(({releases}) => releases),
		[['failed'], ['failed'], ['answered']],
	);
});

tap.t.test('stalled upstream counts as failed when the deadline ends the answer', async (t) => {
	const result = await run({names: ['a'], scripts: {a: [{hangsAt: 3}]}});
	t.same(result.tokens, [0, 1, 2]);
	t.equal(result.error?.kind, 'deadline-exceeded');
	t.same(result.sources[0]?.releases, ['failed']);
	t.equal(result.pendingTimers, 0);
});

tap.t.test('broken stream without an upstream that resumes is an error', async (t) => {
	const result = await run({scripts: {a: [{breaksAt: 3}]}, cannotResume: ['b', 'c']});
	t.notOk(result.isComplete);
	t.equal(result.error?.outcome, 'unknown');
});

tap.t.test('refusal by all upstreams before a byte was sent has the outcome not-run', async (t) => {
	const refuses = [{refuses: true}];
	const result = await run({scripts: {a: refuses, b: [...refuses], c: [...refuses]}});
	t.equal(result.error?.outcome, 'not-run');
	t.same(result.runners.executions, []);
});

tap.t.test('no further upstream after one was reached has the outcome unknown', async (t) => {
	const result = await run({names: ['a'], scripts: {a: [{breaksAt: 0}]}});
	t.equal(result.error?.outcome, 'unknown');
});

tap.t.test('non-idempotent request is not retried once a byte was sent', async (t) => {
	const result = await run({isIdempotent: false, scripts: {a: [{breaksAt: 0}]}});
	t.equal(result.runners.executions.length, 1);
	t.equal(result.error?.outcome, 'unknown');
});

tap.t.test('hedge takes the faster answer and cancels the other', async (t) => {
	const result = await run({hedgeDelayMs: 50, scripts: {a: [{delayMs: 900}]}});
	t.same(result.tokens, allTokens);
	t.same(result.sources[0]?.releases, ['cancelled']);
	t.same(result.sources[1]?.releases, ['answered']);
});

tap.t.test('non-idempotent request is never hedged', async (t) => {
	const result = await run({isIdempotent: false, hedgeDelayMs: 50, scripts: {a: [{delayMs: 900}]}});
	t.equal(result.runners.executions.length, 1);
	t.ok(result.isComplete);
});

tap.t.test('preempted stream resumes at the exact token', async (t) => {
	const result = await run({preemptAfterMs: 35});
	t.same(result.tokens, allTokens);
	t.same(result.runners.executions, [
		{address: 'a', from: 0},
		{address: 'a', from: 3},
	]);
	t.same(result.runners.cancelled, ['a']);
});

tap.t.test('deadline ends an answer that hangs', async (t) => {
	const hangs = [{delayMs: 1e8}];
	const result = await run({scripts: {a: hangs, b: [...hangs], c: [...hangs]}});
	t.ok(result.error);
	t.equal(result.error?.outcome, 'unknown');
	t.equal(result.pendingTimers, 0);
});

tap.t.test('a reader that pauses stops the stream and still gets the whole answer', async (t) => {
	const clock = new manualClock.ManualClock();
	const runners = fakeRunner.createFakeRunners(clock, length, {});
	const source = fakeRunner.createFakeSource('a');
	const parts = modelAnswer.streamAnswer(
		{clock, client: runners.client, settings: {firstTokenTimeoutMs: 1000, stallTimeoutMs: 200}},
		{
			requestId: 'r',
			body: {},
			priority: 0,
			firstToken: 0,
			isIdempotent: true,
			deadlineAtMs: 60_000,
			signal: new AbortController().signal,
			acquire: async () => source,
			acquireHedge: () => undefined,
			hedgeDelayMs: () => undefined,
			tryRetry: () => true,
			cannotResume: () => [],
			noteHedge() {},
			noteResume() {},
		},
	);
	const first = parts.next();
	await clock.advance(100);
	t.match(await first, {value: {index: 0}});
	await clock.advance(20_000);
	t.ok(runners.tokensTaken <= 2, `${runners.tokensTaken} tokens were read ahead`);
	const rest: number[] = [];
	const reading = (async () => {
		for await (const part of parts) {
			rest.push(part.kind === 'token' ? part.index : -1);
		}
	})();
	await clock.advance(1000);
	await reading;
	t.same(rest, [1, 2, 3, 4, 5, -1]);
	t.same(source.releases, ['answered']);
});
