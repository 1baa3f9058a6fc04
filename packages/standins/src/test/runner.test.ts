// Guards against a runner stand-in that breaks the runner protocol or its batching model.
import * as manualClock from '@hawthornfront/base/common/manual-clock.js';
import * as tap from 'tap';
import type * as chunkBuffer from '../common/chunk-buffer.js';
import * as openai from '../common/openai.js';
import * as runnerModel from '../common/runner-model.js';
import type * as runnerTypes from '../common/runner-types.js';
import * as tokens from '../common/tokens.js';

const request = (
	requestId: string,
	change: Partial<runnerTypes.GenerationRequest> = {},
): runnerTypes.GenerationRequest => ({
	requestId,
	model: 'model',
	prompt: tokens.promptOfText('x'.repeat(1024)),
	outputTokens: 10,
	finishReason: 'stop',
	priority: 0,
	resumeFromToken: 0,
	...change,
});

const create = (settings: Partial<runnerTypes.RunnerSettings> = {}) => {
	const clock = new manualClock.ManualClock();
	return {clock, runner: runnerModel.createRunnerModel({clock, seed: 1, settings})};
};

type Reading = {tokens: number[]; usage?: chunkBuffer.Usage; failure?: string; endedAtMs?: number};

const read = (
	clock: manualClock.ManualClock,
	chunks: AsyncIterable<chunkBuffer.Chunk>,
): Reading => {
	const reading: Reading = {tokens: []};
	const run = async () => {
		for await (const chunk of chunks) {
			if (chunk.kind === 'end') {
				reading.usage = chunk.usage;
				reading.endedAtMs = clock.nowMs();
			} else {
				const items = Array.from({length: chunk.count}, (_, index) => chunk.tokenIndex + index);
				reading.tokens.push(...items);
			}
		}
	};

	run().catch((error: unknown) => {
		reading.failure = String(error);
	});
	return reading;
};

tap.t.test('combined iterations give the same times as single ones', async (t) => {
	const endings = [];
	for (const maxIterationsPerStep of [1, 16]) {
		const {clock, runner} = create({maxIterationsPerStep, slots: 2});
		const first = read(clock, runner.generate(request('a', {outputTokens: 40})));
		await clock.advance(333);
		const second = read(clock, runner.generate(request('b', {outputTokens: 30})));
		await clock.advance(10_000);
		endings.push([first.endedAtMs, second.endedAtMs].map((atMs) => Math.round(atMs ?? 0)));
		t.equal(runner.counts.tokensGenerated, 70);
	}

	t.same(endings[0], endings[1]);
});

tap.t.test('waiting work is ordered by priority, then arrival', async (t) => {
	const {clock, runner} = create({slots: 1});
	const readings = new Map([
		['running', read(clock, runner.generate(request('running')))],
		['late', read(clock, runner.generate(request('late', {priority: 5})))],
		['second', read(clock, runner.generate(request('second', {priority: 1})))],
		['third', read(clock, runner.generate(request('third', {priority: 1})))],
	]);
	await clock.advance(10_000);
	const order = [...readings].sort((a, b) => a[1].endedAtMs! - b[1].endedAtMs!);
	t.same(
		order.map(([name]) => name),
		['running', 'second', 'third', 'late'],
	);
});

tap.t.test('the prefix cache shortens prefill and stays within its limit', async (t) => {
	const {clock, runner} = create({cacheBlocks: 4});
	const cold = read(clock, runner.generate(request('cold')));
	await clock.advance(5000);
	const warm = read(clock, runner.generate(request('warm')));
	await clock.advance(5000);
	t.equal(cold.usage?.cachedTokens, 0);
	t.equal(warm.usage?.cachedTokens, 255, 'one token is always computed');
	const other = tokens.promptOfText('y'.repeat(1024));
	read(clock, runner.generate(request('other', {prompt: other})));
	await clock.advance(5000);
	const evictions = runner.cacheEvents(0).events.filter((item) => item.kind === 'evicted');
	t.equal(evictions.length, 4);
});

tap.t.test('a resumed stream continues at the exact token', async (t) => {
	const {clock, runner} = create();
	const resumed = read(clock, runner.generate(request('a', {resumeFromToken: 7})));
	await clock.advance(5000);
	t.same(resumed.tokens, [7, 8, 9]);
	const body = openai.chatSchema.parse({model: 'model', messages: [{role: 'user', content: 'q'}]});
	const lengths = {minimum: 10, maximum: 10};
	const {digest} = openai.toGeneration(body, 'a', lengths);
	const whole = openai.answerText(digest, 0, 10);
	t.equal(openai.answerText(digest, 0, 7) + openai.answerText(digest, 7, 10), whole);
	const again = openai.toGeneration({...body, seed: 1}, 'a', lengths);
	t.not(openai.answerText(again.digest, 0, 10), whole, 'another seed gives another answer');
});

