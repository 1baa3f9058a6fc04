import * as tap from 'tap';
import * as systemClock from '../node/system-clock.js';

// Guards against a deadline far in the future that passes at once (issue 39).
tap.t.test('a timer beyond the range of Node.js does not fire at once', async (t) => {
	const clock = new systemClock.SystemClock();
	let hasFired = false;
	const timer = clock.setTimer(() => {
		hasFired = true;
	}, 1e12);
	await clock.sleep(50);
	timer.dispose();
	t.notOk(hasFired);
});
