// Admission of requests of callers, and refusals of relayed requests.
import * as tap from 'tap';
import * as answerClassifier from '../common/answer-classifier.js';
import type * as gatewayEvent from '../common/gateway-event.js';
import type * as gatewayRequest from '../common/gateway-request.js';
import * as relayHeaders from '../common/relay-headers.js';
import * as routeConfig from '../common/route-config.js';
import type * as wireFormat from '../common/wire-format.js';
import type * as callerServer from '../node/caller-server.js';
import type * as plannedStop from '../node/planned-stop.js';
import * as requestAdmission from '../node/request-admission.js';
import * as serverPort from '../node/server-port.js';
import * as fakeTransport from './fake-transport.js';
import * as fixtures from './fixtures.js';

class CallerTimeoutWire extends fakeTransport.FakeWire {
	override readRequest(headers: wireFormat.Headers): wireFormat.RequestFacts {
		return fixtures.facts(headers.timeout ? {callerTimeoutMs: Number(headers.timeout)} : {});
	}
}

const openRoute = {...fixtures.lookupRoute, name: 'open', prefix: '/open/'};
const abroadRoute = {...fixtures.lookupRoute, prefix: '/abroad/', homeRegions: ['south']};

const start = (isPeerPort: boolean, teams: routeConfig.Team[] = []) => {
	const state: {
		stop?: plannedStop.StopProgress;
		isReady: boolean;
		teams: routeConfig.Team[];
		handled?: gatewayRequest.GatewayRequest;
	} = {isReady: true, teams};
	const events: gatewayEvent.GatewayEvent[] = [];
	const routes = [...fixtures.config.routes, {...openRoute, isPublic: true}, abroadRoute];
	const routeTable = () =>
		routeConfig.createRouteTable({...fixtures.config, routes, teams: state.teams});
	const admit = requestAdmission.createAdmissionCheck({
		wire: new CallerTimeoutWire(),
		engine: {
			handle(request) {
				state.handled = request;
				return {dispose: () => undefined, terminate: () => undefined};
			},
		},
		log: {
			note(event) {
				events.push(event);
			},
		},
		isPeerPort,
		routeTable: () => (state.isReady ? routeTable() : undefined),
		snapshot: () => ({evacuated: [], operatorRevision: 0, upstreams: [], upstreamRevision: 0}),
		stopProgress: () => state.stop,
	});
	const check = (path: string, headers: wireFormat.Headers = {}, rawHeaders: string[] = []) =>
		admit({method: 'POST', path, host: 'a.example', rawHeaders, headers, arrivedAtMs: 0});
	/** Runs a request; returns it, or its refusal. */
	const run = (path: string, headers: wireFormat.Headers, ...rawHeaders: string[]) => {
		const decision = check(path, headers, rawHeaders);
		if (decision.kind !== 'accept') {
			return refusalOf(decision);
		}

		decision.run(undefined, new fakeTransport.FakeReply(), () => undefined);
		return {team: state.handled?.team, rawHeaders: state.handled?.rawHeaders};
	};

	return {state, events, check, run};
};

const refusalOf = (decision: callerServer.AdmissionDecision) =>
	decision.kind === 'reject' ? [decision.status, decision.reason] : decision.kind;

tap.t.test('a stream that may not be moved is refused in a stop', async (t) => {
	const {state, check} = start(false);
	t.equal(check('/drafts/x').kind, 'accept');
	state.stop = {elapsedMs: 0, graceMs: 8000};
	t.same(refusalOf(check('/drafts/x')), [503, 'stopping']);
	t.equal(check('/questions/x').kind, 'accept');
});

// Guards against a request that is accepted late in a stop and terminated at the end of the grace.
tap.t.test('a request that could outlast the grace is refused late in a stop', async (t) => {
	const {state, check} = start(false);
	state.stop = {elapsedMs: 1000, graceMs: 3500};
	t.equal(check('/questions/x').kind, 'accept', 'the stop may not have reached its caller');
	state.stop = {elapsedMs: 3000, graceMs: 8000};
	t.equal(check('/questions/x').kind, 'accept', 'its 3 s fit into the grace');
	state.stop = {elapsedMs: 5000, graceMs: 8000};
	t.same(refusalOf(check('/questions/x')), [503, 'stopping']);
	t.equal(check('/questions/x', {timeout: '1000'}).kind, 'accept');
	t.equal(check('/lookups/x').kind, 'accept');
	state.stop = {elapsedMs: 5500, graceMs: 8000};
	t.same(refusalOf(check('/lookups/x')), [503, 'stopping']);
	t.same(refusalOf(check('/bookings/x')), [503, 'stopping']);
});

