// Answers that are cancelled or lose their connection during transfer, over loopback.
import * as net from 'node:net';
import * as timers from 'node:timers/promises';
import * as tap from 'tap';
import type * as upstreamTransport from '../common/upstream-transport.js';
import * as connectionPool from '../node/connection-pool.js';

const closingHead = 'HTTP/1.1 200 OK\r\nconnection: close\r\n';
const heads = {
	'without length': `${closingHead}\r\n`,
	'with a length': `${closingHead}content-length: 99999999\r\n\r\n`,
	'of chunks': `${closingHead}transfer-encoding: chunked\r\n\r\nffffff\r\n`,
} as const;

/** Sends the head and then pieces until the connection closes. */
const startUpstream = async (t: tap.Test, head: string, pieceBytes: number) => {
	const sockets = new Set<net.Socket>();
	const server = net.createServer((socket) => {
		sockets.add(socket);
		socket.on('error', () => undefined);
		socket.once('data', () => {
			socket.write(head);
			const pieceTimer = setInterval(() => {
				if (socket.writable) {
					socket.write('x'.repeat(pieceBytes));
				}
			}, 5);
			socket.once('close', () => {
				clearInterval(pieceTimer);
			});
		});
	});
	await new Promise<void>((resolve) => {
		server.listen(0, '127.0.0.1', resolve);
	});
	t.teardown(() => {
		server.close();
		for (const socket of sockets) {
			socket.destroy();
		}
	});
	return {address: `127.0.0.1:${(server.address() as net.AddressInfo).port}`, sockets};
};

const settleMs = 40;

/** Starts an exchange and resolves at the first body bytes. */
const startExchange = async (
	t: tap.Test,
	address: string,
	onFirstBytes: (exchange: upstreamTransport.Exchange) => void,
) => {
	const pool = new connectionPool.ConnectionPool(() => 0);
	t.teardown(() => {
		pool.dispose();
	});
	const seen = {ends: 0, failures: 0};
	let exchange: upstreamTransport.Exchange | undefined;
	await new Promise<void>((resolve) => {
		exchange = pool.send(
			{address, method: 'GET', path: '/x', headers: ['Host', 'a'], needsRecentConnection: false},
			{
				onSent: () => undefined,
				onHead: () => undefined,
				onData() {
					onFirstBytes(exchange!);
					resolve();
				},
				onEnd() {
					seen.ends++;
				},
				onFailure() {
					seen.failures++;
				},
			},
		);
	});
	return {exchange: exchange!, seen};
};

// Guards against a crash: the client took a socket reset for the end of the answer, and a
// failed assertion in it ended the process.
for (const [name, head] of Object.entries(heads)) {
	for (const pieceBytes of [100, 65_536]) {
		tap.t.test(`an answer ${name} is cancelled, by ${pieceBytes} bytes`, async (t) => {
			const {address, sockets} = await startUpstream(t, head, pieceBytes);
			for (const first of ['cancel', 'pause', 'none'] as const) {
				const {exchange, seen} = await startExchange(t, address, (running) => {
					if (first !== 'none') {
						running[first]();
					}
				});
				await timers.setTimeout(settleMs);
				exchange.cancel();
				await timers.setTimeout(settleMs);
				t.same(seen, {ends: 0, failures: 0}, first);
				t.ok([...sockets].every((socket) => socket.destroyed));
			}
		});

		for (const how of ['end', 'resetAndDestroy'] as const) {
			tap.t.test(`a paused answer ${name}, by ${pieceBytes} bytes: ${how}`, async (t) => {
				const {address, sockets} = await startUpstream(t, head, pieceBytes);
				const {exchange, seen} = await startExchange(t, address, (running) => {
					running.pause();
				});
				await timers.setTimeout(settleMs);
				for (const socket of sockets) {
					socket[how]();
				}

				for (let round = 0; round < 100 && seen.ends + seen.failures === 0; round++) {
					await timers.setTimeout(settleMs / 10);
					exchange.resume();
				}

				const isWhole = how === 'end' && name === 'without length';
				t.same(seen, isWhole ? {ends: 1, failures: 0} : {ends: 0, failures: 1});
				exchange.cancel();
			});
		}
	}
}
