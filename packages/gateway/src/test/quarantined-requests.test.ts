// Requests with prompt parts that crash upstreams, one at a time through the engine.
import * as tap from 'tap';
import * as relayHeaders from '../common/relay-headers.js';
import * as engineHarness from './engine-harness.js';
import type * as fakeTransport from './fake-transport.js';
import * as fixtures from './fixtures.js';

const {bytes, signed, start} = engineHarness;
/** Shared parts of the harness's request. */
const partIds = fixtures
	.facts()
	.promptParts.slice(0, -1)
	.map(({id}) => id);
/** Another request with the same parts. */
const other = {partIds: () => partIds, digest: () => 'other', isStream: true};
const answering = {sentBeforeMs: 100, wasAnswering: true};

/** Two crashes of other requests with a part of the prompt. */
const quarantinePart = ({quarantine}: Pick<ReturnType<typeof start>, 'quarantine'>) => {
	for (const upstreamKey of [1, 2]) {
		quarantine.noteCrash('model', upstreamKey, [
			{
				request: {
					...other,
					partIds: () => partIds.slice(0, 1),
					digest: () => `other-${upstreamKey}`,
				},
				...answering,
			},
		]);
	}
};

/** The upstream begins its answer and crashes. */
const crash = async (run: ReturnType<typeof start>, sent: fakeTransport.SentRequest) => {
	sent.listener.onHead(200, signed);
	sent.listener.onFailure({mayHaveBeenSent: true, detail: 'UND_ERR_SOCKET'});
	await run.clock.advance(50);
	run.transport.probes.shift()?.('refused');
};

// Guards against requests that stay at their upstreams although their prompt will crash them.
tap.t.test('a quarantine cancels requests that have no answer yet', async (t) => {
	const run = start(fixtures.longRoute);
	quarantinePart(run);
	t.ok(run.transport.last.isCancelled);
	t.match(run.reply, {status: 502, ending: 'complete', text: /"outcome":"unknown"/u});
	t.match(run.endEvent(), {reason: 'quarantined-prompt'});
	t.equal(run.endCount(), 1);
});

tap.t.test('a quarantine keeps an answer in progress', async (t) => {
	const run = start(fixtures.longRoute);
	run.transport.last.listener.onHead(200, signed);
	run.transport.last.listener.onData(bytes('id: 1\ndata: x\n\n'));
	quarantinePart(run);
	t.notOk(run.transport.last.isCancelled);
	run.transport.last.listener.onEnd();
	t.equal(run.reply.ending, 'complete');
});

tap.t.test(
	'a request that another daemon refuses for its prompt goes to no further one',
	async (t) => {
		const run = start(fixtures.shortRoute);
		run.transport.last.listener.onHead(503, {
			[relayHeaders.outcomeHeader]: 'not-run',
			[relayHeaders.reasonHeader]: 'quarantined-prompt',
		});
		t.equal(run.transport.sent.length, 1);
		t.match(run.reply, {status: 503, text: /not-run/u});
	},
);

// Guards against one request that crashes several upstreams in one attempt of its caller.
tap.t.test('a request whose upstream crashed as it began the answer is not resent', async (t) => {
	const run = start(fixtures.shortRoute);
	await crash(run, run.transport.last);
	t.equal(run.transport.sent.length, 1);
	t.equal(run.reply.status, 502);
	t.match(
		run.events.find(({kind}) => kind === 'request-attempt-failed'),
		{next: 'give-up', obstacle: 'suspected-prompt'},
	);
});

// Guards against a request that crashes several upstreams although its prompt parts are sound.
tap.t.test('nor is it when its prompt parts were answered before', async (t) => {
	const run = start(fixtures.shortRoute);
	run.quarantine.noteAnswer('model', other);
	await crash(run, run.transport.last);
	t.equal(run.transport.sent.length, 1);
	t.equal(run.reply.status, 502);
});

tap.t.test('a request that waited at an upstream that crashed is resent', async (t) => {
	const run = start(fixtures.shortRoute);
	run.transport.last.listener.onFailure({mayHaveBeenSent: true, detail: 'UND_ERR_SOCKET'});
	await run.clock.advance(50);
	run.transport.probes.shift()?.('refused');
	t.equal(run.transport.sent.length, 2);
});

// Guards against a plain request that crashes one more upstream at each attempt of its caller.
tap.t.test('a plain request is not resent after a second crash', async (t) => {
	const run = start(fixtures.lookupRoute);
	run.quarantine.noteCrash('desk', 7, [
		{
			request: {partIds: () => [], digest: () => 'digest', isStream: false},
			sentBeforeMs: 50,
			wasAnswering: false,
		},
	]);
	run.transport.last.listener.onFailure({mayHaveBeenSent: true, detail: 'UND_ERR_SOCKET'});
	await run.clock.advance(50);
	run.transport.probes.shift()?.('refused');
	t.equal(run.transport.sent.length, 1);
	t.equal(run.reply.status, 502);
});

tap.t.test('it is resent when the upstream has not crashed', async (t) => {
	const run = start(fixtures.shortRoute);
	const {listener} = run.transport.last;
	listener.onHead(200, signed);
	listener.onFailure({mayHaveBeenSent: true, detail: 'UND_ERR_SOCKET'});
	t.equal(run.transport.sent.length, 1, 'until it is known');
	await run.clock.advance(50);
	run.transport.probes.shift()?.('open');
	t.equal(run.transport.sent.length, 2);
});

tap.t.test('no successor is started for a suspected prompt', async (t) => {
	const run = start(fixtures.shortRoute);
	run.quarantine.noteCrash('model', 1, [{request: other, ...answering}]);
	await run.clock.advance(1500);
	t.equal(run.transport.sent.length, 1);
	t.match(
		run.events.find(({kind}) => kind === 'request-silent'),
		{next: 'wait', obstacle: 'suspected-prompt'},
	);
});
