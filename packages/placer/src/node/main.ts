#!/usr/bin/env node
/** Entry point of `hawthornfront-placer`. */
import process from 'node:process';
import * as log from '@hawthornfront/base/node/log.js';
import * as settings from '@hawthornfront/base/node/settings.js';
import * as systemClock from '@hawthornfront/base/node/system-clock.js';
import * as undiciHttpClient from '@hawthornfront/base/node/undici-http-client.js';
import * as cac from 'cac';
import * as placerProcess from './placer-process.js';
import * as placerSettings from './settings.js';

const usageExitCode = 2;
const version = '0.1.0';

const start = async (file: string): Promise<void> => {
	const ini = settings.readSettings(file, placerSettings.placerSettingsSchema);
	const {name, region} = ini.placer;
	const logger = log.createLogger(ini.placer.logLevel, {placer: name, region});
	const http = new undiciHttpClient.UndiciHttpClient();
	const running = await placerProcess.startPlacer({
		clock: new systemClock.SystemClock(),
		http,
		logger,
		settings: ini,
	});
	logger.info({port: running.port}, 'started');
	const stop = async () => {
		await running.stop();
		await http.close();
		logger.info('stopped');
	};

	for (const signal of ['SIGTERM', 'SIGINT'] as const) {
		process.once(signal, () => {
			void stop();
		});
	}
};

try {
	const cli = cac.cac('hawthornfront-placer');
	cli
		.command('', 'Keep the runners of one region at the models that are in demand')
		.option('--config <file>', 'Settings in INI format')
		.action(async (options: {config?: string}) => {
			if (options.config === undefined) {
				throw new Error('expected --config FILE.ini');
			}

			await start(String(options.config));
		});
	cli.help();
	cli.version(version);
	cli.parse(process.argv, {run: false});
	await cli.runMatchedCommand();
} catch (error) {
	const message = error instanceof Error ? error.message : String(error);
	process.stderr.write(`hawthornfront-placer: ${message.replaceAll(/\s*\n\s*/gu, ' ')}\n`);
	process.exitCode = usageExitCode;
}
