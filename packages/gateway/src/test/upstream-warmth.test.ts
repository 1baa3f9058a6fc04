// Cold upstreams behind a cut: a daemon that hears neither the store nor a peer. Without network.
import * as manualClock from '@hawthornfront/base/common/manual-clock.js';
import * as tap from 'tap';
import type * as gatewayEvent from '../common/gateway-event.js';
import * as upstreamWarmth from '../common/upstream-warmth.js';
import type * as wireFormat from '../common/wire-format.js';
import * as fakeTransport from './fake-transport.js';
import * as fixtures from './fixtures.js';

const coldRatePerS = 4.6;
/** Bound of the users' pages on the requests in one second, of all daemons together. */
const allowedInOneSecond = coldRatePerS * 1.5 + 3;
/** What the daemon that is assigned to a cold upstream may send in one second. */
const assignedInOneSecond = coldRatePerS * 0.75 + 1.5;

const start = () => {
	const clock = new manualClock.ManualClock();
	const transport = new fakeTransport.FakeTransport();
	const events: gatewayEvent.GatewayEvent[] = [];
	const state = {isInformed: false};
	const warmth = upstreamWarmth.createUpstreamWarmth({
		clock,
		transport,
		wire: new fakeTransport.FakeWire(),
		log: {
			note(event) {
				events.push(event);
			},
		},
		isInformed: () => state.isInformed,
	});
	const upstream = {entry: fixtures.upstream('u1'), region: 'north', coldUntilMs: 0};
	const answerHealth = async (headers: wireFormat.Headers) => {
		transport.last.listener.onHead(200, headers);
		transport.last.listener.onEnd();
		await clock.advance(0);
	};

	const mayUse = () => warmth.mayUse(upstream, coldRatePerS);
	return {clock, transport, events, state, warmth, upstream, answerHealth, mayUse};
};

tap.t.test('an informed daemon asks nothing', (t) => {
	const {transport, state, warmth, upstream, mayUse} = start();
	state.isInformed = true;
	t.ok(mayUse());
	warmth.noteUse(upstream, coldRatePerS);
	t.equal(transport.sent.length, 0);
	t.end();
});

tap.t.test('a service without cold upstreams is used without a question', (t) => {
	const {warmth, upstream} = start();
	t.ok(warmth.mayUse(upstream, 0));
	t.end();
});

tap.t.test(
	'an isolated daemon uses an upstream while its health says that it is warm',
	async (t) => {
		const {clock, transport, warmth, upstream, answerHealth, mayUse} = start();
		t.notOk(mayUse());
		warmth.ask(upstream);
		warmth.ask(upstream);
		t.equal(transport.sent.length, 1);
		t.match(transport.last.request, {method: 'GET', path: '/health'});
		await answerHealth({});
		t.ok(mayUse());
		await clock.advance(150);
		t.ok(mayUse());
		warmth.noteUse(upstream, coldRatePerS);
		t.equal(transport.sent.length, 2, 'asks again before the answer is too old');
		await clock.advance(100);
		t.notOk(mayUse());
		await answerHealth({});
		t.ok(mayUse());
	},
);

// Guards against the usual traffic of a daemon behind a cut to an upstream that came back cold and fell over.
tap.t.test('an upstream that turns cold behind a cut gets no more than it bears', async (t) => {
	const {clock, transport, warmth, upstream, mayUse} = start();
	const sentAtMs: number[] = [];
	let answered = 0;
	const coldFromMs = 1000;
	// 40 requests a second at any time, health answers after 10 ms.
	for (let nowMs = 0; nowMs < 5000; nowMs += 25) {
		for (; answered < transport.sent.length; answered++) {
			const cold = nowMs >= coldFromMs ? {cold: String(9000 - nowMs)} : {};
			transport.sent[answered]!.listener.onHead(200, cold);
		}

		if (mayUse()) {
			warmth.noteUse(upstream, coldRatePerS);
			sentAtMs.push(nowMs);
		} else {
			warmth.ask(upstream);
		}

		await clock.advance(25);
	}

	const inSecondTo = (endMs: number) =>
		sentAtMs.filter((atMs) => atMs >= coldFromMs && atMs > endMs - 1000 && atMs <= endMs).length;
	const most = Math.max(...sentAtMs.map((atMs) => inSecondTo(atMs)));
	t.ok(most + assignedInOneSecond <= allowedInOneSecond, `${most} requests in one second`);
	const before = sentAtMs.filter((atMs) => atMs < coldFromMs).length;
	t.ok(before > 30, `${before} requests while it was warm`);
});

tap.t.test('an upstream that does not answer gets a few requests', async (t) => {
	const {clock, transport, events, warmth, upstream, mayUse} = start();
	warmth.ask(upstream);
	t.notOk(mayUse());
	await clock.advance(301);
	t.ok(transport.last.isCancelled);
	t.ok(mayUse());
	warmth.noteUse(upstream, coldRatePerS);
	t.notOk(mayUse());
	t.same(events, [], 'it was unknown before');
	await clock.advance(1000);
	warmth.ask(upstream);
	t.equal(transport.sent.length, 2);
});

tap.t.test('an unusable cold time or another upstream is no proof of warmth', async (t) => {
	const {warmth, upstream, answerHealth, mayUse, clock, events} = start();
	warmth.ask(upstream);
	await answerHealth({id: 'u2'});
	warmth.noteUse(upstream, coldRatePerS);
	t.notOk(mayUse());
	await clock.advance(1000);
	warmth.ask(upstream);
	await answerHealth({cold: 'x'});
	t.ok(mayUse(), 'within the slow rate');
	warmth.noteUse(upstream, coldRatePerS);
	t.notOk(mayUse());
	await clock.advance(1000);
	warmth.ask(upstream);
	await answerHealth({id: 'u1'});
	t.match(events, [{kind: 'upstream-warmth', upstream: 'u1', state: 'warm'}]);
});
