// Guards against long service answers that are refused, truncated, or read faster than their caller reads them.
import * as tap from 'tap';
import * as gatewayError from '@hawthornfront/base/common/gateway-error.js';
import * as httpClient from '@hawthornfront/base/common/http-client.js';
import * as serviceAnswer from '../common/service-answer.js';

const chunkBytes = 65_536;
const chunkCount = 40;

/** Creates a service that answers with `chunkCount` chunks and resets the connection after `breaksAfter` chunks. */
const createClient = (breaksAfter = chunkCount) => {
	const state = {sent: 0, isClosed: false};
	async function* body(): AsyncGenerator<Uint8Array> {
		try {
			while (state.sent < chunkCount) {
				if (state.sent === breaksAfter) {
					throw new Error('connection reset');
				}

				state.sent++;
				yield new Uint8Array(chunkBytes).fill(state.sent);
			}
		} finally {
			state.isClosed = true;
		}
	}

	class Client extends httpClient.HttpClient {
		override async request() {
			return {status: 200, headers: {}, body: body()};
		}

		override async close() {
			state.isClosed = true;
		}
	}

	return {client: new Client(), state};
};

const attempt = (mayStream: boolean): serviceAnswer.ServiceAttempt => ({
	address: 's',
	method: 'GET',
	path: '/',
	headers: {},
	body: new Uint8Array(),
	timeoutMs: 1000,
	signal: new AbortController().signal,
	mayStream,
});

const open = async (client: httpClient.HttpClient): Promise<AsyncIterableIterator<Uint8Array>> => {
	const answer = await serviceAnswer.openService(client, attempt(true));
	if (answer.body instanceof Uint8Array) {
		throw new TypeError('the answer was not streamed');
	}

	return answer.body;
};

tap.t.test('long answer is passed on in full and is not read ahead', async (t) => {
	const {client, state} = createClient();
	const body = await open(client);
	t.ok(state.sent * chunkBytes <= serviceAnswer.maxBufferedAnswerBytes + chunkBytes);
	const marks: number[] = [];
	for await (const chunk of body) {
		marks.push(chunk[0]!);
	}

	t.same(
		marks,
		Array.from({length: chunkCount}, (_, index) => index + 1),
	);
});

tap.t.test('long answer that breaks ends with an error', async (t) => {
	const {client} = createClient(30);
	const body = await open(client);
	await t.rejects(async () => {
		for await (const chunk of body) {
			t.equal(chunk.byteLength, chunkBytes);
		}
	}, /connection reset/u);
});

tap.t.test('closing a long answer closes the connection to the service', async (t) => {
	const {client, state} = createClient();
	const body = await open(client);
	await body.return?.();
	t.ok(state.isClosed);
});

tap.t.test('long answer of a keyed request is refused with the outcome ran', async (t) => {
	const {client, state} = createClient();
	let outcome = '';
	try {
		await serviceAnswer.callService(client, attempt(false));
	} catch (error) {
		outcome = error instanceof gatewayError.GatewayException ? error.error.outcome : '';
	}

	t.equal(outcome, 'ran');
	t.ok(state.isClosed);
});
