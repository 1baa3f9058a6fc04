// Choice of upstream and region under the load patterns of busy days.
import * as tap from 'tap';
import type * as dispatcher from '../common/dispatcher.js';
import * as fixtures from './fixtures.js';

const asUpstream = (choice: dispatcher.Choice) => {
	if (choice.kind !== 'upstream') {
		throw new Error(`expected an upstream, got ${choice.kind}`);
	}

	return choice;
};

tap.t.test('load of another failure domain of the region counts as a total', async (t) => {
	const {registry, subject, clock} = fixtures.createDeployment();
	registry.replaceAll([fixtures.upstream('u1'), fixtures.upstream('u2')], 1);
	const share = {requests: 9, urgentReadTokens: 0, otherReadTokens: 40_000, memoryTokens: 50_000};
	subject.noteDomainLoads('north-b', [{upstreamId: 'u1', ...share}]);
	subject.notePeerLoads('n2', [{upstreamId: 'u2', ...share, otherReadTokens: 1000}]);
	const choice = subject.choose(fixtures.dispatchRequest(fixtures.longRoute));
	t.match(choice, {kind: 'upstream', upstream: {entry: {id: 'u2'}}});
	t.match(
		subject.domainLoads(),
		[{upstreamId: 'u2', requests: 9}],
		'the reported total covers the local failure domain only',
	);
	await clock.advance(fixtures.settings.peerLoadMaxAgeMs + 1);
	t.same(subject.domainLoads(), [], 'expired reports are ignored');
});

tap.t.test('many long prompts spread over the runners', async (t) => {
	const {registry, subject} = fixtures.createDeployment();
	for (const id of ['u1', 'u2', 'u3']) {
		registry.put(fixtures.upstream(id), 1);
	}

	const counts = new Map<string, number>();
	for (let index = 0; index < 30; index++) {
		const parts = [
			{id: 'system', tokens: 300},
			{id: `own-${index}`, tokens: 5000},
		];
		const request = fixtures.dispatchRequest(fixtures.longRoute, {
			facts: fixtures.facts({promptTokens: 5300, promptParts: parts}),
			mayRelay: false,
		});
		const choice = asUpstream(subject.choose(request));
		subject.dispatch(choice, request);
		counts.set(choice.upstream.entry.id, (counts.get(choice.upstream.entry.id) ?? 0) + 1);
	}

	for (const id of ['u1', 'u2', 'u3']) {
		t.ok((counts.get(id) ?? 0) >= 8, `${id} gets about a third`);
	}
});

tap.t.test('shared prompt parts stay at the runner that cached them', async (t) => {
	const {registry, subject} = fixtures.createDeployment();
	for (const id of ['u1', 'u2', 'u3', 'u4']) {
		registry.put(fixtures.upstream(id), 1);
	}

	const used = new Set<string>();
	for (let index = 0; index < 10; index++) {
		const request = fixtures.dispatchRequest(fixtures.longRoute);
		const choice = asUpstream(subject.choose(request));
		const dispatched = subject.dispatch(choice, request);
		dispatched.noteFirstEvent();
		dispatched.end();
		used.add(choice.upstream.entry.id);
	}

	t.equal(used.size, 1);
});

tap.t.test('prompt parts are copied from a busy runner', async (t) => {
	const {registry, subject} = fixtures.createDeployment();
	registry.put(fixtures.upstream('u1'), 1);
	registry.put(fixtures.upstream('u2'), 1);
	const request = fixtures.dispatchRequest(fixtures.longRoute, {mayRelay: false});
	const holder = asUpstream(subject.choose(request)).upstream.entry.id;
	let choice = asUpstream(subject.choose(request));
	for (let index = 0; index < 40 && choice.upstream.entry.id === holder; index++) {
		subject.dispatch(choice, request);
		choice = asUpstream(subject.choose(request));
	}

	t.not(choice.upstream.entry.id, holder);
	t.equal(choice.promptSource?.entry.id, holder);
});

