// A request reached a daemon with the configuration in force, and the daemon that it was relayed to handled it by the one before.
import * as tap from 'tap';
import type * as gatewayEvent from '../common/gateway-event.js';
import type * as gatewayRequest from '../common/gateway-request.js';
import * as relayHeaders from '../common/relay-headers.js';
import * as relayedRoute from '../common/relayed-route.js';
import * as routeConfig from '../common/route-config.js';
import type * as wireFormat from '../common/wire-format.js';
import * as requestAdmission from '../node/request-admission.js';
import * as engineHarness from './engine-harness.js';
import * as fakeTransport from './fake-transport.js';
import * as fixtures from './fixtures.js';

const {start, headerOf} = engineHarness;
/** A later version moves this route to another service and to another region. */
const movedRoute: routeConfig.Route = {
	...fixtures.bookingRoute,
	homeRegions: ['süd', 'south'],
	targets: [{service: 'model', weight: 1}],
};

class PlainWire extends fakeTransport.FakeWire {
	override readRequest(): wireFormat.RequestFacts {
		return fixtures.facts({});
	}
}

/** Admits a request at a port of a daemon that has version 7; returns how it was handled. */
const admit = (headers: wireFormat.Headers, isPeerPort = true, path = '/bookings/x') => {
	let handled: gatewayRequest.GatewayRequest | undefined;
	const events: gatewayEvent.GatewayEvent[] = [];
	const check = requestAdmission.createAdmissionCheck({
		wire: new PlainWire(),
		engine: {
			handle(request) {
				handled = request;
				return {dispose: () => undefined, terminate: () => undefined};
			},
		},
		log: {
			note(event) {
				events.push(event);
			},
		},
		isPeerPort,
		routeTable: () => routeConfig.createRouteTable({...fixtures.config, version: 7}),
		snapshot: () => ({evacuated: [], operatorRevision: 0, upstreams: [], upstreamRevision: 0}),
		stopProgress: () => undefined,
	});
	const decision = check({
		method: 'POST',
		path,
		host: 'a.example',
		rawHeaders: [],
		headers,
		arrivedAtMs: 0,
	});
	if (decision.kind === 'accept') {
		decision.run(undefined, new fakeTransport.FakeReply(), () => undefined);
	}

	const [event] = events;
	return {
		refusal: decision.kind === 'reject' ? [decision.status, decision.reason] : undefined,
		service: handled?.service.name,
		configVersion: handled?.configVersion,
		homeRegions: handled?.route.homeRegions,
		isRelayedByEarlierConfig: handled?.isRelayedByEarlierConfig,
		next: event?.kind === 'relayed-by-later-config' ? event.next : undefined,
	};
};

/** Headers of a relay from a daemon with a version to one that is known to have another one. */
const relayed = (configVersion: number, peerVersion: number): wireFormat.Headers => {
	const headers = relayedRoute.relayedRouteHeaders({route: movedRoute, configVersion}, peerVersion);
	return Object.fromEntries(
		headers.flatMap((name, index) => (index % 2 === 0 ? [[name, headers[index + 1]!]] : [])),
	);
};

tap.t.test('a daemon with an earlier version follows the route that it is told', async (t) => {
	t.match(admit(relayed(8, 7)), {
		refusal: undefined,
		service: 'model',
		configVersion: 8,
		homeRegions: movedRoute.homeRegions,
		next: 'relayed-route',
	});
});

tap.t.test('so it does if its own version lacks the route', async (t) => {
	t.match(admit(relayed(8, 7), true, '/new/x'), {service: 'model', next: 'relayed-route'});
});

tap.t.test('a daemon with the same or a later version follows its own', async (t) => {
	for (const headers of [relayed(7, 6), relayed(6, 5), {}]) {
		t.match(admit(headers), {service: 'desk', configVersion: 7, next: undefined});
	}
});

