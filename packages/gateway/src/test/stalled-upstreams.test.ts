// Upstreams that are silent for a while: accepted work is not lost on a suspicion.
import * as tap from 'tap';
import * as relayHeaders from '../common/relay-headers.js';
import * as engineHarness from './engine-harness.js';
import * as fixtures from './fixtures.js';

const {bytes, signed, start, headerOf} = engineHarness;

const firstEvent = 'id: 1\ndata: a\n\n';
const secondEvent = 'id: 2\ndata: b\n\n';
/** Longer than any limit of the gaps of a stream. */
const silenceMs = 1500;

/** A stream of which the caller has the first event. */
const startStream = (options: engineHarness.RunOptions = {}) => {
	const run = start(fixtures.shortRoute, options);
	const first = run.transport.last;
	first.listener.onHead(200, signed);
	first.listener.onData(bytes(firstEvent));
	return {...run, first};
};

/** A request that a daemon of another region relays. */
const startRelayed = async () => {
	const run = start(fixtures.shortRoute, {upstreams: 1});
	run.fleet.noteMember(fixtures.member('s1', {region: 'south', failureDomain: 'south-a'}), 0);
	run.registry.replaceAll([], 2);
	run.transport.last.listener.onFailure({mayHaveBeenSent: false, detail: 'ECONNREFUSED'});
	await run.clock.advance(200);
	return {...run, relay: run.transport.last};
};

// Guards against a run that is cancelled for its silence though no other upstream exists.
tap.t.test('a silent stream without another upstream goes on', async (t) => {
	const {clock, reply, first} = startStream({upstreams: 1});
	await clock.advance(silenceMs);
	t.notOk(first.isCancelled);
	t.equal(reply.ending, 'open');
	first.listener.onData(bytes(secondEvent));
	first.listener.onEnd();
	t.match(reply, {text: firstEvent + secondEvent, ending: 'complete'});
});

// Guards against a run that is cancelled for its silence though the others are full.
tap.t.test('a silent stream goes on when the others refuse it', async (t) => {
	const {clock, transport, reply, first} = startStream({upstreams: 2});
	await clock.advance(1250);
	t.equal(transport.sent.length, 2);
	transport.last.listener.onHead(503, {refused: '1'});
	await clock.advance(silenceMs - 1250);
	t.notOk(first.isCancelled);
	first.listener.onData(bytes(secondEvent));
	first.listener.onEnd();
	t.match(reply, {text: firstEvent + secondEvent, ending: 'complete'});
});

// Guards against a run that is cancelled for its silence though no further send is allowed.
tap.t.test('a silent stream goes on when the budget is spent', async (t) => {
	const {clock, transport, reply, first} = startStream({resends: 1});
	await clock.advance(1250);
	transport.last.listener.onHead(503, {refused: '1'});
	await clock.advance(silenceMs - 1250);
	t.equal(transport.sent.length, 2);
	first.listener.onData(bytes(secondEvent));
	first.listener.onEnd();
	t.match(reply, {text: firstEvent + secondEvent, ending: 'complete'});
});

// Guards against 502 for a request that waits at its upstream when the others are full.
tap.t.test('a late first event is not given up for a refusal', async (t) => {
	const {clock, transport, reply} = start(fixtures.shortRoute, {upstreams: 2});
	const first = transport.last;
	while (clock.nowMs() < silenceMs) {
		await clock.advance(10);
		if (transport.sent.length === 2 && !transport.last.isCancelled) {
			transport.last.listener.onHead(503, {refused: '1'});
		}
	}

	t.notOk(first.isCancelled);
	t.equal(reply.status, 0);
	first.listener.onHead(200, signed);
	first.listener.onData(bytes(firstEvent));
	first.listener.onEnd();
	t.match(reply, {status: 200, text: firstEvent, ending: 'complete'});
});

// Guards against a stream that loses its upstream when it speaks again.
tap.t.test('a silent stream that speaks again keeps its caller', async (t) => {
	const {clock, transport, reply, first} = startStream({upstreams: 2});
	await clock.advance(1250);
	t.equal(transport.sent.length, 2);
	first.listener.onData(bytes(secondEvent));
	t.ok(transport.last.isCancelled);
	first.listener.onEnd();
	t.match(reply, {text: firstEvent + secondEvent, ending: 'complete'});
});

// Guards against a relayed stream that is cut though nobody else may run it.
tap.t.test('a relayed stream is not cut for its silence', async (t) => {
	const {clock, reply, relay} = await startRelayed();
	relay.listener.onHead(200, signed);
	relay.listener.onData(bytes(firstEvent));
	await clock.advance(2700);
	t.notOk(relay.isCancelled);
	relay.listener.onData(bytes(secondEvent));
	relay.listener.onEnd();
	t.equal(reply.ending, 'complete');
});

// Guards against 502 for a relayed request whose daemon is alive and at work.
tap.t.test('a relayed request waits while its daemon is heard', async (t) => {
	const {clock, fleet, reply, relay} = await startRelayed();
	t.equal(headerOf(relay, relayHeaders.relayedFromHeader), 'north');
	for (let elapsedMs = 0; elapsedMs < 2600; elapsedMs += 200) {
		fleet.noteMember(fixtures.member('s1', {region: 'south', failureDomain: 'south-a'}), 0);
		await clock.advance(200);
	}

	t.equal(reply.status, 0);
	relay.listener.onHead(200, signed);
	relay.listener.onData(bytes(firstEvent));
	relay.listener.onEnd();
	t.match(reply, {status: 200, ending: 'complete'});
});

