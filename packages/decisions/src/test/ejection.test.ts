// Guards against slow upstreams that stay in use and against ejecting too many upstreams.
import * as tap from 'tap';
import * as fastCheck from 'fast-check';
import * as manualClock from '@hawthornfront/base/common/manual-clock.js';
import * as ejection from '../common/ejection.js';
import * as ejectionSettings from '../common/ejection-settings.js';

const createTracker = (names: string[], settings: Record<string, unknown> = {}) => {
	const clock = new manualClock.ManualClock();
	const tracker = ejection.createEjectionTracker(
		clock,
		ejectionSettings.ejectionSettingsSchema.parse({evaluateEveryMs: 0, ...settings}),
	);
	tracker.setGroups(new Map([['m', new Set(names)]]));
	const observe = (latencies: Record<string, number>) => {
		for (let count = 0; count < 4; count++) {
			for (const [name, latencyMs] of Object.entries(latencies)) {
				tracker.noteFirstToken(name, 'short', latencyMs);
			}
		}
	};

	return {clock, tracker, observe};
};

tap.t.test('an outlier is ejected, probed after the backoff and returns gradually', async (t) => {
	const {clock, tracker, observe} = createTracker(['a', 'b', 'c']);
	observe({a: 100, b: 120, c: 900});
	tracker.evaluate(() => 0);
	t.equal(tracker.stateOf('c'), 'ejected');
	t.equal(tracker.shareOf('c'), 0);
	await clock.advance(3000);
	t.equal(tracker.stateOf('c'), 'probing');
	tracker.noteFirstToken('c', 'short', 110);
	t.equal(tracker.stateOf('c'), 'returning');
	t.equal(tracker.shareOf('c'), 0.25);
	await clock.advance(5000);
	t.equal(tracker.shareOf('c'), 0.625);
	await clock.advance(5000);
	t.equal(tracker.shareOf('c'), 1);
});

tap.t.test('a failed probe doubles the backoff', async (t) => {
	const {clock, tracker, observe} = createTracker(['a', 'b', 'c']);
	observe({a: 100, b: 120, c: 900});
	tracker.evaluate(() => 0);
	await clock.advance(3000);
	tracker.noteFirstToken('c', 'short', 900);
	await clock.advance(5999);
	t.equal(tracker.stateOf('c'), 'ejected');
	await clock.advance(1);
	t.equal(tracker.stateOf('c'), 'probing');
});

tap.t.test('without work to probe with, the upstream returns after a time limit', async (t) => {
	const {clock, tracker, observe} = createTracker(['a', 'b', 'c']);
	observe({a: 100, b: 120, c: 900});
	tracker.evaluate(() => 0);
	await clock.advance(3000 + 10_000);
	t.equal(tracker.stateOf('c'), 'returning');
});

tap.t.test('an unanswered request ejects an upstream without samples', async (t) => {
	const {tracker, observe} = createTracker(['a', 'b', 'c']);
	observe({a: 100, b: 120});
	tracker.evaluate((name, workClass) => (name === 'c' && workClass === 'short' ? 700 : 0));
	t.equal(tracker.stateOf('c'), 'ejected');
});

tap.t.test('a slow token rate ejects an upstream', async (t) => {
	const {tracker} = createTracker(['a', 'b', 'c']);
	for (let count = 0; count < 4; count++) {
		tracker.noteTokenInterval('a', 30);
		tracker.noteTokenInterval('b', 35);
		tracker.noteTokenInterval('c', 150);
	}

	tracker.evaluate(() => 0);
	t.same(
		['a', 'b', 'c'].map((name) => tracker.stateOf(name)),
		['in-use', 'in-use', 'ejected'],
	);
});

tap.t.test('upstreams that are all slow stay in use', async (t) => {
	const {tracker, observe} = createTracker(['a', 'b', 'c']);
	observe({a: 5000, b: 6000, c: 7000});
	tracker.evaluate(() => 0);
	t.equal(tracker.count(), 0);
});

tap.t.test('consecutive failures eject, and a success resets their count', async (t) => {
	const {tracker} = createTracker(['a', 'b', 'c']);
	for (let count = 0; count < 8; count++) {
		tracker.noteFailure('a');
		if (count === 4) {
			t.equal(tracker.stateOf('a'), 'ejected');
		}

		tracker.noteFailure('b');
		tracker.noteSuccess('b');
	}

	t.equal(tracker.stateOf('b'), 'in-use');
});

tap.t.test('at most a third of a group is ejected, whatever the latencies are', async (t) => {
	const observation = fastCheck.record({
		name: fastCheck.integer({min: 0, max: 9}),
		kind: fastCheck.constantFrom('token', 'failure', 'time', 'stuck'),
		value: fastCheck.integer({min: 1, max: 10_000}),
	});
	await fastCheck.assert(
		fastCheck.asyncProperty(
			fastCheck.integer({min: 1, max: 10}),
			fastCheck.array(observation, {maxLength: 200, size: 'max'}),
			async (size, observations) => {
				const names = Array.from({length: size}, (_, index) => `u${index}`);
				const {clock, tracker} = createTracker(names, {
					minimumSamples: 1,
					maxConsecutiveFailures: 1,
				});
				for (const {name, kind, value} of observations) {
					switch (kind) {
						case 'token': {
							tracker.noteFirstToken(`u${name}`, 'short', value);
							break;
						}

						case 'failure': {
							tracker.noteFailure(`u${name}`);
							break;
						}

						case 'time': {
							await clock.advance(value);
							break;
						}

						case 'stuck': {
							break;
						}
					}

					tracker.evaluate((other) => (kind === 'stuck' && other === `u${name}` ? value : 0));
					const unavailableNames = names.filter((other) =>
						['ejected', 'probing'].includes(tracker.stateOf(other)),
					);
					if (unavailableNames.length > size / 3) {
						return false;
					}
				}

				return true;
			},
		),
		{seed: 5, numRuns: 100},
	);
	t.pass();
});
