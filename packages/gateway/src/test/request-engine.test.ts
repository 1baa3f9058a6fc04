// The engine's guarantees to callers, one request at a time, with failing upstreams.
import * as tap from 'tap';
import * as relayHeaders from '../common/relay-headers.js';
import * as engineHarness from './engine-harness.js';
import type * as fakeTransport from './fake-transport.js';
import * as fixtures from './fixtures.js';

const {bytes, signed, start, headerOf} = engineHarness;

tap.t.test('an answer is forwarded whole', async (t) => {
	const {transport, reply, endEvent, endCount} = start(fixtures.bookingRoute);
	const {listener} = transport.last;
	listener.onHead(200, signed);
	listener.onData(bytes('booked '));
	listener.onData(bytes('heater 4'));
	t.equal(reply.status, 0, 'held back until it is complete');
	listener.onEnd();
	t.match(reply, {status: 200, text: 'booked heater 4', ending: 'complete'});
	t.match(endEvent(), {outcome: 'answered', sends: 1});
	t.equal(endCount(), 1);
});

tap.t.test('a non-idempotent request that may have run is not resent', async (t) => {
	const {transport, reply} = start(fixtures.bookingRoute);
	transport.last.listener.onFailure({mayHaveBeenSent: true, detail: 'ECONNRESET'});
	t.equal(transport.sent.length, 1);
	t.equal(reply.status, 502);
	t.match(reply.text, '"outcome":"unknown"');
	t.notOk(reply.headers['retry-after']);
});

for (const [name, fail] of [
	[
		'a refused connection',
		(sent: fakeTransport.SentRequest) => {
			sent.listener.onFailure({mayHaveBeenSent: false, detail: 'ECONNREFUSED'});
		},
	],
	[
		'a proven refusal',
		(sent: fakeTransport.SentRequest) => {
			sent.listener.onHead(503, engineHarness.refused);
		},
	],
	[
		'a wrong upstream at the address',
		(sent: fakeTransport.SentRequest) => {
			sent.listener.onHead(421, engineHarness.wrongUpstream);
		},
	],
] as const) {
	tap.t.test(`a non-idempotent request is resent after ${name}`, async (t) => {
		const {transport, reply} = start(fixtures.bookingRoute);
		fail(transport.last);
		t.equal(transport.sent.length, 2);
		t.not(headerOf(transport.sent[0]!, 'to'), headerOf(transport.sent[1]!, 'to'));
		transport.last.listener.onHead(200, signed);
		transport.last.listener.onEnd();
		t.equal(reply.status, 200);
	});
}

for (const status of [429, 503, 408]) {
	tap.t.test(`an unproven ${status} of an upstream is an unknown outcome`, async (t) => {
		const {transport, reply} = start(fixtures.bookingRoute);
		transport.last.listener.onHead(status, {});
		t.equal(reply.status, 502);
		t.match(reply.text, 'unknown');
	});
}

tap.t.test('a request that all upstreams refuse is reported as not run', async (t) => {
	const {clock, transport, reply} = start(fixtures.bookingRoute, {upstreams: 2});
	transport.last.listener.onHead(503, engineHarness.refused);
	transport.last.listener.onHead(503, engineHarness.refused);
	await clock.advance(200);
	t.equal(reply.status, 503);
	t.match(reply.text, 'not-run');
	const retryAfterS = Number(reply.headers['retry-after']);
	t.ok(retryAfterS > 0 && retryAfterS <= 1, `${retryAfterS} s`);
});

tap.t.test('bytes that are no valid answer are not forwarded', async (t) => {
	for (const headers of [{}, {...signed, encoded: 'gzip'}, {...signed, attempt: 'attempt-9'}]) {
		const {transport, reply} = start(fixtures.bookingRoute);
		const {last} = transport;
		last.listener.onHead(200, headers);
		last.listener.onData(bytes('not yours'));
		t.equal(reply.status, 502);
		t.notMatch(reply.text, 'not yours');
		t.ok(last.isCancelled);
	}
});

const pieceWithoutEvent = new Uint8Array(65_536).fill(120);

