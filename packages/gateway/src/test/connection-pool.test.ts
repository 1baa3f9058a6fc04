// Upstreams that end, corrupt or drop their answers, over loopback.
import * as net from 'node:net';
import * as tap from 'tap';
import * as connectionPool from '../node/connection-pool.js';

type ExchangeResult = {
	status: number;
	body: string;
	end: 'complete' | 'failed';
	mayHaveBeenSent: boolean;
	endedBy?: 'connection';
};

const startServer = async (
	t: tap.Test,
	answer: (socket: net.Socket, requests: number) => void,
): Promise<{address: string; connections: () => number}> => {
	let connections = 0;
	const sockets = new Set<net.Socket>();
	const server = net.createServer((socket) => {
		connections++;
		sockets.add(socket);
		let requests = 0;
		socket.on('error', () => undefined);
		socket.on('data', () => {
			requests++;
			answer(socket, requests);
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
	const {port} = server.address() as net.AddressInfo;
	return {address: `127.0.0.1:${port}`, connections: () => connections};
};

const sendRequest = async (
	pool: connectionPool.ConnectionPool,
	address: string,
	needsRecentConnection = false,
	headers = ['Host', 'a'],
): Promise<ExchangeResult> =>
	new Promise((resolve) => {
		const seen: ExchangeResult = {status: 0, body: '', end: 'failed', mayHaveBeenSent: false};
		pool.send(
			{address, method: 'GET', path: '/x', headers, needsRecentConnection},
			{
				onSent: () => undefined,
				onHead(status) {
					seen.status = status;
				},
				onData(bytes) {
					seen.body += new TextDecoder().decode(bytes);
				},
				onEnd(endedBy) {
					resolve({...seen, end: 'complete', endedBy});
				},
				onFailure({mayHaveBeenSent}) {
					resolve({...seen, end: 'failed', mayHaveBeenSent});
				},
			},
		);
	});

const createPool = (t: tap.Test, nowMs: () => number = () => 0) => {
	const pool = new connectionPool.ConnectionPool(nowMs);
	t.teardown(() => {
		pool.dispose();
	});
	return pool;
};

const wholeAnswer = 'HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\nbody';

tap.t.test('connections are reused', async (t) => {
	const server = await startServer(t, (socket) => socket.write(wholeAnswer));
	const pool = createPool(t);
	for (let count = 0; count < 3; count++) {
		const result = await sendRequest(pool, server.address);
		t.match(result, {status: 200, body: 'body', end: 'complete', endedBy: undefined});
	}

	t.equal(server.connections(), 1);
	t.equal(pool.openedCount, 1);
});

tap.t.test('a request that needs a recent connection avoids old ones', async (t) => {
	let nowMs = 0;
	const server = await startServer(t, (socket) => socket.write(wholeAnswer));
	const pool = createPool(t, () => nowMs);
	await sendRequest(pool, server.address, true);
	nowMs += 300;
	await sendRequest(pool, server.address, true);
	t.equal(server.connections(), 1);
	nowMs += 3000;
	await sendRequest(pool, server.address, true);
	t.equal(server.connections(), 2);
});

tap.t.test('an answer without a length ends with its connection', async (t) => {
	const server = await startServer(t, (socket) => {
		socket.end('HTTP/1.1 200 OK\r\nconnection: close\r\n\r\nbody');
	});
	const result = await sendRequest(createPool(t), server.address);
	t.match(result, {body: 'body', end: 'complete', endedBy: 'connection'});
});

tap.t.test('a reset fails an answer without a length', async (t) => {
	const server = await startServer(t, (socket) => {
		socket.write('HTTP/1.1 200 OK\r\nconnection: close\r\n\r\nbo', () => {
			setTimeout(() => socket.resetAndDestroy(), 30);
		});
	});
	t.match(await sendRequest(createPool(t), server.address), {end: 'failed', mayHaveBeenSent: true});
});

for (const [name, finish] of [
	['end', (socket: net.Socket) => socket.end()],
	['reset', (socket: net.Socket) => socket.resetAndDestroy()],
] as const) {
	tap.t.test(`a connection ${name} does not complete a chunked answer`, async (t) => {
		const server = await startServer(t, (socket) => {
			socket.write(
				'HTTP/1.1 200 OK\r\nconnection: close\r\ntransfer-encoding: chunked\r\n\r\n2\r\nbo\r\n',
				() => {
					setTimeout(() => finish(socket), 30);
				},
			);
		});
		t.match(await sendRequest(createPool(t), server.address), {
			end: 'failed',
			mayHaveBeenSent: true,
		});
	});
}

tap.t.test('a truncated body fails', async (t) => {
	const server = await startServer(t, (socket) => {
		socket.end('HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nbody');
	});
	t.match(await sendRequest(createPool(t), server.address), {end: 'failed'});
});

// Guards against an answer whose upstream stopped inside its head or body and that looks whole.
for (const [name, answer] of [
	['a length', wholeAnswer],
	['chunks', 'HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n'],
	['neither', 'HTTP/1.1 200 OK\r\nx-a: b\r\n\r\n'],
] as const) {
	for (const isReset of [false, true]) {
		const end = isReset ? 'a reset' : 'a close';
		tap.t.test(`an answer with ${name} that stops at any byte with ${end} fails`, async (t) => {
			const state = {bytes: 0};
			const server = await startServer(t, (socket) => {
				socket.write(answer.slice(0, state.bytes), () => {
					if (isReset) {
						setTimeout(() => socket.resetAndDestroy(), 5);
					} else {
						socket.end();
					}
				});
			});
			const pool = createPool(t);
			const whole: number[] = [];
			for (; state.bytes < answer.length; state.bytes++) {
				const result = await sendRequest(pool, server.address);
				if (result.end === 'complete') {
					whole.push(state.bytes);
				}
			}

			t.same(whole, []);
		});
	}
}

tap.t.test('bytes after an answer close the connection, not the answer', async (t) => {
	const server = await startServer(t, (socket) => {
		socket.write(`${wholeAnswer}HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nextra`);
	});
	const pool = createPool(t);
	t.match(await sendRequest(pool, server.address), {body: 'body', end: 'complete'});
	t.match(await sendRequest(pool, server.address), {body: 'body', end: 'complete'});
	t.equal(server.connections(), 2);
});

tap.t.test('a refused connection sends nothing', async (t) => {
	const server = await startServer(t, () => undefined);
	const port = Number(server.address.split(':')[1]);
	const closed = net.createServer();
	await new Promise<void>((resolve) => {
		closed.listen(0, '127.0.0.1', resolve);
	});
	const closedPort = (closed.address() as net.AddressInfo).port;
	await new Promise((resolve) => {
		closed.close(resolve);
	});
	t.not(closedPort, port);
	t.match(await sendRequest(createPool(t), `127.0.0.1:${closedPort}`), {
		end: 'failed',
		mayHaveBeenSent: false,
	});
});

tap.t.test('a reset reused connection may have delivered the request', async (t) => {
	const server = await startServer(t, (socket, requests) => {
		if (requests === 1) {
			socket.write(wholeAnswer);
		} else {
			socket.resetAndDestroy();
		}
	});
	const pool = createPool(t);
	await sendRequest(pool, server.address);
	t.match(await sendRequest(pool, server.address), {end: 'failed', mayHaveBeenSent: true});
});

tap.t.test('a cancelled request is reset, not delivered later', async (t) => {
	const ends: string[] = [];
	const server = net.createServer((socket) => {
		socket.on('data', () => undefined);
		socket.on('error', (error: NodeJS.ErrnoException) => {
			ends.push(error.code ?? '');
		});
		socket.on('end', () => {
			ends.push('end');
		});
	});
	await new Promise<void>((resolve) => {
		server.listen(0, '127.0.0.1', resolve);
	});
	t.teardown(() => server.close());
	const {port} = server.address() as net.AddressInfo;
	const pool = createPool(t);
	const exchange = pool.send(
		{
			address: `127.0.0.1:${port}`,
			method: 'GET',
			path: '/x',
			headers: ['Host', 'a'],
			needsRecentConnection: false,
		},
		{
			onSent: () => undefined,
			onHead: () => undefined,
			onData: () => undefined,
			onEnd: () => undefined,
			onFailure() {
				t.fail('nothing is called after a cancel');
			},
		},
	);
	const pause = async () =>
		new Promise((resolve) => {
			setTimeout(resolve, 100);
		});
	await pause();
	exchange.cancel();
	await pause();
	t.same(ends, ['ECONNRESET']);
});

// Guards against requests that stall one after another, each on a connection that went silent with the first.
tap.t.test(
	'a request that was cancelled in silence closes the idle connections beside it',
	async (t) => {
		let nowMs = 0;
		const state = {isSilent: false};
		const server = await startServer(t, (socket) => {
			if (!state.isSilent) {
				setTimeout(() => socket.write(wholeAnswer), 10);
			}
		});
		const pool = createPool(t, () => nowMs);
		const sendThree = async () =>
			Promise.all([1, 2, 3].map(async () => sendRequest(pool, server.address)));
		const cancelAfter = async (silentMs: number) => {
			state.isSilent = true;
			const exchange = pool.send(
				{
					address: server.address,
					method: 'GET',
					path: '/x',
					headers: ['Host', 'a'],
					needsRecentConnection: false,
				},
				{
					onSent: () => undefined,
					onHead: () => undefined,
					onData: () => undefined,
					onEnd: () => undefined,
					onFailure: () => undefined,
				},
			);
			await new Promise((resolve) => {
				setTimeout(resolve, 30);
			});
			nowMs += silentMs;
			exchange.cancel();
			state.isSilent = false;
		};

		await sendThree();
		t.equal(server.connections(), 3);
		await cancelAfter(100);
		await Promise.all([sendRequest(pool, server.address), sendRequest(pool, server.address)]);
		t.equal(server.connections(), 3, 'a short silence says nothing');
		await cancelAfter(700);
		await sendRequest(pool, server.address);
		t.equal(server.connections(), 4, 'the other connection is not used any more');
	},
);

tap.t.test('a probe tells an upstream that runs from one that does not', async (t) => {
	const {address, connections} = await startServer(t, () => undefined);
	const pool = new connectionPool.ConnectionPool(() => 0);
	const probe = async (peer: string) =>
		new Promise((resolve) => {
			pool.probe(peer, resolve);
		});
	t.equal(await probe(address), 'open');
	t.equal(connections(), 1);
	const free = net.createServer();
	await new Promise<void>((resolve) => {
		free.listen(0, '127.0.0.1', resolve);
	});
	const {port} = free.address() as net.AddressInfo;
	await new Promise((resolve) => {
		free.close(resolve);
	});
	t.equal(await probe(`127.0.0.1:${port}`), 'refused');
});

// Guards against crashes that go unseen because the port of the upstream still accepts connections.
tap.t.test('a probe of a port that accepts connections and resets them is refused', async (t) => {
	const server = net.createServer((socket) => {
		socket.on('error', () => undefined);
		socket.resetAndDestroy();
	});
	await new Promise<void>((resolve) => {
		server.listen(0, '127.0.0.1', resolve);
	});
	t.teardown(() => {
		server.close();
	});
	const {port} = server.address() as net.AddressInfo;
	const pool = new connectionPool.ConnectionPool(() => 0);
	const result = await new Promise((resolve) => {
		pool.probe(`127.0.0.1:${port}`, resolve);
	});
	t.equal(result, 'refused');
});

// Guards against a daemon that ends because an upstream has an address that cannot exist.
tap.t.test('a request to an impossible address fails, and so does a probe', async (t) => {
	for (const address of ['127.0.0.1:65536', '127.0.0.1:x', '127.0.0.1', '', '...:80', 'a b:80']) {
		const pool = createPool(t);
		t.match(
			await sendRequest(pool, address),
			{end: 'failed', mayHaveBeenSent: false},
			`'${address}'`,
		);
		const result = await new Promise((resolve) => {
			pool.probe(address, resolve);
		});
		t.not(result, 'open');
		pool.drop(address);
	}
});

// Guards against a daemon that ends because a header cannot be written.
tap.t.test('a request with a header that cannot be written fails', async (t) => {
	const server = await startServer(t, (socket) => {
		socket.write(wholeAnswer);
	});
	const pool = createPool(t);
	t.match(await sendRequest(pool, server.address, false, ['x', 'a\r\nb']), {
		end: 'failed',
		mayHaveBeenSent: false,
	});
});

// Guards against a process that was too busy to see its connections open and takes their peer for gone.
tap.t.test('a connection that opened while this process was busy is no refusal', async (t) => {
	const {address} = await startServer(t, (socket) => {
		socket.write('HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n');
	});
	const pool = new connectionPool.ConnectionPool(() => performance.now(), {
		...connectionPool.defaultPoolSettings,
		connectTimeoutMs: 50,
	});
	t.teardown(() => {
		pool.dispose();
	});
	const losses: unknown[] = [];
	pool.onDidLosePeer((loss) => losses.push(loss));
	const answered = sendRequest(pool, address);
	const busyUntilMs = performance.now() + 200;
	while (performance.now() < busyUntilMs) {
		// Keeps the event loop busy.
	}

	t.match(await answered, {status: 200, end: 'complete'});
	t.same(losses, []);
});
