// Callers that misbehave, disconnect or send during a connection close, over loopback.
import * as net from 'node:net';
import * as tap from 'tap';
import * as callerServer from '../node/caller-server.js';
import * as settings from '../node/settings.js';
import type * as routeConfig from '../common/route-config.js';
import type * as upstreamTransport from '../common/upstream-transport.js';

type Run = {body: string; path: string};

const findFreePort = async (): Promise<number> =>
	new Promise((resolve) => {
		const probe = net.createServer();
		probe.listen(0, '127.0.0.1', () => {
			const address = probe.address() as net.AddressInfo;
			probe.close(() => {
				resolve(address.port);
			});
		});
	});

const start = async (t: tap.Test, hasLimits = true) => {
	const runs: Run[] = [];
	const replies: upstreamTransport.CallerReply[] = [];
	const time = {nowMs: 0};
	const closes: string[] = [];
	let disposeCount = 0;
	const server = callerServer.createCallerServer(
		() => time.nowMs,
		(head) =>
			head.path === '/none/'
				? {kind: 'reject', status: 404, reason: 'no-route'}
				: {
						kind: 'accept',
						recheck: () =>
							head.path === '/late/'
								? {kind: 'reject', status: 503, reason: 'stopping'}
								: undefined,
						run(body, reply, onEnd) {
							runs.push({body: new TextDecoder().decode(body), path: head.path});
							replies.push(reply);
							if (!head.path.startsWith('/wait/')) {
								reply.start(200, {'content-length': '2'});
								reply.write(new TextEncoder().encode('ok'));
								reply.end();
								onEnd();
							}

							return {
								dispose() {
									disposeCount++;
								},
								terminate: () => undefined,
							};
						},
					},
		{
			note(reason, unanswered) {
				closes.push(`${reason} ${unanswered}`);
			},
		},
	);
	const listenPort = await findFreePort();
	await server.listen('127.0.0.1', listenPort);
	t.teardown(() => {
		server.destroy();
	});
	const open = async (allowHalfOpen = false) => {
		const socket = net.connect({port: listenPort, host: '127.0.0.1', allowHalfOpen});
		const state = {text: '', hasEnded: false, isClosed: false};
		socket.on('data', (bytes) => {
			state.text += bytes.toString();
		});
		socket.on('end', () => {
			state.hasEnded = true;
		});
		socket.on('close', () => {
			state.isClosed = true;
		});
		socket.on('error', () => undefined);
		await new Promise((resolve) => {
			socket.once('connect', resolve);
		});
		t.teardown(() => {
			socket.destroy();
		});
		return {socket, state};
	};

	const setLimits = (limits: Partial<routeConfig.CallerLimits>) => {
		server.applyLimits({
			headerBytes: 500,
			bodyBytes: 100,
			headerTimeoutMs: 3000,
			idleMs: 15_000,
			...limits,
		});
	};

	if (hasLimits) {
		setLimits({});
	}

	return {
		server,
		runs,
		replies,
		closes,
		time,
		open,
		port: listenPort,
		setLimits,
		disposals: () => disposeCount,
	};
};

/** Time after which the timer of an idle limit of 0 has fired. */
const idleTimerWaitMs = 2500;

/** Time after which the server has checked for slow request heads. */
const headCheckWaitMs = 2200;

const sleep = async (durationMs: number): Promise<void> =>
	new Promise((resolve) => {
		setTimeout(resolve, durationMs);
	});

/** Blocks the event loop, so that it reads no socket. */
const blockEventLoop = (durationMs: number): void => {
	const endMs = performance.now() + durationMs;
	while (performance.now() < endMs) {
		// Busy wait.
	}
};

const waitUntil = async (condition: () => boolean, maxSteps = 200): Promise<boolean> => {
	for (let step = 0; step < maxSteps && !condition(); step++) {
		await sleep(10);
	}

	return condition();
};

