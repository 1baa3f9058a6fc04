// Requests that another daemon relays, and refusals of the server itself, over loopback.
import * as net from 'node:net';
import * as tap from 'tap';
import * as answerClassifier from '../common/answer-classifier.js';
import * as headLimits from '../common/head-limits.js';
import * as relayHeaders from '../common/relay-headers.js';
import type * as wireFormat from '../common/wire-format.js';
import * as callerServer from '../node/caller-server.js';
import * as connectionPool from '../node/connection-pool.js';
import * as serverPort from '../node/server-port.js';

const answer: wireFormat.AnswerFacts = {
	isNotRun: false,
	isWrongUpstream: false,
	isSigned: false,
	isEncoded: false,
	isLeaving: false,
};

const start = async (t: tap.Test, port: serverPort.ServerPort, hasRoom = true) => {
	const heads: callerServer.RequestHead[] = [];
	const server = callerServer.createCallerServer(
		() => performance.now(),
		(head) => {
			heads.push(head);
			return head.path === '/none/'
				? {kind: 'reject', status: 404, reason: 'no-route'}
				: {
						kind: 'accept',
						run(_body, reply, onEnd) {
							if (head.path !== '/wait/') {
								reply.start(200, {'x-long': 'y'.repeat(Number(head.headers['x-answer'] ?? 0))});
								reply.end();
								onEnd();
							}

							return {dispose: () => undefined, terminate: () => undefined};
						},
					};
		},
		{note: () => undefined},
		{port, makeRoom: () => hasRoom},
	);
	const probe = net.createServer();
	await new Promise<void>((resolve) => {
		probe.listen(0, '127.0.0.1', resolve);
	});
	const {port: number} = probe.address() as net.AddressInfo;
	await new Promise((resolve) => {
		probe.close(resolve);
	});
	await server.listen('127.0.0.1', number);
	t.teardown(() => {
		server.destroy();
	});
	return {server, heads, number, address: `127.0.0.1:${number}`};
};

/** Sends bytes and reads until the connection closes or the answer is whole. */
const exchange = async (t: tap.Test, port: number, text: string, onSent = () => undefined) =>
	new Promise<string>((resolve) => {
		const socket = net.connect(port, '127.0.0.1', () => {
			socket.write(text);
			setTimeout(onSent, 50);
		});
		let received = '';
		socket.on('data', (bytes) => {
			received += bytes.toString('latin1');
			if (received.includes('\r\n\r\n')) {
				resolve(received);
			}
		});
		socket.on('error', () => undefined);
		socket.on('close', () => {
			resolve(received);
		});
		t.teardown(() => {
			socket.destroy();
		});
	});

const classify = (text: string) => {
	const [statusLine = '', ...lines] = text.split('\r\n\r\n', 1)[0]!.split('\r\n');
	const headers = Object.fromEntries(lines.map((line) => line.split(': ') as [string, string]));
	const status = Number(statusLine.split(' ')[1]);
	const {kind, ...rest} = answerClassifier.classifyAnswer(
		status,
		headers,
		answer,
		undefined,
		false,
	);
	return [status, kind, 'outcome' in rest ? rest.outcome : undefined];
};

const get = (path: string, ...fields: string[]) =>
	[`GET ${path} HTTP/1.1`, 'host: a', ...fields, '', ''].join('\r\n');

// Guards against refusals of another daemon that a caller gets as the answer of an upstream.
tap.t.test('each refusal of the peer port says whether the request has run', async (t) => {
	const {server, number} = await start(t, new serverPort.PeerPort());
	const send = async (text: string, onSent?: () => undefined) =>
		classify(await exchange(t, number, text, onSent));
	t.same(await send(get('/none/')), [404, 'fail', 'not-run']);
	t.same(await send('GET\r\n\r\n'), [400, 'fail', 'not-run']);
	t.same(await send(get('/x/', `x: ${'y'.repeat(100_000)}`)), [431, 'fail', 'not-run']);
	const abort = () => {
		server.abortRequests();
		return undefined;
	};

	t.same(await send(get('/wait/'), abort), [502, 'fail', 'unknown']);
	server.applyLimits({headerBytes: 50, bodyBytes: 10, headerTimeoutMs: 500, idleMs: 15_000});
	t.same(await send(get('/x/', `x: ${'y'.repeat(100)}`)), [431, 'fail', 'not-run']);
	t.same(await send(get('/x/', 'content-length: 20')), [413, 'fail', 'not-run']);
	t.same(await send('GET /x/ HTTP/1.1\r\nhost'), [408, 'fail', 'not-run']);
	const full = await start(t, new serverPort.PeerPort(), false);
	t.same(classify(await exchange(t, full.number, '')), [503, 'fail', 'not-run']);
});

// Guards against a relay that refuses what its caller was allowed to send.
tap.t.test('a head that fills the limit for callers passes the peer port', async (t) => {
	const callers = await start(t, new serverPort.CallerPort());
	const peers = await start(t, new serverPort.PeerPort());
	const longest = (limitBytes: number) =>
		get('/x/', `x: ${'y'.repeat(limitBytes - get('/x/', 'x: ').length - 10)}`);
	const added = `${relayHeaders.teamHeader}: ${'t'.repeat(8000)}`;
	const head = longest(headLimits.callerHeadLimitBytes);
	t.match(await exchange(t, callers.number, head), 'HTTP/1.1 200');
	const relayed = head.replace('\r\n\r\n', `\r\n${added}\r\n\r\n`);
	t.match(await exchange(t, peers.number, relayed), 'HTTP/1.1 200');
});

// Guards against headers that Node.js drops without a word, among them those that a relay adds last.
tap.t.test('headers are kept however many they are', async (t) => {
	const {heads, number} = await start(t, new serverPort.PeerPort());
	const fields = Array.from({length: 4000}, (_, index) => `a: ${index % 10}`);
	const relayed = `${relayHeaders.relayedFromHeader}: north`;
	t.match(await exchange(t, number, get('/x/', ...fields, relayed)), 'HTTP/1.1 200');
	t.equal(heads[0]!.headers[relayHeaders.relayedFromHeader], 'north');
	t.equal(heads[0]!.rawHeaders.length, 2 * (fields.length + 2));
});

// Guards against an answer that is lost because another daemon added headers to it.
tap.t.test('the head of a relayed answer may be longer than that of an upstream', async (t) => {
	const {address} = await start(t, new serverPort.PeerPort());
	const ask = async (headBytes: number, isRelay: boolean) => {
		const pool = new connectionPool.ConnectionPool(() => performance.now());
		t.teardown(() => {
			pool.dispose();
		});
		return new Promise((resolve) => {
			const headers = ['host', 'a', 'x-answer', String(headBytes)];
			pool.send(
				{address, method: 'GET', path: '/x/', headers, needsRecentConnection: true, isRelay},
				{
					onSent: () => undefined,
					onHead: resolve,
					onData: () => undefined,
					onEnd: () => undefined,
					onFailure({detail}) {
						resolve(detail);
					},
				},
			);
		});
	};

	t.equal(await ask(16_000, false), 200);
	t.equal(await ask(17_000, false), 'UND_ERR_HEADERS_OVERFLOW');
	t.equal(await ask(17_000, true), 200);
});
