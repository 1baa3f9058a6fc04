// A request that crashes runners was sent to further ones, because crashes in these ways were not counted.
import * as tap from 'tap';
import type * as routeConfig from '../common/route-config.js';
import * as fixtures from './fixtures.js';
import * as runnerFleet from './runner-fleet.js';

/** Time after the third crash within which all daemons must know the request. */
const contactMs = 5000;
const countedCrashes = 3;
const maxLateArrivals = 3;
const quietMs = 4000;
const harmMs = 26_000;
/** The large deployment is slow to simulate. */
const largeHarmMs = 16_000;
const largeDaemons = 65;
const stepMs = 20;
/** Interval of the deadly request; each comes at the next daemon. */
const deadlyIntervalMs = 400;
/** Interval of the healthy requests, as 50 a second. */
const healthyIntervalMs = 20;
const topics = 4;
const networkDelayMs = 60;
const minServedShare = 0.9;
const testTimeoutMs = 300_000;

type Way = {name: string; route: routeConfig.Route; way: runnerFleet.CrashWay};

const {longRoute, bookingRoute, lookupRoute} = fixtures;

const ways: readonly Way[] = [
	{name: 'head', route: longRoute, way: {events: 0, workMs: 20, downMs: 3000}},
	{name: 'no head', route: bookingRoute, way: {workMs: 20, downMs: 3000}},
	{
		name: 'head, port accepts',
		route: longRoute,
		way: {events: 0, workMs: 20, downMs: 3000, isPortAccepting: true},
	},
	{name: 'two events', route: longRoute, way: {events: 2, workMs: 20, downMs: 3000}},
	{
		name: 'no head, port accepts',
		route: bookingRoute,
		way: {workMs: 20, downMs: 3000, isPortAccepting: true},
	},
	{name: '600 ms of work', route: lookupRoute, way: {workMs: 600, downMs: 500}},
	{name: 'back after 100 ms', route: longRoute, way: {events: 1, workMs: 300, downMs: 100}},
	// The connections of probes seem open, and the runner is back before its entry could change.
	{
		name: 'back after 100 ms, no head',
		route: bookingRoute,
		way: {workMs: 20, downMs: 100, isPortAccepting: true},
	},
];

const serviceOf = (route: routeConfig.Route): routeConfig.Service =>
	route.work === 'stream' ? fixtures.modelService : fixtures.deskService;

const isServed = ({reply}: {reply: {status: number; ending: string}}) =>
	reply.status === 200 && reply.ending === 'complete';

for (const daemons of [2, 7, largeDaemons]) {
	const untilMs = quietMs + (daemons === largeDaemons ? largeHarmMs : harmMs);
	for (const {name, route, way} of ways) {
		tap.t.test(`${name}, ${daemons} daemons`, {timeout: testTimeoutMs}, async (t) => {
			const fleet = runnerFleet.startRunnerFleet(serviceOf(route), {daemons, way});
			const {clock, runners, send} = fleet;
			fleet.network.delayMs = networkDelayMs;
			const healthy: Array<ReturnType<typeof send>> = [];
			for (let turn = 0; clock.nowMs() < untilMs; turn++) {
				if (clock.nowMs() % healthyIntervalMs === 0) {
					healthy.push(send(route, ['caller', `topic-${turn % topics}`]));
				}

				if (clock.nowMs() >= quietMs && clock.nowMs() % deadlyIntervalMs === 0) {
					send(route, ['caller', 'topic-0'], {name: 'deadly', isDeadly: true});
				}

				await clock.advance(stepMs);
			}

			await clock.advance(route.timeoutMs);
			const arrivals = runners.arrivals.filter(({isHarmful}) => isHarmful);
			const thirdMs = runners.crashedAtMs[countedCrashes - 1] ?? Number.POSITIVE_INFINITY;
			const late = arrivals.filter(({atMs}) => atMs > thirdMs + contactMs);
			const found = `${late.length} late arrivals of ${arrivals.length}, ${runners.crashedAtMs.length} crashes`;
			t.comment(found);
			t.ok(late.length <= maxLateArrivals, found);
			const after = healthy.filter(
				({atMs}) => atMs > Math.min(thirdMs, quietMs + deadlyIntervalMs) + contactMs,
			);
			const share = after.filter((sent) => isServed(sent)).length / after.length;
			t.ok(share >= minServedShare, `${(share * 100).toFixed(1)}% of the healthy were served`);
		});
	}
}

// Guards against trials that go on for as long as the request comes, each with a crash.
tap.t.test('the request alone over 40 minutes', {timeout: testTimeoutMs}, async (t) => {
	const fleet = runnerFleet.startRunnerFleet(fixtures.modelService, {
		daemons: 7,
		way: ways[0]!.way,
	});
	const {clock, runners, daemons, send} = fleet;
	fleet.network.delayMs = networkDelayMs;
	await clock.advance(quietMs);
	while (clock.nowMs() < 2_400_000) {
		send(longRoute, ['caller', 'topic-0'], {name: 'deadly', isDeadly: true});
		await clock.advance(300);
		for (const {quarantine} of daemons) {
			quarantine.sweep();
		}
	}

	const thirdMs = runners.crashedAtMs[countedCrashes - 1] ?? Number.POSITIVE_INFINITY;
	const late = runners.arrivals.filter(({atMs}) => atMs > thirdMs + contactMs);
	const crashedAtS = runners.crashedAtMs.map((atMs) => Math.round(atMs / 1000));
	const found = `${late.length} late arrivals, ${crashedAtS.length} crashes, first at ${crashedAtS.slice(0, 10).join(', ')} s`;
	t.comment(found);
	t.ok(late.length <= maxLateArrivals, found);
});
