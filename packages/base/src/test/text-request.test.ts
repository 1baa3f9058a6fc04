// Servers that never end the body of an answer, over loopback.
import * as workerThreads from 'node:worker_threads';
import * as tap from 'tap';
import * as httpClient from '../common/http-client.js';
import * as textRequest from '../node/text-request.js';
import * as undiciHttpClient from '../node/undici-http-client.js';
import * as endlessUpstream from './endless-upstream.js';

const head = 'HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n';

const createClient = (t: tap.Test) => {
	const client = new undiciHttpClient.UndiciHttpClient();
	t.teardown(async () => client.close());
	return client;
};

// A body had no limit of time, so that the calls of a loop could stop for good.
for (const [name, form] of [
	['comes slowly', {repeated: '1\r\na\r\n', pieceBytes: 6, pauseMs: 20, maxPieces: 100}],
	['is silent', {repeated: '1\r\na\r\n', pieceBytes: 6, pauseMs: 500, maxPieces: 1}],
	['comes in many bytes', {repeated: '8\r\naaaaaaaa\r\n', pieceBytes: 65_536}],
	['is a chunk extension', {repeated: '1;a=', pieceBytes: 65_536, pauseMs: 5, maxPieces: 400}],
] as const) {
	tap.t.test(`a body that never ends and ${name} is cancelled`, async (t) => {
		const upstream = await endlessUpstream.startEndlessUpstream(t, {head, ...form});
		const request = {peer: upstream.address, method: 'GET', path: '/x'};
		const call = textRequest.requestText(createClient(t), request, {
			maxBytes: 1_000_000,
			timeoutMs: 100,
		});
		const end = await Promise.race([
			call.then(
				() => 'answered',
				() => 'failed',
			),
			upstream.ended,
		]);
		t.not(end, 'gave-up');
		t.not(end, 'answered');
		t.equal(await upstream.ended, 'closed');
	});
}

tap.t.test('the signal of the request cancels a body', async (t) => {
	const upstream = await endlessUpstream.startEndlessUpstream(t, {
		head,
		repeated: '1\r\na\r\n',
		pieceBytes: 6,
		pauseMs: 20,
		maxPieces: 500,
	});
	const cancelling = new AbortController();
	const request = {peer: upstream.address, method: 'GET', path: '/x', signal: cancelling.signal};
	const call = textRequest.requestText(createClient(t), request, {
		maxBytes: 1_000_000,
		timeoutMs: 60_000,
	});
	setTimeout(() => {
		cancelling.abort(new Error('the caller left'));
	}, 50);
	await t.rejects(call, {message: 'the caller left'});
	t.equal(await upstream.ended, 'closed');
});

/** The server ends its body while the loop of the test is blocked, so it has a thread of its own. */
const serverSource = `
const {parentPort} = require('node:worker_threads');
const server = require('node:http').createServer((request, response) => {
	response.write('ans');
	setTimeout(() => response.end('wer'), 200);
});
server.listen(0, '127.0.0.1', () => parentPort.postMessage(server.address().port));
`;

/** Blocks the loop once, after the head of an answer. */
class BlockingClient extends httpClient.HttpClient {
	readonly #client: httpClient.HttpClient;

	constructor(client: httpClient.HttpClient) {
		super();
		this.#client = client;
	}

	override async request(request: httpClient.HttpRequest): Promise<httpClient.HttpResponse> {
		const answer = await this.#client.request(request);
		setImmediate(() => {
			Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, 600);
		});
		return answer;
	}

	override async close(): Promise<void> {
		await this.#client.close();
	}
}

// A body that waits in the socket was given up after this process was held up.
tap.t.test('a body that arrived while the loop was blocked is read', async (t) => {
	const worker = new workerThreads.Worker(serverSource, {eval: true});
	const port = await new Promise<number>((resolve) => {
		worker.once('message', resolve);
	});
	t.teardown(async () => worker.terminate());
	const call = textRequest.requestText(
		new BlockingClient(createClient(t)),
		{peer: `127.0.0.1:${port}`, method: 'GET', path: '/x'},
		{maxBytes: 1000, timeoutMs: 300},
	);
	t.same(await call, {status: 200, text: 'answer'});
});
