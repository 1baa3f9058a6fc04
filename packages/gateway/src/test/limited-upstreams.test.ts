// An upstream that named a rate limit for all daemons together got as many requests as before.
import * as tap from 'tap';
import * as runnerFleet from './runner-fleet.js';
import * as fixtures from './fixtures.js';

const windowMs = 4000;
/** Time after the first answer with a limit from which windows are judged. */
const contactMs = 5000;
/** Time after which a daemon that got an answer with a limit must keep it. */
const toldMs = 500;
const namedAtMs = 3000;
const requestIntervalMs = 20;

type Fleet = ReturnType<typeof runnerFleet.startRunnerFleet>;

/** Most requests that an upstream got in a window from daemons that it had told. */
const mostInWindow = ({runners}: Fleet, id: string): number => {
	const {toldAtMs} = runners.runner(id);
	const sentAtMs = runners.arrivals
		.filter(
			({runner, daemon, atMs}) =>
				runner === id && atMs >= (toldAtMs.get(daemon) ?? Number.POSITIVE_INFINITY) + toldMs,
		)
		.map(({atMs}) => atMs);
	return Math.max(
		0,
		...sentAtMs
			.filter((endMs) => endMs >= namedAtMs + contactMs)
			.map((endMs) => sentAtMs.filter((atMs) => atMs > endMs - windowMs && atMs <= endMs).length),
	);
};

const arrivalsBetween = ({runners}: Fleet, id: string, fromMs: number, toMs: number): number =>
	runners.arrivals.filter(({runner, atMs}) => runner === id && atMs >= fromMs && atMs < toMs)
		.length;

const playUntil = async (fleet: Fleet, endMs: number) => {
	for (let step = 0; fleet.clock.nowMs() < endMs; step++) {
		fleet.send(fixtures.shortRoute, ['caller', `topic-${step % 40}`]);
		await fleet.clock.advance(requestIntervalMs);
	}
};

for (const requestsPerS of [0.5, 2.5, 5]) {
	tap.t.test(`all daemons together keep a limit of ${requestsPerS} a second`, async (t) => {
		const fleet = runnerFleet.startRunnerFleet();
		await playUntil(fleet, namedAtMs);
		fleet.runners.runner('r1').requestsPerS = requestsPerS;
		await playUntil(fleet, 20_000);
		const most = mostInWindow(fleet, 'r1');
		const allowed = 1.5 * requestsPerS * (windowMs / 1000) + 5;
		t.ok(most <= allowed, `${most} in 4 s, allowed ${allowed}`);
		const used = arrivalsBetween(fleet, 'r1', 10_000, 20_000);
		t.ok(used >= 5 * requestsPerS, `${used} in 10 s, at least half of the limit`);
	});
}

// Guards against a limit that outlives the need of its upstream.
tap.t.test('an upstream that names no limit any more gets its share again', async (t) => {
	const fleet = runnerFleet.startRunnerFleet();
	await playUntil(fleet, namedAtMs);
	const before = arrivalsBetween(fleet, 'r1', 1000, namedAtMs) / 2;
	fleet.runners.runner('r1').requestsPerS = 1;
	await playUntil(fleet, 12_000);
	fleet.runners.runner('r1').requestsPerS = undefined;
	await playUntil(fleet, 20_000);
	const after = arrivalsBetween(fleet, 'r1', 16_000, 20_000) / 4;
	t.ok(after > before / 2, `${after} a second, ${before} before the limit`);
});
