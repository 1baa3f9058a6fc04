/* eslint camelcase: 'off' -- names of the platform's wire */
/**
 * The channel on which a daemon waits for changes of the runners goes silent. A runner
 * that reports that it leaves afterwards must get no further requests after `drain_ms`.
 */
import path from 'node:path';
import process from 'node:process';
import timers from 'node:timers/promises';
import url from 'node:url';
import * as harness from '../lib/harness.js';

// Bounds of the small sites.
const drainMs = 3000;
const contactMs = 5000;
/** Traffic starts this long after the daemons. */
const leadMs = 12_000;
/** Time between the end of `contact_ms` and the report of the runner. */
const afterContactMs = 500;
const observedMs = 11_000;
const requestGapMs = 40;
const serviceMs = 60;
const hasTrouble = process.env.TROUBLE !== '0';

const folder = path.dirname(url.fileURLToPath(import.meta.url));
const record = harness.createRecord(path.join(folder, 'record.txt'));
const cleanUps = [];

const answer = (request, response) => {
	setTimeout(() => {
		response.writeHead(200, {
			'attempt-id': request.headers['attempt-id'],
			'response-stamp': 'stamp',
			'content-length': 2,
		});
		response.end('ok');
	}, serviceMs);
};

/** Silences the channel on which each daemon that watches the runners waits for their changes. */
const silenceWatches = async (proxies, daemons) => {
	const untilMs = harness.nowMs() + 1000;
	const silenced = new Set();
	while (harness.nowMs() < untilMs) {
		for (const [index, proxy] of proxies.entries()) {
			const [call] = silenced.has(index)
				? []
				: proxy.silence((line) => line.includes('/api/kv-watch?prefix=servers'));
			if (call) {
				silenced.add(index);
				record.note(`an open channel of ${daemons[index].name} to the store goes silent: ${call}`);
			}
		}

		await timers.setTimeout(5);
	}

	return silenced.size;
};

const play = async () => {
	const {network} = harness;
	const zones = ['harju-a', 'harju-a', 'harju-a'];
	const store = await harness.startStore(`${network}.0.1`, record);
	cleanUps.push(store.close);
	const proxies = [];
	for (const [index] of zones.entries()) {
		const proxy = await harness.startProxy(`${network}.0.${10 + index}`, store.address);
		cleanUps.push(proxy.close);
		proxies.push(proxy);
	}

	store.put(
		'op/config',
		harness.createConfig(
			1,
			[{name: 'stock', prefix: '/stock/', kind: 'safe', attempts: 2, service: 'desk'}],
			[{name: 'desk', max_conns: 100}],
		),
	);
	const upstreams = [];
	for (const id of ['i-1', 'i-2', 'i-3']) {
		const options = {id, service: 'desk', zone: 'harju-a', store, record, answer};
		const upstream = await harness.startUpstream({host: `${network}.0.2`, ...options});
		cleanUps.push(upstream.close);
		upstreams.push(upstream);
	}

	const storeAddressOf = (index) => proxies[index].address;
	const fleet = await harness.startDaemons({zones, network, storeAddressOf, record});
	cleanUps.push(fleet.close);
	await fleet.whenReady();
	await timers.setTimeout(leadMs);

	const requests = [];
	const end = new AbortController();
	const sendLoad = async () => {
		while (!end.signal.aborted) {
			for (const daemon of fleet.daemons) {
				const request = {path: '/stock/depot', deadlineMs: 1500, record};
				requests.push(harness.sendRequest(daemon, request));
			}

			await timers.setTimeout(requestGapMs);
		}
	};

	const load = sendLoad();
	if (hasTrouble && (await silenceWatches(proxies, fleet.daemons)) === 0) {
		throw new Error('no daemon watches the runners');
	}

	await timers.setTimeout(contactMs + afterContactMs);
	const leaving = upstreams[0];
	const ackedMs = leaving.drain();
	await timers.setTimeout(observedMs);
	end.abort();
	await load;
	const answered = await Promise.all(requests);
	const ok = answered.filter(({status}) => status === 200).length;
	if (ok < answered.length / 2 || leaving.arrivals.length === 0) {
		throw new Error(`only ${ok} of ${answered.length} requests were served`);
	}

	const late = leaving.arrivals.filter(({atMs}) => atMs > ackedMs + drainMs);
	record.note(
		`${late.length} requests reached ${leaving.id} later than ${drainMs} ms after the ack` +
			(late.length > 0 ? `, the last one ${late.at(-1).atMs - ackedMs} ms after it` : ''),
	);
	return late.length > 0;
};

process.exitCode = await harness.runCase(play, record, cleanUps);
