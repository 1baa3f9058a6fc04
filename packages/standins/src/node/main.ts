#!/usr/bin/env node
/** `hawthornfront-standins`: starts stand-ins from an INI file. */
// A namespace import lacks the methods of EventEmitter and makes exitCode read-only.
import process from 'node:process';
import * as log from '@hawthornfront/base/node/log.js';
import * as systemClock from '@hawthornfront/base/node/system-clock.js';
import * as cac from 'cac';
import * as deployment from './deployment.js';
import * as standinSettings from './settings.js';

const version = '0.1.0';

const run = async (file: string): Promise<void> => {
	const logger = log.createLogger('info', {program: 'hawthornfront-standins'});
	const sections = standinSettings.readStandinSettings(file);
	const running = await deployment.startDeployment(new systemClock.SystemClock(), sections);
	for (const {kind, name, address} of running.standins) {
		logger.info({kind, name, address}, 'stand-in started');
	}

	const stop = async () => {
		await running.close();
		logger.info('stopped');
	};

	for (const signal of ['SIGINT', 'SIGTERM'] as const) {
		process.once(signal, () => {
			void stop();
		});
	}
};

const fail = (message: string) => {
	process.stderr.write(`hawthornfront-standins: ${message}\n`);
	process.exitCode = 1;
};

const main = async () => {
	const cli = cac.cac('hawthornfront-standins');
	cli.option('--config <file>', 'INI file; one section for each stand-in');
	cli.help();
	cli.version(version);
	const {options} = cli.parse();
	if (options.help === true || options.version === true) {
		return;
	}

	if (typeof options.config !== 'string') {
		fail('expected --config FILE.ini');
		return;
	}

	try {
		await run(options.config);
	} catch (error) {
		fail(error instanceof Error ? error.message : String(error));
	}
};

await main();
