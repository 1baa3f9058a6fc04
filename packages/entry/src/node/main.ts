#!/usr/bin/env node
/** Entry point of `hawthornfront-entry`, the daemon of an entry VM. */
import * as process from 'node:process';
import * as random from '@hawthornfront/base/common/random.js';
import * as daemonProgram from '@hawthornfront/base/node/daemon-program.js';
import * as log from '@hawthornfront/base/node/log.js';
import * as settings from '@hawthornfront/base/node/settings.js';
import * as systemClock from '@hawthornfront/base/node/system-clock.js';
import * as udpSocket from '@hawthornfront/base/node/udp-socket.js';
import * as undiciHttpClient from '@hawthornfront/base/node/undici-http-client.js';
import * as daemon from './daemon.js';
import * as httpPlatform from './http-platform.js';
import * as entrySettings from './settings.js';

await daemonProgram.runDaemonProgram({
	name: 'hawthornfront-entry',
	description: 'Serve callers on an entry VM',
	async start(file) {
		const config = settings.readSettings(file, entrySettings.entrySettingsSchema);
		const {name, host, datagramPort, logLevel} = config.daemon;
		const logger = log.createLogger(logLevel, {program: 'hawthornfront-entry', daemon: name});
		const socket = await udpSocket.bindUdpSocket(host, datagramPort);
		const httpClient = new undiciHttpClient.UndiciHttpClient();
		const running = await daemon.startEntryDaemon({
			settings: config,
			clock: new systemClock.SystemClock(),
			// Any seed is sufficient: the numbers spread load, and keys are signed with a separate secret.
			random: random.createRandom(process.pid),
			logger,
			httpClient,
			socket,
			datagramAddress: `${host}:${socket.port}`,
			platform: httpPlatform.createHttpPlatform(httpClient, config.platform),
		});
		return async () => {
			await running.stop();
			socket.dispose();
			await httpClient.close();
		};
	},
});
