// The order of steps in which a planned stop drains callers.
import * as tap from 'tap';
import * as plannedStop from '../node/planned-stop.js';
import * as suspendedClock from './suspended-clock.js';

const start = (graceMs = 8000) => {
	const clock = new suspendedClock.SuspendedClock();
	const steps: string[] = [];
	const state = {
		inFlight: 0,
		openConnections: 1,
		isListening: true,
		hasPending: false,
		isDone: false,
		listensUntilMs: 0,
	};
	const note = (step: string) => {
		if (steps.at(-1) !== step) {
			steps.push(step);
		}
	};

	const server = {
		get inFlight() {
			return state.inFlight;
		},
		get openConnections() {
			return state.openConnections;
		},
		startDraining() {
			note('drain');
		},
		closeIdle() {
			note('close-idle');
		},
		stopListening(untilMs: number) {
			note('stop-listening');
			state.listensUntilMs = untilMs;
			state.isListening = state.hasPending;
		},
		get isListening() {
			return state.isListening;
		},
	};
	void plannedStop.drainCallers({clock, servers: [server], graceMs}).then(() => {
		state.isDone = true;
	});
	return {clock, steps, state};
};

tap.t.test('idle connections are closed last', async (t) => {
	const {clock, steps, state} = start();
	state.inFlight = 1;
	await clock.advance(2000);
	t.same(steps, ['drain'], 'new connections are still accepted');
	await clock.advance(2000);
	t.same(steps, ['drain', 'stop-listening'], 'a request is in progress');
	state.inFlight = 0;
	await clock.advance(200);
	t.same(steps, ['drain', 'stop-listening', 'close-idle']);
	t.notOk(state.isDone, 'a connection is still open');
	state.openConnections = 0;
	await clock.advance(100);
	t.ok(state.isDone);
});

// Guards against a stop that resets connections that are not accepted yet, when no other is open.
tap.t.test('a stop waits until the pending connections are accepted', async (t) => {
	const {clock, steps, state} = start();
	state.openConnections = 0;
	state.hasPending = true;
	await clock.advance(2500);
	t.same(steps, ['drain', 'stop-listening']);
	t.equal(state.listensUntilMs, 7500, 'the last 500 ms of the grace are for the last answers');
	await clock.advance(4500);
	t.notOk(state.isDone);
	state.isListening = false;
	await clock.advance(100);
	t.ok(state.isDone);
});

tap.t.test('connections that callers never close do not delay a stop', async (t) => {
	const {clock, state} = start();
	await clock.advance(2500);
	state.inFlight = 1;
	await clock.advance(2000);
	state.inFlight = 0;
	await clock.advance(400);
	t.notOk(state.isDone, 'the wait counts from the end of the last request');
	await clock.advance(600);
	t.ok(state.isDone);
});

// Guards against processes that are killed at the end of their grace period, because the last
// responses and their exit take longer than the rest of it.
tap.t.test('a stop leaves time for the exit, and cuts requests late only', async (t) => {
	for (const [graceMs, endMs] of [
		[4000, 3500],
		[8000, 7500],
		[3000, 2500],
		[1200, 1000],
	] as const) {
		const {clock, state} = start(graceMs);
		state.inFlight = 1;
		await clock.advance(endMs - 1);
		t.notOk(state.isDone, `cut in the last sixth of ${graceMs} ms`);
		await clock.advance(1);
		t.ok(state.isDone, `${graceMs - endMs} ms are left of ${graceMs} ms`);
	}
});

// Guards against a stop that counts its whole grace period from the end of a start in which the signal came.
tap.t.test('the grace period begins with the signal', async (t) => {
	t.equal(plannedStop.remainingGraceMs(8000, 0), 8000);
	t.equal(plannedStop.remainingGraceMs(8000, 2500), 5500);
	t.equal(plannedStop.remainingGraceMs(8000, 9000), 0);
	const {clock, state} = start(plannedStop.remainingGraceMs(4000, 2800));
	state.inFlight = 1;
	await clock.advance(1199);
	t.ok(state.isDone, 'the stop ends within the rest of the grace period');
});

// Guards against a process that is resumed after its grace period and cuts requests whose answers have arrived (issue 42).
tap.t.test('a stop that was suspended delivers the answers that arrived meanwhile', async (t) => {
	const {clock, state} = start();
	state.inFlight = 1;
	await clock.advance(1000);
	clock.suspendedMs = 8000;
	await clock.advance(100);
	t.notOk(state.isDone, 'sockets are not read yet');
	state.inFlight = 0;
	await clock.advance(10);
	t.ok(state.isDone);

	const other = start();
	other.state.inFlight = 1;
	await other.clock.advance(1000);
	other.clock.suspendedMs = 8000;
	await other.clock.advance(300);
	t.ok(other.state.isDone, 'it does not wait for answers that are still to come');
});