/** Sends at most `count` pieces until the exchange is cancelled. @returns bytes sent. */
const sendPieces = (sent: fakeTransport.SentRequest, count: number): number => {
	let sentBytes = 0;
	while (!sent.isCancelled && sentBytes < count * pieceWithoutEvent.length) {
		sent.listener.onData(pieceWithoutEvent);
		sentBytes += pieceWithoutEvent.length;
	}

	return sentBytes;
};

// Guards against an endless event that is buffered until the caller disconnects.
tap.t.test('an endless event is rejected and the request is resent', async (t) => {
	const {transport, reply, events} = start(fixtures.shortRoute);
	const first = transport.last;
	first.listener.onHead(200, signed);
	t.ok(sendPieces(first, 64) < 400_000, 'ends at the limit of one event');
	t.ok(first.isCancelled);
	t.match(
		events.find(({kind}) => kind === 'request-attempt-failed'),
		{step: 'first-token', detail: 'not-an-answer', outcome: 'unknown', next: 'resend'},
	);
	t.equal(transport.sent.length, 2);
	transport.last.listener.onHead(200, signed);
	transport.last.listener.onData(bytes('id: 1\ndata: a\n\n'));
	transport.last.listener.onEnd();
	t.match(reply, {text: 'id: 1\ndata: a\n\n', ending: 'complete'});
});

// Guards against bytes of a stream that may not be moved and that reach the caller unchecked.
tap.t.test('a stream without events that may not be moved is rejected', async (t) => {
	const {transport, reply} = start(fixtures.longRoute);
	transport.last.listener.onHead(200, signed);
	sendPieces(transport.last, 64);
	t.ok(transport.last.isCancelled);
	t.equal(transport.sent.length, 1);
	t.equal(reply.status, 502);
	t.match(reply.text, '"outcome":"unknown"');
});

tap.t.test('an endless event breaks a stream that may not be moved', async (t) => {
	const {transport, reply} = start(fixtures.longRoute);
	transport.last.listener.onHead(200, signed);
	transport.last.listener.onData(bytes('id: 1\ndata: a\n\n'));
	sendPieces(transport.last, 64);
	t.ok(transport.last.isCancelled);
	t.match(reply, {status: 200, text: 'id: 1\ndata: a\n\n', ending: 'broken'});
});

// Guards against bytes without an event that reset the stall timer.
tap.t.test('bytes without an event do not prevent a stall', async (t) => {
	for (const isFirst of [true, false]) {
		const {clock, transport} = start(fixtures.shortRoute);
		const first = transport.last;
		first.listener.onHead(200, signed);
		if (!isFirst) {
			first.listener.onData(bytes('id: 1\ndata: a\n\n'));
		}

		for (let round = 0; round < 20 && transport.sent.length === 1; round++) {
			await clock.advance(100);
			first.listener.onData(bytes(round % 2 === 0 ? 'x' : ': comment\n\n'));
		}

		t.equal(transport.sent.length, 2);
		transport.last.listener.onHead(200, signed);
		transport.last.listener.onData(bytes('id: 2\ndata: b\n\n'));
		t.ok(first.isCancelled);
	}
});

tap.t.test('a complete stream may end without an empty line', async (t) => {
	for (const route of [fixtures.longRoute, fixtures.shortRoute]) {
		const {transport, reply} = start(route);
		transport.last.listener.onHead(200, signed);
		transport.last.listener.onData(bytes('id: 1\ndata: a\n\nid: 2\n'));
		transport.last.listener.onData(bytes('data: b'));
		transport.last.listener.onEnd();
		t.match(reply, {text: 'id: 1\ndata: a\n\nid: 2\ndata: b', ending: 'complete'});
	}
});

tap.t.test('an idempotent request is resent after a truncated answer', async (t) => {
	const {transport, reply} = start(fixtures.lookupRoute);
	transport.last.listener.onHead(200, signed);
	transport.last.listener.onData(bytes('half'));
	transport.last.listener.onFailure({mayHaveBeenSent: true, detail: 'UND_ERR_SOCKET'});
	t.equal(transport.sent.length, 2);
	transport.last.listener.onHead(200, signed);
	transport.last.listener.onData(bytes('whole'));
	transport.last.listener.onEnd();
	t.match(reply, {status: 200, text: 'whole', ending: 'complete'});
});

