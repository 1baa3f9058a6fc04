// Answers that only look complete or valid: broken off during a long upload, or with a status that HTTP does not have.
import * as net from 'node:net';
import * as tap from 'tap';
import * as callerServer from '../node/caller-server.js';
import * as connectionPool from '../node/connection-pool.js';
import * as engineHarness from './engine-harness.js';
import * as fixtures from './fixtures.js';

const uploadBytes = 3_000_000;
/** The buffers of both systems do not take all of it, so it is still being written when the answer ends. */
const unfinishedBytes = 24_000_000;
const part = 'part of an answer';

/** Sends a long upload; resolves with the end of the exchange. */
const upload = async (t: tap.Test, address: string, bytes = uploadBytes) => {
	const pool = new connectionPool.ConnectionPool(() => performance.now());
	t.teardown(() => {
		pool.dispose();
	});
	return new Promise<'complete' | 'failed'>((resolve) => {
		pool.send(
			{
				address,
				method: 'POST',
				path: '/x',
				headers: ['host', 'a', 'content-length', String(bytes)],
				body: new Uint8Array(bytes),
				needsRecentConnection: true,
			},
			{
				onSent: () => undefined,
				onHead: () => undefined,
				onData: () => undefined,
				onEnd() {
					resolve('complete');
				},
				onFailure() {
					resolve('failed');
				},
			},
		);
	});
};

/** Listens on a free port; the handler plays the upstream. */
const listen = async (t: tap.Test, handle: (socket: net.Socket) => void): Promise<string> => {
	const server = net.createServer({pauseOnConnect: true}, (socket) => {
		socket.on('error', () => undefined);
		handle(socket);
	});
	await new Promise<void>((resolve) => {
		server.listen(0, '127.0.0.1', resolve);
	});
	t.teardown(() => {
		server.close();
	});
	return `127.0.0.1:${(server.address() as net.AddressInfo).port}`;
};

for (const [name, head, resetAfterMs] of [
	['without length', '', 0],
	['without length, reset later', '', 50],
	['without length, with a close', 'connection: close\r\n', 20],
	['chunked without end', 'transfer-encoding: chunked\r\n', 20],
] as const) {
	tap.t.test(`an answer ${name} that is reset during the upload is not complete`, async (t) => {
		const text = head.startsWith('transfer') ? `${part.length.toString(16)}\r\n${part}\r\n` : part;
		const address = await listen(t, (socket) => {
			// Nothing of the upload is read, so the client is still writing it.
			socket.pause();
			socket.write(`HTTP/1.1 200 OK\r\n${head}\r\n${text}`, () => {
				setTimeout(() => {
					socket.resetAndDestroy();
				}, resetAfterMs);
			});
		});
		t.equal(await upload(t, address), 'failed');
	});
}

/** Time in which an upload fills the buffers. */
const fillMs = 20;
/** Bodies that arrive in one turn of the event loop, and in several. */
const bodies = [part, part.repeat(20_000)];

// The library that ends the connection hid the reset behind an error of its own.
for (const resetAfterMs of [0, 20]) {
	for (const body of bodies) {
		tap.t.test(
			`${body.length} bytes without length that are reset after ${resetAfterMs} ms before the upload is written are not complete`,
			async (t) => {
				const address = await listen(t, (socket) => {
					const reset = () => {
						socket.resetAndDestroy();
					};

					socket.pause();
					setTimeout(() => {
						socket.write(`HTTP/1.1 200 OK\r\n\r\n${body}`, () => {
							if (resetAfterMs === 0) {
								reset();
							} else {
								setTimeout(reset, resetAfterMs);
							}
						});
					}, fillMs);
				});
				t.equal(await upload(t, address, unfinishedBytes), 'failed');
			},
		);
	}
}

// Guards against a whole answer that is taken for a broken one because its upload was not read.
for (const body of bodies) {
	tap.t.test(
		`${body.length} bytes without length that end in order before the upload is written are complete`,
		async (t) => {
			const address = await listen(t, (socket) => {
				socket.pause();
				setTimeout(() => socket.end(`HTTP/1.1 200 OK\r\n\r\n${body}`), fillMs);
			});
			t.equal(await upload(t, address, unfinishedBytes), 'complete');
		},
	);
}

// A peer that ends in order and has not read the whole request resets the connection afterwards.
for (const bytes of [200, uploadBytes, unfinishedBytes]) {
	tap.t.test(
		`an answer without length is complete if a reset follows its end, upload of ${bytes} bytes`,
		async (t) => {
			const address = await listen(t, (socket) => {
				socket.pause();
				setTimeout(() => {
					socket.end(`HTTP/1.1 200 OK\r\n\r\n${part}`);
					socket.once('finish', () => {
						socket.destroy();
					});
				}, fillMs);
			});
			t.equal(await upload(t, address, bytes), 'complete');
		},
	);
}

tap.t.test('a relayed answer that its upstream broke off is not complete', async (t) => {
	const server = callerServer.createCallerServer(
		() => performance.now(),
		() => ({
			kind: 'accept',
			run(_body, reply, onEnd) {
				reply.start(200, {});
				reply.write(engineHarness.bytes(part));
				setTimeout(() => {
					reply.abort();
					onEnd();
				}, 20);
				return {dispose: () => undefined, terminate: () => undefined};
			},
		}),
		{note: () => undefined},
	);
	const probe = net.createServer();
	await new Promise<void>((resolve) => {
		probe.listen(0, '127.0.0.1', resolve);
	});
	const {port} = probe.address() as net.AddressInfo;
	await new Promise((resolve) => {
		probe.close(resolve);
	});
	await server.listen('127.0.0.1', port);
	t.teardown(() => {
		server.destroy();
	});
	t.equal(await upload(t, `127.0.0.1:${port}`), 'failed');
});

// Status 700 of an upstream reached the caller as it was.
for (const status of [0, 99, 600, 700, 999]) {
	tap.t.test(`an answer with status ${status} is not passed on`, async (t) => {
		const {transport, reply} = engineHarness.start(fixtures.bookingRoute);
		transport.last.listener.onHead(status, engineHarness.signed);
		t.match(reply, {status: 502, ending: 'complete', text: /"outcome":"unknown"/u});
	});
}