tap.t.test('a region at its peak sends work to an idle one', async (t) => {
	const {registry, fleet, subject} = fixtures.createDeployment();
	registry.put(fixtures.upstream('u1'), 1);
	fleet.noteMember(fixtures.member('s1', {region: 'south', failureDomain: 'south-a'}), 0);
	fleet.noteRegionWaits('south', 'model', {urgentMs: 60, otherMs: 60, ageMs: 0});
	const request = fixtures.dispatchRequest(fixtures.longRoute);
	t.equal(subject.choose(request).kind, 'upstream', 'stays local while the region is idle');
	for (let index = 0; index < 60; index++) {
		const choice = subject.choose({...request, mayRelay: false});
		if (choice.kind === 'upstream') {
			subject.dispatch(choice, request);
		}
	}

	const choice = subject.choose(request);
	t.equal(choice.kind, 'region');
	t.equal(choice.kind === 'region' && choice.region, 'south');
	t.not(subject.choose({...request, mayRelay: false}).kind, 'region', 'never crosses twice');
});

tap.t.test('bound requests go to a home region only', async (t) => {
	const {registry, fleet, subject} = fixtures.createDeployment();
	registry.put(fixtures.upstream('u1'), 1);
	const route = {...fixtures.longRoute, homeRegions: ['south']};
	const request = fixtures.dispatchRequest(route);
	t.equal(subject.choose(request).kind, 'refuse', 'no daemon of the home region is known');
	fleet.noteMember(fixtures.member('s1', {region: 'south', failureDomain: 'south-a'}), 0);
	const choice = subject.choose(request);
	t.equal(choice.kind === 'region' && choice.member.name, 's1');
	const abroad = {...fixtures.longRoute, homeRegions: ['elsewhere']};
	t.equal(subject.choose(fixtures.dispatchRequest(abroad)).kind, 'refuse');
});

tap.t.test('the home regions of the route and of the team both apply', async (t) => {
	const {registry, fleet, subject} = fixtures.createDeployment();
	registry.put(fixtures.upstream('u1'), 1);
	fleet.noteMember(fixtures.member('s1', {region: 'south', failureDomain: 'south-a'}), 0);
	const choose = (routeRegions: string[], teamRegions: string[]) => {
		const route = {...fixtures.longRoute, homeRegions: routeRegions};
		const team = {name: 'team-1', keyDigests: [], homeRegions: teamRegions};
		return subject.choose(fixtures.dispatchRequest(route, {team})).kind;
	};

	t.equal(choose([], ['south']), 'region');
	t.equal(choose(['north', 'south'], ['south']), 'region');
	t.equal(choose(['north', 'south'], ['north']), 'upstream');
	t.equal(choose(['south'], ['north']), 'refuse');
});

tap.t.test('an evacuated failure domain gets nothing', async (t) => {
	const {registry, evacuated, subject} = fixtures.createDeployment();
	registry.put(fixtures.upstream('u1'), 1);
	registry.put(fixtures.upstream('u2', {failureDomain: 'north-b'}), 1);
	evacuated.add('north-a');
	const request = fixtures.dispatchRequest(fixtures.longRoute);
	for (let index = 0; index < 20; index++) {
		const choice = asUpstream(subject.choose(request));
		t.equal(choice.upstream.entry.id, 'u2');
		subject.dispatch(choice, request);
	}
});

tap.t.test('a partly failing runner gets fewer requests', async (t) => {
	const {registry, subject} = fixtures.createDeployment();
	registry.put(fixtures.upstream('u1'), 1);
	registry.put(fixtures.upstream('u2'), 1);
	const request = fixtures.dispatchRequest(fixtures.longRoute, {
		facts: fixtures.facts({promptParts: []}),
	});
	let failing = 0;
	for (let index = 0; index < 200; index++) {
		const choice = asUpstream(subject.choose(request));
		const dispatched = subject.dispatch(choice, request);
		dispatched.noteFirstEvent();
		if (choice.upstream.entry.id === 'u1' && index % 2 === 0) {
			dispatched.noteFailure(false);
		} else {
			dispatched.noteSuccess();
		}

		failing += choice.upstream.entry.id === 'u1' ? 1 : 0;
		dispatched.end();
	}

	t.ok(failing < 60, `${failing} of 200 went to the failing runner`);
});

tap.t.test('a draining upstream gets no new requests', async (t) => {
	const {registry, subject} = fixtures.createDeployment();
	registry.put(fixtures.upstream('u1'), 1);
	const request = fixtures.dispatchRequest(fixtures.longRoute);
	t.equal(subject.choose(request).kind, 'upstream');
	registry.put(fixtures.upstream('u1', {isDraining: true}), 2);
	t.equal(subject.choose(request).kind, 'refuse');
});

