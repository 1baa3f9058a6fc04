#!/usr/bin/env node
/** `hawthornfront-entry`: the resident daemon of an entry VM. */
import process from 'node:process';
import * as random from '@hawthornfront/base/common/random.js';
import * as log from '@hawthornfront/base/node/log.js';
import * as settings from '@hawthornfront/base/node/settings.js';
import * as systemClock from '@hawthornfront/base/node/system-clock.js';
import * as udpSocket from '@hawthornfront/base/node/udp-socket.js';
import * as undiciHttpClient from '@hawthornfront/base/node/undici-http-client.js';
import * as cac from 'cac';
import * as daemon from './daemon.js';
import * as httpPlatform from './http-platform.js';
import * as entrySettings from './settings.js';

const version = '0.1.0';

const run = async (file: string): Promise<void> => {
	const config = settings.readSettings(file, entrySettings.entrySettingsSchema);
	const {name, host, datagramPort, logLevel} = config.daemon;
	const logger = log.createLogger(logLevel, {program: 'hawthornfront-entry', daemon: name});
	const socket = await udpSocket.bindUdpSocket(host, datagramPort);
	const httpClient = new undiciHttpClient.UndiciHttpClient();
	const running = await daemon.startEntryDaemon({
		settings: config,
		clock: new systemClock.SystemClock(),
		// Only load spreading depends on these numbers, so any seed will do.
		random: random.createRandom(process.pid),
		logger,
		httpClient,
		socket,
		datagramAddress: `${host}:${socket.port}`,
		platform: httpPlatform.createHttpPlatform(httpClient, config.platform),
	});
	const stop = async () => {
		await running.stop();
		socket.dispose();
		await httpClient.close();
	};

	for (const signal of ['SIGINT', 'SIGTERM'] as const) {
		process.once(signal, () => {
			void stop();
		});
	}
};

const fail = (message: string) => {
	process.stderr.write(`hawthornfront-entry: ${message}\n`);
	process.exitCode = 1;
};

const main = async () => {
	const cli = cac.cac('hawthornfront-entry');
	cli.option('--config <file>', 'INI file with the settings of this daemon');
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
