// Guards against runner streams that grow the parser buffer without limit, and against a limit that also ends valid long streams.
import * as httpClient from '@hawthornfront/base/common/http-client.js';
import * as tap from 'tap';
import type * as runnerClient from '../common/runner-client.js';
import * as httpRunnerClient from '../node/http-runner-client.js';

const maxPieces = 500;

/** Sends `first`, then `repeated` up to `maxPieces` times or until it is closed. */
class EndlessClient extends httpClient.HttpClient {
	sentBytes = 0;
	isClosed = false;
	readonly #pieces: readonly [first: string, repeated: string];

	constructor(first: string, repeated: string) {
		super();
		this.#pieces = [first, repeated];
	}

	override async request(): Promise<httpClient.HttpResponse> {
		return {status: 200, headers: {}, body: this.#send()};
	}

	override async close(): Promise<void> {
		// The client holds no connections.
	}

	async *#send(): AsyncGenerator<Uint8Array> {
		const [first, repeated] = this.#pieces;
		try {
			yield new TextEncoder().encode(first);
			for (let piece = 0; piece < maxPieces; piece++) {
				const bytes = new TextEncoder().encode(repeated);
				this.sentBytes += bytes.length;
				yield bytes;
			}
		} finally {
			this.isClosed = true;
		}
	}
}

const read = async (client: EndlessClient): Promise<runnerClient.StreamPart[]> => {
	const parts: runnerClient.StreamPart[] = [];
	const stream = await new httpRunnerClient.HttpRunnerClient(client).open({
		address: '10.0.0.1:1',
		path: '/v1/chat/completions',
		headers: {},
		body: {},
		requestId: 'request-1',
		priority: 0,
		resumeFromToken: 0,
		timeoutMs: 1000,
		signal: new AbortController().signal,
	});
	for await (const part of stream) {
		parts.push(part);
	}

	return parts;
};

const event = 'data: {"choices":[{"delta":{"content":"a"}}]}\n\n';

// An event without an end was buffered, and joined again at each piece, until its request ended.
for (const [name, repeated] of [
	['a line', 'x'.repeat(4096)],
	['a field', `data: ${'x'.repeat(4090)}\n`],
	['comments', ': comment\n\n'.repeat(400)],
] as const) {
	tap.t.test(`${name} without an end fails the stream`, async (t) => {
		const client = new EndlessClient(event, repeated);
		await t.rejects(read(client), {message: /without an event/u});
		t.ok(client.isClosed);
		t.ok(client.sentBytes < 300_000, `${client.sentBytes} bytes`);
	});
}

tap.t.test('events are read as long as they arrive', async (t) => {
	const client = new EndlessClient(event, event.repeat(100));
	const parts = await read(client);
	t.equal(parts.length, 1 + 100 * maxPieces);
	t.ok(client.sentBytes > 2_000_000, `${client.sentBytes} bytes`);
});
