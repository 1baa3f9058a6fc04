#!/usr/bin/env node
/** `hawthornfront-load`: drives live entry daemons with open-loop arrivals. */
import * as fs from 'node:fs';
// A namespace import makes exitCode read-only.
import process from 'node:process';
import * as settings from '@hawthornfront/base/node/settings.js';
import * as systemClock from '@hawthornfront/base/node/system-clock.js';
import * as undiciHttpClient from '@hawthornfront/base/node/undici-http-client.js';
import * as cac from 'cac';
import * as liveRun from '../common/live-run.js';
import * as summary from '../common/summary.js';
import * as textTable from '../common/text-table.js';
import * as loadSettings from './settings.js';

const version = '0.1.0';

const fail = (message: string) => {
	process.stderr.write(`hawthornfront-load: ${message}\n`);
	process.exitCode = 1;
};

const printResult = (result: liveRun.LiveResult): void => {
	const rows = Object.entries(result.classes).map(([name, item]) => ({
		name,
		result: summary.combineClasses([item]),
	}));
	process.stdout.write(`${textTable.formatClasses(rows)}\n`);
	const failures = Object.entries(result.failures).map(
		([status, count]) => `${status === '0' ? 'no answer' : status}: ${count}`,
	);
	if (failures.length > 0) {
		process.stdout.write(`\nFailures by status: ${failures.join(', ')}\n`);
	}
};

const run = async (file: string, output: string | undefined): Promise<void> => {
	const {target, run, work} = settings.readSettings(file, loadSettings.liveSchema);
	const client = new undiciHttpClient.UndiciHttpClient();
	try {
		const result = await liveRun.runLive({
			clock: new systemClock.SystemClock(),
			client,
			seed: run.seed,
			entries: target.entries,
			apiKey: target.apiKey,
			durationMs: run.seconds * 1000,
			work,
		});
		printResult(result);
		if (output !== undefined) {
			fs.writeFileSync(output, `${JSON.stringify(result, undefined, '\t')}\n`);
		}
	} finally {
		await client.close();
	}
};

const runCommand = async (options: {config?: unknown; output?: unknown}): Promise<void> => {
	if (typeof options.config !== 'string') {
		fail('expected --config FILE.ini');
		return;
	}

	try {
		await run(options.config, typeof options.output === 'string' ? options.output : undefined);
	} catch (error) {
		fail(error instanceof Error ? error.message : String(error));
	}
};

const main = async () => {
	const cli = cac.cac('hawthornfront-load');
	cli
		.command('run', 'Drive live entry daemons and print a table')
		.option('--config <file>', 'INI file with [target], [run] and [work-NAME]')
		.option('--output <file>', 'Write the result as JSON')
		.action(runCommand);
	cli.help();
	cli.version(version);
	cli.parse(process.argv, {run: false});
	if (cli.options.help === true || cli.options.version === true) {
		return;
	}

	if (!cli.matchedCommand) {
		fail('expected the command "run"');
		return;
	}

	await cli.runMatchedCommand();
};

await main();
