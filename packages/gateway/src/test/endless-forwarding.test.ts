// Valid endless answers, forwarded from an upstream through the engine to a caller, over loopback.
import * as net from 'node:net';
import * as endlessUpstream from '@hawthornfront/base/test/endless-upstream.js';
import * as tap from 'tap';
import * as requestEngine from '../common/request-engine.js';
import * as sharedRetryBudget from '../common/shared-retry-budget.js';
import type * as routeConfig from '../common/route-config.js';
import * as callerServer from '../node/caller-server.js';
import * as connectionPool from '../node/connection-pool.js';
import * as fakeTransport from './fake-transport.js';
import * as fixtures from './fixtures.js';

const head = 'HTTP/1.1 200 OK\r\nsigned: 1\r\nconnection: close\r\n\r\n';
const event = 'id: 1\ndata: a\n\n';

/** Serves a route with one upstream. @returns the manual clock and the port for callers. */
const startGateway = async (t: tap.Test, route: routeConfig.Route, address: string) => {
	const {clock, registry, subject} = fixtures.createDeployment();
	const service =
		route.targets[0]!.service === 'model' ? fixtures.modelService : fixtures.deskService;
	registry.put(fixtures.upstream('u1', {service: service.name, address}), 1);
	const transport = new connectionPool.ConnectionPool(() => clock.nowMs());
	const log = {note: () => undefined};
	const engine = requestEngine.createRequestEngine({
		clock,
		wire: new fakeTransport.FakeWire(),
		dispatcher: subject,
		transport,
		budget: sharedRetryBudget.createSharedRetryBudget(
			() => clock.nowMs(),
			() => ({share: 0.2, extraPerWindow: 20, windowMs: 10_000}),
			() => 1,
		),
		...fixtures.createCrashServices(clock, transport, log),
		log,
		localRegion: 'north',
		isReachable: () => true,
		onLaterConfig: () => undefined,
		versions: () => ({configVersion: 3, upstreamRevision: 1}),
	});
	const server = callerServer.createCallerServer(
		() => clock.nowMs(),
		({method, path, rawHeaders}) => ({
			kind: 'accept',
			run: (body, reply, onEnd) =>
				engine.handle(
					{
						method,
						path,
						rawHeaders,
						digest: () => 'digest',
						body,
						facts: fixtures.facts({promptTokens: 0, promptParts: []}),
						route,
						service,
						configVersion: 1,
						arrivedAtMs: clock.nowMs(),
						maxUpstreams: 1,
					},
					reply,
					onEnd,
				),
		}),
		{note: () => undefined},
	);
	const probe = net.createServer();
	await new Promise<void>((resolve) => {
		probe.listen(0, '127.0.0.1', resolve);
	});
	const {port} = probe.address() as net.AddressInfo;
	await new Promise((resolve) => {
		probe.close(resolve);
	});
	await server.listen('127.0.0.1', port);
	t.teardown(() => {
		server.destroy();
		transport.dispose();
	});
	return {clock, port};
};

const openCaller = (t: tap.Test, port: number) => {
	const socket = net.connect(port, '127.0.0.1');
	t.teardown(() => {
		socket.destroy();
	});
	socket.on('error', () => undefined);
	socket.write('GET /x HTTP/1.1\r\nhost: a\r\n\r\n');
	const closed = new Promise((resolve) => {
		socket.once('close', resolve);
	});
	return {socket, closed};
};

for (const [name, route, repeated] of [
	['plain answer', fixtures.bookingRoute, 'x'],
	['stream', fixtures.longRoute, event],
] as const) {
	tap.t.test(`an endless ${name} stops at a caller that does not read`, async (t) => {
		const upstream = await endlessUpstream.startEndlessUpstream(t, {
			head,
			repeated,
			pieceBytes: 65_536,
		});
		const {clock, port} = await startGateway(t, route, upstream.address);
		const {socket} = openCaller(t, port);
		t.ok(await upstream.isBlocked(), `${upstream.sentBytes()} bytes`);
		socket.destroy();
		t.equal(await upstream.ended, 'closed');
		await clock.advance(0);
	});

	tap.t.test(`an endless ${name} is aborted at its deadline`, async (t) => {
		const upstream = await endlessUpstream.startEndlessUpstream(t, {
			head,
			repeated,
			pieceBytes: 65_536,
			pauseMs: 5,
		});
		const {clock, port} = await startGateway(t, route, upstream.address);
		const {socket, closed} = openCaller(t, port);
		let text = '';
		let hasAdvanced = false;
		socket.on('data', (bytes) => {
			text = (text + bytes.toString('latin1')).slice(-100);
			if (!hasAdvanced && socket.bytesRead > 1_000_000) {
				hasAdvanced = true;
				void clock.advance(route.timeoutMs + 100);
			}
		});
		await closed;
		t.ok(hasAdvanced);
		t.notOk(text.endsWith('0\r\n\r\n'), 'the answer does not look complete');
		t.equal(await upstream.ended, 'closed');
	});
}
