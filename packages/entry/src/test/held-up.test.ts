// Guards against a pause of this process that is taken for the silence of an upstream: data waits in its sockets.
import * as tap from 'tap';
import * as manualClock from '@hawthornfront/base/common/manual-clock.js';
import * as deadline from '../common/deadline.js';
import * as stallWatch from '../common/stall-watch.js';

const limitMs = 1000;
/** Enough for one turn of the event loop, in which the data that waits is read. */
const turnMs = 10;

const startWatch = () => {
	const clock = new manualClock.ManualClock();
	const stalls: number[] = [];
	const watch = stallWatch.createStallWatch(clock, () => {
		stalls.push(clock.nowMs());
	});
	watch.begin(limitMs);
	return {clock, stalls, watch};
};

tap.t.test('part that arrived during a pause is read before the verdict', async (t) => {
	const {clock, stalls, watch} = startWatch();
	clock.skip(5 * limitMs);
	await clock.advance(turnMs);
	watch.end();
	await clock.advance(5 * limitMs);
	t.same(stalls, []);
	watch.dispose();
	t.equal(clock.pendingTimers, 0);
});

tap.t.test('second pause right after the first is not silence either', async (t) => {
	const {clock, stalls, watch} = startWatch();
	clock.skip(5 * limitMs);
	await clock.advance(0);
	clock.skip(5 * limitMs);
	await clock.advance(turnMs);
	t.same(stalls, []);
	watch.dispose();
});

tap.t.test('silence that lasts after a pause is found', async (t) => {
	const {clock, stalls, watch} = startWatch();
	clock.skip(5 * limitMs);
	await clock.advance(limitMs);
	t.equal(stalls.length, 1);
	watch.dispose();
});

tap.t.test('process that is held up all the time still comes to a verdict', async (t) => {
	const {clock, stalls, watch} = startWatch();
	for (let pause = 0; pause < 10; pause++) {
		clock.skip(limitMs);
		await clock.advance(0);
	}

	t.ok(stalls.length > 0);
	watch.dispose();
});

tap.t.test('deadline that passed in a pause leaves time to read the answer', async (t) => {
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
