/**
 * A prompt part that crashes upstreams stands behind 64 other parts of the prompt. Sound
 * requests share those other parts, as the turns of a long session do.
 */
/* eslint camelcase: off -- the names of the platform's wire */
/* eslint unicorn/prefer-top-level-await: off -- requests overlap */
import * as http from 'node:http';
import * as process from 'node:process';
import * as harness from '../lib-2/harness.js';

const partCount = 70;
/** Position of the harmful part, counted from 0; it is not the last part. */
const harmfulIndex = Number(process.env.HARMFUL_INDEX ?? 66);
const harmfulPart = 'bad0';
const partTokens = 40;
const requestEveryMs = 70;
/** One request in so many has the harmful part. */
const harmfulEvery = 15;
const trafficMs = 40_000;
const firstEventMs = 80;
const crashAfterHeadMs = 10;
const downMs = 2500;
const eventCount = 5;
const eventEveryMs = 50;
/** BUDGET: more requests than this, later than `contact_ms` after the fifth crash, break the rule. */
const contactMs = 5000;
const countedCrash = 5;
const allowedAfterwards = 3;

const record = harness.createRecord(harness.folderOf(import.meta.url));
const store = await harness.startStore(record);
store.put(
	'op/config',
	harness.config(
		1,
		[
			harness.route('draft', '/draft/', {
				kind: 'stream',
				service: 'model',
				timeout_ms: 12_000,
				goal_ms: 1000,
				gap_goal_ms: 600,
				sticky: true,
			}),
		],
		[{...harness.service('model'), engine: {slots: 128, kv_capacity: 685_031, stride: 7}}],
	),
);

const crashesAtMs = [];
const harmfulAtMs = [];

/** Starts a model runner, which is back some seconds after each crash, as a new start. */
const startRunner = async (name) => {
	let boot = 0;
	let port = 0;
	let isClosed = false;
	let current;

	const start = async () => {
		boot++;
		const id = `${name}-${boot}`;
		const entry = {
			service: 'model',
			zone: 'north-a',
			version: 'v1',
			slots: 128,
			state: 'ready',
			cold_left_ms: 0,
			seq: 1,
			born: Date.now(),
		};
		let isUp = true;
		const crash = () => {
			if (!isUp) {
				return;
			}

			isUp = false;
			crashesAtMs.push(Date.now());
			record.note(`${id}: crashes, crash ${crashesAtMs.length}`);
			server.close();
			server.closeAllConnections();
			setTimeout(() => {
				store.remove(`servers/${id}`);
				if (!isClosed) {
					start();
				}
			}, downMs);
		};

		const writeStream = async (response, attempt, isHarmful) => {
			await harness.sleep(firstEventMs);
			response.writeHead(200, {
				'response-stamp': `stamp-${attempt}`,
				'content-type': 'text/event-stream',
			});
			response.flushHeaders();
			if (isHarmful && harness.hasTrouble) {
				await harness.sleep(crashAfterHeadMs);
				crash();
				return;
			}

			for (let event = 1; event <= eventCount && !response.destroyed; event++) {
				response.write(`id: ${event}\ndata: ${attempt}\n\n`);
				await harness.sleep(eventEveryMs);
			}

			response.end();
		};

		const server = http.createServer((request, response) => {
			request.resume();
			request.on('end', () => {
				if (request.url === '/healthz') {
					response.writeHead(200, {'instance-id': id}).end();
					return;
				}

				const attempt = request.headers['attempt-id'];
				response.setHeader('attempt-id', attempt);
				if (request.headers['expect-instance'] !== id) {
					response.writeHead(421, {'instance-id': id}).end();
					return;
				}

				const isHarmful = request.headers['prompt-prefix'].includes(harmfulPart);
				record.note(`${id}: ${isHarmful ? 'harmful' : 'sound'} request ${attempt} arrives`);
				if (isHarmful) {
					harmfulAtMs.push(Date.now());
				}

				writeStream(response, attempt, isHarmful);
			});
		});
		server.keepAliveTimeout = 10_000;
		await new Promise((resolve) => {
			server.listen(port, '127.0.0.1', resolve);
		});
		({port} = server.address());
		current = server;
		store.put(`servers/${id}`, {...entry, address: `127.0.0.1:${port}`});
	};

	await start();
	record.addCleanup(() => {
		isClosed = true;
		current.close();
		current.closeAllConnections();
	});
};

for (const name of ['i-a', 'i-b', 'i-c', 'i-d']) {
	await startRunner(name);
}

const gateways = await harness.startGateways(
	record,
	store,
	['front-1', 'front-2'].map((name) => ({name, zone: 'north-a'})),
	{'north-a': 'north'},
);
await harness.sleep(5000);

const counts = {sound: {}, harmful: {}};
let requests = 0;

const prefixOf = (isHarmful) => {
	const parts = Array.from({length: partCount}, (_, index) => (0xa0_00 + index).toString(16));
	if (isHarmful) {
		parts[harmfulIndex] = harmfulPart;
	}

	// The last part belongs to the request itself.
	parts[partCount - 1] = (0xf0_00_00 + requests).toString(16);
	return parts.map((id) => `${id}:${partTokens}`).join(',');
};

const ask = async (gateway, isHarmful) => {
	requests++;
	const {status} = await harness.send(record, gateway, {
		method: 'POST',
		requestPath: '/draft/2f',
		host: 'shop.example',
		deadlineMs: 5000,
		body: `prompt ${requests}`,
		headers: {
			model: 'm',
			'token-count': `${partCount * partTokens},35`,
			'prompt-prefix': prefixOf(isHarmful),
		},
	});
	const kind = counts[isHarmful ? 'harmful' : 'sound'];
	kind[status] = (kind[status] ?? 0) + 1;
};

const untilMs = Date.now() + trafficMs;
for (let turn = 0; Date.now() < untilMs; turn++) {
	ask(gateways[turn % 2], false);
	if (turn % harmfulEvery === 7) {
		ask(gateways[Math.floor(turn / harmfulEvery) % 2], true);
	}

	await harness.sleep(requestEveryMs);
}

await harness.sleep(3000);
const fromMs = (crashesAtMs[countedCrash - 1] ?? Number.POSITIVE_INFINITY) + contactMs;
const late = harmfulAtMs.filter((atMs) => atMs > fromMs).length;
const summary = `${late} requests with the part reached upstreams later than ${contactMs} ms after crash ${countedCrash}; ${crashesAtMs.length} crashes; answers by status (0: broken off): ${JSON.stringify(counts)}`;
await (late > allowedAfterwards ? record.broken(summary) : record.held(summary));
