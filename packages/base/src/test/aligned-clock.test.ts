// Guards against periodic timers that wake the process separately instead of on one tick.
import * as tap from 'tap';
import * as alignedClock from '../common/aligned-clock.js';
import * as manualClock from '../common/manual-clock.js';

tap.t.test('periodic timers that start at different moments fall due together', async (t) => {
	const source = new manualClock.ManualClock();
	const clock = new alignedClock.AlignedClock(source);
	const fired: string[] = [];
	clock.setPeriodicTimer(() => fired.push(`a ${source.nowMs()}`), 1000);
	await source.advance(300);
	const second = clock.setPeriodicTimer(() => fired.push(`b ${source.nowMs()}`), 1000);
	clock.setPeriodicTimer(() => fired.push(`c ${source.nowMs()}`), 2000);
	await source.advance(1000);
	second.dispose();
	await source.advance(1000);
	// The order within a tick is unspecified.
	t.same(new Set(fired), new Set(['a 1000', 'b 1000', 'a 2000', 'c 2000']));
	t.equal(fired.length, 4);
});
