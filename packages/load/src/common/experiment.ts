/** Runs one scenario under one policy on virtual time. */
import * as manualClock from '@hawthornfront/base/common/manual-clock.js';
import * as randomModule from '@hawthornfront/base/common/random.js';
import type * as schema from '@hawthornfront/catalogue/common/schema.js';
import * as runnerModel from '@hawthornfront/standins/common/runner-model.js';
import * as runnerTypes from '@hawthornfront/standins/common/runner-types.js';
import * as measures from './measures.js';
import type * as policyModule from './policy.js';
import * as prompts from './prompts.js';
import * as requestRun from './request-run.js';
import type * as scenarios from './scenarios.js';
import * as workload from './workload.js';

// Entry daemons poll the load of the runners of their region at this rate.
const reportPeriodMs = 1000;

// After the last arrival, answers get this long to end.
const drainMs = 600_000;

export type RunResult = {
	classes: Record<string, measures.ClassSummary>;
	cost: measures.Cost;
	/** Share of requests sent to another region. */
	remoteShare: number;
};

export type RunOptions = {
	scenario: scenarios.Scenario;
	policy: policyModule.PolicyFactory;
	seed: number;
};

type Runner = {upstream: schema.Upstream; model: runnerModel.RunnerModel};

type Region = {
	setup: scenarios.RegionSetup;
	runners: Runner[];
	policies: policyModule.Policy[];
	work: workload.WorkRequest[];
};

const createUpstream = (region: string, index: number, slots: number): schema.Upstream => ({
	kind: 'upstream',
	name: `${region}-runner-${index}`,
	type: 'runner',
	region,
	failureDomain: `${region}-1`,
	address: `127.0.0.1:${index + 1}`,
	models: [prompts.modelName],
	slots,
	checksFencing: true,
	resumesStreams: true,
	oldSetup: false,
});

const createRegion = (
	options: RunOptions,
	clock: manualClock.ManualClock,
	random: randomModule.Random,
	setup: scenarios.RegionSetup,
): Region => {
	const {scenario} = options;
	// Work is drawn first, so that every policy gets the same.
	const work = workload.createWork(random.fork(), setup.name, setup.load);
	const settings = {...prompts.runnerSettings, ...scenario.runner, model: prompts.modelName};
	const runners = Array.from({length: setup.runners}, (_, index) => ({
		upstream: createUpstream(setup.name, index, settings.slots ?? 8),
		model: runnerModel.createRunnerModel({clock, seed: random.integer(1, 2 ** 30), settings}),
	}));
	return {setup, runners, policies: [], work};
};

/** Every policy knows the upstreams of all regions; most use those of their own. */
const createPolicies = (
	options: RunOptions,
	clock: manualClock.ManualClock,
	random: randomModule.Random,
	regions: readonly Region[],
): void => {
	const upstreams = regions.flatMap((region) => region.runners.map((runner) => runner.upstream));
	const peers = (name: string) =>
		regions.find((region) => region.setup.name === name)?.policies ?? [];
	for (const region of regions) {
		for (let index = 0; index < region.setup.entries; index++) {
			const context = {
				clock,
				random: random.fork(),
				region: region.setup.name,
				upstreams,
				peers,
			};
			region.policies.push(options.policy.create(context));
		}
	}
};

const startReports = (clock: manualClock.ManualClock, regions: readonly Region[]) =>
	clock.setPeriodicTimer(() => {
		for (const region of regions) {
			for (const runner of region.runners) {
				const load = runner.model.load();
				for (const policy of region.policies) {
					policy.report(runner.upstream.name, load);
				}
			}
		}
	}, reportPeriodMs);

const startSlowdowns = (
	clock: manualClock.ManualClock,
	random: randomModule.Random,
	runners: readonly Runner[],
	slowdown: scenarios.Slowdown,
) =>
	clock.setPeriodicTimer(() => {
		const count = Math.max(1, Math.round(runners.length * slowdown.share));
		const candidates = [...runners];
		for (let index = 0; index < count; index++) {
			const chosen = candidates.splice(random.integer(0, candidates.length - 1), 1)[0]!;
			chosen.model.faults.slowFactor = slowdown.factor;
			clock.setTimer(() => {
				chosen.model.faults.slowFactor = 1;
			}, slowdown.durationMs);
		}
	}, slowdown.periodMs);