// Guards against a stream that breaks with its upstream because all others are busy.
tap.t.test('a broken stream resumes at a busy upstream', async (t) => {
	const {transport, subject, reply} = start(fixtures.shortRoute, {upstreams: 2});
	const first = transport.last;
	first.listener.onHead(200, signed);
	first.listener.onData(bytes('id: 1\ndata: a\n\n'));
	const busy = {requests: 12, urgentReadTokens: 140_000, otherReadTokens: 0, memoryTokens: 50_000};
	subject.notePeerLoads('n2', [
		{upstreamId: 'u1', ...busy},
		{upstreamId: 'u2', ...busy},
	]);
	t.match(
		subject.choose(fixtures.dispatchRequest(fixtures.shortRoute)),
		{kind: 'refuse', reason: 'overloaded'},
		'a new request would be late',
	);
	first.listener.onFailure({mayHaveBeenSent: true, detail: 'ECONNRESET'});
	t.equal(transport.sent.length, 2);
	transport.last.listener.onHead(200, signed);
	transport.last.listener.onData(bytes('id: 2\ndata: b\n\n'));
	transport.last.listener.onEnd();
	t.equal(reply.ending, 'complete');
});

// Guards against a broken stream whose rest is refused because of a predicted delay.
tap.t.test('a broken stream resumes despite a late prediction', async (t) => {
	const {transport, subject, reply} = start(fixtures.shortRoute, {upstreams: 2});
	const first = transport.last;
	first.listener.onHead(200, signed);
	first.listener.onData(bytes('id: 1\ndata: a\n\n'));
	const busy = {requests: 30, urgentReadTokens: 500_000, otherReadTokens: 0, memoryTokens: 50_000};
	subject.notePeerLoads('n2', [
		{upstreamId: 'u1', ...busy},
		{upstreamId: 'u2', ...busy},
	]);
	first.listener.onFailure({mayHaveBeenSent: true, detail: 'ECONNRESET'});
	t.equal(transport.sent.length, 2);
	t.equal(reply.ending, 'open');
});

// Guards against a broken stream whose rest is refused because of earlier failures of the others.
tap.t.test('a broken stream may resume at a suspended upstream', async (t) => {
	const {registry, transport, subject, reply} = start(fixtures.shortRoute, {upstreams: 2});
	const first = transport.last;
	first.listener.onHead(200, signed);
	first.listener.onData(bytes('id: 1\ndata: a\n\n'));
	const other = registry.get(headerOf(first, 'to') === 'u1' ? 'u2' : 'u1')!;
	const request = fixtures.dispatchRequest(fixtures.shortRoute);
	for (let count = 0; count < 3; count++) {
		const basis = {expectedMs: 1, candidates: 1};
		const choice = {kind: 'upstream', upstream: other, readTokens: 0, basis} as const;
		subject.dispatch(choice, request).noteFailure(true);
	}

	first.listener.onFailure({mayHaveBeenSent: true, detail: 'ECONNRESET'});
	t.equal(headerOf(transport.last, 'to'), other.entry.id);
	t.equal(reply.ending, 'open');
});

// Guards against a broken stream that ends before an upstream returns.
tap.t.test('a broken stream waits for an upstream', async (t) => {
	const {clock, registry, transport, reply} = start(fixtures.shortRoute, {upstreams: 1});
	transport.last.listener.onHead(200, signed);
	transport.last.listener.onData(bytes('id: 1\ndata: a\n\n'));
	transport.last.listener.onFailure({mayHaveBeenSent: true, detail: 'ECONNRESET'});
	await clock.advance(1000);
	t.equal(reply.ending, 'open');
	registry.put(fixtures.upstream('u2'), 2);
	await clock.advance(100);
	t.equal(headerOf(transport.last, 'after'), '1');
	await clock.advance(2000);
	t.equal(reply.ending, 'broken', 'the deadline has passed');
});

