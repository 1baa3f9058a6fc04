#!/usr/bin/env node
/** `npm run demo`: a whole deployment in one process, with checks of the required properties. */
// A namespace import lacks the methods of EventEmitter.
import process from 'node:process';
import * as random from '@hawthornfront/base/common/random.js';
import * as log from '@hawthornfront/base/node/log.js';
import * as systemClock from '@hawthornfront/base/node/system-clock.js';
import * as httpClient from '@hawthornfront/base/common/http-client.js';
import * as cac from 'cac';
import * as catalogueEdit from './catalogue-edit.js';
import * as checks from './checks.js';
import * as deployment from './deployment.js';
import * as report from './report.js';
import * as scenario from './scenario.js';
import * as shape from './shape.js';

const defaultSeed = 1;
const maxMetricsBytes = 4_194_304;
const say = (line: string) => {
	process.stdout.write(`${line}\n`);
};

const countCrossings = async (system: deployment.Deployment): Promise<number> => {
	let crossings = 0;
	for (const {daemon, region} of system.entryVms) {
		try {
			const answer = await system.callerClient(region).request({
				peer: daemon.address,
				method: 'GET',
				path: '/metrics',
			});
			const text = await httpClient.readText(answer.body, maxMetricsBytes);
			for (const line of text.split('\n')) {
				if (line.startsWith('hawthornfront_crossings_total{')) {
					crossings += Number(line.slice(line.lastIndexOf(' ') + 1));
				}
			}
		} catch {
			// A daemon that was stopped has taken its counters with it.
		}
	}

	return crossings;
};

const serve = async (system: deployment.Deployment): Promise<void> => {
	for (const {name, daemon} of system.entryVms) {
		say(`${name}  http://${daemon.address}`);
	}

	const [first] = system.entryVms;
	say(
		`try: curl -N http://${first!.daemon.address}/v1/chat/completions ` +
			`-H 'authorization: Bearer ${shape.apiKey(shape.team)}' -H 'hawthornfront-entry: fault-messages' ` +
			"-H 'content-type: application/json' " +
			`-d '{"model":"fault-messages","stream":true,"messages":[{"role":"user","content":"hello"}]}'`,
	);
	await new Promise<void>((resolve) => {
		process.once('SIGINT', resolve);
		process.once('SIGTERM', resolve);
	});
};

const runAndCheck = async (
	system: deployment.Deployment,
	numbers: random.Random,
	editCatalogue: () => Promise<number>,
): Promise<boolean> => {
	const facts = await scenario.runScenario({
		deployment: system,
		random: numbers,
		say,
		editCatalogue,
	});
	say('');
	say(report.renderTable(facts.observations, await countCrossings(system)));
	say('');
	const results = await checks.runChecks(system, facts, scenario.promptOf);
	for (const check of results) {
		say(`${check.isMet ? 'ok    ' : 'FAILED'}  ${check.name}: ${check.detail}`);
	}

	return results.every((check) => check.isMet);
};

/** Runs the command; gives the exit code. */
const run = async (options: {serve?: boolean; seed?: number}): Promise<number> => {
	const numbers = random.createRandom(options.seed ?? defaultSeed);
	const system = await deployment.startDeployment({
		clock: new systemClock.SystemClock(),
		random: numbers.fork(),
		logger: log.createSilentLogger(),
	});
	try {
		const upstreams = [
			...system.runners.map((runner) => ({...runner, service: false})),
			...system.services.map((service) => ({...service, service: true})),
		].map(({name, region, standin, service}) => ({
			name,
			region,
			service,
			address: standin.address,
		}));
		const records = shape.catalogueRecords(upstreams);
		await catalogueEdit.editCatalogue(system, numbers.fork(), [], records);
		await deployment.waitUntilReady(system);
		say(`${system.entryVms.length} entry daemons ready, ${upstreams.length} upstreams`);
		if (options.serve) {
			await serve(system);
			return 0;
		}

		const isMet = await runAndCheck(system, numbers.fork(), async () =>
			catalogueEdit.editCatalogue(
				system,
				numbers.fork(),
				records,
				shape.withLongerDeadline(records),
			),
		);
		return isMet ? 0 : 1;
	} finally {
		await system.close();
	}
};

const cli = cac.cac('hawthornfront-demo');
cli
	.command('', 'Run a whole deployment in this process and check it')
	.option('--serve', 'Keep the deployment running and print its addresses')
	.option('--seed <number>', 'Seed of the random numbers', {default: defaultSeed})
	.action(run);
cli.help();
cli.version('0.1.0');
cli.parse(process.argv, {run: false});
process.exit((await cli.runMatchedCommand()) as number | undefined);
