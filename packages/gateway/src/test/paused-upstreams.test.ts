// A runner that turned a request away, and said for how long, got further requests of that daemon.
import * as manualClock from '@hawthornfront/base/common/manual-clock.js';
import * as tap from 'tap';
import * as relayHeaders from '../common/relay-headers.js';
import * as upstreamPauses from '../common/upstream-pauses.js';
import type * as wireFormat from '../common/wire-format.js';
import * as engineHarness from './engine-harness.js';
import * as fixtures from './fixtures.js';

const {signed, refused, start, headerOf} = engineHarness;
const pause = (seconds: number) => ({...refused, pause: String(seconds)});

tap.t.test('a pause ends up to half of it later, and a shorter one does not end it', async (t) => {
	const clock = new manualClock.ManualClock();
	let random = 0;
	const subject = upstreamPauses.createUpstreamPauses(clock, () => random);
	const note = (pauseMs: number) => {
		subject.note('u1', {kind: 'pause', pauseMs});
		return subject.remainingMs('u1');
	};

	t.equal(note(0), 0);
	t.equal(note(1000), 1000);
	random = 0.999;
	t.equal(Math.round(note(1000)), 1500);
	random = 0;
	t.equal(Math.round(note(200)), 1500);
	await clock.advance(1400);
	t.equal(note(200), 200, 'a later one');
	t.equal(note(1e12), upstreamPauses.maxPauseMs, 'a wrong value ends');
	t.equal(subject.remainingMs('u2'), 0);
	subject.forget('u1');
	t.equal(subject.remainingMs('u1'), 0);
	const changes: upstreamPauses.PauseChange[] = [];
	subject.onDidPause((change) => changes.push(change));
	subject.note('u1', {kind: 'unusable', text: 'x'.repeat(500)});
	t.equal(subject.remainingMs('u1'), 0);
	t.same(changes[0]?.named, {kind: 'unusable', text: 'x'.repeat(40)});
});

tap.t.test('an upstream in its pause is no candidate, and one after it', async (t) => {
	const {clock, pauses, registry, subject} = fixtures.createDeployment();
	for (const id of ['u1', 'u2']) {
		registry.put(fixtures.upstream(id), 1);
	}

	pauses.note('u1', {kind: 'pause', pauseMs: 2000});
	const chosen = () => {
		const choice = subject.choose(fixtures.dispatchRequest(fixtures.shortRoute));
		return choice.kind === 'upstream' ? choice.upstream.entry.id : choice.kind;
	};

	for (let count = 0; count < 20; count++) {
		t.equal(chosen(), 'u2');
	}

	const hedge = subject.choose(
		fixtures.dispatchRequest(fixtures.shortRoute, {
			failedUpstreams: new Set(['u2']),
			triedUpstreams: new Set(['u2']),
			wasAccepted: true,
		}),
	);
	t.equal(hedge.kind, 'refuse', 'nor for work that was accepted before');
	await clock.advance(3000);
	t.ok(Array.from({length: 20}, () => chosen()).includes('u1'));
});

// Guards against requests that are kept waiting, or sent back too early, when all upstreams pause.
tap.t.test('when all upstreams pause, the refusal says when the first one is back', (t) => {
	const {pauses, registry, subject} = fixtures.createDeployment();
	for (const [id, pauseMs] of [
		['u1', 20_000],
		['u2', 9000],
	] as const) {
		registry.put(fixtures.upstream(id), 1);
		pauses.note(id, {kind: 'pause', pauseMs});
	}

	t.match(subject.choose(fixtures.dispatchRequest(fixtures.shortRoute)), {
		kind: 'refuse',
		reason: 'paused',
	});
	t.equal(subject.predictWaitMs(fixtures.modelService, true), Number.POSITIVE_INFINITY);
	for (let count = 0; count < 20; count++) {
		const choice = subject.choose(fixtures.dispatchRequest(fixtures.shortRoute));
		t.ok(choice.kind === 'refuse' && choice.retryAfterMs >= pauses.remainingMs('u2'));
	}

	t.end();
});