// Guards against an answer joined from two runs after part of a plain one was forwarded.
tap.t.test('a large answer that breaks midway is not restarted', async (t) => {
	const {transport, reply} = start(fixtures.lookupRoute);
	transport.last.listener.onHead(200, signed);
	transport.last.listener.onData(new Uint8Array(300_000));
	t.equal(reply.text.length, 300_000);
	transport.last.listener.onFailure({mayHaveBeenSent: true, detail: 'ECONNRESET'});
	t.equal(transport.sent.length, 1);
	t.equal(reply.ending, 'broken');
});

// Guards against a second run of a plain request of whose answer the caller has a part.
tap.t.test('a large answer that pauses stays at its upstream', async (t) => {
	const {clock, transport, reply} = start(fixtures.lookupRoute);
	transport.last.listener.onHead(200, signed);
	transport.last.listener.onData(new Uint8Array(300_000));
	await clock.advance(2000);
	t.equal(transport.sent.length, 1);
	transport.last.listener.onEnd();
	t.equal(reply.ending, 'complete');
});

// Guards against the answer of another run after part of a failed answer was forwarded.
tap.t.test('a partly forwarded failure is not resent', async (t) => {
	const {transport, reply} = start(fixtures.shortRoute);
	transport.last.listener.onHead(404, signed);
	transport.last.listener.onData(bytes('not '));
	transport.last.listener.onFailure({mayHaveBeenSent: true, detail: 'ECONNRESET'});
	t.equal(transport.sent.length, 1);
	t.match(reply, {status: 404, text: 'not ', ending: 'broken'});
});

// Guards against 502 in place of an upstream's own failure when no resend is left.
tap.t.test('a failure is forwarded when the retry budget is spent', async (t) => {
	const {transport, reply} = start(fixtures.lookupRoute, {resends: 0});
	transport.last.listener.onHead(500, signed);
	transport.last.listener.onData(bytes('no stock'));
	transport.last.listener.onEnd();
	t.match(reply, {status: 500, text: 'no stock', ending: 'complete'});
});

tap.t.test('no more upstreams run a request than its route allows', async (t) => {
	const {transport, reply} = start(fixtures.lookupRoute);
	for (let index = 0; index < 2; index++) {
		transport.last.listener.onHead(500, {});
	}

	t.equal(transport.sent.length, 2, 'the second failure is forwarded');
	transport.last.listener.onEnd();
	t.equal(reply.status, 500);
});

tap.t.test('a resumable stream resumes after its last whole event', async (t) => {
	const {transport, reply} = start(fixtures.shortRoute);
	const first = transport.last;
	first.listener.onHead(200, signed);
	first.listener.onData(bytes('id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\nda'));
	first.listener.onFailure({mayHaveBeenSent: true, detail: 'ECONNRESET'});
	t.equal(headerOf(transport.last, 'after'), '2');
	transport.last.listener.onHead(200, {...signed, signed: 'second'});
	transport.last.listener.onData(bytes('id: 3\ndata: c\n\n'));
	transport.last.listener.onEnd();
	t.equal(reply.text, 'id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n');
	t.equal(reply.headers.signed, '1', 'the headers of the first run are kept');
	t.equal(reply.ending, 'complete');
});

tap.t.test('a stream that may not be moved ends visibly broken', async (t) => {
	const {transport, reply} = start(fixtures.longRoute);
	transport.last.listener.onHead(200, signed);
	transport.last.listener.onData(bytes('id: 1\ndata: a\n\n'));
	transport.last.listener.onFailure({mayHaveBeenSent: true, detail: 'ECONNRESET'});
	t.equal(transport.sent.length, 1);
	t.equal(reply.ending, 'broken');
});

