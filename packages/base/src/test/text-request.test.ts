// Guards against response bodies that never end, with servers on loopback.
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

// Without a time limit for the body, one such response blocks a loop of calls forever.
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

/** Runs in a worker thread, because it ends its body while the event loop of the test is blocked. */
const serverSource = `
const {parentPort} = require('node:worker_threads');
const server = require('node:http').createServer((request, response) => {
	response.write('ans');
	setTimeout(() => response.end('wer'), 200);
});
server.listen(0, '127.0.0.1', () => parentPort.postMessage(server.address().port));
`;

/** Blocks the event loop after it receives the headers of a response. */
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

// After a pause of the process, the timeout must not fire before the buffered body is read.
tap.t.test('a body that arrived while the event loop was blocked is read', async (t) => {
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