tap.t.test('a request waits for a short pause and is refused at once for a long one', async (t) => {
	const long = start(fixtures.bookingRoute, {upstreams: 1});
	long.transport.last.listener.onHead(503, pause(20));
	t.match(long.reply, {status: 503, ending: 'complete', text: /not-run/u});
	t.ok(Number(long.reply.headers['retry-after']) >= 20, 'the truth, also past its deadline');
	const route = {...fixtures.lookupRoute, goalMs: 1000};
	const short = start(route, {upstreams: 2});
	const [first] = short.transport.sent;
	const other = headerOf(first!, 'to') === 'u1' ? 'u2' : 'u1';
	short.registry.remove(other, 9);
	short.registry.put(fixtures.upstream(other, {service: 'desk'}), 10);
	short.pauses.note(other, {kind: 'pause', pauseMs: 20});
	first!.listener.onHead(503, pause(20));
	t.equal(short.transport.sent.length, 1);
	await short.clock.advance(100);
	t.equal(short.transport.sent.length, 2);
	t.equal(short.reply.status, 0);
});

// Guards against requests that reach an upstream in its pause because they waited for their connection.
tap.t.test('requests that wait for their connection go elsewhere', async (t) => {
	const {transport, subject, registry, pauses, clock} = start(fixtures.bookingRoute, {
		upstreams: 2,
		isConnecting: true,
	});
	const [waiting] = transport.sent;
	const id = headerOf(waiting!, 'to')!;
	pauses.note(id, {kind: 'pause', pauseMs: 5000});
	t.ok(waiting!.isCancelled);
	await clock.advance(1);
	t.equal(transport.sent.length, 2);
	t.not(headerOf(transport.last, 'to'), id);
	transport.last.listener.onSent();
	pauses.note(headerOf(transport.last, 'to')!, {kind: 'pause', pauseMs: 5000});
	t.notOk(transport.last.isCancelled, 'a request that was sent stays');
	t.equal(registry.usable('desk', 'north').length, 2);
	t.equal(subject.predictWaitMs(fixtures.deskService, true), Number.POSITIVE_INFINITY);
});

const pauseAfter = (status: number, headers: wireFormat.Headers) => {
	const run = start(fixtures.lookupRoute, {upstreams: 1});
	run.transport.last.listener.onHead(status, headers);
	return run.pauses.remainingMs('u1');
};

tap.t.test('which answers bind', (t) => {
	t.ok(pauseAfter(503, pause(3)) >= 3000, 'a refusal');
	t.ok(pauseAfter(503, {...signed, pause: '3'}) >= 3000, 'one without the proof');
	t.ok(pauseAfter(503, {...pause(0.25)}) >= 250, 'a fraction');
	for (const [name, status, headers] of [
		['none', 503, refused],
		['zero', 503, pause(0)],
		['another status', 500, {...signed, pause: '3'}],
		['a limit', 429, pause(3)],
		['another request', 503, {...pause(3), attempt: 'attempt-0'}],
		['no id', 503, {refused: '1', pause: '3'}],
	] as const) {
		t.equal(pauseAfter(status, headers), 0, name);
	}

	t.end();
});

tap.t.test('the refusal of another daemon pauses no upstream', async (t) => {
	const {clock, fleet, registry, transport, pauses} = start(fixtures.shortRoute, {upstreams: 1});
	const [upstream] = registry.all();
	fleet.noteMember(fixtures.member('s1', {region: 'south', failureDomain: 'south-a'}), 0);
	registry.replaceAll([], 2);
	transport.last.listener.onFailure({mayHaveBeenSent: false, detail: 'ECONNREFUSED'});
	await clock.advance(200);
	t.equal(headerOf(transport.last, relayHeaders.relayedFromHeader), 'north');
	registry.put(upstream!.entry, 3);
	transport.last.listener.onHead(503, {...pause(3), [relayHeaders.outcomeHeader]: 'not-run'});
	t.equal(pauses.remainingMs(upstream!.entry.id), 0);
});

tap.t.test('a new start of the upstream ends its pause', (t) => {
	const {pauses, registry, subject} = fixtures.createDeployment();
	registry.put(fixtures.upstream('u1'), 1);
	pauses.note('u1', {kind: 'pause', pauseMs: 20_000});
	subject.forget('u1');
	t.equal(subject.choose(fixtures.dispatchRequest(fixtures.shortRoute)).kind, 'upstream');
	t.end();
});
