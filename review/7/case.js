/**
 * Two upstreams become cold again, one shortly after the other. Both say so in their entries
 * at once.
 */
/* eslint camelcase: off -- the names of the platform's wire */
/* eslint unicorn/prefer-top-level-await: off -- requests overlap */
import * as harness from '../lib-2/harness.js';

/** Bounds of the sheet: `cold_s`, `cold_rate_s`, `cold_factor`, `cold_slack`. */
const coldMs = 3000;
const coldRatePerS = 4.6;
const coldFactor = 1.5;
const coldSlack = 3;
/** A cold upstream crashes when it gets more than this multiple of its rate in a second. */
const crashFactor = 3;
const windowMs = 1000;
const upstreamGapMs = 100;
const requestEveryMs = 20;
const workMs = 60;
const settleMs = 6000;
const warmTrafficMs = 5000;

const record = harness.createRecord(harness.folderOf(import.meta.url));
const store = await harness.startStore(record);
store.put(
	'op/config',
	harness.config(
		1,
		[harness.route('ask', '/ask/', {kind: 'unsafe', service: 'model', sticky: true})],
		[
			{
				...harness.service('model'),
				cold_s: coldMs / 1000,
				cold_rate_s: coldRatePerS,
				engine: {slots: 128, kv_capacity: 685_031, stride: 7},
			},
		],
	),
);

const sentAtMs = new Map();

const startRunner = async (id) => {
	const upstream = await harness.startUpstream(record, store, {
		id,
		service: 'model',
		zone: 'north-a',
		workMs,
		slots: 128,
		onRequest(arrival) {
			const isCold = upstream.coldAtMs !== undefined && arrival.atMs < upstream.coldAtMs + coldMs;
			if (isCold) {
				upstream.coldArrivals.push(arrival);
				const recent = upstream.coldArrivals.filter(({atMs}) => atMs > arrival.atMs - windowMs);
				if (recent.length > crashFactor * coldRatePerS && !upstream.hasCrashed) {
					record.note(`${id}: crashes, ${recent.length} requests in a second while it is cold`);
					upstream.hasCrashed = true;
					upstream.crash();
				}
			}

			return false;
		},
	});
	return Object.assign(upstream, {coldAtMs: undefined, coldArrivals: [], hasCrashed: false});
};

const upstreams = [await startRunner('i-a'), await startRunner('i-b')];
const gateways = await harness.startGateways(
	record,
	store,
	['front-1', 'front-2'].map((name) => ({name, zone: 'north-a'})),
	{'north-a': 'north'},
);
await harness.sleep(settleMs);

const answers = [];
const sendUntil = async (untilMs) => {
	for (let turn = 0; Date.now() < untilMs; turn++) {
		const sent = Date.now();
		answers.push(
			harness.send(record, gateways[turn % gateways.length], {
				method: 'POST',
				requestPath: '/ask/2f',
				host: 'shop.example',
				body: `question ${turn}`,
				headers: {
					model: 'm',
					'token-count': '100,10',
					'prompt-prefix': `a${turn % 5}:60,f${turn}:40`,
				},
				onAttempt(attempt) {
					sentAtMs.set(attempt, sent);
				},
			}),
		);
		await harness.sleep(requestEveryMs);
	}
};

const endMs = Date.now() + warmTrafficMs + coldMs;
const traffic = sendUntil(endMs);
await harness.sleep(warmTrafficMs);
if (harness.hasTrouble) {
	for (const upstream of upstreams) {
		upstream.coldAtMs = Date.now();
		record.note(`${upstream.id}: becomes cold`);
		upstream.writeEntry({cold_left_ms: coldMs});
		await harness.sleep(upstreamGapMs);
	}
}

await traffic;
const sent = await Promise.all(answers);

/** Most requests that were sent and arrived inside one second. */
const mostInWindow = (arrivals) => {
	const spans = arrivals.map(({attempt, atMs}) => ({from: sentAtMs.get(attempt), to: atMs}));
	return Math.max(
		0,
		...spans.map(
			({from}) => spans.filter((span) => span.from >= from && span.to <= from + windowMs).length,
		),
	);
};

const allowed = coldRatePerS * coldFactor + coldSlack;
const most = upstreams.map((upstream) => ({
	id: upstream.id,
	count: mostInWindow(
		upstream.coldArrivals.filter(({attempt}) => sentAtMs.get(attempt) >= upstream.coldAtMs),
	),
}));
const lost = sent.filter(({status}) => status === 0 || status === 502).length;
const summary = `most requests in a second while cold: ${most.map(({id, count}) => `${count} at ${id}`).join(', ')}, allowed ${allowed.toFixed(1)}; ${lost} requests were lost in crashes`;
const isBroken = most.some(({count}) => count > allowed);
await (isBroken ? record.broken(summary) : record.held(summary));
