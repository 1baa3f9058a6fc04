// Admission of requests of callers, and refusals of relayed requests.
import * as tap from 'tap';
import * as answerClassifier from '../common/answer-classifier.js';
import * as routeConfig from '../common/route-config.js';
import type * as wireFormat from '../common/wire-format.js';
import type * as callerServer from '../node/caller-server.js';
import type * as plannedStop from '../node/planned-stop.js';
import * as requestAdmission from '../node/request-admission.js';
import * as fakeTransport from './fake-transport.js';
import * as fixtures from './fixtures.js';

class CallerTimeoutWire extends fakeTransport.FakeWire {
	override readRequest(headers: wireFormat.Headers): wireFormat.RequestFacts {
		return fixtures.facts(headers.timeout ? {callerTimeoutMs: Number(headers.timeout)} : {});
	}
}

const start = (isPeerPort: boolean) => {
	const state: {stop?: plannedStop.StopProgress; isReady: boolean} = {isReady: true};
	const routeTable = routeConfig.createRouteTable(fixtures.config);
	const admit = requestAdmission.createAdmissionCheck({
		wire: new CallerTimeoutWire(),
		engine: {
			handle() {
				throw new Error('this test runs no request');
			},
		},
		log: {
			note() {
				// These tests read no log.
			},
		},
		isPeerPort,
		routeTable: () => (state.isReady ? routeTable : undefined),
		snapshot: () => ({evacuated: [], operatorRevision: 0, upstreams: [], upstreamRevision: 0}),
		stopProgress: () => state.stop,
	});
	const check = (path: string, headers: wireFormat.Headers = {}) =>
		admit({method: 'POST', path, host: 'a.example', rawHeaders: [], headers, arrivedAtMs: 0});
	return {state, check};
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

		const headers = decision.headers ?? {};
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
});