// Guards against requests behind an earlier one on their connection that were held for good.
tap.t.test('requests that wait for an earlier response end with their connection', async (t) => {
	const {server, runs, open, disposals} = await start(t);
	const {socket} = await open();
	socket.write('GET /wait/ HTTP/1.1\r\nhost: a\r\n\r\n'.repeat(5));
	t.ok(await waitUntil(() => runs.length === 5));
	socket.destroy();
	t.ok(await waitUntil(() => disposals() === 5), `${disposals()} of 5 ended`);
	t.equal(server.inFlight, 0);
});

tap.t.test('a connection carries many requests', async (t) => {
	const {runs, open} = await start(t);
	const {socket, state} = await open();
	socket.write('GET /a/ HTTP/1.1\r\nhost: a\r\n\r\n');
	await waitUntil(() => state.text.endsWith('ok'));
	socket.write(
		'POST /b/ HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n',
	);
	t.ok(await waitUntil(() => runs.length === 2));
	t.same(runs[1], {path: '/b/', body: 'abc'});
});

tap.t.test('a smuggled request is not run', async (t) => {
	const {runs, closes, open} = await start(t);
	const {socket, state} = await open();
	socket.write(
		'POST /a/ HTTP/1.1\r\nhost: a\r\ncontent-length: 5\r\ntransfer-encoding: chunked\r\n\r\n' +
			'0\r\n\r\nGET /smuggled/ HTTP/1.1\r\nhost: a\r\n\r\n',
	);
	t.ok(await waitUntil(() => state.isClosed));
	t.match(state.text, 'HTTP/1.1 400');
	t.same(runs, []);
	t.same(closes, ['client-error 0']);
});

tap.t.test('oversized heads and bodies get their status', async (t) => {
	const {runs, open} = await start(t);
	const large = await open();
	large.socket.write(`GET /a/ HTTP/1.1\r\nhost: a\r\nx: ${'y'.repeat(600)}\r\n\r\n`);
	t.ok(await waitUntil(() => large.state.text.includes('431')));
	const long = await open();
	long.socket.write(
		`POST /a/ HTTP/1.1\r\nhost: a\r\ncontent-length: 200\r\n\r\n${'z'.repeat(200)}`,
	);
	t.ok(await waitUntil(() => long.state.text.includes('413')));
	const none = await open();
	none.socket.write('GET /none/ HTTP/1.1\r\nhost: a\r\n\r\n');
	t.ok(await waitUntil(() => none.state.text.includes('404')));
	t.same(runs, []);
});

tap.t.test('a request that is rejected after its body does not run', async (t) => {
	const {open, runs} = await start(t);
	const {socket, state} = await open();
	socket.write('POST /late/ HTTP/1.1\r\nhost: a\r\ncontent-length: 4\r\n\r\nbo');
	socket.write('dy');
	await waitUntil(() => state.text.includes('stopping'));
	t.match(state.text, /^HTTP\/1\.1 503/u);
	t.match(state.text, /"outcome":"not-run"/u);
	t.same(runs, []);
});

tap.t.test('a caller disconnect is detected', async (t) => {
	const {server, runs, open, disposals} = await start(t);
	const {socket} = await open();
	socket.write('GET /wait/ HTTP/1.1\r\nhost: a\r\n\r\n');
	await waitUntil(() => runs.length === 1);
	t.equal(server.inFlight, 1);
	socket.destroy();
	t.ok(await waitUntil(() => disposals() === 1));
	t.equal(server.inFlight, 0);
});

for (const [name, leave] of [
	['reset', (socket: net.Socket) => socket.resetAndDestroy()],
	['closed', (socket: net.Socket) => socket.end()],
] as const) {
	tap.t.test(`a request that was ${name} during a daemon stall is not run`, async (t) => {
		const {server, runs, open} = await start(t);
		const {socket} = await open();
		await new Promise((resolve) => {
			socket.write('GET /wait/ HTTP/1.1\r\nhost: a\r\n\r\n', resolve);
			leave(socket);
		});
		await sleep(100);
		t.same(runs, []);
		t.equal(server.inFlight, 0);
	});
}

