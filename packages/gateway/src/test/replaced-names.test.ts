// What a daemon keeps of upstreams and services that are gone, while others take their place all day.
import * as heapUse from '@hawthornfront/base/test/heap-use.js';
import * as manualClock from '@hawthornfront/base/common/manual-clock.js';
import * as tap from 'tap';
import * as sharedRetryBudget from '../common/shared-retry-budget.js';
import * as fixtures from './fixtures.js';

// Each service that a configuration had ever named kept the times of its last window.
tap.t.test('ever new services: the retry budget forgets those without requests', async (t) => {
	const clock = new manualClock.ManualClock();
	const budget = sharedRetryBudget.createSharedRetryBudget(
		() => clock.nowMs(),
		() => ({share: 0.2, extraPerWindow: 10, windowMs: 1000}),
		() => 1,
	);
	const requests = 1000;
	const services = 1000;
	const before = heapUse.usedBytes();
	for (let index = 0; index < services; index++) {
		for (let request = 0; request < requests; request++) {
			budget.noteRequest(`service${index}`);
		}

		await clock.advance(1500);
	}

	const kept = heapUse.usedBytes() - before;
	const bytesOfOneTime = 8;
	t.ok(kept < (services * requests * bytesOfOneTime) / 4, `${kept} bytes`);
	t.ok(budget.canRetry('service0'));
});

// Runners are replaced under new ids all day, and answers may come after their upstream is gone.
tap.t.test('ever new upstreams: a dispatcher forgets those that are gone', async (t) => {
	const {registry, subject, rateLimits, pauses} = fixtures.createDeployment();
	const request = fixtures.dispatchRequest(fixtures.longRoute);
	for (let index = 0; index < 200; index++) {
		const id = `u${index}`;
		registry.put(fixtures.upstream(id), 2 * index + 1);
		const choice = subject.choose(request);
		if (choice.kind !== 'upstream') {
			t.fail('refused');
			break;
		}

		const run = subject.dispatch(choice, request);
		registry.remove(id, 2 * index + 2);
		subject.forget(id);
		run.noteRateLimit(5);
		run.notePause({kind: 'pause', pauseMs: 60_000});
		run.noteFailure(true);
		run.end();
	}

	const held = subject.held();
	t.equal(held.upstreamLoads, 0);
	t.equal(held.upstreamFailures, 0);
	t.same(rateLimits.takeReports(), []);
	t.equal(pauses.remainingMs('u7'), 0);
});
