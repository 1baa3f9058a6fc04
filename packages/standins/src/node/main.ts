#!/usr/bin/env node
/** Entry point of `hawthornfront-standins`: starts stand-ins from an INI file. */
import * as daemonProgram from '@hawthornfront/base/node/daemon-program.js';
import * as log from '@hawthornfront/base/node/log.js';
import * as systemClock from '@hawthornfront/base/node/system-clock.js';
import * as deployment from './deployment.js';
import * as standinSettings from './settings.js';

await daemonProgram.runDaemonProgram({
	name: 'hawthornfront-standins',
	description: 'Start small fakes of the platform and the upstreams, one for each section',
	async start(file) {
		const logger = log.createLogger('info', {program: 'hawthornfront-standins'});
		const sections = standinSettings.readStandinSettings(file);
		const running = await deployment.startDeployment(new systemClock.SystemClock(), sections);
		for (const {kind, name, address} of running.standins) {
			logger.info({kind, name, address}, 'stand-in started');
		}

		return async () => {
			await running.close();
			logger.info('stopped');
		};
	},
});