/** Starts each request at its intended time, whatever became of the earlier ones. */
const startArrivals = (
	clock: manualClock.ManualClock,
	region: Region,
	models: ReadonlyMap<string, runnerModel.RunnerModel>,
	run: requestRun.RequestRun,
): void => {
	let index = 0;
	// One timer at a time, since the clock looks through all pending timers.
	const next = () => {
		const request = region.work[index];
		if (!request) {
			return;
		}

		clock.setTimer(() => {
			const entry = region.policies[index % region.policies.length]!;
			index++;
			run.start(request, entry, models);
			next();
		}, request.arrivesAtMs - clock.nowMs());
	};

	next();
};

const totalCost = (
	runners: readonly Runner[],
	answeredTokens: number,
	firstPrefillTokens: number,
): measures.Cost => {
	const cost = {
		busySlotMs: 0,
		tokensGenerated: 0,
		prefillTokensComputed: 0,
		tokensGeneratedAgain: 0,
		prefillTokensComputedAgain: 0,
		cancelled: 0,
	};
	for (const {model} of runners) {
		cost.busySlotMs += model.counts.busySlotMs;
		cost.tokensGenerated += model.counts.tokensGenerated;
		cost.prefillTokensComputed += model.counts.prefillTokensComputed;
		cost.cancelled += model.counts.cancelled;
	}

	cost.tokensGeneratedAgain = cost.tokensGenerated - answeredTokens;
	cost.prefillTokensComputedAgain = cost.prefillTokensComputed - firstPrefillTokens;
	return cost;
};

/** Runs until every answer has ended or the time to drain is over. */
export const runExperiment = async (options: RunOptions): Promise<RunResult> => {
	const {scenario, policy, seed} = options;
	const clock = new manualClock.ManualClock();
	const random = randomModule.createRandom(seed);
	const slowRandom = random.fork();
	const regions = scenario.regions.map((setup) =>
		createRegion(options, clock, random.fork(), setup),
	);
	createPolicies(options, clock, random.fork(), regions);
	const recorder = measures.createRecorder();
	const reports = startReports(clock, regions);
	const allRunners = regions.flatMap((region) => region.runners);
	const slowdowns = scenario.slowdown
		? startSlowdowns(clock, slowRandom, allRunners, scenario.slowdown)
		: undefined;

	const {prefillMsPerToken, decodeMsPerToken} = {
		...runnerTypes.defaultRunnerSettings,
		...scenario.runner,
	};
	const run = requestRun.createRequestRun({
		clock,
		policy,
		recorder,
		aloneMs(request) {
			const promptTokens = request.sharedPromptTokens + request.ownPromptTokens;
			return promptTokens * prefillMsPerToken + request.outputTokens * decodeMsPerToken;
		},
	});
	const models = new Map(allRunners.map((item) => [item.upstream.name, item.model]));
	for (const region of regions) {
		startArrivals(clock, region, models, run);
	}

	const durationMs = Math.max(...scenario.regions.map((setup) => setup.load.durationMs));
	await clock.advance(durationMs);
	slowdowns?.dispose();
	for (let waitedMs = 0; run.inProgress() > 0 && waitedMs < drainMs; waitedMs += reportPeriodMs) {
		await clock.advance(reportPeriodMs);
	}

	run.abandon();
	reports.dispose();
	for (const region of regions) {
		for (const entry of region.policies) {
			entry.dispose();
		}
	}

	const firstPrefillTokens = prompts.firstPrefillTokens(regions.flatMap((region) => region.work));
	const cost = totalCost(allRunners, run.answeredTokens(), firstPrefillTokens);
	for (const {model} of allRunners) {
		model.dispose();
	}

	return {classes: recorder.summary(), cost, remoteShare: run.remoteShare()};
};