tap.t.test('a request that cannot start in time is refused at once', async (t) => {
	const {registry, subject} = fixtures.createDeployment();
	registry.put(fixtures.upstream('u1'), 1);
	const request = fixtures.dispatchRequest(fixtures.shortRoute, {
		facts: fixtures.facts({promptTokens: 8000, promptParts: []}),
	});
	for (let index = 0; index < 40; index++) {
		const choice = subject.choose(request);
		if (choice.kind === 'upstream') {
			subject.dispatch(choice, request);
		}
	}

	const choice = subject.choose(request);
	t.equal(choice.kind === 'refuse' && choice.reason, 'overloaded');
	t.ok(choice.kind === 'refuse' && choice.retryAfterMs > 0);
});

tap.t.test('the only plain upstream is retried after a failed attempt', async (t) => {
	const {registry, subject} = fixtures.createDeployment();
	registry.put(fixtures.upstream('d1', {service: 'desk', slots: 6}), 1);
	const tried = new Set(['d1']);
	const again = subject.choose(
		fixtures.dispatchRequest(fixtures.lookupRoute, {triedUpstreams: tried}),
	);
	t.equal(again.kind, 'upstream');
	const broken = subject.choose(
		fixtures.dispatchRequest(fixtures.lookupRoute, {
			triedUpstreams: tried,
			failedUpstreams: tried,
		}),
	);
	t.equal(broken.kind, 'refuse', 'not after it was unreachable');
});

tap.t.test('load that a peer no longer reports is dropped', async (t) => {
	const {registry, subject} = fixtures.createDeployment();
	registry.put(fixtures.upstream('u1'), 1);
	const request = fixtures.dispatchRequest(fixtures.shortRoute);
	const share = {requests: 9, urgentReadTokens: 90_000, otherReadTokens: 0, memoryTokens: 9000};
	subject.notePeerLoads('n2', [{upstreamId: 'u1', ...share}]);
	const loaded = subject.choose(request).basis.expectedMs;
	subject.notePeerLoads('n2', []);
	const idle = subject.choose(request).basis.expectedMs;
	t.ok(loaded > idle + 900, `${loaded} ms against ${idle} ms`);
});

tap.t.test('a burst of long prompts is refused past the goal', async (t) => {
	const {registry, subject} = fixtures.createDeployment();
	registry.put(fixtures.upstream('u1', {slots: 128}), 1);
	const request = fixtures.dispatchRequest(fixtures.longRoute, {
		facts: fixtures.facts({
			promptTokens: 12_000,
			promptParts: [{id: 'own', tokens: 12_000}],
		}),
	});
	let expectedMs = 0;
	let refusals = 0;
	for (let count = 0; count < 30; count++) {
		const choice = subject.choose(request);
		if (choice.kind === 'upstream') {
			expectedMs = choice.basis.expectedMs;
			subject.dispatch(choice, request);
		} else {
			refusals++;
			t.match(choice, {kind: 'refuse', reason: 'overloaded'});
		}
	}

	t.ok(refusals > 0);
	const limitMs = request.route.goalMs * fixtures.settings.admissionGoalFactor;
	t.ok(expectedMs <= limitMs, `${expectedMs} ms for the last admitted request`);
});

tap.t.test('a partly failing plain service still takes requests of another region', async (t) => {
	const {registry, subject} = fixtures.createDeployment();
	registry.put(fixtures.upstream('d1', {service: 'desk', slots: 6}), 1);
	const request = fixtures.dispatchRequest(fixtures.lookupRoute);
	for (let index = 0; index < 50; index++) {
		const dispatched = subject.dispatch(asUpstream(subject.choose(request)), request);
		if (index % 5 === 0) {
			dispatched.noteFailure(false);
		} else {
			dispatched.noteSuccess();
		}

		dispatched.end();
	}

	const waitMs = subject.predictWaitMs(fixtures.deskService, false);
	t.ok(waitMs < 150, `${waitMs} ms are reported to other regions`);
	t.equal(subject.choose(request).kind, 'upstream');
});

tap.t.test('a region without a usable upstream reports an infinite wait', async (t) => {
	const {registry, evacuated, subject} = fixtures.createDeployment();
	registry.put(fixtures.upstream('u1'), 1);
	t.ok(Number.isFinite(subject.predictWaitMs(fixtures.modelService, true)));
	evacuated.add('north-a');
	t.equal(subject.predictWaitMs(fixtures.modelService, true), Number.POSITIVE_INFINITY);
});
