// What a daemon takes, and what it tells a daemon whose request it refuses.
import * as tap from 'tap';
import * as answerClassifier from '../common/answer-classifier.js';
import * as routeConfig from '../common/route-config.js';
import type * as wireFormat from '../common/wire-format.js';
import type * as callerServer from '../node/caller-server.js';
import type * as plannedStop from '../node/planned-stop.js';
import * as requestAdmission from '../node/request-admission.js';
import * as fakeTransport from './fake-transport.js';
import * as fixtures from './fixtures.js';

class JudgeWire extends fakeTransport.FakeWire {
	override readRequest(headers: wireFormat.Headers): wireFormat.RequestFacts {
		return fixtures.facts(headers.patience ? {callerTimeoutMs: Number(headers.patience)} : {});
	}
}

const start = (isPeerPort: boolean) => {
	const state: {stop?: plannedStop.StopProgress; isReady: boolean} = {isReady: true};
	const table = routeConfig.createRouteTable(fixtures.config);
	const judge = requestAdmission.createAdmissionCheck({
		wire: new JudgeWire(),
		engine: {
			handle() {
				throw new Error('no request runs here');
			},
		},
		isPeerPort,
		routeTable: () => (state.isReady ? table : undefined),
		snapshot: () => ({evacuated: [], operatorRevision: 0, upstreams: [], upstreamRevision: 0}),
		stopProgress: () => state.stop,
	});
	const ask = (path: string, headers: wireFormat.Headers = {}) =>
		judge({method: 'POST', path, host: 'a.example', rawHeaders: [], headers, arrivedAtMs: 0});
	return {state, ask};
};

const refusal = (verdict: callerServer.AdmissionDecision) =>
	verdict.kind === 'reject' ? [verdict.status, verdict.reason] : verdict.kind;

tap.t.test('a stream that may not move is refused in a stop', async (t) => {
	const {state, ask} = start(false);
	t.equal(ask('/drafts/x').kind, 'accept');
	state.stop = {elapsedMs: 0, graceMs: 8000};
	t.same(refusal(ask('/drafts/x')), [503, 'stopping']);
	t.equal(ask('/questions/x').kind, 'accept');
});

// A request that was taken late was cut off when the grace was over.
tap.t.test('a request that could outlast the stop is refused late in it', async (t) => {
	const {state, ask} = start(false);
	state.stop = {elapsedMs: 1000, graceMs: 3500};
	t.equal(ask('/questions/x').kind, 'accept', 'its caller may not know of the stop');
	state.stop = {elapsedMs: 3000, graceMs: 8000};
	t.equal(ask('/questions/x').kind, 'accept', 'its 3 s fit');
	state.stop = {elapsedMs: 5000, graceMs: 8000};
	t.same(refusal(ask('/questions/x')), [503, 'stopping']);
	t.equal(ask('/questions/x', {patience: '1000'}).kind, 'accept');
	t.equal(ask('/lookups/x').kind, 'accept');
	state.stop = {elapsedMs: 5500, graceMs: 8000};
	t.same(refusal(ask('/lookups/x')), [503, 'stopping']);
	t.same(refusal(ask('/bookings/x')), [503, 'stopping']);
});

// The daemon that had relayed it took the refusal for an unknown outcome, or passed a 404 on.
tap.t.test('a refused relay is known not to have run', async (t) => {
	const {state, ask} = start(true);
	const wire = new JudgeWire();
	const outcome = (verdict: callerServer.AdmissionDecision) => {
		if (verdict.kind !== 'reject') {
			return verdict.kind;
		}

		const headers = verdict.headers ?? {};
		const answer = wire.readAnswer(verdict.status, headers);
		return answerClassifier.classifyAnswer(verdict.status, headers, answer, undefined, false);
	};

	const notRun = (detail: string) => ({
		kind: 'fail',
		outcome: 'not-run',
		detail,
		isHard: false,
		upstreamsUsed: 0,
	});
	t.same(outcome(ask('/nowhere/')), notRun('no-route'));
	state.stop = {elapsedMs: 0, graceMs: 8000};
	t.same(outcome(ask('/drafts/x')), notRun('stopping'));
	state.isReady = false;
	t.same(outcome(ask('/questions/x')), notRun('no-configuration'));
});

tap.t.test('callers get no headers between daemons', async (t) => {
	const {ask} = start(false);
	const verdict = ask('/nowhere/');
	t.same(refusal(verdict), [404, 'no-route']);
	t.notOk(verdict.kind === 'reject' && verdict.headers);
});