tap.t.test('an aborted answer does not look complete', async (t) => {
	const {replies, open} = await start(t);
	const {socket, state} = await open();
	socket.write('GET /wait/ HTTP/1.1\r\nhost: a\r\n\r\n');
	await waitUntil(() => replies.length === 1);
	replies[0]!.start(200, {});
	replies[0]!.write(new TextEncoder().encode('half'));
	await waitUntil(() => state.text.includes('half'));
	replies[0]!.abort();
	t.ok(await waitUntil(() => state.isClosed));
	t.notMatch(state.text, '0\r\n\r\n');
});

tap.t.test('a draining server closes connections after their answers', async (t) => {
	const {server, open} = await start(t);
	const {socket, state} = await open();
	server.startDraining();
	socket.write('GET /a/ HTTP/1.1\r\nhost: a\r\n\r\n');
	t.ok(await waitUntil(() => state.text.endsWith('ok')));
	t.match(state.text.toLowerCase(), 'connection: close');
	t.ok(await waitUntil(() => state.isClosed));
});

tap.t.test('a request sent during an idle close is not run', async (t) => {
	const {closes, server, runs, time, open} = await start(t);
	const {socket, state} = await open(true);
	socket.write('GET /a/ HTTP/1.1\r\nhost: a\r\n\r\n');
	await waitUntil(() => state.text.endsWith('ok'));
	time.nowMs += 1000;
	server.startDraining();
	server.closeIdle();
	t.ok(await waitUntil(() => state.hasEnded));
	socket.write('GET /b/ HTTP/1.1\r\nhost: a\r\n\r\n');
	t.ok(await waitUntil(() => server.openConnections === 0));
	t.same(
		runs.map(({path}) => path),
		['/a/'],
	);
	t.same(closes, ['stop 0', 'crossed 1']);
});

// Guards against unanswered requests: a stop closed connections whose requests were still unread
// in the socket after a stall.
tap.t.test('a stop answers unread requests before it closes a connection', async (t) => {
	const {server, runs, time, open} = await start(t);
	const kept = await open();
	kept.socket.write('GET /kept-1/ HTTP/1.1\r\nhost: a\r\n\r\n');
	const half = await open();
	half.socket.write('GET /half/ HTTP/1.1\r\nhost: a\r\nx: ');
	const fresh = await open();
	t.ok(await waitUntil(() => kept.state.text.endsWith('ok') && server.openConnections === 3));
	await sleep(50);
	time.nowMs += 1000;
	server.startDraining();
	kept.socket.write('GET /kept-2/ HTTP/1.1\r\nhost: a\r\n\r\n');
	half.socket.write('1\r\n\r\n');
	fresh.socket.write('GET /fresh/ HTTP/1.1\r\nhost: a\r\n\r\n');
	blockEventLoop(100);
	server.closeIdle();
	t.ok(await waitUntil(() => [kept, half, fresh].every(({state}) => state.isClosed)));
	t.same(runs.map(({path}) => path).sort(), ['/fresh/', '/half/', '/kept-1/', '/kept-2/']);
	t.ok([kept, half, fresh].every(({state}) => state.text.endsWith('ok')));
});

// Guards against a connection that is opened late in a stop and closed before its first request.
tap.t.test('a stop keeps new connections and half-read requests', async (t) => {
	const {server, runs, time, open} = await start(t);
	const half = await open();
	half.socket.write('GET /half/ HTTP/1.1\r\nhost: a\r\nx: ');
	await waitUntil(() => server.openConnections === 1);
	await sleep(50);
	time.nowMs += 1000;
	server.startDraining();
	const fresh = await open();
	await waitUntil(() => server.openConnections === 2);
	server.closeIdle();
	await sleep(50);
	half.socket.write('1\r\n\r\n');
	fresh.socket.write('GET /fresh/ HTTP/1.1\r\nhost: a\r\n\r\n');
	t.ok(await waitUntil(() => half.state.isClosed && fresh.state.isClosed));
	t.same(runs.map(({path}) => path).sort(), ['/fresh/', '/half/']);
});

