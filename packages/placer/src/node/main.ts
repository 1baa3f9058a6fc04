#!/usr/bin/env node
/** Entry point of `hawthornfront-placer`. */
import * as daemonProgram from '@hawthornfront/base/node/daemon-program.js';
import * as log from '@hawthornfront/base/node/log.js';
import * as settings from '@hawthornfront/base/node/settings.js';
import * as systemClock from '@hawthornfront/base/node/system-clock.js';
import * as undiciHttpClient from '@hawthornfront/base/node/undici-http-client.js';
import * as placerProcess from './placer-process.js';
import * as placerSettings from './settings.js';

await daemonProgram.runDaemonProgram({
	name: 'hawthornfront-placer',
	description: 'Keep the runners of one region at the models that are in demand',
	async start(file) {
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
		return async () => {
			await running.stop();
			await http.close();
			logger.info('stopped');
		};
	},
});
