// Upstreams that send endless bytes that form no valid answer, over loopback.
import * as net from 'node:net';
import * as endlessUpstream from '@hawthornfront/base/test/endless-upstream.js';
import * as tap from 'tap';
import * as connectionPool from '../node/connection-pool.js';

type ExchangeResult = {
	status: number;
	bodyBytes: number;
	end: 'complete' | 'failed' | 'open';
	mayHaveBeenSent?: boolean;
};

const createPool = (t: tap.Test) => {
	const pool = new connectionPool.ConnectionPool(() => 0);
	t.teardown(() => {
		pool.dispose();
	});
	return pool;
};

/** Resolves at the end of the answer, or cancels the request when `cancelWhen` settles. */
const sendRequest = async (
	pool: connectionPool.ConnectionPool,
	address: string,
	cancelWhen?: Promise<unknown>,
): Promise<ExchangeResult> =>
	new Promise((resolve) => {
		const seen: ExchangeResult = {status: 0, bodyBytes: 0, end: 'open'};
		const exchange = pool.send(
			{address, method: 'GET', path: '/x', headers: ['Host', 'a'], needsRecentConnection: false},
			{
				onSent: () => undefined,
				onHead(status) {
					seen.status = status;
				},
				onData(bytes) {
					seen.bodyBytes += bytes.length;
				},
				onEnd() {
					resolve({...seen, end: 'complete'});
				},
				onFailure({mayHaveBeenSent}) {
					resolve({...seen, end: 'failed', mayHaveBeenSent});
				},
			},
		);
		void cancelWhen?.then(() => {
			// The close of the connection reports a failure first.
			setImmediate(() => {
				exchange.cancel();
				resolve(seen);
			});
		});
	});

const head = 'HTTP/1.1 200 OK\r\n';
const chunked = `${head}transfer-encoding: chunked\r\n\r\n`;

// Guards against connections that stay open and read bytes for as long as the upstream sends them.
for (const [name, form] of [
	['status line', {head: 'HTTP/1.1 200 ', repeated: 'x'}],
	['header', {head: `${head}a: `, repeated: 'x'}],
	['header of spaces', {head: `${head}a:`, repeated: ' '}],
	['headers', {head, repeated: 'a: b\r\n'}],
	['empty lines before a head', {head: '', repeated: '\r\n'}],
	['interim answers', {head: '', repeated: 'HTTP/1.1 102 Processing\r\n\r\n'}],
	['interim answers with headers', {head: '', repeated: 'HTTP/1.1 103 Hints\r\na: b\r\n\r\n'}],
	['non-HTTP bytes', {head: '', repeated: 'x'}],
	['chunk size', {head: chunked, repeated: '0'}],
	['chunk extension', {head: `${chunked}1;a=`, repeated: 'x'}],
	['extensions of small chunks', {head: chunked, repeated: `1;${'x'.repeat(500)}\r\na\r\n`}],
	['trailers', {head: `${chunked}0\r\n`, repeated: 'a: b\r\n'}],
] as const) {
	for (const pieceBytes of [65_536, 1000]) {
		tap.t.test(`endless ${name} in pieces of ${pieceBytes} bytes is rejected`, async (t) => {
			const upstream = await endlessUpstream.startEndlessUpstream(t, {...form, pieceBytes});
			const seen = await sendRequest(createPool(t), upstream.address, upstream.ended);
			t.match(seen, {end: 'failed', mayHaveBeenSent: true});
			t.equal(await upstream.ended, 'closed');
		});
	}
}

tap.t.test('endless empty lines after an answer close its connection', async (t) => {
	const upstream = await endlessUpstream.startEndlessUpstream(t, {
		head: `${head}content-length: 4\r\n\r\nbody`,
		repeated: '\r\n',
		pieceBytes: 65_536,
	});
	t.match(await sendRequest(createPool(t), upstream.address), {bodyBytes: 4, end: 'complete'});
	t.equal(await upstream.ended, 'closed');
});

/** Answers the first request of each connection with `parts`. */
const startFiniteUpstream = async (t: tap.Test, parts: ReadonlyArray<string | Uint8Array>) => {
	const server = net.createServer((socket) => {
		socket.on('error', () => undefined);
		socket.once('data', () => {
			for (const part of parts) {
				socket.write(part);
			}
		});
	});
	await new Promise<void>((resolve) => {
		server.listen(0, '127.0.0.1', resolve);
	});
	t.teardown(() => {
		server.close();
	});
	return `127.0.0.1:${(server.address() as net.AddressInfo).port}`;
};

const mebibyte = new Uint8Array(1_048_576).fill(120);

for (const [name, parts, bodyBytes] of [
	[
		'a large body with a length',
		[`${head}content-length: 8388608\r\n\r\n`, ...Array.from({length: 8}, () => mebibyte)],
		8_388_608,
	],
	['a large body of small chunks', [chunked, '1\r\na\r\n'.repeat(200_000), '0\r\n\r\n'], 200_000],
	[
		'some interim answers, an extension and a trailer',
		['HTTP/1.1 103 Hints\r\na: b\r\n\r\n'.repeat(20), chunked, '1;a=b\r\na\r\n0\r\nc: d\r\n\r\n'],
		1,
	],
] as const) {
	tap.t.test(`${name} is accepted`, async (t) => {
		const address = await startFiniteUpstream(t, parts);
		t.match(await sendRequest(createPool(t), address), {status: 200, bodyBytes, end: 'complete'});
	});
}

tap.t.test('a paused exchange reads at most one piece', async (t) => {
	const upstream = await endlessUpstream.startEndlessUpstream(t, {
		head: `${head}content-length: ${endlessUpstream.maxSentBytes}\r\n\r\n`,
		repeated: 'x',
		pieceBytes: 65_536,
	});
	let takenBytes = 0;
	const exchange = createPool(t).send(
		{
			address: upstream.address,
			method: 'GET',
			path: '/x',
			headers: ['Host', 'a'],
			needsRecentConnection: false,
		},
		{
			onSent: () => undefined,
			onHead: () => undefined,
			onData(bytes) {
				takenBytes += bytes.length;
				exchange.pause();
			},
			onEnd: () => undefined,
			onFailure: () => undefined,
		},
	);
	t.ok(await upstream.isBlocked());
	t.ok(takenBytes > 0 && takenBytes <= 65_536, `${takenBytes} bytes`);
	exchange.cancel();
	t.equal(await upstream.ended, 'closed');
});