// Guards against a request whose body arrives late in a stop: it was passed on and cut off at the end of the grace.
tap.t.test('a request whose body is complete late in a stop is checked again', async (t) => {
	const {state, check} = start(false);
	const recheck = (path: string, waitedMs: number, headers?: wireFormat.Headers) => {
		state.stop = undefined;
		const decision = check(path, headers);
		state.stop = {elapsedMs: 6500, graceMs: 8000};
		const rejection = decision.kind === 'accept' ? decision.recheck?.(waitedMs) : decision;
		return rejection && refusalOf(rejection);
	};

	t.same(recheck('/bookings/x', 0), [503, 'stopping']);
	t.same(recheck('/drafts/x', 0), [503, 'stopping'], 'a stream that may not be moved');
	t.equal(recheck('/bookings/x', 1500), undefined, 'its last second fits into the grace');
	t.equal(recheck('/bookings/x', 0, {timeout: '1000'}), undefined);
	state.stop = undefined;
	const calm = check('/bookings/x');
	t.equal(calm.kind === 'accept' && calm.recheck?.(0), undefined);
});

// Guards against a relaying daemon that takes the refusal for an unknown outcome or passes on a 404.
tap.t.test('a refused relay is classified as not run', async (t) => {
	const {state, check} = start(true);
	const wire = new CallerTimeoutWire();
	const outcome = (decision: callerServer.AdmissionDecision) => {
		if (decision.kind !== 'reject') {
			return decision.kind;
		}

		const headers = {
			...decision.headers,
			...new serverPort.PeerPort().refusalHeaders('not-run', decision.reason),
		};
		const answer = wire.readAnswer(decision.status, headers);
		return answerClassifier.classifyAnswer(decision.status, headers, answer, undefined, false);
	};

	const notRun = (detail: string) => ({
		kind: 'fail',
		outcome: 'not-run',
		detail,
		isHard: false,
		upstreamsUsed: 0,
	});
	t.same(outcome(check('/nowhere/')), notRun('no-route'));
	state.stop = {elapsedMs: 0, graceMs: 8000};
	t.same(outcome(check('/drafts/x')), notRun('stopping'));
	state.isReady = false;
	t.same(outcome(check('/questions/x')), notRun('no-configuration'));
});

tap.t.test('callers get no internal headers', async (t) => {
	const {check} = start(false);
	const decision = check('/nowhere/');
	t.same(refusalOf(decision), [404, 'no-route']);
	t.notOk(decision.kind === 'reject' && decision.headers);
	t.same(new serverPort.CallerPort().refusalHeaders('not-run', 'no-route'), {});
});

const team: routeConfig.Team = {
	name: 'team-1',
	keyDigests: ['digest of k-1'],
	homeRegions: ['north'],
};

tap.t.test('a request needs the key of a team', async (t) => {
	const {state, events, check, run} = start(false, [team]);
	t.same(refusalOf(check('/nowhere/')), [404, 'no-route']);
	t.match(check('/lookups/x'), {status: 401, headers: {'www-authenticate': 'Bearer'}});
	t.same(run('/lookups/x', {}), [401, 'no-key']);
	t.same(run('/lookups/x', {}, 'key', 'k-2'), [401, 'unknown-key']);
	t.match(events.at(-1), {kind: 'key-refused', route: 'lookups', reason: 'unknown-key'});
	t.same(run('/lookups/x', {}, 'key', 'k-1', 'a', 'b'), {team, rawHeaders: ['a', 'b']});
	t.same(run('/abroad/x', {}, 'key', 'k-1'), [503, 'no-common-region']);
	const forged = {[relayHeaders.teamHeader]: 'team-1'};
	t.same(run('/lookups/x', forged), [401, 'no-key'], 'callers cannot name a team');
	t.same(run('/open/x', {}, 'key', 'k-2', 'a', 'b'), {team: undefined, rawHeaders: ['a', 'b']});
	t.same(run('/open/x', {}, 'key', 'k-1'), {team, rawHeaders: []});
	state.teams = [{...team, keyDigests: []}];
	t.same(run('/lookups/x', {}, 'key', 'k-1'), [401, 'unknown-key'], 'removed');
	state.teams = [];
	t.same(run('/lookups/x', {}, 'key', 'k-1'), {team: undefined, rawHeaders: ['key', 'k-1']});
	state.isReady = false;
	t.same(run('/lookups/x', {}), [503, 'no-configuration']);
});

tap.t.test('a relay names the team', async (t) => {
	const {state, run} = start(true, [team]);
	const named = {[relayHeaders.teamHeader]: 'team-1'};
	t.match(run('/lookups/x', named), {team});
	t.match(run('/lookups/x', {}), {team: undefined}, 'of a daemon without teams');
	t.same(run('/lookups/x', {}, 'key', 'k-1'), {team, rawHeaders: []}, 'of a daemon without teams');
	for (const teams of [[{...team, name: 'team-2'}], []]) {
		state.teams = teams;
		t.match(run('/abroad/x', named), {team: {name: 'team-1', homeRegions: []}}, 'unknown team');
	}
});