// Guards against a broken answer whose log lines lack the inputs of the decision.
tap.t.test('the log shows why an answer broke', async (t) => {
	const {clock, transport, events, endEvent} = start(fixtures.shortRoute, {upstreams: 1});
	transport.last.listener.onHead(200, signed);
	transport.last.listener.onData(bytes('id: 1\ndata: a\n\n'));
	await clock.advance(300);
	transport.last.listener.onFailure({mayHaveBeenSent: true, detail: 'ECONNRESET'});
	t.match(
		events.find((event) => event.kind === 'request-attempt-failed'),
		{detail: 'ECONNRESET', events: 1, silentMs: 300, isRelay: false, next: 'resend'},
	);
	await clock.advance(3000);
	t.match(endEvent(), {outcome: 'broken', reason: 'no-upstream'});
});

// Guards against a stall that can't be distinguished from a delay of the daemon itself.
tap.t.test('the log shows what counted as a stall', async (t) => {
	const {clock, transport, events} = start(fixtures.shortRoute);
	transport.last.listener.onHead(200, signed);
	transport.last.listener.onData(bytes('id: 1\ndata: a\n\n'));
	await clock.advance(1300);
	t.match(
		events.find((event) => event.kind === 'request-silent'),
		{
			step: 'mid-stream',
			events: 1,
			silentMs: 1200,
			limitMs: 1200,
			timerLateMs: 0,
			next: 'takeover',
		},
	);
});

tap.t.test('a stalled stream is moved', async (t) => {
	const {clock, transport, reply} = start(fixtures.shortRoute);
	const first = transport.last;
	first.listener.onHead(200, signed);
	first.listener.onData(bytes('id: 1\ndata: a\n\n'));
	await clock.advance(1300);
	t.equal(headerOf(transport.last, 'after'), '1');
	t.notOk(first.isCancelled, 'the successor may still refuse');
	transport.last.listener.onHead(200, signed);
	t.notOk(first.isCancelled, 'a head is no event');
	transport.last.listener.onData(bytes('id: 2\ndata: b\n\n'));
	t.ok(first.isCancelled, 'the first run is stopped');
	transport.last.listener.onEnd();
	t.match(reply, {text: 'id: 1\ndata: a\n\nid: 2\ndata: b\n\n', ending: 'complete'});
});

tap.t.test('a stalled relayed stream is left to the remote daemon', async (t) => {
	const {clock, fleet, registry, transport, reply} = start(fixtures.shortRoute, {upstreams: 1});
	fleet.noteMember(fixtures.member('s1', {region: 'south', failureDomain: 'south-a'}), 0);
	registry.replaceAll([], 2);
	transport.last.listener.onFailure({mayHaveBeenSent: false, detail: 'ECONNREFUSED'});
	await clock.advance(200);
	const relay = transport.last;
	t.equal(headerOf(relay, relayHeaders.relayedFromHeader), 'north');
	relay.listener.onHead(200, signed);
	relay.listener.onData(bytes('id: 1\ndata: a\n\n'));
	// The remote daemon detects the stall after 1200 ms and resumes at another upstream.
	await clock.advance(1500);
	t.notOk(relay.isCancelled);
	relay.listener.onData(bytes('id: 2\ndata: b\n\n'));
	relay.listener.onEnd();
	t.equal(reply.ending, 'complete');
});

tap.t.test('the timeout of the route ends a request', async (t) => {
	const {clock, transport, reply, endEvent} = start(fixtures.bookingRoute);
	await clock.advance(2490);
	t.equal(reply.status, 0);
	await clock.advance(20);
	t.equal(reply.status, 504);
	t.ok(transport.last.isCancelled);
	t.match(endEvent(), {outcome: 'unknown'});
});

tap.t.test('a caller disconnect cancels the attempt', async (t) => {
	const {clock, transport, execution, endEvent} = start(fixtures.longRoute);
	execution.dispose();
	t.ok(transport.last.isCancelled);
	t.match(endEvent(), {outcome: 'caller-gone'});
	transport.last.listener.onFailure({mayHaveBeenSent: true, detail: 'late'});
	await clock.advance(20_000);
	t.equal(transport.sent.length, 1);
});

