// The engine's guarantees under random event orders of one or two concurrent attempts.
import * as random from '@hawthornfront/base/common/random.js';
import * as tap from 'tap';
import * as engineHarness from './engine-harness.js';
import type * as fakeTransport from './fake-transport.js';
import * as fixtures from './fixtures.js';

const {bytes, signed, start, headerOf} = engineHarness;

const seeds = 800;
const steps = 60;
const totalEvents = 5;
const eventText = (id: number) => `id: ${id}\ndata: ${id}\n\n`;
const wholeStream = Array.from({length: totalEvents}, (_, index) => eventText(index + 1)).join('');

const routes = [
	fixtures.shortRoute,
	fixtures.longRoute,
	fixtures.lookupRoute,
	fixtures.bookingRoute,
];

type Run = ReturnType<typeof start>;

/** State of a request at an upstream. */
type Upstream = {
	sent: fakeTransport.SentRequest;
	nextEvent: number;
	hasHead: boolean;
	hasSentHalfEvent: boolean;
	hasEnded: boolean;
	hasRun: boolean;
};

const createUpstream = (sent: fakeTransport.SentRequest): Upstream => ({
	sent,
	nextEvent: Number(headerOf(sent, 'after')) + 1,
	hasHead: false,
	hasSentHalfEvent: false,
	hasEnded: false,
	hasRun: true,
});

const fail = (upstream: Upstream) => {
	upstream.hasEnded = true;
	upstream.sent.listener.onFailure({mayHaveBeenSent: true, detail: 'ECONNRESET'});
};

const answerWith = (upstream: Upstream, status: number) => {
	const {listener} = upstream.sent;
	upstream.hasEnded = true;
	listener.onHead(status, signed);
	listener.onData(bytes('no'));
	listener.onEnd();
};

/** Sends the first answer, refusal or failure of an upstream. */
const startAnswer = (upstream: Upstream, numbers: random.Random) => {
	const draw = numbers.next();
	if (draw < 0.6) {
		upstream.hasHead = true;
		upstream.sent.listener.onHead(200, signed);
	} else if (draw < 0.75) {
		upstream.hasRun = false;
		upstream.hasEnded = true;
		upstream.sent.listener.onHead(503, engineHarness.refused);
	} else if (draw < 0.85) {
		answerWith(upstream, draw < 0.78 ? 404 : 500);
	} else if (draw < 0.95) {
		fail(upstream);
	} else {
		upstream.hasRun = false;
		upstream.hasEnded = true;
		upstream.sent.listener.onFailure({mayHaveBeenSent: false, detail: 'ECONNREFUSED'});
	}
};

const sendEvent = (upstream: Upstream, numbers: random.Random) => {
	const {listener} = upstream.sent;
	const text = eventText(upstream.nextEvent);
	const half = Math.floor(text.length / 2);
	if (upstream.hasSentHalfEvent || numbers.next() < 0.6) {
		listener.onData(bytes(upstream.hasSentHalfEvent ? text.slice(half) : text));
		upstream.hasSentHalfEvent = false;
		upstream.nextEvent++;
	} else {
		upstream.hasSentHalfEvent = true;
		listener.onData(bytes(text.slice(0, half)));
	}
};

const continueAnswer = (upstream: Upstream, isStream: boolean, numbers: random.Random) => {
	const {listener} = upstream.sent;
	if (numbers.next() < 0.2) {
		fail(upstream);
	} else if (isStream && upstream.nextEvent <= totalEvents) {
		sendEvent(upstream, numbers);
	} else {
		upstream.hasEnded = true;
		if (!isStream) {
			listener.onData(bytes('plain'));
		}

		listener.onEnd();
	}
};

const runRandomSteps = async (
	run: Run,
	isStream: boolean,
	numbers: random.Random,
): Promise<Upstream[]> => {
	const upstreams: Upstream[] = [];
	for (let step = 0; step < steps && run.endCount() === 0; step++) {
		for (const sent of run.transport.sent.slice(upstreams.length)) {
			upstreams.push(createUpstream(sent));
		}

		const upstream = numbers.pick(upstreams);
		if (!upstream || upstream.hasEnded || upstream.sent.isCancelled || numbers.next() < 0.35) {
			await run.clock.advance(numbers.pick([10, 100, 199, 210, 400, 700, 1250])!);
		} else if (upstream.hasHead) {
			continueAnswer(upstream, isStream, numbers);
		} else {
			startAnswer(upstream, numbers);
		}

		if (numbers.next() < 0.01) {
			run.execution.dispose();
		}
	}

	await run.clock.advance(20_000);
	for (const sent of run.transport.sent.slice(upstreams.length)) {
		upstreams.push(createUpstream(sent));
	}

	return upstreams;
};

const findProblems = (run: Run, upstreams: readonly Upstream[], seed: number): string[] => {
	const route = routes[seed % routes.length]!;
	const {reply} = run;
	const runs = upstreams.filter(({hasRun}) => hasRun).length;
	const isStream = route.work === 'stream' && reply.status === 200;
	const mayRunAgain = route.work === 'safe' || route.canResume;
	return Object.entries({
		'does not end exactly once': run.endCount() !== 1,
		'leaves a pending timer': run.clock.pendingTimers !== 0,
		'leaves an attempt running': upstreams.some(
			({sent, hasEnded}) => !hasEnded && !sent.isCancelled,
		),
		'leaves load counted': run.subject.localLoads().some(({requests}) => requests > 0),
		'has events out of order': isStream && !wholeStream.startsWith(reply.text),
		'is incomplete': isStream && reply.ending === 'complete' && reply.text !== wholeStream,
		'ran too often': runs > (mayRunAgain ? route.maxUpstreams : 1),
		'refused a request that ran': reply.status === 503 && runs > 0,
	})
		.filter(([, isPresent]) => isPresent)
		.map(([problem]) => `seed ${seed}, ${route.name}: ${problem}`);
};

// Guards against event orders of two attempts that no other test covers.
tap.t.test('the guarantees hold in any order of events', async (t) => {
	const problems: string[] = [];
	const takeovers = new Set<string>();
	for (let seed = 1; seed <= seeds; seed++) {
		const numbers = random.createRandom(seed);
		const route = routes[seed % routes.length]!;
		const run = start(route, {
			upstreams: numbers.integer(1, 3),
			resends: numbers.integer(0, 5),
		});
		problems.push(
			...findProblems(run, await runRandomSteps(run, route.work === 'stream', numbers), seed),
		);
		for (const event of run.events) {
			if (event.kind === 'request-takeover') {
				takeovers.add(event.result);
			}
		}
	}

	t.same(problems, []);
	t.same([...takeovers].sort(), ['answer', 'failure', 'held', 'kept']);
});
