// Guards against a blocked event loop that is mistaken for a stalled upstream, while received data is still unread in the sockets.
import * as tap from 'tap';
import * as manualClock from '@hawthornfront/base/common/manual-clock.js';
import * as deadline from '../common/deadline.js';
import * as stallDetector from '../common/stall-detector.js';

const limitMs = 1000;
/** Time for one turn of the event loop, in which the received data is read. */
const turnMs = 10;

const startDetector = () => {
	const clock = new manualClock.ManualClock();
	const stalls: number[] = [];
	const detector = stallDetector.createStallDetector(clock, () => {
		stalls.push(clock.nowMs());
	});
	detector.begin(limitMs);
	return {clock, stalls, detector};
};

tap.t.test('part that arrived during a pause is read before a stall is reported', async (t) => {
	const {clock, stalls, detector} = startDetector();
	clock.skip(5 * limitMs);
	await clock.advance(turnMs);
	detector.end();
	await clock.advance(5 * limitMs);
	t.same(stalls, []);
	detector.dispose();
	t.equal(clock.pendingTimers, 0);
});

tap.t.test('second pause right after the first is not a stall either', async (t) => {
	const {clock, stalls, detector} = startDetector();
	clock.skip(5 * limitMs);
	await clock.advance(0);
	clock.skip(5 * limitMs);
	await clock.advance(turnMs);
	t.same(stalls, []);
	detector.dispose();
});

tap.t.test('stall that lasts beyond a pause is detected', async (t) => {
	const {clock, stalls, detector} = startDetector();
	clock.skip(5 * limitMs);
	await clock.advance(limitMs);
	t.equal(stalls.length, 1);
	detector.dispose();
});

tap.t.test('stall is detected even when the process pauses again and again', async (t) => {
	const {clock, stalls, detector} = startDetector();
	for (let pause = 0; pause < 10; pause++) {
		clock.skip(limitMs);
		await clock.advance(0);
	}

	t.ok(stalls.length > 0);
	detector.dispose();
});

tap.t.test('deadline that passed during a pause leaves time to read the answer', async (t) => {
	const clock = new manualClock.ManualClock();
	const limit = deadline.createDeadlineSignal(clock, limitMs);
	clock.skip(5 * limitMs);
	await clock.advance(turnMs);
	t.notOk(limit.signal.aborted);
	await clock.advance(limitMs);
	t.ok(limit.signal.aborted);
	t.equal(clock.pendingTimers, 0);
});

tap.t.test('deadline without a pause is exact', async (t) => {
	const clock = new manualClock.ManualClock();
	const limit = deadline.createDeadlineSignal(clock, limitMs);
	await clock.advance(limitMs - 1);
	t.notOk(limit.signal.aborted);
	await clock.advance(1);
	t.ok(limit.signal.aborted);
});
