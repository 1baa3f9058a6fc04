/** A stream that goes on at a third runner leaves out the pieces of a second one that spoilt its answer. */
/* eslint-disable camelcase -- the names of the platform's wire */
import {Buffer} from 'node:buffer';
import http from 'node:http';
import process from 'node:process';
import {startGateway} from '../lib-3/gateway.js';
import {startRunner} from '../lib-3/runner.js';
import {startStore} from '../lib-3/store.js';
import * as world from '../lib-3/world.js';

const zone = 'harju-a';
const runnerCount = 5;
/** How runners garble: three of five, a share of 0.6. */
const garbles = ['break-off', 'spoil', 'spoil'];
/** Of the answers of a garbling runner, one in so many is garbled: 0.05. */
const garbleEvery = 20;
const garbleMs = 6000;
const rounds = 3;
const pauseMs = 3000;
const pieces = 20;
const piecesAWrite = 5;
const writeEveryMs = 40;
const perS = 150;
const maxUpstreams = 3;

const record = world.createRecord(import.meta.dirname);
const network = await world.claimNetwork();
const folder = world.createFolder();
const counts = {runs: 0, brokenOff: 0, spoilt: 0};
const streams = [];

const pieceText = (id) => `id: ${id}\ndata: piece ${id} of the answer\n\n`;

/** Wrong bytes in place of the begin of a line, as of a block that was overwritten. */
const spoil = (text, id) => text.replace(`data: piece ${id} of`, '%#{0};;;@@!!....');

const config = {
	version: 1,
	routes: [
		{
			name: 'panel-question',
			host: 'shop.example',
			prefix: '/question/',
			kind: 'stream',
			timeout_ms: 3000,
			goal_ms: 800,
			priority: 0,
			service: 'udu-model',
			attempts: maxUpstreams,
			sticky: true,
			can_resume: true,
			gap_goal_ms: 600,
			home_regions: [],
		},
	],
	services: [
		{
			name: 'udu-model',
			health_path: '/healthz',
			max_conns: 620,
			engine: {slots: 128, kv_capacity: 685_031, stride: 7},
		},
	],
	limits: {header_bytes: 16_384, body_bytes: 4_194_304, header_timeout_ms: 3000, idle_ms: 15_000},
};

const createRunnerState = () => ({answers: 0, garbled: 0, garble: undefined});
const runners = Array.from({length: runnerCount}, () => createRunnerState());

const mayGarble = ({answers, garbled, garble}, isResumed) =>
	garble === (isResumed ? 'spoil' : 'break-off') && (garbled + 1) * garbleEvery <= answers;

/** Writes the pieces after `Last-Event-Id`, several a write. */
const createHandler =
	(runner) =>
	(request, response, {attempt, id}) => {
		request.resume();
		counts.runs++;
		runner.answers++;
		const last = Number(request.headers['last-event-id'] ?? 0);
		const isResumed = last > 0;
		const isGarbled = mayGarble(runner, isResumed);
		runner.garbled += isGarbled ? 1 : 0;
		const fault = isGarbled ? (isResumed ? 'spoils' : 'breaks off') : 'is sound';
		record(`${attempt} runs at ${id} after piece ${last}; the answer ${fault}`);
		response.writeHead(200, {
			'attempt-id': attempt,
			'response-stamp': attempt,
			'content-type': 'text/event-stream',
		});
		let next = last + 1;
		let isSpoilt = false;
		const timer = setInterval(() => {
			let text = '';
			for (let index = 0; index < piecesAWrite && next <= pieces; index++, next++) {
				text += pieceText(next);
			}

			if (isGarbled && isResumed && !isSpoilt) {
				isSpoilt = true;
				counts.spoilt++;
				text = spoil(text, next - 2);
			}

			if (isGarbled && !isResumed) {
				counts.brokenOff++;
				clearInterval(timer);
				// The last piece is cut.
				response.write(text.slice(0, -10));
				setTimeout(() => response.socket?.resetAndDestroy(), 5);
			} else if (next > pieces) {
				clearInterval(timer);
				response.end(text);
			} else {
				response.write(text);
			}
		}, writeEveryMs);
		response.on('close', () => {
			clearInterval(timer);
		});
	};

const idsOf = (body) => [...body.matchAll(/^id: (\d+)$/gmu)].map(([, id]) => Number(id));

const main = async () => {
	const store = await world.kept(startStore(`${network}.0.1`));
	store.put('op/config', config);
	for (let index = 0; index < runnerCount; index++) {
		await world.kept(
			startRunner(store, {
				id: `i-runner-${index + 1}`,
				service: 'udu-model',
				zone,
				host: `${network}.2.${index + 1}`,
				slots: 128,
				handle: createHandler(runners[index]),
			}),
		);
	}

	const door = await store.openDoor();
	const vm = {name: 'front-harju-a-1', host: `${network}.1.1`, region: 'harju', zone};
	const gateway = await world.kept(
		startGateway(vm, {
			folder,
			zones: {[zone]: 'harju'},
			store: door.address,
			seeds: [vm.host],
		}),
	);
	await world.waitForReady([gateway]);
	await world.sleep(2000);
	const agent = new http.Agent({keepAlive: true});
	const send = async () => {
		const attempt = world.newAttempt();
		const stream = {attempt};
		streams.push(stream);
		record(`${attempt} sent`);
		stream.answer = await world.request({
			at: gateway.callers,
			agent,
			path: '/question/1',
			attempt,
			headers: {
				'deadline-ms': '3000',
				model: 'm',
				'token-count': '1800,140',
				'prompt-prefix': `${attempt.slice(0, 6)}00:568,${attempt.slice(8)}:1232`,
			},
			body: Buffer.from(`question ${attempt}`),
		});
		const {kind, status, detail, body = ''} = stream.answer;
		record(`${attempt} ${kind} ${status ?? detail}, pieces ${idsOf(body).join(' ')}`);
	};

	const timer = setInterval(send, 1000 / perS);
	// Each runner gives some answers first.
	await world.sleep(4000);
	for (let round = 0; round < rounds; round++) {
		const byAnswers = runners.toSorted((a, b) => b.answers - a.answers);
		for (const [index, garble] of garbles.entries()) {
			byAnswers[index].garble = world.isTrouble ? garble : undefined;
		}

		record(`${runners.filter(({garble}) => garble).length} runners garble`);
		await world.sleep(garbleMs);
		for (const runner of runners) {
			runner.garble = undefined;
		}

		record('all runners are sound');
		await world.sleep(pauseMs);
	}

	clearInterval(timer);
	await world.sleep(4000);
	return judge();
};

/** Streams that ended as complete and in which a piece is missing or comes twice. */
const judge = () => {
	const whole = Array.from({length: pieces}, (_, index) => index + 1).join(' ');
	const complete = streams.filter(({answer}) => answer?.kind === 'answer' && answer.status === 200);
	const broken = complete.filter(({answer}) => idsOf(answer.body).join(' ') !== whole);
	for (const {attempt, answer} of broken) {
		record(`broken: ${attempt} ended as complete with the pieces ${idsOf(answer.body).join(' ')}`);
	}

	record(
		`${streams.length} streams, ${complete.length} complete, ${counts.runs} runs, ` +
			`${counts.brokenOff} broken off, ${counts.spoilt} spoilt, ${broken.length} with missing pieces`,
	);
	if (complete.length < streams.length / 2) {
		throw new Error('less than half of the streams were served');
	}

	return broken.length > 0;
};

process.exitCode = await world.runCase(main, record);
