// Two concurrent attempts: which one answers, and what each of them may do.
import * as tap from 'tap';
import * as relayHeaders from '../common/relay-headers.js';
import type * as routeConfig from '../common/route-config.js';
import * as engineHarness from './engine-harness.js';
import * as fixtures from './fixtures.js';

const {bytes, signed, start, headerOf} = engineHarness;

const firstEvent = 'id: 1\ndata: a\n\n';
const secondEvent = 'id: 2\ndata: b\n\n';
const southMember = () => fixtures.member('s1', {region: 'south', failureDomain: 'south-a'});

/** Stalls a request until its successor is sent, while another region is reachable. */
const startSuccessor = async (
	route: routeConfig.Route,
	options: engineHarness.RunOptions & {firstBytes?: string} = {},
) => {
	const run = start(route, options);
	const first = run.transport.last;
	if (options.firstBytes !== undefined) {
		first.listener.onHead(200, signed);
		first.listener.onData(bytes(options.firstBytes));
	}

	for (let elapsedMs = 0; elapsedMs < 1500 && run.transport.sent.length === 1; elapsedMs += 50) {
		run.fleet.noteMember(southMember(), 0);
		await run.clock.advance(50);
	}

	return {...run, first, successor: run.transport.last};
};

// Guards against a stream that is moved to a region that refuses it later.
tap.t.test('a stalled stream is not moved to another region', async (t) => {
	const {first, transport} = await startSuccessor(fixtures.shortRoute, {upstreams: 1});
	t.equal(transport.sent.length, 1);
	t.notOk(first.isCancelled);
});

// Guards against more upstreams than the route allows when a relay and a local run are concurrent.
tap.t.test('a relay concurrent with a local run has one upstream less', async (t) => {
	const {successor, transport} = await startSuccessor(fixtures.lookupRoute, {upstreams: 1});
	t.equal(transport.sent.length, 2);
	t.equal(headerOf(successor, relayHeaders.upstreamsLeftHeader), '1');
});

// Guards against a failure in another region that ends a working run.
tap.t.test('a relayed failure does not replace a concurrent run', async (t) => {
	const {first, successor, reply} = await startSuccessor(fixtures.lookupRoute, {upstreams: 1});
	successor.listener.onHead(500, signed);
	t.notOk(first.isCancelled);
	t.equal(reply.status, 0);
});

// Guards against the body of a failure after the events of another run.
tap.t.test('the failure of a successor is not appended to a stream', async (t) => {
	const {first, successor, reply} = await startSuccessor(fixtures.shortRoute, {firstBytes: ''});
	first.listener.onData(bytes(': ping\n\n'));
	t.equal(reply.status, 200);
	successor.listener.onHead(404, signed);
	successor.listener.onData(bytes('no such document'));
	successor.listener.onEnd();
	t.notMatch(reply.text, 'no such document');
	first.listener.onData(bytes(firstEvent));
	first.listener.onEnd();
	t.equal(reply.ending, 'complete');
});

// Guards against bytes of the first run after its successor has taken over.
tap.t.test('half an event of the first run is dropped after a takeover', async (t) => {
	const {clock, first, successor, reply, endCount} = await startSuccessor(fixtures.shortRoute, {
		firstBytes: `${firstEvent}id: 2\nda`,
	});
	t.equal(headerOf(successor, 'after'), '1');
	await clock.advance(255);
	first.listener.onData(bytes('ta: b\n\n'));
	t.equal(reply.text, firstEvent);
	successor.listener.onHead(200, signed);
	successor.listener.onData(bytes(secondEvent));
	successor.listener.onEnd();
	t.match(reply, {text: firstEvent + secondEvent, ending: 'complete'});
	t.equal(clock.pendingTimers, 0);
	t.equal(endCount(), 1);
});

// Guards against a budget that stalls have spent when a run breaks.
tap.t.test('a broken run still has its share of the budget', async (t) => {
	const {clock, first, transport, reply} = await startSuccessor(fixtures.shortRoute, {
		firstBytes: firstEvent,
		resends: 2,
	});
	for (let elapsedMs = 0; elapsedMs < 1000; elapsedMs += 50) {
		if (!transport.last.isCancelled && transport.last !== first) {
			transport.last.listener.onHead(503, engineHarness.refused);
		}

		await clock.advance(50);
	}

	const sends = transport.sent.length;
	first.listener.onFailure({mayHaveBeenSent: true, detail: 'ECONNRESET'});
	t.equal(transport.sent.length, sends + 1);
	t.equal(reply.ending, 'open');
});

// Guards against stalls that use all resends of a service.
tap.t.test('stalled runs leave half of the budget', async (t) => {
	const {clock, successor, transport} = await startSuccessor(fixtures.shortRoute, {
		firstBytes: firstEvent,
		resends: 2,
	});
	successor.listener.onHead(503, engineHarness.refused);
	await clock.advance(1000);
	t.equal(transport.sent.length, 2);
});

// Guards against two lost runs because one of them sent a response head.
tap.t.test('a head alone does not win over a concurrent run', async (t) => {
	const {first, successor, reply} = await startSuccessor(fixtures.lookupRoute);
	successor.listener.onHead(200, signed);
	successor.listener.onData(bytes('fou'));
	successor.listener.onFailure({mayHaveBeenSent: true, detail: 'ECONNRESET'});
	t.notOk(first.isCancelled);
	first.listener.onHead(200, signed);
	first.listener.onData(bytes('found'));
	first.listener.onEnd();
	t.match(reply, {status: 200, text: 'found', ending: 'complete'});
});

// Guards against a successor that is cancelled for a partial answer that breaks later.
tap.t.test('a partial plain answer does not cancel the successor', async (t) => {
	const {first, successor, reply} = await startSuccessor(fixtures.lookupRoute);
	first.listener.onHead(200, signed);
	first.listener.onData(bytes('fou'));
	first.listener.onFailure({mayHaveBeenSent: true, detail: 'ECONNRESET'});
	successor.listener.onHead(200, signed);
	successor.listener.onData(bytes('found'));
	successor.listener.onEnd();
	t.match(reply, {status: 200, text: 'found', ending: 'complete'});
});
