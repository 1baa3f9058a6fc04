// Two attempts side by side: who answers, and what each of them may do.
import * as tap from 'tap';
import * as relayHeaders from '../common/relay-headers.js';
import type * as routeConfig from '../common/route-config.js';
import * as engineHarness from './engine-harness.js';
import * as fixtures from './fixtures.js';

const {bytes, signed, start, headerOf} = engineHarness;

const firstEvent = 'id: 1\ndata: a\n\n';
const secondEvent = 'id: 2\ndata: b\n\n';
const south = () => fixtures.member('s1', {region: 'south', failureDomain: 'south-a'});

/** A silent request whose successor has been sent, while another region is heard. */
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
		run.fleet.noteMember(south(), 0);
		await run.clock.advance(50);
	}

	return {...run, first, successor: run.transport.last};
};

// Guards against a stream that is moved to a region which refuses it later.
tap.t.test('a silent stream does not move to another region', async (t) => {
	const {first, transport} = await startSuccessor(fixtures.shortRoute, {upstreams: 1});
	t.equal(transport.sent.length, 1);
	t.notOk(first.isCancelled);
});

// Guards against more upstreams than the route allows, with a relay beside a local run.
tap.t.test('a relay beside a local run has one upstream less', async (t) => {
	const {successor, transport} = await startSuccessor(fixtures.lookupRoute, {upstreams: 1});
	t.equal(transport.sent.length, 2);
	t.equal(headerOf(successor, relayHeaders.upstreamsLeftHeader), '1');
});

// Guards against a failure in another region that ends a run which works.
tap.t.test('a failure through a relay does not answer beside a run', async (t) => {
	const {first, successor, reply} = await startSuccessor(fixtures.lookupRoute, {upstreams: 1});
	successor.listener.onHead(500, signed);
	t.notOk(first.isCancelled);
	t.equal(reply.status, 0);
});

// Guards against the body of a failure behind the events of another run.
tap.t.test('a failure of a successor is not joined to a stream', async (t) => {
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
tap.t.test('half an event of the first run is not passed on after a move', async (t) => {
	const {clock, first, successor, reply, ends} = await startSuccessor(fixtures.shortRoute, {
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
	t.equal(ends(), 1);
});

// Guards against a budget that silences have spent when a run breaks off.
tap.t.test('a run that breaks off finds its part of the budget', async (t) => {
	const {clock, first, transport, reply} = await startSuccessor(fixtures.shortRoute, {
		firstBytes: firstEvent,
		resends: 2,
	});
	for (let elapsedMs = 0; elapsedMs < 1000; elapsedMs += 50) {
		if (!transport.last.isCancelled && transport.last !== first) {
			transport.last.listener.onHead(503, {refused: '1'});
		}

		await clock.advance(50);
	}

	const sends = transport.sent.length;
	first.listener.onFailure({mayHaveBeenSent: true, detail: 'ECONNRESET'});
	t.equal(transport.sent.length, sends + 1);
	t.equal(reply.ending, 'open');
});

// Guards against silences that take all further sends of a service.
tap.t.test('silent runs leave half of the budget', async (t) => {
	const {clock, successor, transport} = await startSuccessor(fixtures.shortRoute, {
		firstBytes: firstEvent,
		resends: 2,
	});
	successor.listener.onHead(503, {refused: '1'});
	await clock.advance(1000);
	t.equal(transport.sent.length, 2);
});

// Guards against two runs that are lost because one of them sent a head.
tap.t.test('a head is no plain answer', async (t) => {
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

// Guards against a successor that is dropped for part of an answer that breaks off.
tap.t.test('part of a plain answer does not stop its successor', async (t) => {
	const {first, successor, reply} = await startSuccessor(fixtures.lookupRoute);
	first.listener.onHead(200, signed);
	first.listener.onData(bytes('fou'));
	first.listener.onFailure({mayHaveBeenSent: true, detail: 'ECONNRESET'});
	successor.listener.onHead(200, signed);
	successor.listener.onData(bytes('found'));
	successor.listener.onEnd();
	t.match(reply, {status: 200, text: 'found', ending: 'complete'});
});
