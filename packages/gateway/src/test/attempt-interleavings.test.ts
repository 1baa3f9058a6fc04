// What upstreams do in random order, one or two attempts at a time: the promises hold in every order.
import * as random from '@hawthornfront/base/common/random.js';
import * as tap from 'tap';
import * as engineHarness from './engine-harness.js';
import type * as fakeTransport from './fake-transport.js';
import * as fixtures from './fixtures.js';

const {bytes, signed, start, headerOf} = engineHarness;

const seeds = 800;
const steps = 60;
const eventsInAll = 5;
const eventText = (id: number) => `id: ${id}\ndata: ${id}\n\n`;
const wholeStream = Array.from({length: eventsInAll}, (_, index) => eventText(index + 1)).join('');

const routes = [
	fixtures.shortRoute,
	fixtures.longRoute,
	fixtures.lookupRoute,
	fixtures.bookingRoute,
];

type Run = ReturnType<typeof start>;

/** What an upstream has done with a request so far. */
type Upstream = {
	sent: fakeTransport.Sent;
	nextEvent: number;
	hasHead: boolean;
	isHalfSent: boolean;
	isOver: boolean;
	hasRun: boolean;
};

const createUpstream = (sent: fakeTransport.Sent): Upstream => ({
	sent,
	nextEvent: Number(headerOf(sent, 'after')) + 1,
	hasHead: false,
	isHalfSent: false,
	isOver: false,
	hasRun: true,
});

const fail = (upstream: Upstream) => {
	upstream.isOver = true;
	upstream.sent.listener.onFailure({mayHaveBeenSent: true, detail: 'ECONNRESET'});
};

const answerWith = (upstream: Upstream, status: number) => {
	const {listener} = upstream.sent;
	upstream.isOver = true;
	listener.onHead(status, signed);
	listener.onData(bytes('no'));
	listener.onEnd();
};

/** The first answer, refusal or failure of an upstream. */
const begin = (upstream: Upstream, numbers: random.Random) => {
	const draw = numbers.next();
	if (draw < 0.6) {
		upstream.hasHead = true;
		upstream.sent.listener.onHead(200, signed);
	} else if (draw < 0.75) {
		upstream.hasRun = false;
		upstream.isOver = true;
		upstream.sent.listener.onHead(503, {refused: '1'});
	} else if (draw < 0.85) {
		answerWith(upstream, draw < 0.78 ? 404 : 500);
	} else if (draw < 0.95) {
		fail(upstream);
	} else {
		upstream.hasRun = false;
		upstream.isOver = true;
		upstream.sent.listener.onFailure({mayHaveBeenSent: false, detail: 'ECONNREFUSED'});
	}
};

const sendEvent = (upstream: Upstream, numbers: random.Random) => {
	const {listener} = upstream.sent;
	const text = eventText(upstream.nextEvent);
	const half = Math.floor(text.length / 2);
	if (upstream.isHalfSent || numbers.next() < 0.6) {
		listener.onData(bytes(upstream.isHalfSent ? text.slice(half) : text));
		upstream.isHalfSent = false;
		upstream.nextEvent++;
	} else {
		upstream.isHalfSent = true;
		listener.onData(bytes(text.slice(0, half)));
	}
};

const goOn = (upstream: Upstream, isStream: boolean, numbers: random.Random) => {
	const {listener} = upstream.sent;
	if (numbers.next() < 0.2) {
		fail(upstream);
	} else if (isStream && upstream.nextEvent <= eventsInAll) {
		sendEvent(upstream, numbers);
	} else {
		upstream.isOver = true;
		if (!isStream) {
			listener.onData(bytes('plain'));
		}

		listener.onEnd();
	}
};

const play = async (run: Run, isStream: boolean, numbers: random.Random): Promise<Upstream[]> => {
	const upstreams: Upstream[] = [];
	for (let step = 0; step < steps && run.ends() === 0; step++) {
		for (const sent of run.transport.sent.slice(upstreams.length)) {
			upstreams.push(createUpstream(sent));
		}

		const upstream = numbers.pick(upstreams);
		if (!upstream || upstream.isOver || upstream.sent.isCancelled || numbers.next() < 0.35) {
			await run.clock.advance(numbers.pick([10, 100, 199, 210, 400, 700, 1250])!);
		} else if (upstream.hasHead) {
			goOn(upstream, isStream, numbers);
		} else {
			begin(upstream, numbers);
		}

		if (numbers.next() < 0.01) {
			run.course.dispose();
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
		'does not end once': run.ends() !== 1,
		'leaves a timer': run.clock.pendingTimers !== 0,
		'leaves a run': upstreams.some(({sent, isOver}) => !isOver && !sent.isCancelled),
		'leaves load': run.subject.localLoads().some(({requests}) => requests > 0),
		'has events out of order': isStream && !wholeStream.startsWith(reply.text),
		'is not whole': isStream && reply.ending === 'complete' && reply.text !== wholeStream,
		'ran too often': runs > (mayRunAgain ? route.maxUpstreams : 1),
		'refused what ran': reply.status === 503 && runs > 0,
	})
		.filter(([, isSeen]) => isSeen)
		.map(([problem]) => `seed ${seed}, ${route.name}: ${problem}`);
};

// Guards against orders of events of two attempts that no other test names.
tap.t.test('the promises hold in any order of events', async (t) => {
	const problems: string[] = [];
	const takeovers = new Set<string>();
	for (let seed = 1; seed <= seeds; seed++) {
		const numbers = random.createRandom(seed);
		const route = routes[seed % routes.length]!;
		const run = start(route, {
			upstreams: numbers.integer(1, 3),
			resends: numbers.integer(0, 5),
		});
		problems.push(...findProblems(run, await play(run, route.work === 'stream', numbers), seed));
		for (const event of run.events) {
			if (event.kind === 'request-takeover') {
				takeovers.add(event.result);
			}
		}
	}

	t.same(problems, []);
	t.same([...takeovers].sort(), ['answer', 'failure', 'held', 'kept']);
});
