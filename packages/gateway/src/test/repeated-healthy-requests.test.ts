// Guards against equal healthy requests that are refused because upstreams failed during them for other causes.
import * as tap from 'tap';
import type * as routeConfig from '../common/route-config.js';
import * as fixtures from './fixtures.js';
import * as runnerFleet from './runner-fleet.js';

const quietMs = 4000;
const faultMs = 26_000;
const restMs = 6000;
const stepMs = 50;
/** Interval of the faults that come again. */
const faultIntervalMs = 3000;
const networkDelayMs = 60;
const minServedShare = 0.95;
const testTimeoutMs = 120_000;

type Fleet = ReturnType<typeof runnerFleet.startRunnerFleet>;

type Cause = {
	name: string;
	way?: runnerFleet.CrashWay;
	/** Called at each interval of the faults. */
	inject(runners: Fleet['runners'], turn: number): void;
	end?(runners: Fleet['runners']): void;
};

const setFault = (runners: Fleet['runners'], fault?: runnerFleet.RunnerFault) => {
	const id = runners.ids[0];
	if (id !== undefined) {
		runners.runner(id).fault = fault;
	}
};

const crashSome = (runners: Fleet['runners'], count: number) => {
	for (const id of runners.ids.slice(0, count)) {
		runners.crash(id);
	}
};

const causes: readonly Cause[] = [
	{
		name: 'half of the upstreams crash at once',
		inject(runners) {
			crashSome(runners, 3);
		},
	},
	{
		name: 'all upstreams crash at once and are back under their entries',
		way: {workMs: 0, downMs: 300, isPortAccepting: true},
		inject(runners) {
			crashSome(runners, 6);
		},
	},
	{
		name: 'upstreams crash one after another and are replaced',
		inject(runners) {
			crashSome(runners, 1);
		},
	},
	{
		name: 'one upstream resets 40% of its requests',
		inject(runners) {
			setFault(runners, {kind: 'reset', share: 0.4});
		},
		end: setFault,
	},
	{
		name: 'one upstream breaks off 40% of its answers',
		inject(runners) {
			setFault(runners, {kind: 'truncate', share: 0.4});
		},
		end: setFault,
	},
	{
		name: 'all upstreams reset 40% of their requests',
		inject(runners) {
			for (const id of runners.ids) {
				runners.runner(id).fault = {kind: 'reset', share: 0.4};
			}
		},
		end(runners) {
			for (const id of runners.ids) {
				runners.runner(id).fault = undefined;
			}
		},
	},
];

const serviceOf = (route: routeConfig.Route): routeConfig.Service =>
	route.work === 'stream' ? fixtures.modelService : fixtures.deskService;

const {lookupRoute, bookingRoute, shortRoute} = fixtures;

for (const [daemons, routes] of [
	[7, [lookupRoute, bookingRoute, shortRoute]],
	// The large deployment is slow to simulate.
	[65, [lookupRoute]],
] as const) {
	for (const route of routes) {
		for (const cause of causes) {
			const name = `${route.name}, ${daemons} daemons: ${cause.name}`;
			tap.t.test(name, {timeout: testTimeoutMs}, async (t) => {
				const fleet = runnerFleet.startRunnerFleet(serviceOf(route), {daemons, way: cause.way});
				const {clock, runners, send} = fleet;
				fleet.network.delayMs = networkDelayMs;
				const equal: Array<ReturnType<typeof send>> = [];
				let turn = 0;
				let hasEnded = false;
				while (clock.nowMs() < quietMs + faultMs + restMs) {
					equal.push(send(route, ['caller'], {name: 'popular'}));
					const sinceMs = clock.nowMs() - quietMs;
					if (sinceMs >= faultMs) {
						if (!hasEnded) {
							cause.end?.(runners);
							hasEnded = true;
						}
					} else if (sinceMs >= turn * faultIntervalMs) {
						cause.inject(runners, turn++);
					}

					await clock.advance(stepMs);
				}

				await clock.advance(route.timeoutMs);
				const refusals = fleet.daemons
					.flatMap(({events}) => events)
					.filter((event) => 'reason' in event && event.reason === 'quarantined-prompt').length;
				const long = equal.filter(({reply}) => Number(reply.headers['retry-after']) > 60).length;
				t.equal(
					refusals,
					0,
					`${refusals} refusals of ${equal.length} for a quarantine, ${long} for over a minute`,
				);
				const after = equal.filter(({atMs}) => atMs > quietMs + faultMs + restMs / 2);
				const served = after.filter(
					({reply}) => reply.status === 200 && reply.ending === 'complete',
				).length;
				t.ok(
					served >= after.length * minServedShare,
					`${served} of ${after.length} were served after the faults`,
				);
			});
		}
	}
}
