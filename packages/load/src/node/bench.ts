#!/usr/bin/env node
/**
 * `npm run bench`: scheduling policies on virtual time, with results under
 * `bench/results/`. `--quick` runs fewer seeds and less virtual time.
 */
import * as fs from 'node:fs';
import * as path from 'node:path';
// A namespace import makes exitCode read-only.
import process from 'node:process';
import * as benchControl from '@hawthornfront/fleet/node/bench-control.js';
import * as cac from 'cac';
import * as benchmark from '../common/benchmark.js';
import * as htmlReport from '../common/html-report.js';
import * as policy from '../common/policy.js';
import * as projectPolicy from '../common/project-policy.js';
import * as scenarios from '../common/scenarios.js';
import type * as summary from '../common/summary.js';
import * as targets from '../common/targets.js';
import * as textTable from '../common/text-table.js';
import * as benchEngines from './bench-engines.js';
import * as benchGateway from './bench-gateway.js';
import * as benchLogging from './bench-logging.js';
import * as benchPauses from './bench-pauses.js';
import * as benchQuotas from './bench-quotas.js';

const fullPlan = {seeds: 5, durationMs: 360_000};
const quickPlan = {seeds: 2, durationMs: 120_000};

const baselines = [
	policy.roundRobin,
	policy.leastInFlight,
	policy.roundRobinEverywhere,
	policy.leastInFlightEverywhere,
	policy.leastInFlightWithPriority,
];

type Options = {
	quick: boolean;
	seeds: number;
	durationMs: number;
	output: string;
	only: string;
	overrides: projectPolicy.ProjectOverrides;
};

const print = (text: string) => {
	process.stdout.write(`${text}\n`);
};

const writeResults = (
	options: Options,
	facts: Record<string, string>,
	results: readonly summary.PolicyResult[],
	judgements: readonly targets.Judgement[],
): void => {
	fs.mkdirSync(options.output, {recursive: true});
	const json = JSON.stringify({facts, results, judgements}, undefined, '\t');
	fs.writeFileSync(path.join(options.output, 'scheduling.json'), `${json}\n`);
	const page = htmlReport.renderReport({
		title: 'Scheduling policies on virtual time',
		facts,
		results,
		judgements,
	});
	fs.writeFileSync(path.join(options.output, 'scheduling.html'), page);
};

const run = async (options: Options): Promise<void> => {
	const startedAtMs = performance.now();
	const chosen = scenarios
		.createScenarios(options.durationMs)
		.filter((scenario) => scenario.name.includes(options.only));
	const seeds = Array.from({length: options.seeds}, (_, index) => index + 1);
	let previousAtMs = startedAtMs;
	const results = await benchmark.runBenchmark({
		scenarios: chosen,
		policies: [...baselines, projectPolicy.createProjectPolicy(options.overrides)],
		seeds,
		onResult(result) {
			const nowMs = performance.now();
			print(
				`${result.scenario}; ${result.policy}: ${((nowMs - previousAtMs) / 1000).toFixed(1)} s`,
			);
			previousAtMs = nowMs;
		},
	});
	const judgements = targets.judge(results);
	const facts = {
		'Virtual time of arrivals': `${options.durationMs / 1000} s`,
		Seeds: seeds.join(', '),
		'Running time': `${((performance.now() - startedAtMs) / 1000).toFixed(1)} s`,
		Node: process.version,
	};
	for (const scenario of chosen) {
		print(`\n${scenario.name}`);
		print(textTable.formatScenario(results.filter((item) => item.scenario === scenario.name)));
	}

	print('\nTargets, medians over the seeds against the better baseline of the same run');
	print(textTable.formatJudgements(judgements));
	print(
		`\n${Object.entries(facts)
			.map(([name, value]) => `${name}: ${value}`)
			.join('; ')}`,
	);
	writeResults(options, facts, results, judgements);
	print(`Written to ${options.output}`);
};

/** Reads `part.key=value` settings. @throws Error for other text. */
const parseOverrides = (given: unknown): projectPolicy.ProjectOverrides => {
	const overrides: Record<string, Record<string, unknown>> = {};
	const texts = given === undefined ? [] : [given].flat().map(String);
	for (const text of texts) {
		const match = /^(scheduler|hedge|region)\.(\w+)=(.+)$/u.exec(text);
		if (!match) {
			throw new Error(`expected --set scheduler|hedge|region.KEY=VALUE, got "${text}"`);
		}

		const [, part, key, value] = match as unknown as [string, string, string, string];
		overrides[part] = {...overrides[part], [key]: value};
	}

	return overrides;
};

const main = async () => {
	const cli = cac.cac('bench');
	cli.option('--quick', 'Fewer seeds and less virtual time');
	cli.option('--seeds <count>', 'Number of seeds');
	cli.option('--duration <seconds>', 'Virtual time during which requests arrive');
	cli.option('--only <text>', 'Scenarios whose name contains this text');
	cli.option('--set <setting>', 'Setting of the project, like scheduler.preemptAfterMs=500');
	cli.option('--output <directory>', 'Directory of the results', {default: 'bench/results'});
	cli.help();
	const {options, args} = cli.parse();
	if (options.help === true) {
		return;
	}

	if (args[0] === 'control') {
		await benchControl.runControlBench({isQuick: options.quick === true, print});
		return;
	}

	if (args[0] === 'gateway') {
		await benchGateway.runGatewayBench({isQuick: options.quick === true, print});
		return;
	}

	if (args[0] === 'engines') {
		benchEngines.runEngineBench({isQuick: options.quick === true, print});
		return;
	}

	if (args[0] === 'pauses') {
		benchPauses.runPauseBench({isQuick: options.quick === true, print});
		return;
	}

	if (args[0] === 'quotas') {
		benchQuotas.runQuotaBench({isQuick: options.quick === true, print});
		return;
	}

	if (args[0] === 'logging') {
		await benchLogging.runLoggingBench({isQuick: options.quick === true, print});
		return;
	}

	if (args.length > 0) {
		process.stderr.write(`bench: unknown experiment "${args.join(' ')}"\n`);
		process.exitCode = 1;
		return;
	}

	const plan = options.quick === true ? quickPlan : fullPlan;
	await run({
		quick: options.quick === true,
		seeds: Number(options.seeds ?? plan.seeds),
		durationMs: Number(options.duration ?? plan.durationMs / 1000) * 1000,
		output: String(options.output),
		only: String(options.only ?? ''),
		overrides: parseOverrides(options.set),
	});
};

await main();
