// Whether broken connections mean that an upstream crashed, on a manual clock.
import * as manualClock from '@hawthornfront/base/common/manual-clock.js';
import * as tap from 'tap';
import * as crashDetector from '../common/crash-detector.js';
import type * as promptQuarantine from '../common/prompt-quarantine.js';
import type * as upstreamTransport from '../common/upstream-transport.js';
import * as fixtures from './fixtures.js';

const upstream = {
	entry: fixtures.upstream('u1', {startedAtUnixMs: 5}),
	region: 'north',
	coldUntilMs: 0,
};

const create = (probeResult: upstreamTransport.ProbeResult) => {
	const clock = new manualClock.ManualClock();
	const crashes: promptQuarantine.CrashVictim[] = [];
	const begun: string[] = [];
	const breaks: promptQuarantine.CrashVictim[] = [];
	let probes = 0;
	const subject = crashDetector.createCrashDetector({
		clock,
		transport: {
			probe(_address, callback) {
				probes++;
				callback(probeResult);
			},
		},
		quarantine: {
			noteAnswer: () => undefined,
			noteBegun(_service, {partIds}) {
				begun.push(...partIds());
			},
			noteBreaks(_service, _upstreamKey, victims) {
				breaks.push(...victims);
			},
			noteCrash(_service, _upstreamKey, victims) {
				crashes.push(...victims);
			},
		},
		log: {note: () => undefined},
	});
	const begin = (id: string) =>
		subject.begin(upstream, {partIds: () => [id], digest: () => id, isStream: true});
	return {clock, subject, crashes, begun, breaks, begin, probes: () => probes};
};

tap.t.test('a crash names the requests without events, and which answer had begun', async (t) => {
	const {clock, crashes, begin, begun, breaks} = create('refused');
	const runs = ['harmful', 'waiting', 'sound'].map((id) => begin(id));
	const [harmful, , sound] = runs;
	harmful!.noteHead();
	sound!.noteHead();
	sound!.noteEvents(2);
	await clock.advance(300);
	for (const run of runs) {
		run.noteBroken();
		run.end();
	}

	await clock.advance(100);
	t.same(
		crashes.map(({request, wasAnswering, sentBeforeMs}) => [
			...request.partIds(),
			wasAnswering,
			sentBeforeMs,
		]),
		[
			['harmful', true, 300],
			['waiting', false, 300],
		],
	);
	t.same(begun, ['sound']);
	t.same(
		breaks.map(({request}) => request.digest()),
		['waiting', 'sound'],
	);
});

// Guards against blaming prompts for connections that break while the upstream is sound.
tap.t.test('an upstream with other requests in progress has not crashed', async (t) => {
	const {clock, subject, crashes, breaks, begin, probes} = create('refused');
	const broken = begin('topic');
	begin('other');
	await clock.advance(300);
	broken.noteHead();
	broken.noteBroken();
	broken.end();
	const decisions: boolean[] = [];
	subject.whenDecided(upstream, (hasCrashed) => decisions.push(hasCrashed));
	t.same(decisions, []);
	await clock.advance(100);
	t.same([crashes, probes(), decisions], [[], 0, [false]]);
	t.match(breaks, [{sentBeforeMs: 300, wasAnswering: true}], 'evidence against the request only');
});

for (const result of ['open', 'unknown'] as const) {
	tap.t.test(`an upstream whose probe is ${result} has not crashed`, async (t) => {
		const {clock, crashes, begin, probes} = create(result);
		const broken = begin('topic');
		broken.noteBroken();
		broken.end();
		await clock.advance(100);
		t.same([crashes, probes()], [[], 1]);
	});
}

// Guards against a request that crashes its upstreams after some events and is never suspected.
tap.t.test('streams that broke midway need no probe, and count against the request', async (t) => {
	const {clock, begin, probes, breaks} = create('refused');
	const run = begin('topic');
	run.noteEvents(4);
	run.noteBroken();
	run.end();
	await clock.advance(100);
	t.equal(probes(), 0);
	t.match(breaks, [{wasAnswering: false}]);
});

// Guards against a request that ends late and makes the detector forget later requests of its upstream.
tap.t.test('a request that ends after a crash does not hide the next one', async (t) => {
	const {clock, subject, crashes, begin} = create('refused');
	const first = begin('first');
	first.noteBroken();
	await clock.advance(100);
	const second = begin('second');
	first.end();
	second.noteBroken();
	let hasCrashed: boolean | undefined;
	subject.whenDecided(upstream, (result) => {
		hasCrashed = result;
	});
	await clock.advance(100);
	t.equal(hasCrashed, true);
	t.equal(crashes.length, 2);
});

// Guards against plain requests that crash their upstreams unseen.
tap.t.test('a request without a prompt is observed too', async (t) => {
	const {clock, subject, crashes} = create('refused');
	const plain = {partIds: () => [], digest: () => 'plain', isStream: false};
	const run = subject.begin(upstream, plain);
	run.noteBroken();
	run.end();
	await clock.advance(100);
	t.match(crashes, [{request: plain, wasAnswering: false}]);
});

// A stream that broke stayed, with the body of its request, for as long as its upstream had others.
tap.t.test('a stream that broke is forgotten while its upstream has other requests', async (t) => {
	const {clock, subject, begin, crashes} = create('open');
	const [broken, survivor] = ['broken', 'survivor'].map((id) => begin(id));
	broken!.noteHead();
	broken!.noteEvents(5);
	broken!.noteBroken();
	broken!.end();
	t.equal(subject.brokenRequests, 1);
	await clock.advance(1000);
	t.equal(subject.brokenRequests, 0);
	survivor!.end();
	t.same(crashes, []);
});
