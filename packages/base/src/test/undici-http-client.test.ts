// Guards against a timeout, after a pause of the process, of a response that is already in the socket buffer.
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
const timeoutMs = 300;
const pauseMs = 600;

const blockLoop = (durationMs: number): void => {
	Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, durationMs);
};

const nextTurn = async (): Promise<void> =>
	new Promise((resolve) => {
		setImmediate(resolve);
	});

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
	const send = async (path: string) => {
		const peer = `127.0.0.1:${port}`;
		const {body} = await client.request({peer, method: 'GET', path, timeoutMs});
		return httpClient.readText(body, 100);
	};

	// The second request reuses the connection of the first, so it is sent immediately.
	t.equal(await send('/'), 'answer');
	const late = send('/late');
	await nextTurn();
	blockLoop(pauseMs);
	t.equal(await late, 'answer');
});
