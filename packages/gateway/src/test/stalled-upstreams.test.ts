// Stalled upstreams: a request that runs is not lost on the suspicion of a failure.
import * as tap from 'tap';
import * as relayHeaders from '../common/relay-headers.js';
import * as engineHarness from './engine-harness.js';
import * as fixtures from './fixtures.js';

const {bytes, signed, start, headerOf} = engineHarness;

const firstEvent = 'id: 1\ndata: a\n\n';
const secondEvent = 'id: 2\ndata: b\n\n';
/** Exceeds every limit on the gap between events. */
const stallMs = 1500;

/** Starts a stream and sends its first event. */
const startStream = (options: engineHarness.RunOptions = {}) => {
	const run = start(fixtures.shortRoute, options);
	const first = run.transport.last;
	first.listener.onHead(200, signed);
	first.listener.onData(bytes(firstEvent));
	return {...run, first};
};

/** Starts a request that is relayed to another region. */
const startRelayed = async () => {
	const run = start(fixtures.shortRoute, {upstreams: 1});
	run.fleet.noteMember(fixtures.member('s1', {region: 'south', failureDomain: 'south-a'}), 0);
	run.registry.replaceAll([], 2);
	run.transport.last.listener.onFailure({mayHaveBeenSent: false, detail: 'ECONNREFUSED'});
	await run.clock.advance(200);
	return {...run, relay: run.transport.last};
};

// Guards against a stalled run that is cancelled although no other upstream exists.
tap.t.test('a stalled stream without another upstream continues', async (t) => {
	const {clock, reply, first} = startStream({upstreams: 1});
	await clock.advance(stallMs);
	t.notOk(first.isCancelled);
	t.equal(reply.ending, 'open');
	first.listener.onData(bytes(secondEvent));
	first.listener.onEnd();
	t.match(reply, {text: firstEvent + secondEvent, ending: 'complete'});
});

// Guards against a stalled run that is cancelled although the other upstreams are full.
tap.t.test('a stalled stream continues when others refuse it', async (t) => {
	const {clock, transport, reply, first} = startStream({upstreams: 2});
	await clock.advance(1250);
	t.equal(transport.sent.length, 2);
	transport.last.listener.onHead(503, engineHarness.refused);
	await clock.advance(stallMs - 1250);
	t.notOk(first.isCancelled);
	first.listener.onData(bytes(secondEvent));
	first.listener.onEnd();
	t.match(reply, {text: firstEvent + secondEvent, ending: 'complete'});
});

// Guards against a stalled run that is cancelled although no resend is left.
tap.t.test('a stalled stream continues when the budget is spent', async (t) => {
	const {clock, transport, reply, first} = startStream({resends: 1});
	await clock.advance(1250);
	transport.last.listener.onHead(503, engineHarness.refused);
	await clock.advance(stallMs - 1250);
	t.equal(transport.sent.length, 2);
	first.listener.onData(bytes(secondEvent));
	first.listener.onEnd();
	t.match(reply, {text: firstEvent + secondEvent, ending: 'complete'});
});

// Guards against 502 for a request that is queued at its upstream when the others are full.
tap.t.test('a late first event is awaited after a refusal', async (t) => {
	const {clock, transport, reply} = start(fixtures.shortRoute, {upstreams: 2});
	const first = transport.last;
	while (clock.nowMs() < stallMs) {
		await clock.advance(10);
		if (transport.sent.length === 2 && !transport.last.isCancelled) {
			transport.last.listener.onHead(503, engineHarness.refused);
		}
	}

	t.notOk(first.isCancelled);
	t.equal(reply.status, 0);
	first.listener.onHead(200, signed);
	first.listener.onData(bytes(firstEvent));
	first.listener.onEnd();
	t.match(reply, {status: 200, text: firstEvent, ending: 'complete'});
});

// Guards against a stalled stream that loses its upstream although events resume.
tap.t.test('a stalled stream that resumes keeps its caller', async (t) => {
	const {clock, transport, reply, first} = startStream({upstreams: 2});
	await clock.advance(1250);
	t.equal(transport.sent.length, 2);
	first.listener.onData(bytes(secondEvent));
	t.ok(transport.last.isCancelled);
	first.listener.onEnd();
	t.match(reply, {text: firstEvent + secondEvent, ending: 'complete'});
});

// Guards against a relayed stream that is cancelled although no other daemon may run it.
tap.t.test('a stalled relayed stream is not cancelled', async (t) => {
	const {clock, reply, relay} = await startRelayed();
	relay.listener.onHead(200, signed);
	relay.listener.onData(bytes(firstEvent));
	await clock.advance(2700);
	t.notOk(relay.isCancelled);
	relay.listener.onData(bytes(secondEvent));
	relay.listener.onEnd();
	t.equal(reply.ending, 'complete');
});

