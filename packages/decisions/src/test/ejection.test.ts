// Guards against slow upstreams that stay in use and against ejecting too many upstreams.
import * as tap from 'tap';
import * as fastCheck from 'fast-check';
import * as manualClock from '@hawthornfront/base/common/manual-clock.js';
import * as ejection from '../common/ejection.js';
import * as ejectionSettings from '../common/ejection-settings.js';

const create = (names: string[], settings: Record<string, unknown> = {}) => {
	const clock = new manualClock.ManualClock();
	const subject = ejection.createEjectionTracker(
		clock,
		ejectionSettings.ejectionSettingsSchema.parse({evaluateEveryMs: 0, ...settings}),
	);
	subject.setGroups(new Map([['m', new Set(names)]]));
	const observe = (latencies: Record<string, number>) => {
		for (let count = 0; count < 4; count++) {
			for (const [name, latencyMs] of Object.entries(latencies)) {
				subject.noteFirstToken(name, 'short', latencyMs);
			}
		}
	};

	return {clock, subject, observe};
};

tap.t.test('an outlier is ejected, probed after the backoff and returns gradually', async (t) => {
	const {clock, subject, observe} = create(['a', 'b', 'c']);
	observe({a: 100, b: 120, c: 900});
	subject.evaluate(() => 0);
	t.equal(subject.stateOf('c'), 'ejected');
	t.equal(subject.shareOf('c'), 0);
	await clock.advance(3000);
	t.equal(subject.stateOf('c'), 'probing');
	subject.noteFirstToken('c', 'short', 110);
	t.equal(subject.stateOf('c'), 'returning');
	t.equal(subject.shareOf('c'), 0.25);
	await clock.advance(5000);
	t.equal(subject.shareOf('c'), 0.625);
	await clock.advance(5000);
	t.equal(subject.shareOf('c'), 1);
});

tap.t.test('a failed probe doubles the backoff', async (t) => {
	const {clock, subject, observe} = create(['a', 'b', 'c']);
	observe({a: 100, b: 120, c: 900});
	subject.evaluate(() => 0);
	await clock.advance(3000);
	subject.noteFirstToken('c', 'short', 900);
	await clock.advance(5999);
	t.equal(subject.stateOf('c'), 'ejected');
	await clock.advance(1);
	t.equal(subject.stateOf('c'), 'probing');
});

tap.t.test('without work to probe with, the upstream returns after a time limit', async (t) => {
	const {clock, subject, observe} = create(['a', 'b', 'c']);
	observe({a: 100, b: 120, c: 900});
	subject.evaluate(() => 0);
	await clock.advance(3000 + 10_000);
	t.equal(subject.stateOf('c'), 'returning');
});

tap.t.test('an unanswered request ejects an upstream without samples', async (t) => {
	const {subject, observe} = create(['a', 'b', 'c']);
	observe({a: 100, b: 120});
	subject.evaluate((name, workClass) => (name === 'c' && workClass === 'short' ? 700 : 0));
	t.equal(subject.stateOf('c'), 'ejected');
});

tap.t.test('a slow token rate ejects an upstream', async (t) => {
	const {subject} = create(['a', 'b', 'c']);
	for (let count = 0; count < 4; count++) {
		subject.noteTokenInterval('a', 30);
		subject.noteTokenInterval('b', 35);
		subject.noteTokenInterval('c', 150);
	}

	subject.evaluate(() => 0);
	t.same(
		['a', 'b', 'c'].map((name) => subject.stateOf(name)),
		['in-use', 'in-use', 'ejected'],
	);
});

tap.t.test('a fleet that is slow as a whole stays in use', async (t) => {
	const {subject, observe} = create(['a', 'b', 'c']);
	observe({a: 5000, b: 6000, c: 7000});
	subject.evaluate(() => 0);
	t.equal(subject.count(), 0);
});

tap.t.test('consecutive failures eject, and a success resets their count', async (t) => {
	const {subject} = create(['a', 'b', 'c']);
	for (let count = 0; count < 8; count++) {
		subject.noteFailure('a');
		if (count === 4) {
			t.equal(subject.stateOf('a'), 'ejected');
		}

		subject.noteFailure('b');
		subject.noteSuccess('b');
	}

	t.equal(subject.stateOf('b'), 'in-use');
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
				const {clock, subject} = create(names, {minimumSamples: 1, maxConsecutiveFailures: 1});
				for (const {name, kind, value} of observations) {
					switch (kind) {
						case 'token': {
							subject.noteFirstToken(`u${name}`, 'short', value);
							break;
						}

						case 'failure': {
							subject.noteFailure(`u${name}`);
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

					subject.evaluate((other) => (kind === 'stuck' && other === `u${name}` ? value : 0));
					const out = names.filter((other) =>
						['ejected', 'probing'].includes(subject.stateOf(other)),
					);
					if (out.length > size / 3) {
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