// Its peers learn of its version a moment after it has lost it, as after a restart.
tap.t.test('a request with a later version and no route is refused as not run', async (t) => {
	t.match(admit(relayed(8, 8)), {refusal: [503, 'config-behind'], next: 'refuse'});
	t.same(admit(relayed(8, 8), true, '/new/x').refusal, [503, 'config-behind']);
	for (const text of ['', '{', '{"name":"bookings"}', 'null', '[]']) {
		const headers = {...relayed(8, 8), [relayHeaders.routeHeader]: text};
		t.same(admit(headers).refusal, [503, 'config-behind'], text);
	}
});

tap.t.test(
	'a route to a service that the daemon does not know is refused as not run',
	async (t) => {
		const route = {...movedRoute, targets: [{service: 'new', weight: 1}]};
		const [, version, , text] = relayedRoute.relayedRouteHeaders({route, configVersion: 8}, 7);
		const headers = {
			[relayHeaders.configVersionHeader]: version,
			[relayHeaders.routeHeader]: text,
		};
		t.same(admit(headers).refusal, [503, 'no-service']);
	},
);

tap.t.test('callers do not choose the route by these headers', async (t) => {
	t.match(admit(relayed(8, 7), false), {service: 'desk', configVersion: 7});
	t.same(admit(relayed(8, 7), false, '/new/x').refusal, [404, 'no-route']);
});

tap.t.test('a relay says by which version it was routed, and the route if need be', async (t) => {
	for (const peerVersion of [0, 1, 2]) {
		const {clock, fleet, transport} = start(fixtures.bookingRoute, {upstreams: 0});
		const south = {region: 'south', failureDomain: 'south-a', configVersion: peerVersion};
		fleet.noteMember(fixtures.member('s1', south), 0);
		await clock.advance(50);
		const sent = transport.last;
		t.equal(sent.request.isRelay, true);
		t.equal(headerOf(sent, relayHeaders.configVersionHeader), '1');
		const hasRoute = sent.request.headers.includes(relayHeaders.routeHeader);
		t.equal(hasRoute, peerVersion === 0, `to a daemon with version ${peerVersion}`);
	}
});

tap.t.test('a daemon with a later version tells the one that relayed to it', async (t) => {
	for (const isRelayedByEarlierConfig of [true, false]) {
		const {transport, reply} = start(fixtures.bookingRoute, {
			relayedFrom: 'south',
			isRelayedByEarlierConfig,
		});
		transport.last.listener.onHead(200, engineHarness.signed);
		transport.last.listener.onEnd();
		const version = isRelayedByEarlierConfig ? '1' : undefined;
		t.equal(reply.headers[relayHeaders.configVersionHeader], version);
	}

	t.equal(admit(relayed(6, 5)).isRelayedByEarlierConfig, true);
	t.equal(admit(relayed(7, 6)).isRelayedByEarlierConfig, false);
	t.equal(admit(relayed(6, 5), false).isRelayedByEarlierConfig, false);
});

tap.t.test('the one that relayed notes the later version', async (t) => {
	for (const version of ['1', '2', 'x', undefined]) {
		const {clock, fleet, transport, laterConfigs} = start(fixtures.bookingRoute, {upstreams: 0});
		const south = {region: 'south', failureDomain: 'south-a', configVersion: 1};
		fleet.noteMember(fixtures.member('s1', south), 0);
		await clock.advance(50);
		const headers = {...engineHarness.signed, [relayHeaders.configVersionHeader]: version};
		transport.last.listener.onHead(200, headers);
		t.same(laterConfigs, version === '2' ? ['s1: 2'] : []);
	}
});

tap.t.test('an upstream cannot say which version is in force', async (t) => {
	const {transport, laterConfigs} = start(fixtures.bookingRoute);
	const headers = {...engineHarness.signed, [relayHeaders.configVersionHeader]: '9'};
	transport.last.listener.onHead(200, headers);
	t.same(laterConfigs, []);
});

tap.t.test('a route that is too long for a head is not sent', async (t) => {
	const route = {...movedRoute, homeRegions: Array.from({length: 1000}, (_, at) => `region-${at}`)};
	t.equal(relayedRoute.relayedRouteHeaders({route, configVersion: 8}, 7).length, 2);
});
