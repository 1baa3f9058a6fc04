// Timeouts of the HTTP client, on loopback servers.
import * as http from 'node:http';
import type * as net from 'node:net';
import * as timers from 'node:timers/promises';
import * as workerThreads from 'node:worker_threads';
import * as tap from 'tap';
import * as httpClient from '../common/http-client.js';
import * as undiciHttpClient from '../node/undici-http-client.js';

/** Runs in a worker thread, because it responds while the event loop of the test is blocked. */
const serverSource = `
const {parentPort} = require('node:worker_threads');
const answer = (response) => () => response.end('answer');
const server = require('node:http').createServer((request, response) => {
	setTimeout(answer(response), request.url === '/late' ? 100 : 0);
});
server.listen(0, '127.0.0.1', () => parentPort.postMessage(server.address().port));
`;
/** For calls that end by their time-out. */
const timeoutMs = 300;
/** For calls that are answered, also on a loaded machine. */
const answerTimeoutMs = 30_000;
const pauseMs = 600;
/** The client may use a connection again after this time. */
const idleAfterMs = 30;

const blockLoop = (durationMs: number): void => {
	Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, durationMs);
};

const nextTurn = async (): Promise<void> =>
	new Promise((resolve) => {
		setImmediate(resolve);
	});

// Guards against a timeout, after a pause of the process, of a response that is already in the socket buffer.
tap.t.test('a response that arrived while the event loop was blocked is read', async (t) => {
	const worker = new workerThreads.Worker(serverSource, {eval: true});
	const port = await new Promise<number>((resolve) => {
		worker.once('message', resolve);
	});
	const client = new undiciHttpClient.UndiciHttpClient();
	t.teardown(async () => {
		await client.close();
		await worker.terminate();
	});
	const send = async (path: string, limitMs: number) => {
		const peer = `127.0.0.1:${port}`;
		const {body} = await client.request({peer, method: 'GET', path, timeoutMs: limitMs});
		return httpClient.readText(body, 100);
	};

	// The second request reuses the connection of the first, so it is sent immediately.
	t.equal(await send('/', answerTimeoutMs), 'answer');
	const late = send('/late', timeoutMs);
	await nextTurn();
	blockLoop(pauseMs);
	t.equal(await late, 'answer');
});

/** Server whose connections can go silent while new ones work. */
const startServer = async (t: tap.Test) => {
	const silent = new Set<net.Socket>();
	const open = new Set<net.Socket>();
	let unanswered = 0;
	const server = http.createServer((request, response) => {
		if (silent.has(request.socket)) {
			unanswered++;
		} else {
			setTimeout(() => {
				response.end('answer');
			}, 20);
		}
	});
	server.on('connection', (socket) => {
		open.add(socket);
	});
	await new Promise<void>((resolve) => {
		server.listen(0, '127.0.0.1', resolve);
	});
	const client = new undiciHttpClient.UndiciHttpClient();
	t.teardown(async () => {
		await client.close();
		server.closeAllConnections();
		server.close();
	});
	const peer = `127.0.0.1:${(server.address() as net.AddressInfo).port}`;
	const send = async (options: Partial<httpClient.HttpRequest> = {}) => {
		const {body} = await client.request({
			peer,
			method: 'GET',
			path: '/',
			timeoutMs: answerTimeoutMs,
			...options,
		});
		return httpClient.readText(body, 100);
	};

	return {
		client,
		send,
		connections: () => open.size,
		/** Requests that arrived on a silent connection. */
		unanswered: () => unanswered,
		/** Silences the open connections, once the client can use them again. */
		async silenceOpen() {
			await timers.setTimeout(idleAfterMs);
			for (const socket of open) {
				silent.add(socket);
			}
		},
	};
};

// Guards against calls that time out one after another, each on a connection that went silent with the first.
tap.t.test('after a timeout, the next request does not wait on an idle connection', async (t) => {
	const {send, silenceOpen, unanswered} = await startServer(t);
	await Promise.all([send(), send(), send()]);
	await silenceOpen();
	await t.rejects(send({timeoutMs}), /no answer within/u);
	t.equal(await send(), 'answer');
	t.equal(unanswered(), 1, 'only the first request went to a silent connection');
});

// Guards against a new call on a silent connection after the caller has given up a call for its silence.
tap.t.test(
	'after a cancelled request, the next one does not wait on an idle connection',
	async (t) => {
		const {send, silenceOpen, unanswered} = await startServer(t);
		await Promise.all([send(), send()]);
		await silenceOpen();
		const controller = new AbortController();
		const cancelled = send({signal: controller.signal});
		setTimeout(() => {
			controller.abort(new Error('given up'));
		}, 50);
		await t.rejects(cancelled, /given up|aborted/u);
		t.equal(await send(), 'answer');
		t.equal(unanswered(), 1, 'only the first request went to a silent connection');
	},
);

tap.t.test('requests in progress survive the timeout of another one', async (t) => {
	const {send, silenceOpen} = await startServer(t);
	await send();
	await silenceOpen();
	const silent = send({timeoutMs: 10});
	const inProgress = send();
	await t.rejects(silent, /no answer within/u);
	t.equal(await inProgress, 'answer');
});

// Guards against a process that ended by an unhandled rejection, of a close of connections that were destroyed already.
tap.t.test(
	'a request that is cancelled as the client closes leaves nothing to reject',
	async (t) => {
		const {send, silenceOpen, client} = await startServer(t);
		await send();
		await silenceOpen();
		const controller = new AbortController();
		const cancelled = send({signal: controller.signal});
		cancelled.catch(() => undefined);
		await timers.setTimeout(idleAfterMs);
		controller.abort(new Error('given up'));
		await client.close();
		await t.rejects(cancelled);
		await timers.setTimeout(idleAfterMs);
	},
);

tap.t.test('a request may close its connection', async (t) => {
	const {send, connections} = await startServer(t);
	t.equal(await send({isConnectionClosed: true}), 'answer');
	t.equal(await send(), 'answer');
	t.equal(connections(), 2);
});
