/**
 * Measures the overhead of the intent: the round trip to the witness over loopback
 * HTTP, and `run` with and without a witness. Owner and witness share one event
 * loop here, so the figures include the processor time of both.
 *
 * Run with `node --expose-gc packages/once/dist/node/bench-intent.js`.
 */
import * as http from 'node:http';
import * as process from 'node:process';
import type * as net from 'node:net';
import * as random from '@hawthornfront/base/common/random.js';
import * as systemClock from '@hawthornfront/base/node/system-clock.js';
import * as undiciHttpClient from '@hawthornfront/base/node/undici-http-client.js';
import * as onceMethods from '@hawthornfront/protocol/common/once-methods.js';
import * as rpc from '@hawthornfront/protocol/common/rpc.js';
import * as jsonRpc from '@hawthornfront/protocol/node/json-rpc.js';
import * as h3 from 'h3';
import * as h3Node from 'h3/node';
import * as hdr from 'hdr-histogram-js';
import type * as execution from '../common/execution.js';
import * as keyIssuer from '../common/key-issuer.js';
import * as key from '../common/key.js';
import * as ownerRecords from '../common/owner-records.js';
import * as ownerModule from '../common/owner.js';
import * as registerMethods from '../common/register-methods.js';
import * as settings from '../common/settings.js';
import * as witnessModule from '../common/witness.js';
import * as hmacSigner from './hmac-signer.js';

const warmUpCalls = 1000;
const measuredCalls = 5000;
const concurrencies = [1, 8];
const memoryRecords = settings.defaultSettings.maxOwnerRecords;
const answerBytes = 2000; // a booking confirmation

const clock = new systemClock.SystemClock();
const limits: settings.OnceSettings = {
	...settings.defaultSettings,
	maxOwnerRecords: 1_000_000,
	maxWitnessRecords: 1_000_000,
};

const startWitness = async () => {
	const server = new jsonRpc.JsonRpcServer();
	const self = {name: 'witness', incarnation: 1};
	const witness = witnessModule.createWitness({self, clock, settings: limits});
	registerMethods.registerMethods(server, witness);
	const app = new h3.H3();
	app.post(rpc.rpcPath, async (event) => server.receive(await event.req.text()));
	const httpServer = http.createServer(h3Node.toNodeHandler(app));
	await new Promise<void>((resolve) => {
		httpServer.listen(0, '127.0.0.1', resolve);
	});
	const {port} = httpServer.address() as net.AddressInfo;
	const peer: key.Peer = {...self, address: `127.0.0.1:${port}`};
	return {peer, witness, httpServer};
};

/** Calls `work` repeatedly, `concurrency` at a time, and prints its latency in microseconds. */
const measure = async (name: string, concurrency: number, work: () => Promise<unknown>) => {
	const histogram = hdr.build({numberOfSignificantValueDigits: 3});
	let started = 0;
	const worker = async () => {
		while (started < warmUpCalls + measuredCalls) {
			const isMeasured = started++ >= warmUpCalls;
			const startMs = clock.nowMs();
			await work();
			if (isMeasured) {
				histogram.recordValue(Math.round((clock.nowMs() - startMs) * 1000));
			}
		}
	};

	const cpuBefore = process.cpuUsage();
	await Promise.all(Array.from({length: concurrency}, async () => worker()));
	const cpu = process.cpuUsage(cpuBefore);
	const figures = {
		name,
		concurrency,
		calls: histogram.totalCount,
		medianUs: histogram.getValueAtPercentile(50),
		p99Us: histogram.getValueAtPercentile(99),
		cpuUsPerCall: Math.round((cpu.user + cpu.system) / (warmUpCalls + measuredCalls)),
	};
	process.stdout.write(`${JSON.stringify(figures)}\n`);
};

/** Prints the heap size of a record of an owner and of a witness, measured on full tables. */
const measureMemory = () => {
	const {gc} = globalThis;
	if (!gc) {
		process.stdout.write('memory was not measured; it needs node --expose-gc\n');
		return;
	}

	const self: key.Peer = {name: 'witness', incarnation: 1, address: '127.0.0.1:1'};
	const issuer = keyIssuer.createKeyIssuer({
		self: {...self, name: 'owner'},
		clock,
		random: random.createRandom(1),
		signer: hmacSigner.createHmacSigner(),
		witnesses: () => [self],
		...limits,
	});
	const witness = witnessModule.createWitness({self, clock, settings: limits});
	const records = ownerRecords.createOwnerRecords(limits);
	const measureFill = (name: string, add: (text: string) => void) => {
		gc();
		const before = process.memoryUsage().heapUsed;
		for (let count = 0; count < memoryRecords; count++) {
			add(issuer.issue());
		}

		gc();
		const bytes = Math.round((process.memoryUsage().heapUsed - before) / memoryRecords);
		process.stdout.write(`${JSON.stringify({name, records: memoryRecords, bytes})}\n`);
	};

	measureFill('heap bytes per record of an owner', (text) => {
		records.add(key.parseKey(text)!, 'fingerprint', 0);
	});
	measureFill('heap bytes per record of a witness', (text) => {
		witness.intent({key: text, fingerprint: 'fingerprint', ownerNowMs: 0});
	});
	witness.dispose();
};

const main = async () => {
	measureMemory();
	const {peer, witness, httpServer} = await startWitness();
	const client = new undiciHttpClient.UndiciHttpClient();
	const rpcClient = new jsonRpc.HttpRpcClient(client);
	const self: key.Peer = {name: 'owner', incarnation: 1, address: '127.0.0.1:1'};
	const createIssuer = (witnesses: key.Peer[]) =>
		keyIssuer.createKeyIssuer({
			self,
			clock,
			random: random.createRandom(1),
			signer: hmacSigner.createHmacSigner(),
			witnesses: () => witnesses,
			...limits,
		});
	const execute: execution.Execute = async (markSent) => {
		markSent();
		return {status: 200, headers: {}, body: new Uint8Array(answerBytes)};
	};

	const createRun = (witnesses: key.Peer[]) => {
		const issuer = createIssuer(witnesses);
		const owner = ownerModule.createOwner({self, clock, rpcClient, issuer, settings: limits});
		return {owner, run: async () => owner.run(issuer.issue(), 'fingerprint', execute)};
	};

	const issuer = createIssuer([peer]);
	const recordIntent = async () => {
		const params = {key: issuer.issue(), fingerprint: 'fingerprint', ownerNowMs: issuer.nowMs()};
		const result = await rpcClient.call(peer.address, onceMethods.intent, params);
		if (result.kind !== 'recorded') {
			throw new Error(`the witness refused an intent: ${result.reason}`);
		}
	};

	const unwitnessed = createRun([]);
	const witnessed = createRun([peer]);
	for (const concurrency of concurrencies) {
		await measure('intent round trip', concurrency, recordIntent);
		await measure('run without a witness', concurrency, unwitnessed.run);
		await measure('run with a witness (intent and completion)', concurrency, witnessed.run);
	}

	for (const part of [unwitnessed.owner, witnessed.owner, witness]) {
		part.dispose();
	}

	await client.close();
	httpServer.close();
};

await main();
