// Guards against experiments that are not repeatable, that hide waiting time or that miss a spoiled answer.
import * as event from '@hawthornfront/base/common/event.js';
import * as manualClock from '@hawthornfront/base/common/manual-clock.js';
import * as random from '@hawthornfront/base/common/random.js';
import type * as schema from '@hawthornfront/catalogue/common/schema.js';
import * as runnerModel from '@hawthornfront/standins/common/runner-model.js';
import * as tap from 'tap';
import * as experiment from '../common/experiment.js';
import * as measures from '../common/measures.js';
import * as policy from '../common/policy.js';
import * as prompts from '../common/prompts.js';
import * as requestRun from '../common/request-run.js';
import * as scenarios from '../common/scenarios.js';
import * as workload from '../common/workload.js';

const scenario = scenarios.createScenarios(30_000)[0]!;

const request = (fields: Partial<workload.WorkRequest> = {}): workload.WorkRequest => ({
	id: 'r',
	region: 'east',
	isBound: false,
	workClass: 'long',
	team: 't',
	arrivesAtMs: 0,
	sharedPromptTokens: 64,
	ownPromptTokens: 64,
	outputTokens: 100,
	estimatedTokens: 200,
	...fields,
});

const upstream: schema.Upstream = {
	kind: 'upstream',
	name: 'one',
	type: 'runner',
	region: 'east',
	failureDomain: 'east-1',
	address: '127.0.0.1:1',
	models: ['model'],
	slots: 1,
	checksFencing: false,
	resumesStreams: true,
	oldSetup: false,
};

const startRun = (runPolicy: policy.Policy, slots = 1) => {
	const clock = new manualClock.ManualClock();
	const settings = {...prompts.runnerSettings, slots};
	const runner = runnerModel.createRunnerModel({clock, seed: 1, settings});
	const other = runnerModel.createRunnerModel({clock, seed: 2, settings});
	const recorder = measures.createRecorder();
	const factory = {...policy.roundRobin, create: () => runPolicy};
	const run = requestRun.createRequestRun({clock, policy: factory, recorder, aloneMs: () => 1});
	const start = (fields?: Partial<workload.WorkRequest>) => {
		const models = new Map([
			['one', runner],
			['two', other],
		]);
		run.start(request(fields), runPolicy, models);
	};

	return {clock, runner, other, recorder, run, start};
};

const createRoundRobin = () =>
	policy.roundRobin.create({
		clock: new manualClock.ManualClock(),
		random: random.createRandom(1),
		region: 'east',
		upstreams: [upstream],
		peers: () => [],
	});

tap.t.test('the same seed gives the same result, another seed another one', async (t) => {
	const run = async (seed: number) =>
		experiment.runExperiment({scenario, policy: policy.leastInFlight, seed});
	const first = await run(1);
	t.same(await run(1), first);
	t.notSame(await run(2), first);
});

tap.t.test('every policy gets the same work and answers all of it', async (t) => {
	const asked = [];
	for (const factory of [policy.roundRobin, policy.leastInFlightEverywhere]) {
		const result = await experiment.runExperiment({scenario, policy: factory, seed: 3});
		const {short, long} = result.classes;
		t.equal(short!.outcomes.answered, short!.asked);
		t.equal(result.cost.tokensGeneratedAgain, 0);
		asked.push([short!.asked, long!.asked]);
	}

	t.same(asked[0], asked[1]);
});

tap.t.test('arrivals follow rate, peak and bursts', (t) => {
	const region = scenario.regions[0]!;
	const load = {...region.load, durationMs: 600_000, dayMs: 600_000, peakAtMs: 0};
	const work = workload.createWork(random.createRandom(1), 'east', load);
	const expected = 600 * (load.profiles[0]!.ratePerSecond + load.profiles[1]!.ratePerSecond);
	t.ok(Math.abs(work.length / expected - 1) < 0.05, `${work.length} of ${expected}`);
	const atNight = work.filter((item) => Math.abs(item.arrivesAtMs - 300_000) < 150_000);
	t.ok(atNight.length < work.length * 0.45, 'fewer arrivals away from the peak');
	const burst = {periodMs: 100_000, firstAtMs: 50_000, requests: 7, workClass: 'long'} as const;
	const bursting = workload.createWork(random.createRandom(1), 'east', {...load, bursts: [burst]});
	t.equal(bursting.filter((item) => item.arrivesAtMs === 250_000).length, 7);
	t.end();
});