// Guards against resets of connections that arrived during a long step of the event loop: a poll
// accepts one of them only. A server without processor time needs seconds for hundreds of them.
tap.t.test('pending connections are accepted before a server stops listening', async (t) => {
	for (const [afterMs, isLate] of [
		[0, false],
		[3000, false],
		[6000, true],
	] as const) {
		const {server, runs, port, time} = await start(t);
		const sockets = Array.from({length: 40}, () => {
			const socket = net.connect(port, '127.0.0.1');
			socket.on('error', () => undefined);
			socket.write('GET /a/ HTTP/1.1\r\nhost: a\r\n\r\n');
			return socket;
		});
		t.teardown(() => {
			for (const socket of sockets) {
				socket.destroy();
			}
		});
		await Promise.resolve();
		blockEventLoop(30);
		server.stopListening(5000);
		time.nowMs += afterMs;
		t.ok(await waitUntil(() => !server.isListening));
		await sleep(50);
		t.equal(runs.length < sockets.length, isLate, `${runs.length} ran`);
	}
});

// Guards against a cut answer: the HTTP server destroys a connection with unsent bytes when it
// stops listening.
tap.t.test('slow callers read their whole answer during a stop', async (t) => {
	const {server, replies, open} = await start(t);
	const {socket, state} = await open();
	const bytes = new Uint8Array(16_000_000);
	let read = 0;
	socket.write('GET /wait/ HTTP/1.1\r\nhost: a\r\n\r\n');
	await waitUntil(() => replies.length === 1);
	socket.removeAllListeners('data');
	socket.pause();
	replies[0]!.start(200, {'content-length': String(bytes.length)});
	replies[0]!.write(bytes);
	replies[0]!.end();
	server.startDraining();
	server.closeIdle();
	server.stopListening(1000);
	await sleep(100);
	socket.on('data', (chunk) => {
		read += chunk.length;
	});
	socket.resume();
	t.ok(await waitUntil(() => read > bytes.length), 'head and body');
	t.notOk(state.isClosed && read < bytes.length);
});

tap.t.test('an idle connection is closed after the limit', async (t) => {
	const {closes, time, open, setLimits} = await start(t);
	setLimits({idleMs: 0});
	const {socket, state} = await open();
	socket.write('GET /a/ HTTP/1.1\r\nhost: a\r\n\r\n');
	await waitUntil(() => state.text.endsWith('ok'));
	time.nowMs += 5000;
	t.ok(await waitUntil(() => state.isClosed, 1000));
	t.ok(state.text.endsWith('ok'), 'no bytes after the answer');
	t.same(closes, ['idle-limit 0']);
});

tap.t.test('a caller that keeps its side open holds no connection', async (t) => {
	const {server, time, open} = await start(t);
	const {socket, state} = await open(true);
	await waitUntil(() => server.openConnections === 1);
	time.nowMs += 1000;
	server.closeIdle();
	t.ok(await waitUntil(() => state.hasEnded));
	t.ok(await waitUntil(() => server.openConnections === 0, 1000));
	t.notOk(socket.destroyed);
});

// Guards against a stale limit: the timer of an idle connection kept the limit in force at its
// last answer.
tap.t.test('a raised idle limit applies to idle connections', async (t) => {
	const {time, open, setLimits} = await start(t);
	setLimits({idleMs: 0});
	const {socket, state} = await open();
	socket.write('GET /a/ HTTP/1.1\r\nhost: a\r\n\r\n');
	await waitUntil(() => state.text.endsWith('ok'));
	setLimits({idleMs: 15_000});
	time.nowMs += 10_000;
	await sleep(idleTimerWaitMs);
	t.notOk(state.hasEnded);
	socket.write('GET /none/ HTTP/1.1\r\nhost: a\r\n\r\n');
	t.ok(await waitUntil(() => state.text.includes('404')));
});

