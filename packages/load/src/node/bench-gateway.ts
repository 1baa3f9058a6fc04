/**
 * `npm run bench -- gateway`: what an entry daemon adds to a request. The same
 * client talks to the upstream directly and through one daemon, all in this
 * process; the difference in processor time is the cost of the daemon.
 */
import * as crypto from 'node:crypto';
import process from 'node:process';
import * as httpClient from '@hawthornfront/base/common/http-client.js';
import * as random from '@hawthornfront/base/common/random.js';
import * as log from '@hawthornfront/base/node/log.js';
import * as systemClock from '@hawthornfront/base/node/system-clock.js';
import * as udpSocket from '@hawthornfront/base/node/udp-socket.js';
import * as undiciHttpClient from '@hawthornfront/base/node/undici-http-client.js';
import * as schema from '@hawthornfront/catalogue/common/schema.js';
import * as partition from '@hawthornfront/catalogue/node/partition.js';
import * as daemon from '@hawthornfront/entry/node/daemon.js';
import * as httpPlatform from '@hawthornfront/entry/node/http-platform.js';
import * as entrySettings from '@hawthornfront/entry/node/settings.js';
import * as platformStandins from '@hawthornfront/standins/node/platform-standins.js';
import * as runnerStandin from '@hawthornfront/standins/node/runner-standin.js';
import * as serviceStandin from '@hawthornfront/standins/node/service-standin.js';
import * as storeStandin from '@hawthornfront/standins/node/store-standin.js';
import * as hdrHistogram from 'hdr-histogram-js';

const host = '127.0.0.1';
const secret = 'bench-secret';
const answerTokens = 100;
const maxAnswerBytes = 4_194_304;
const readyCheckMs = 50;
const warmUpCalls = 200;

export type GatewayFigures = {
	name: string;
	calls: number;
	/** Added at one call at a time, in milliseconds. */
	addedP50Ms: number;
	addedP99Ms: number;
	/** Processor time of the daemon for one call, in milliseconds. */
	cpuPerCallMs: number;
	callsPerSecondPerCore: number;
};

type Subject = {client: httpClient.HttpClient; daemonAddress: string; close(): Promise<void>};
type Send = (peer: string, isDirect: boolean) => Promise<void>;

const records = (runner: string, service: string): schema.CatalogueRecord[] => [
	schema.teamSchema.parse({
		kind: 'team',
		name: 'bench',
		owner: 'bench',
		keySha256: crypto.createHash('sha256').update(secret).digest('hex'),
		requestsPerSecond: 1e6,
		tokensPerSecond: 1e9,
	}),
	...[
		{name: 'answer', workClass: 'short', target: {kind: 'model', model: 'm'}, idempotent: true},
		{
			name: 'look',
			workClass: 'service',
			target: {kind: 'service', service: 's'},
			idempotent: true,
		},
	].map((entry) =>
		schema.entrySchema.parse({
			kind: 'entry',
			owner: 'bench',
			limits: {requestsPerSecond: 1e6, tokensPerSecond: 1e9, maxInFlight: 1000},
			...entry,
		}),
	),
	...[
		{name: 'runner', type: 'runner', address: runner, models: ['m'], resumesStreams: true},
		{name: 'service', type: 'service', address: service, service: 's'},
	].map((upstream) =>
		schema.upstreamSchema.parse({
			kind: 'upstream',
			region: 'one',
			failureDomain: 'one-1',
			slots: 64,
			...upstream,
		}),
	),
];

const configure = (store: storeStandin.StoreStandin, list: schema.CatalogueRecord[]): void => {
	const parts = partition.splitIntoParts(list);
	for (const part of parts) {
		store.model.compareAndSwap(schema.partKey(part.digest), part.text, 0);
	}

	const root = schema.rootSchema.parse({
		parts: parts.map(({partition: number, digest}) => ({partition: number, digest})),
		operationId: 'bench',
		author: 'bench',
		acceptedAt: '',
	});
	store.model.compareAndSwap(schema.rootKey, JSON.stringify(root), 0);
};

const startSubject = async (): Promise<Subject & {runner: string; service: string}> => {
	const clock = new systemClock.SystemClock();
	const options = {clock, seed: 1};
	const store = await storeStandin.createStoreStandin(options);
	const vmList = await platformStandins.createVmListStandin(options);
	const directory = await platformStandins.createDirectoryStandin(options);
	const runner = await runnerStandin.createRunnerStandin({
		...options,
		settings: {
			model: 'm',
			slots: 64,
			decodeMsPerToken: 1,
			prefillMsPerToken: 0,
			minimumAnswerTokens: answerTokens,
			maximumAnswerTokens: answerTokens,
		},
	});
	const service = await serviceStandin.createServiceStandin({...options, settings: {serviceMs: 0}});
	configure(store, records(runner.address, service.address));
	const client = new undiciHttpClient.UndiciHttpClient();
	const socket = await udpSocket.bindUdpSocket(host, 0);
	const platform = {store: store.address, vmList: vmList.address, directory: directory.address};
	const entry = await daemon.startEntryDaemon({
		settings: entrySettings.entrySettingsSchema.parse({
			daemon: {
				name: 'one',
				region: 'one',
				failureDomain: 'one-1',
				host,
				httpPort: 0,
				datagramPort: 0,
			},
			cluster: {name: 'bench', token: 'bench-token', seeds: ''},
			platform,
		}),
		clock,
		random: random.createRandom(1),
		logger: log.createSilentLogger(),
		httpClient: client,
		socket,
		datagramAddress: `${host}:${socket.port}`,
		platform: httpPlatform.createHttpPlatform(client, platform),
	});
	while (!entry.fleet.isReady()) {
		await clock.sleep(readyCheckMs);
	}

	return {
		client,
		daemonAddress: entry.address,
		runner: runner.address,
		service: service.address,
		async close() {
			entry.crash();
			socket.dispose();
			await client.close();
			await Promise.all(
				[store, vmList, directory, runner, service].map(async (standin) => standin.close()),
			);
		},
	};
};