// Guards against a request that the daemon terminated and that is logged as a caller disconnect.
tap.t.test('the log distinguishes the end of a stop from a caller disconnect', async (t) => {
	const begun = start(fixtures.longRoute);
	begun.transport.last.listener.onHead(200, signed);
	begun.transport.last.listener.onData(bytes('id: 1\ndata: a\n\n'));
	const waiting = start(fixtures.bookingRoute);
	for (const {execution, transport} of [begun, waiting]) {
		execution.terminate();
		t.ok(transport.last.isCancelled);
	}

	t.match(begun.endEvent(), {outcome: 'broken', reason: 'grace-over'});
	t.match(waiting.endEvent(), {outcome: 'unknown', reason: 'grace-over'});
});

tap.t.test('each send carries the remaining time', async (t) => {
	const {clock, transport} = start(fixtures.lookupRoute);
	await clock.advance(300);
	transport.last.listener.onHead(500, {});
	t.equal(Number(headerOf(transport.sent[0]!, 'left')), 2500);
	t.equal(Number(headerOf(transport.sent[1]!, 'left')), 2200);
});

tap.t.test('a request without an upstream is quickly refused as not run', async (t) => {
	const {clock, transport, reply} = start(fixtures.longRoute, {upstreams: 0});
	await clock.advance(150);
	t.equal(transport.sent.length, 0);
	t.equal(reply.status, 503);
	t.match(reply.text, 'not-run');
});

tap.t.test('another daemon reports how many upstreams it used', async (t) => {
	const {fleet, transport, reply} = start(fixtures.lookupRoute, {upstreams: 1});
	fleet.noteMember(fixtures.member('s1', {region: 'south', failureDomain: 'south-a'}), 0);
	transport.last.listener.onFailure({mayHaveBeenSent: true, detail: 'ECONNRESET'});
	t.equal(headerOf(transport.last, relayHeaders.relayedFromHeader), 'north');
	t.equal(headerOf(transport.last, relayHeaders.upstreamsLeftHeader), '1');
	transport.last.listener.onHead(502, {
		[relayHeaders.outcomeHeader]: 'unknown',
		[relayHeaders.upstreamsUsedHeader]: '1',
	});
	t.equal(reply.status, 502);
	t.equal(transport.sent.length, 2);
});

tap.t.test('a relayed request is not relayed again', async (t) => {
	const {clock, fleet, transport, reply} = start(fixtures.longRoute, {
		upstreams: 0,
		relayedFrom: 'south',
	});
	fleet.noteMember(fixtures.member('s1', {region: 'south', failureDomain: 'south-a'}), 0);
	await clock.advance(200);
	t.equal(transport.sent.length, 0);
	t.equal(reply.headers[relayHeaders.outcomeHeader], 'not-run');
});

tap.t.test('the rank and name of a team go to the upstream and into the log', async (t) => {
	const team = {name: 'team-1', keyDigests: ['d-1'], rank: 2, homeRegions: []};
	const {transport, events, execution} = start(fixtures.shortRoute, {team});
	t.equal(headerOf(transport.last, 'team'), 'team-1');
	t.equal(headerOf(transport.last, 'priority'), '8');
	execution.dispose();
	t.ok(events.every((event) => 'team' in event && event.team === 'team-1'));
	t.notMatch(JSON.stringify(events), 'd-1');
});

// Guards against long prompts of an urgent route that are shed and read like the short ones of their team.
tap.t.test("the rank of a route orders the requests within its team's rank", async (t) => {
	const priorityAt = (rank: number | undefined, routeRank: number) => {
		const team = {name: 'team-1', keyDigests: ['d-1'], rank, homeRegions: []};
		const {transport} = start({...fixtures.longRoute, rank: routeRank}, {team});
		return Number(headerOf(transport.last, 'priority'));
	};

	t.same(
		[priorityAt(0, 0), priorityAt(0, 2), priorityAt(0, 7), priorityAt(1, 0), priorityAt(1, 1)],
		[2, 4, 4, 5, 6],
	);
	t.equal(priorityAt(undefined, 1), 5, 'a team without a rank has that of the route');
});
