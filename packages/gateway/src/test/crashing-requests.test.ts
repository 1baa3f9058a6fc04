// One request that comes again crashed runner after runner, because crashes were compared by prompt parts only.
import * as tap from 'tap';
import type * as routeConfig from '../common/route-config.js';
import * as fixtures from './fixtures.js';
import * as runnerFleet from './runner-fleet.js';

/** Time after the third crash within which all daemons must know the request. */
const contactMs = 5000;
const countedCrashes = 3;
const maxLateArrivals = 3;
const quietMs = 4000;
const harmMs = 20_000;
const stepMs = 50;
/** Steps between two arrivals of the deadly request; each comes at the next daemon. */
const stepsBetween = 10;
/** Sound requests share their parts with the deadly one, and are answered between the crashes. */
const topics = 4;

type Fleet = ReturnType<typeof runnerFleet.startRunnerFleet>;
type Sent = ReturnType<Fleet['send']>;

/** Sound requests, and after a while a request beside them that crashes each runner and comes again. */
const playDay = async (route: routeConfig.Route, service: routeConfig.Service) => {
	const fleet = runnerFleet.startRunnerFleet(service);
	const {clock, send} = fleet;
	const sound: Sent[] = [];
	const deadly: Sent[] = [];
	for (let step = 0; clock.nowMs() < quietMs + harmMs; step++) {
		sound.push(send(route, ['caller', `topic-${step % topics}`]));
		if (clock.nowMs() >= quietMs && step % stepsBetween === 0) {
			deadly.push(send(route, ['caller', 'topic-0'], {name: 'deadly', isDeadly: true}));
		}

		await clock.advance(stepMs);
	}

	await clock.advance(route.timeoutMs);
	return {...fleet, sound, deadly};
};

const shareBegun = (sent: readonly Sent[], begun: ReadonlySet<string>): number =>
	sent.filter(({attemptId}) => begun.has(attemptId)).length / sent.length;

for (const [route, service] of [
	[fixtures.longRoute, fixtures.modelService],
	[fixtures.shortRoute, fixtures.modelService],
	[fixtures.lookupRoute, fixtures.deskService],
	[fixtures.bookingRoute, fixtures.deskService],
] as const) {
	tap.t.test(`a request that crashes runners reaches no more of them: ${route.name}`, async (t) => {
		const {runners, sound, deadly} = await playDay(route, service);
		const arrivals = runners.arrivals.filter(({isHarmful}) => isHarmful);
		const thirdMs = runners.crashedAtMs[countedCrashes - 1] ?? Number.POSITIVE_INFINITY;
		const late = arrivals.filter(({atMs}) => atMs > thirdMs + contactMs);
		t.ok(
			late.length <= maxLateArrivals,
			`${late.length} late arrivals of ${arrivals.length}, ${runners.crashedAtMs.length} crashes`,
		);
		const before = shareBegun(
			sound.filter(({atMs}) => atMs < quietMs - 1000),
			runners.begun,
		);
		const after = shareBegun(
			sound.filter(({atMs}) => atMs > runners.crashedAtMs.at(-1)! + contactMs),
			runners.begun,
		);
		t.equal(after, before, `sound requests begun: ${after}, before the crashes ${before}`);
		const {reply} = deadly.at(-1)!;
		t.match(reply, {status: 503, ending: 'complete', text: /not-run/u});
		t.ok(Number(reply.headers['retry-after']) > 60, 'after the quarantine');
	});
}