tap.t.test('waiting counts from the intended arrival', async (t) => {
	const {clock, recorder, start} = startRun(createRoundRobin());
	start({id: 'first'});
	start({id: 'second', workClass: 'short'});
	await clock.advance(60_000);
	const {short, long} = recorder.summary();
	t.ok(short!.waitMs.max > long!.latencyMs.max, 'the second waits for the end of the first');
});

tap.t.test('a runner that fails for good gives a truncated answer', async (t) => {
	const {clock, runner, recorder, start} = startRun(createRoundRobin());
	start();
	await clock.advance(500);
	runner.crash();
	await clock.advance(60_000);
	t.equal(recorder.summary().long!.outcomes.truncated, 1);
	t.ok(recorder.summary().long!.latencyMs.max > 60_000, 'counts with its whole deadline');
});

tap.t.test('an answer that never ends is lost', async (t) => {
	const {clock, runner, recorder, run, start} = startRun(createRoundRobin());
	runner.faults.hang = true;
	start();
	await clock.advance(60_000);
	run.abandon();
	t.equal(recorder.summary().long!.outcomes.lost, 1);
});

class ScriptedPolicy extends policy.Policy {
	readonly released: string[] = [];
	readonly didPreempt = event.createEmitter<void>();
	readonly latencies: number[] = [];
	hedgeAfterMs: number | undefined;

	override async acquire() {
		return this.#assign(upstream);
	}

	override acquireHedge() {
		return this.#assign({...upstream, name: 'two'});
	}

	override hedgeDelayMs() {
		return this.hedgeAfterMs;
	}

	override noteFirstTokenLatency(_workClass: string, durationMs: number) {
		this.latencies.push(durationMs);
	}

	#assign(place: schema.Upstream): policy.PolicyAssignment {
		return {
			upstream: place,
			onDidPreempt: this.didPreempt.event,
			noteFirstToken: () => undefined,
			noteTokens: () => undefined,
			release: (result) => {
				this.released.push(`${place.name} ${result}`);
			},
		};
	}

	override report() {
		this.released.length = 0;
	}

	override dispose() {
		this.didPreempt.dispose();
	}
}

tap.t.test('a pre-empted stream resumes at the exact token', async (t) => {
	const preempting = new ScriptedPolicy();
	const {clock, runner, recorder, run, start} = startRun(preempting);
	start();
	await clock.advance(1000);
	preempting.didPreempt.fire();
	await clock.advance(60_000);
	t.same(preempting.released, ['one cancelled', 'one answered']);
	t.equal(recorder.summary().long!.outcomes.answered, 1);
	t.equal(run.answeredTokens(), 100);
	t.equal(runner.counts.executions.get('r'), 2);
});

tap.t.test('a hedge runs beside a late attempt, and the loser is cancelled', async (t) => {
	const hedging = new ScriptedPolicy();
	hedging.hedgeAfterMs = 200;
	const {clock, runner, other, recorder, start} = startRun(hedging);
	runner.faults.slowFactor = 100;
	start({workClass: 'short'});
	await clock.advance(60_000);
	t.same(hedging.released, ['one cancelled', 'two answered']);
	t.match(recorder.summary().short!.outcomes, {answered: 1, duplicated: 0});
	t.equal(runner.counts.cancelled, 1);
	t.equal(other.counts.answered, 1);
	t.equal(hedging.latencies.length, 2, 'the age of the loser is learned too');
});

tap.t.test('no hedge after the first token', async (t) => {
	const hedging = new ScriptedPolicy();
	hedging.hedgeAfterMs = 200;
	const {clock, other, start} = startRun(hedging);
	start({workClass: 'short'});
	await clock.advance(60_000);
	t.equal(other.counts.received, 0);
});

tap.t.test('bound work stays in its region', async (t) => {
	const remote = {...upstream, name: 'two', region: 'west'};
	const everywhere = policy.leastInFlightEverywhere.create({
		clock: new manualClock.ManualClock(),
		random: random.createRandom(1),
		region: 'east',
		upstreams: [upstream, remote],
		peers: () => [],
	});
	const item: policy.PolicyItem = {
		workClass: 'short',
		team: 't',
		model: 'model',
		estimatedTokens: 1,
		promptTokens: 1,
		isFirst: true,
		deadlineAtMs: 1,
		canBePreempted: false,
		excluded: new Set<string>(),
	};
	const {signal} = new AbortController();
	const regions = new Set<string>();
	for (let index = 0; index < 20; index++) {
		const bound = await everywhere.acquire({...item, homeRegion: 'east'}, signal);
		t.equal(bound.upstream.region, 'east');
		const free = await everywhere.acquire(item, signal);
		regions.add(free.upstream.region);
	}

	t.ok(regions.has('west'), 'work that is not bound may leave');
});
