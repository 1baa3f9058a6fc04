// Answers that broke off looked complete to callers of HTTP/1.0, for whom the end of the connection is the end of an answer.
import * as net from 'node:net';
import * as tap from 'tap';
import * as callerServer from '../node/caller-server.js';
import * as engineHarness from './engine-harness.js';

const part = 'part of an answer';

/** Starts a server whose answer is not complete until the test ends it. */
const startServer = async (t: tap.Test) => {
	const running: {breakOff?(): void} = {};
	const server = callerServer.createCallerServer(
		() => performance.now(),
		() => ({
			kind: 'accept',
			run(_body, reply, onEnd) {
				reply.start(200, {});
				reply.write(engineHarness.bytes(part));
				running.breakOff = () => {
					reply.abort();
					onEnd();
				};

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
	return {server, port, running};
};

/** Sends a request and resolves with how its connection ends. */
const endOf = async (port: number, onPart: () => void): Promise<string> =>
	new Promise((resolve) => {
		const socket = net.connect(port, '127.0.0.1', () => {
			socket.write('GET / HTTP/1.0\r\nhost: a\r\n\r\n');
		});
		socket.on('data', (bytes) => {
			if (new TextDecoder().decode(bytes).includes(part)) {
				onPart();
			}
		});
		socket.on('end', () => {
			resolve('end');
		});
		socket.on('error', ({code}: NodeJS.ErrnoException) => {
			resolve(code!);
		});
	});

tap.t.test('an answer without length that its upstream breaks off is reset', async (t) => {
	const {port, running} = await startServer(t);
	const onPart = () => {
		running.breakOff?.();
	};

	t.equal(await endOf(port, onPart), 'ECONNRESET');
});

tap.t.test(
	'an answer without length that the end of a planned stop breaks off is reset',
	async (t) => {
		const {server, port} = await startServer(t);
		const onPart = () => {
			server.abortRequests();
		};

		t.equal(await endOf(port, onPart), 'ECONNRESET');
	},
);
