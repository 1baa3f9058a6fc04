// Prompts with one part crashed runner after runner, because no crash was compared with the prompts of the requests in progress.
import * as tap from 'tap';
import type * as routeConfig from '../common/route-config.js';
import * as runnerFleet from './runner-fleet.js';
import * as fixtures from './fixtures.js';

/** Time after the fifth crash within which all daemons must know the harmful part. */
const contactMs = 5000;
const countedCrashes = 5;
const maxLateArrivals = 3;
const quietMs = 5000;
const harmMs = 25_000;

type Sent = ReturnType<ReturnType<typeof runnerFleet.startRunnerFleet>['send']>;

/** Sound requests of one caller, and after a while one in 20 with a harmful part beside them. */
const playDay = async (route: routeConfig.Route) => {
	const fleet = runnerFleet.startRunnerFleet();
	const {clock, send} = fleet;
	const sound: Sent[] = [];
	const harmful: Sent[] = [];
	for (let step = 0; clock.nowMs() < quietMs + harmMs; step++) {
		sound.push(send(route, ['caller', `topic-${step % 40}`]));
		if (clock.nowMs() >= quietMs && step % 20 === 0) {
			harmful.push(send(route, ['caller', `topic-${step % 40}`, runnerFleet.harmfulPart]));
		}

		await clock.advance(50);
	}

	await clock.advance(route.timeoutMs);
	return {...fleet, sound, harmful};
};

const shareBegun = (sent: readonly Sent[], begun: ReadonlySet<string>): number =>
	sent.filter(({attemptId}) => begun.has(attemptId)).length / sent.length;

for (const route of [fixtures.longRoute, fixtures.shortRoute]) {
	tap.t.test(
		`a prompt part that crashes runners reaches no more of them: ${route.name}`,
		async (t) => {
			const {runners, sound, harmful} = await playDay(route);
			const arrivals = runners.arrivals.filter(({isHarmful}) => isHarmful);
			const fifthMs = runners.crashedAtMs[countedCrashes - 1] ?? Number.POSITIVE_INFINITY;
			const late = arrivals.filter(({atMs}) => atMs > fifthMs + contactMs);
			t.ok(
				late.length <= maxLateArrivals,
				`${late.length} late arrivals of ${arrivals.length}, ${runners.crashedAtMs.length} crashes`,
			);
			const lastCountedMs = runners.crashedAtMs.slice(0, countedCrashes).at(-1)!;
			const before = shareBegun(
				sound.filter(({atMs}) => atMs < quietMs - 1000),
				runners.begun,
			);
			const beside = shareBegun(
				sound.filter(({atMs}) => atMs > lastCountedMs + 2 * contactMs),
				runners.begun,
			);
			t.ok(beside >= before / 2, `sound requests begun: ${beside}, before the crashes ${before}`);
			const {reply} = harmful.at(-1)!;
			t.match(reply, {status: 503, ending: 'complete', text: /not-run/u});
			t.ok(Number(reply.headers['retry-after']) > 60, 'after the quarantine');
		},
	);
}
