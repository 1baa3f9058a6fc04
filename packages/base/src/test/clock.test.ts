// Guards against timers that fire out of order or after disposal.
import * as tap from 'tap';
import * as manualClock from '../common/manual-clock.js';

tap.t.test('fires timers in order of due time', async (t) => {
	const clock = new manualClock.ManualClock();
	const fired: string[] = [];
	clock.setTimer(() => fired.push('late'), 20);
	clock.setTimer(() => fired.push('early'), 10);
	clock.setTimer(() => fired.push('disposed'), 15).dispose();
	await clock.advance(30);
	t.same(fired, ['early', 'late']);
});

tap.t.test('sleep rejects on abort and leaves no timer', async (t) => {
	const clock = new manualClock.ManualClock();
	const controller = new AbortController();
	const sleeping = clock.sleep(100, controller.signal);
	controller.abort(new Error('stopped'));
	await t.rejects(sleeping, /stopped/u);
	t.equal(clock.pendingTimers, 0);
});

tap.t.test('periodic timer stops when disposed in its own callback', async (t) => {
	const clock = new manualClock.ManualClock();
	let count = 0;
	const timer = clock.setPeriodicTimer(() => {
		count++;
		timer.dispose();
	}, 10);
	await clock.advance(100);
	t.equal(count, 1);
});