// Guards against 502 for a relayed request whose remote daemon is alive and busy.
tap.t.test('a relayed request waits while the remote daemon is reachable', async (t) => {
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

// Guards against a delay of the daemon that counts as a stall of the upstream.
tap.t.test('a delayed daemon reads its sockets before it detects a stall', async (t) => {
	const {clock, transport, reply, first} = startStream({
		engineClock: (inner) => new engineHarness.StalledLoopClock(inner, 2400),
	});
	// The timer fires at 2400 ms, before the daemon reads its sockets.
	await clock.advance(2410);
	t.equal(transport.sent.length, 1);
	first.listener.onData(bytes(secondEvent));
	first.listener.onEnd();
	t.match(reply, {text: firstEvent + secondEvent, ending: 'complete'});
});

// Guards against an upstream that looks stalled because its caller is slow.
tap.t.test('a caller that does not read causes no stall', async (t) => {
	const {clock, transport, reply, first} = startStream();
	reply.isReading = false;
	first.listener.onData(bytes(secondEvent));
	await clock.advance(stallMs);
	t.equal(transport.sent.length, 1);
	reply.read();
	await clock.advance(1000);
	first.listener.onEnd();
	t.equal(reply.ending, 'complete');
});

// Guards against two upstreams that run one stream for longer than the 400 ms that the
// platform allows.
tap.t.test('a connected successor takes over in time', async (t) => {
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

// Guards against a stalled run that is given up for an unreachable peer.
tap.t.test('a successor without a connection does not take over', async (t) => {
	const {clock, transport, first} = startStream({upstreams: 2});
	transport.shouldConnectAtOnce = false;
	await clock.advance(1700);
	t.equal(transport.sent.length, 2);
	t.notOk(first.isCancelled);
	transport.last.listener.onFailure({mayHaveBeenSent: false, detail: 'UND_ERR_CONNECT_TIMEOUT'});
	t.notOk(first.isCancelled);
});

// Guards against an answer that breaks with its first run although a successor has the request.
tap.t.test('the successor answers after the first run breaks', async (t) => {
	const {clock, transport, reply, first} = startStream();
	await clock.advance(1250);
	first.listener.onFailure({mayHaveBeenSent: true, detail: 'ECONNRESET'});
	t.equal(transport.sent.length, 2);
	transport.last.listener.onHead(200, signed);
	transport.last.listener.onData(bytes(secondEvent));
	transport.last.listener.onEnd();
	t.match(reply, {text: firstEvent + secondEvent, ending: 'complete'});
});

// Guards against the failure of a second run in place of the first run's answer.
tap.t.test('the failure of a successor is not forwarded', async (t) => {
	const {clock, transport, reply} = start(fixtures.lookupRoute);
	const first = transport.last;
	await clock.advance(750);
	t.equal(transport.sent.length, 2);
	transport.last.listener.onHead(500, signed);
	t.equal(reply.status, 0);
	await clock.advance(500);
	t.equal(transport.sent.length, 2, 'the route allows two upstreams');
	first.listener.onHead(200, signed);
	first.listener.onData(bytes('found'));
	first.listener.onEnd();
	t.match(reply, {status: 200, text: 'found', ending: 'complete'});
});

// Guards against a plain answer that is discarded before another one is complete.
tap.t.test('the first of two plain answers wins', async (t) => {
	for (const winner of [0, 1]) {
		const {clock, transport, reply} = start(fixtures.lookupRoute);
		await clock.advance(1500);
		t.equal(transport.sent.length, 2);
		t.notOk(transport.sent.some(({isCancelled}) => isCancelled));
		const {listener} = transport.sent[winner]!;
		listener.onHead(200, signed);
		listener.onData(bytes('found'));
		t.notOk(transport.sent[1 - winner]!.isCancelled, 'a partial answer does not win');
		listener.onEnd();
		t.ok(transport.sent[1 - winner]!.isCancelled);
		t.match(reply, {status: 200, text: 'found', ending: 'complete'});
	}
});

// Guards against a wait for a daemon in an unreachable region.
tap.t.test('a relay to an unreachable region is given up', async (t) => {
	const {clock, reply, relay, events} = await startRelayed();
	await clock.advance(2600);
	t.ok(relay.isCancelled);
	t.equal(reply.status, 502);
	t.match(
		events.findLast((event) => event.kind === 'request-silent'),
		{isRelay: true, next: 'give-up'},
	);
});

// Guards against runs that continue after the caller disconnects.
tap.t.test('a caller disconnect cancels both runs', async (t) => {
	const {clock, transport, execution, first} = startStream();
	await clock.advance(1250);
	execution.dispose();
	t.ok(first.isCancelled);
	t.ok(transport.last.isCancelled);
	t.equal(clock.pendingTimers, 0);
});
