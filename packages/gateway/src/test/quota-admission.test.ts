// Requests that are charged to the quota of their team when they are admitted.
import * as net from 'node:net';
import type * as metrics from '@hawthornfront/base/node/metrics.js';
import * as baseMetrics from '@hawthornfront/base/node/metrics.js';
import * as tap from 'tap';
import type * as gatewayEvent from '../common/gateway-event.js';
import type * as requestEngine from '../common/request-engine.js';
import * as routeConfig from '../common/route-config.js';
import type * as teamQuota from '../common/team-quota.js';
import type * as wireFormat from '../common/wire-format.js';
import * as callerServer from '../node/caller-server.js';
import type * as plannedStop from '../node/planned-stop.js';
import * as quotaLog from '../node/quota-log.js';
import * as requestAdmission from '../node/request-admission.js';
import * as engineHarness from './engine-harness.js';
import * as fakeTransport from './fake-transport.js';
import * as fixtures from './fixtures.js';

const team: routeConfig.Team = {
	name: 'team-1',
	keyDigests: ['digest of k-1'],
	homeRegions: [],
	quota: {perS: 10, burst: 10, unit: 'tokens', plainTokens: 7},
};

class CountWire extends fakeTransport.FakeWire {
	override readRequest(headers: wireFormat.Headers): wireFormat.RequestFacts {
		const [promptTokens, maxOutputTokens] = String(headers.count ?? '0,0')
			.split(',')
			.map(Number);
		return fixtures.facts({promptTokens, maxOutputTokens});
	}
}

const start = (isPeerPort = false) => {
	const state: {left: number; stop?: plannedStop.StopProgress; mayHaveRun: boolean} = {
		left: 1000,
		mayHaveRun: true,
	};
	const charged: number[] = [];
	const quota: Pick<teamQuota.TeamQuota, 'tryTake'> = {
		tryTake(_, amount) {
			if (amount > state.left) {
				return {kind: 'refused', retryAfterMs: 1250};
			}

			charged.push(amount);
			return {
				kind: 'taken',
				giveBack() {
					charged.push(-amount);
				},
			};
		},
	};
	const engine: requestEngine.RequestEngine = {
		handle(_request, _reply, onEnd) {
			onEnd(state.mayHaveRun);
			return {dispose: () => undefined, terminate: () => undefined};
		},
	};
	const table = routeConfig.createRouteTable({...fixtures.config, teams: [team]});
	const admit = requestAdmission.createAdmissionCheck({
		wire: new CountWire(),
		engine,
		log: {note: () => undefined},
		isPeerPort,
		quota: isPeerPort ? undefined : quota,
		routeTable: () => table,
		snapshot: () => ({evacuated: [], operatorRevision: 0, upstreams: [], upstreamRevision: 0}),
		stopProgress: () => state.stop,
	});
	const check = (rawHeaders: string[] = ['key', 'k-1'], headers: wireFormat.Headers = {}) =>
		admit({
			method: 'POST',
			path: '/lookups/x',
			host: 'a.example',
			rawHeaders,
			headers,
			arrivedAtMs: 0,
		});
	return {state, charged, admit, check};
};

const runOf = (decision: callerServer.AdmissionDecision) => {
	if (decision.kind === 'accept') {
		decision.run(undefined, new fakeTransport.FakeReply(), () => undefined);
	}
};

tap.t.test('a request is charged as its tokens, or as the plain number', async (t) => {
	const {charged, check} = start();
	t.equal(check(['key', 'k-1'], {count: '100,20'}).kind, 'accept');
	t.equal(check().kind, 'accept');
	t.same(charged, [120, 7]);
});

tap.t.test('beyond the quota, callers get 429 with the time', async (t) => {
	const {state, check} = start();
	state.left = 5;
	t.match(check(), {kind: 'reject', status: 429, reason: 'quota', retryAfterMs: 1250});
});

// Guards against use that is counted for requests that are refused anyway, or twice for a relayed one.
tap.t.test('only admitted requests of callers are charged', async (t) => {
	const {state, charged, check} = start();
	t.match(check(['key', 'other']), {status: 401});
	state.stop = {elapsedMs: 7900, graceMs: 8000};
	t.match(check(), {status: 503});
	t.same(charged, []);
	const relayed = start(true);
	t.equal(relayed.check().kind, 'accept');
	t.same(relayed.charged, []);
});

// Guards against refusals below the quota after requests that no upstream ran.
tap.t.test('what did not run is given back', async (t) => {
	const {state, charged, check} = start();
	runOf(check());
	t.same(charged.splice(0), [7], 'it may have run');
	state.mayHaveRun = false;
	runOf(check());
	t.same(charged.splice(0), [7, -7]);
});

tap.t.test('the engine says whether a request may have run', async (t) => {
	const ends: boolean[] = [];
	const note = (mayHaveRun: boolean) => {
		ends.push(mayHaveRun);
	};

	const none = engineHarness.start(fixtures.lookupRoute, {upstreams: 0, onEnd: note});
	await none.clock.advance(5000);
	t.same(ends.splice(0), [false], 'no upstream');
	const gone = engineHarness.start(fixtures.lookupRoute, {onEnd: note});
	gone.execution.dispose();
	t.same(ends.splice(0), [true], 'it was sent when the caller left');
	t.end();
});

// Guards against use that stays counted because a caller leaves before its body is complete.
tap.t.test('a request whose body does not arrive is given back', async (t) => {
	const {charged, admit} = start();
	const server = callerServer.createCallerServer(() => 0, admit, {note: () => undefined});
	const port = await new Promise<number>((resolve) => {
		const probe = net.createServer().listen(0, '127.0.0.1', () => {
			const {port: free} = probe.address() as net.AddressInfo;
			probe.close(() => {
				resolve(free);
			});
		});
	});
	await server.listen('127.0.0.1', port);
	const socket = net.connect(port, '127.0.0.1');
	socket.write(
		'POST /lookups/x HTTP/1.1\r\nkey: k-1\r\nhost: a.example\r\ncontent-length: 9\r\n\r\nabc',
	);
	const until = async (isDone: () => boolean) => {
		for (let attempt = 0; attempt < 200 && !isDone(); attempt++) {
			await new Promise((resolve) => {
				setTimeout(resolve, 20);
			});
		}
	};

	await until(() => charged.length > 0);
	t.same(charged, [7]);
	socket.destroy();
	await until(() => charged.length > 1);
	t.same(charged, [7, -7]);
	server.destroy();
});

tap.t.test('refusals are logged by team and counted', async (t) => {
	const events: gatewayEvent.GatewayEvent[] = [];
	const registry: metrics.Registry = baseMetrics.createRegistry({});
	const refusals: teamQuota.QuotaRefusals = {
		team: 'team-1',
		count: 3,
		amount: 21,
		admitShare: 0.5,
		level: -4,
		requestedPerS: 20,
		localPerS: 5,
		admittedPerS: 10,
		perS: 10,
		silentShare: 0,
		reportAgeMs: 120,
	};
	const lines = [refusals];
	const subject = quotaLog.createQuotaLog(
		{takeRefusals: () => lines.splice(0)},
		{note: (event) => events.push(event)},
		registry,
	);
	subject.flush();
	subject.flush();
	t.match(events, [{kind: 'quota-refused', team: 'team-1', count: 3, reportAgeMs: 120}]);
	t.match(await registry.metrics(), /hawthornfront_quota_refusals_total 3/u);
});
