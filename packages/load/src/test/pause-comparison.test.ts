// Runners that ask many daemons for pauses: load must not swing, and pauses must be kept.
import * as tap from 'tap';
import * as pauseComparison from '../common/pause-comparison.js';

const scenario = {...pauseComparison.fewRunners, durationMs: 12_000};

// Guards against daemons that resume together, or leave runners idle, after pauses.
tap.t.test('the spread keeps the pauses, the use of the runners and the waits', (t) => {
	for (const seed of [1, 2, 3]) {
		const [ignored, spread] = (['ignored', 'spread'] as const).map((policy) =>
			pauseComparison.runPauseComparison(scenario, policy, seed),
		);
		t.equal(spread!.arrivalsInPauses, 0);
		t.ok(
			spread!.refusalsPerRequest < ignored!.refusalsPerRequest,
			`${spread!.refusalsPerRequest} refusals of runners, ${ignored!.refusalsPerRequest}`,
		);
		t.ok(
			spread!.utilisation > ignored!.utilisation * 0.97,
			`${spread!.utilisation} of the slots, ${ignored!.utilisation}`,
		);
	}

	t.end();
});