// Guards against an idle timer that fires before the daemon reads a request waiting in the socket.
tap.t.test('a request that arrives in time during a stall is answered', async (t) => {
	const {time, open, setLimits} = await start(t);
	setLimits({idleMs: 0});
	const {socket, state} = await open();
	socket.write('GET /a/ HTTP/1.1\r\nhost: a\r\n\r\n');
	await waitUntil(() => state.text.endsWith('ok'));
	socket.write('GET /none/ HTTP/1.1\r\nhost: a\r\n\r\n');
	blockEventLoop(idleTimerWaitMs);
	time.nowMs += 5000;
	t.ok(await waitUntil(() => state.text.includes('404')));
	t.notOk(state.hasEnded);
});

tap.t.test('changed limits do not affect requests in progress', async (t) => {
	const {runs, replies, time, open, setLimits} = await start(t);
	const callers = [await open(), await open()];
	for (const {socket, state} of callers) {
		socket.write('GET /a/ HTTP/1.1\r\nhost: a\r\n\r\n');
		await waitUntil(() => state.text.endsWith('ok'));
		socket.write('GET /wait/ HTTP/1.1\r\nhost: a\r\n\r\n');
	}

	await waitUntil(() => replies.length === 4);
	const [early, late] = replies.filter((_reply, index) => runs[index]!.path === '/wait/');
	early!.start(200, {});
	early!.write(new TextEncoder().encode('first'));
	setLimits({headerBytes: 10, bodyBytes: 1, headerTimeoutMs: 1, idleMs: 0});
	time.nowMs += 5000;
	await sleep(idleTimerWaitMs);
	late!.start(200, {});
	for (const reply of [early!, late!]) {
		reply.write(new TextEncoder().encode('last'));
		reply.end();
	}

	t.ok(await waitUntil(() => callers.every(({state}) => state.text.endsWith('last\r\n0\r\n\r\n'))));
});

// Callers don't retry after 400; 408 states that the request has not run.
tap.t.test('a head that takes too long gets 408', async (t) => {
	const {closes, runs, open, setLimits} = await start(t);
	setLimits({headerTimeoutMs: 100});
	const {socket, state} = await open();
	socket.write('GET /a/ HTTP/1.1\r\nhost: a\r\nx: ');
	t.ok(await waitUntil(() => state.isClosed, 1000));
	t.match(state.text, 'HTTP/1.1 408 ');
	t.same(runs, []);
	t.same(closes, ['slow-head 0']);
});

// Guards against a 400 on a connection without a request: the head limit was measured from the
// opening of the connection.
tap.t.test('the head limit does not apply before a request starts', async (t) => {
	const {server, runs, open, setLimits} = await start(t);
	setLimits({headerTimeoutMs: 100});
	const early = await open();
	await waitUntil(() => server.openConnections === 1);
	await sleep(headCheckWaitMs);
	t.notOk(early.state.hasEnded);
	t.equal(early.state.text, '');
	early.socket.write('GET /wait/ HTTP/1.1\r\nhost: a\r\n\r\n');
	t.ok(await waitUntil(() => runs.length === 1));
});

tap.t.test('a connection without a request is closed after the idle limit', async (t) => {
	const {server, time, open, setLimits} = await start(t);
	setLimits({headerTimeoutMs: 1, idleMs: 0});
	const {state} = await open();
	await waitUntil(() => server.openConnections === 1);
	time.nowMs += 5000;
	t.ok(await waitUntil(() => state.isClosed, 1000));
	t.equal(state.text, '');
});

// Guards against a 400 for a request that ran, when the rest of its head waits in the socket
// during a stall.
tap.t.test('a head completed during a stall is in time', async (t) => {
	const {server, runs, open, setLimits} = await start(t);
	setLimits({headerTimeoutMs: 100});
	const {socket, state} = await open();
	socket.write('GET /a/ HTTP/1.1\r\nhost: a\r\nx: ');
	await waitUntil(() => server.openConnections === 1);
	await sleep(50);
	socket.write('1\r\n\r\n');
	blockEventLoop(headCheckWaitMs);
	t.ok(await waitUntil(() => state.text.endsWith('ok')));
	t.match(state.text, 'HTTP/1.1 200 ');
	t.equal(runs.length, 1);
	t.notOk(state.hasEnded);
});