tap.t.test('cancel frees the slot and work that waited gets it', async (t) => {
	const {clock, runner} = create({slots: 1});
	const long = read(clock, runner.generate(request('long', {outputTokens: 1000})));
	const next = read(clock, runner.generate(request('next')));
	await clock.advance(500);
	t.equal(runner.cancel('long'), true);
	t.equal(runner.cancel('long'), false);
	await clock.advance(1000);
	t.match(long.failure, /cancelled/u);
	t.equal(next.tokens.length, 10);
	t.equal(runner.counts.cancelled, 1);
	t.same(
		[...runner.counts.executions],
		[
			['long', 1],
			['next', 1],
		],
	);
});

tap.t.test('a reader that takes nothing pauses its sequence', async (t) => {
	const {clock, runner} = create({maxBufferedTokens: 8});
	const chunks = runner.generate(request('slow', {outputTokens: 500}));
	await clock.advance(60_000);
	t.ok(runner.counts.tokensGenerated <= 9, `${runner.counts.tokensGenerated} tokens`);
	const reading = read(clock, chunks);
	await clock.advance(60_000);
	t.equal(reading.tokens.length, 500);
});

tap.t.test('slowdown, hang and crash', async (t) => {
	const {clock, runner} = create();
	const plain = read(clock, runner.generate(request('plain')));
	await clock.advance(10_000);
	runner.faults.slowFactor = 10;
	const startedAtMs = clock.nowMs();
	const slow = read(
		clock,
		runner.generate(request('slow', {prompt: tokens.promptOfText('z'.repeat(1024))})),
	);
	await clock.advance(20_000);
	t.equal(Math.round(slow.endedAtMs! - startedAtMs), Math.round(plain.endedAtMs! * 10));
	runner.faults.hang = true;
	const hung = read(clock, runner.generate(request('hung')));
	await clock.advance(60_000);
	t.equal(hung.tokens.length, 0);
	runner.faults.hang = false;
	await clock.advance(100);
	runner.crash();
	await clock.advance(100);
	t.match(hung.failure, /crashed/u);
	t.throws(() => runner.generate(request('refused')), /refused/u);
});

tap.t.test('load reports lag', async (t) => {
	const {clock, runner} = create({loadLagMs: 500});
	await clock.advance(1000);
	read(clock, runner.generate(request('a', {outputTokens: 1000})));
	await clock.advance(400);
	t.match(runner.load(), {running: 0, observedAtMs: 900});
	await clock.advance(200);
	t.match(runner.load(), {running: 1, observedAtMs: 1100});
});

tap.t.test('orders take time and stale fencing numbers are refused', async (t) => {
	const {clock, runner} = create({loadMs: 1000, checksFencing: true});
	t.match(runner.orders.give({order: 'load', fencing: 5, model: 'other'}), {accepted: true});
	t.match(runner.orders.give({order: 'unload', fencing: 4}), {accepted: false});
	t.throws(() => runner.generate(request('early', {model: 'other'})), /not-loaded/u);
	await clock.advance(1000);
	t.equal(runner.orders.model, 'other');
	const ignoring = create({checksFencing: false}).runner;
	ignoring.orders.give({order: 'load', fencing: 5, model: 'other'});
	t.match(ignoring.orders.give({order: 'unload', fencing: 4}), {accepted: true});
});

tap.t.test('busy slot time counts held slots only', async (t) => {
	const {clock, runner} = create({slots: 2});
	await clock.advance(1000);
	const first = read(clock, runner.generate(request('a')));
	const second = read(clock, runner.generate(request('b', {outputTokens: 50})));
	await clock.advance(60_000);
	// The second one starts after the prefill step of the first: 256 tokens at 0.25 ms.
	const heldMs = first.endedAtMs! - 1000 + (second.endedAtMs! - 1064);
	t.equal(Math.round(runner.counts.busySlotMs), Math.round(heldMs));
});

tap.t.test('cache events come late and with gaps', async (t) => {
	const {clock, runner} = create();
	runner.faults.cacheEventLagMs = 1000;
	runner.faults.cacheEventGapProbability = 0.5;
	const prompt = tokens.promptOfText('w'.repeat(16_384));
	read(clock, runner.generate(request('a', {prompt, outputTokens: 1})));
	await clock.advance(500);
	t.same(runner.cacheEvents(0), {events: [], last: 0});
	await clock.advance(2000);
	const {events, last} = runner.cacheEvents(0);
	t.equal(last, 64);
	t.ok(events.length > 10 && events.length < 54, `${events.length} of 64 events`);
	const half = events[Math.floor(events.length / 2)]!.sequence;
	t.ok(runner.cacheEvents(half).events.every((item) => item.sequence > half));
});