const cpuMs = (): number => {
	const usage = process.cpuUsage();
	return (usage.user + usage.system) / 1000;
};

const measureLatency = async (send: Send, peer: string, isDirect: boolean, calls: number) => {
	const histogram = hdrHistogram.build({highestTrackableValue: 60_000_000});
	for (let call = 0; call < calls; call++) {
		const startedAtMs = performance.now();
		await send(peer, isDirect);
		histogram.recordValue(Math.round((performance.now() - startedAtMs) * 1000));
	}

	return histogram;
};

const measureCpu = async (
	send: Send,
	peer: string,
	isDirect: boolean,
	calls: number,
	concurrency: number,
): Promise<number> => {
	let remaining = calls;
	const startMs = cpuMs();
	const work = async () => {
		while (remaining-- > 0) {
			await send(peer, isDirect);
		}
	};

	await Promise.all(Array.from({length: concurrency}, work));
	return (cpuMs() - startMs) / calls;
};

const compare = async (
	name: string,
	send: Send,
	peers: {direct: string; daemon: string},
	calls: number,
): Promise<GatewayFigures> => {
	await measureLatency(send, peers.direct, true, Math.min(calls, warmUpCalls));
	await measureLatency(send, peers.daemon, false, Math.min(calls, warmUpCalls));
	const direct = await measureLatency(send, peers.direct, true, calls);
	const through = await measureLatency(send, peers.daemon, false, calls);
	const concurrency = 16;
	const directCpuMs = await measureCpu(send, peers.direct, true, calls, concurrency);
	const throughCpuMs = await measureCpu(send, peers.daemon, false, calls, concurrency);
	const added = (percentile: number) =>
		(through.getValueAtPercentile(percentile) - direct.getValueAtPercentile(percentile)) / 1000;
	const cpuPerCallMs = throughCpuMs - directCpuMs;
	return {
		name,
		calls,
		addedP50Ms: added(50),
		addedP99Ms: added(99),
		cpuPerCallMs,
		callsPerSecondPerCore: 1000 / cpuPerCallMs,
	};
};

const describe = (figures: GatewayFigures): string =>
	`${figures.name}: ${figures.calls} calls, added p50 ${figures.addedP50Ms.toFixed(2)} ms, ` +
	`p99 ${figures.addedP99Ms.toFixed(2)} ms; ${figures.cpuPerCallMs.toFixed(3)} ms of processor ` +
	`time a call, ${figures.callsPerSecondPerCore.toFixed(0)} calls/s per core`;

/** Runs the measurement and prints one line for each kind of request. */
export const runGatewayBench = async (options: {
	isQuick: boolean;
	print: (line: string) => void;
}): Promise<GatewayFigures[]> => {
	const subject = await startSubject();
	const headers = {authorization: `Bearer bench.${secret}`, 'content-type': 'application/json'};
	const call = async (request: httpClient.HttpRequest) => {
		const answer = await subject.client.request(request);
		const text = await httpClient.readText(answer.body, maxAnswerBytes);
		if (answer.status !== 200) {
			throw new Error(`status ${answer.status}: ${text}`);
		}
	};

	const look: Send = async (peer, isDirect) =>
		call({peer, method: 'GET', path: isDirect ? '/x' : '/v1/services/look/x', headers});
	const stream: Send = async (peer, isDirect) =>
		call({
			peer,
			method: 'POST',
			path: '/v1/chat/completions',
			headers,
			body: JSON.stringify({
				model: isDirect ? 'm' : 'answer',
				stream: true,
				messages: [{role: 'user', content: 'hello'}],
			}),
		});
	const factor = options.isQuick ? 0.2 : 1;
	const {daemonAddress, service, runner} = subject;
	try {
		const results = [
			await compare('service call', look, {direct: service, daemon: daemonAddress}, 3000 * factor),
			await compare(
				`stream of ${answerTokens} tokens`,
				stream,
				{direct: runner, daemon: daemonAddress},
				200 * factor,
			),
		];
		for (const figures of results) {
			options.print(describe(figures));
		}

		return results;
	} finally {
		await subject.close();
	}
};