// Guards against an idle timer, set before the first request, that ends its answer.
tap.t.test('an answer may pause for longer than the idle limit', async (t) => {
	const {server, replies, time, open, setLimits} = await start(t);
	setLimits({headerTimeoutMs: 1, idleMs: 0});
	const {socket, state} = await open();
	await waitUntil(() => server.openConnections === 1);
	await sleep(headCheckWaitMs);
	socket.write('GET /wait/ HTTP/1.1\r\nhost: a\r\n\r\n');
	await waitUntil(() => replies.length === 1);
	time.nowMs += 5000;
	await sleep(idleTimerWaitMs);
	replies[0]!.start(200, {'content-length': '2'});
	replies[0]!.write(new TextEncoder().encode('ok'));
	replies[0]!.end();
	t.ok(await waitUntil(() => state.text.endsWith('ok')));
});

// Guards against connections cut without an answer at the end of the grace, which callers can't
// distinguish from a crash.
tap.t.test('requests in progress at the end of a stop get an answer', async (t) => {
	const {server, runs, replies, closes, open, disposals} = await start(t);
	const [begun, waiting, unread] = [await open(), await open(), await open()];
	begun.socket.write('GET /wait/begun/ HTTP/1.1\r\nhost: a\r\n\r\n');
	await waitUntil(() => replies.length === 1);
	replies[0]!.start(200, {});
	replies[0]!.write(new TextEncoder().encode('first'));
	waiting.socket.write('GET /wait/ HTTP/1.1\r\nhost: a\r\n\r\n');
	unread.socket.write('POST /wait/ HTTP/1.1\r\nhost: a\r\ncontent-length: 3\r\n\r\nab');
	t.ok(await waitUntil(() => begun.state.text.includes('first') && server.inFlight === 3));
	await waitUntil(() => runs.length === 2);
	server.startDraining();
	server.abortRequests();
	t.equal(server.inFlight, 0);
	t.equal(disposals(), 2);
	t.ok(await waitUntil(() => [begun, waiting, unread].every(({state}) => state.isClosed)));
	t.notMatch(begun.state.text, '0\r\n\r\n', 'does not look complete');
	t.match(waiting.state.text, 'HTTP/1.1 502 ');
	t.match(waiting.state.text, '{"outcome":"unknown","reason":"stopping"}');
	t.match(unread.state.text, 'HTTP/1.1 503 ');
	t.match(unread.state.text, '{"outcome":"not-run","reason":"stopping"}');
	t.same(closes, ['grace-over 1', 'grace-over 1', 'grace-over 1']);
});

tap.t.test('addresses are split at the port', async (t) => {
	t.same(settings.splitAddress('10.1.0.35:8144'), {host: '10.1.0.35', port: 8144});
});

// Guards against an idle connection that ends a daemon without a configuration (issue 39).
tap.t.test('a connection is kept before limits are in force', async (t) => {
	const {open} = await start(t, false);
	const {socket, state} = await open();
	socket.write('GET /none/ HTTP/1.1\r\nhost: a\r\n\r\n');
	t.ok(await waitUntil(() => state.text.includes('404')));
	// Longer than the idle limit of Node.js itself.
	await sleep(6500);
	t.notOk(state.hasEnded);
	socket.write('GET /a/ HTTP/1.1\r\nhost: a\r\n\r\n');
	t.ok(await waitUntil(() => state.text.endsWith('ok')));
});

// Guards against limits of a configuration that end the process when they are applied (issue 39).
for (const idleMs of [-5000, -1000.5, 1e15]) {
	tap.t.test(`an idle limit of ${idleMs} ms is no error`, async (t) => {
		const {open, setLimits, time} = await start(t);
		setLimits({idleMs, headerTimeoutMs: idleMs});
		const {socket, state} = await open();
		socket.write('GET /a/ HTTP/1.1\r\nhost: a\r\n\r\n');
		t.ok(await waitUntil(() => state.text.endsWith('ok')));
		time.nowMs = 100;
		await sleep(headCheckWaitMs);
		t.equal(state.hasEnded, idleMs < 0);
	});
}