// Guards against the daemon's own delay taken for the upstream's silence.
tap.t.test('a daemon that was held up reads before it judges', async (t) => {
	const {clock, transport, reply, first} = startStream({
		engineClock: (inner) => new engineHarness.HeldUpClock(inner, 2400),
	});
	// The timer fires at 2400 ms, before the sockets are read.
	await clock.advance(2410);
	t.equal(transport.sent.length, 1);
	first.listener.onData(bytes(secondEvent));
	first.listener.onEnd();
	t.match(reply, {text: firstEvent + secondEvent, ending: 'complete'});
});

// Guards against a slow caller whose upstream looks silent.
tap.t.test('a caller that does not read makes nobody silent', async (t) => {
	const {clock, transport, reply, first} = startStream();
	reply.isReading = false;
	first.listener.onData(bytes(secondEvent));
	await clock.advance(silenceMs);
	t.equal(transport.sent.length, 1);
	reply.read();
	await clock.advance(1000);
	first.listener.onEnd();
	t.equal(reply.ending, 'complete');
});

// Guards against two upstreams at work on one stream: the platform allows 400 ms.
tap.t.test('a successor that holds the request takes over in time', async (t) => {
	const {clock, transport, reply, first} = startStream();
	await clock.advance(1200);
	t.equal(transport.sent.length, 2);
	await clock.advance(190);
	t.notOk(first.isCancelled);
	await clock.advance(100);
	t.ok(first.isCancelled);
	transport.last.listener.onHead(200, signed);
	transport.last.listener.onData(bytes(secondEvent));
	transport.last.listener.onEnd();
	t.match(reply, {text: firstEvent + secondEvent, ending: 'complete'});
});

// Guards against a silent run that is given up for a peer that cannot be reached.
tap.t.test('a successor without a connection does not take over', async (t) => {
	const {clock, transport, first} = startStream({upstreams: 2});
	transport.connectsAtOnce = false;
	await clock.advance(1700);
	t.equal(transport.sent.length, 2);
	t.notOk(first.isCancelled);
	transport.last.listener.onFailure({mayHaveBeenSent: false, detail: 'UND_ERR_CONNECT_TIMEOUT'});
	t.notOk(first.isCancelled);
});

// Guards against an answer that breaks with its first run though another has the request.
tap.t.test('a run that breaks leaves the answer to its successor', async (t) => {
	const {clock, transport, reply, first} = startStream();
	await clock.advance(1250);
	first.listener.onFailure({mayHaveBeenSent: true, detail: 'ECONNRESET'});
	t.equal(transport.sent.length, 2);
	transport.last.listener.onHead(200, signed);
	transport.last.listener.onData(bytes(secondEvent));
	transport.last.listener.onEnd();
	t.match(reply, {text: firstEvent + secondEvent, ending: 'complete'});
});

// Guards against the failure of a second run in place of the first one's answer.
tap.t.test('a failed successor does not answer', async (t) => {
	const {clock, transport, reply} = start(fixtures.lookupRoute);
	const first = transport.last;
	await clock.advance(750);
	t.equal(transport.sent.length, 2);
	transport.last.listener.onHead(500, signed);
	t.equal(reply.status, 0);
	await clock.advance(500);
	t.equal(transport.sent.length, 2, 'two upstreams are all that the route allows');
	first.listener.onHead(200, signed);
	first.listener.onData(bytes('found'));
	first.listener.onEnd();
	t.match(reply, {status: 200, text: 'found', ending: 'complete'});
});

// Guards against a plain answer that is thrown away before another one is known.
tap.t.test('the first of two plain answers wins', async (t) => {
	for (const winner of [0, 1]) {
		const {clock, transport, reply} = start(fixtures.lookupRoute);
		await clock.advance(1500);
		t.equal(transport.sent.length, 2);
		t.notOk(transport.sent.some(({isCancelled}) => isCancelled));
		const {listener} = transport.sent[winner]!;
		listener.onHead(200, signed);
		listener.onData(bytes('found'));
		t.notOk(transport.sent[1 - winner]!.isCancelled, 'a part is no answer');
		listener.onEnd();
		t.ok(transport.sent[1 - winner]!.isCancelled);
		t.match(reply, {status: 200, text: 'found', ending: 'complete'});
	}
});

// Guards against a wait for a daemon whose region is cut off.
tap.t.test('a relayed request is not left with a region that is cut off', async (t) => {
	const {clock, reply, relay, events} = await startRelayed();
	await clock.advance(2600);
	t.ok(relay.isCancelled);
	t.equal(reply.status, 502);
	t.match(
		events.findLast((event) => event.kind === 'request-silent'),
		{isRelay: true, next: 'give-up'},
	);
});

// Guards against runs that go on after the caller has left.
tap.t.test('a caller that leaves stops both runs', async (t) => {
	const {clock, transport, course, first} = startStream();
	await clock.advance(1250);
	course.dispose();
	t.ok(first.isCancelled);
	t.ok(transport.last.isCancelled);
	t.equal(clock.pendingTimers, 0);
});
