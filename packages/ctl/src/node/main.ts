#!/usr/bin/env node
/** Entry point of `hawthornfront-ctl`. */
import * as crypto from 'node:crypto';
import process from 'node:process';
import * as random from '@hawthornfront/base/common/random.js';
import * as systemClock from '@hawthornfront/base/node/system-clock.js';
import * as undiciHttpClient from '@hawthornfront/base/node/undici-http-client.js';
import * as httpKeyValueStore from '@hawthornfront/platform/node/http-key-value-store.js';
import * as run from './run.js';

const http = new undiciHttpClient.UndiciHttpClient();
process.exitCode = await run.run(
	{
		clock: new systemClock.SystemClock(),
		random: random.createRandom(crypto.randomInt(2 ** 31)),
		http,
		openStore: (address) => new httpKeyValueStore.HttpKeyValueStore(http, address),
		createOperationId: () => crypto.randomUUID(),
		print(line) {
			process.stdout.write(`${line}\n`);
		},
		printError(line) {
			process.stderr.write(`${line}\n`);
		},
	},
	process.argv.slice(2),
);
await http.close();
