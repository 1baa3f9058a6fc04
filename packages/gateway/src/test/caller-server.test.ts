// Callers that misbehave, leave or cross a close, over loopback.
import * as net from 'node:net';
import * as tap from 'tap';
import * as callerServer from '../node/caller-server.js';
import * as settings from '../node/settings.js';
import type * as routeConfig from '../common/route-config.js';
import type * as upstreamTransport from '../common/upstream-transport.js';

type Run = {body: string; path: string};

const port = async (): Promise<number> =>
	new Promise((resolve) => {
		const probe = net.createServer();
		probe.listen(0, '127.0.0.1', () => {
			const address = probe.address() as net.AddressInfo;
			probe.close(() => {
				resolve(address.port);
			});
		});
	});

const start = async (t: tap.Test) => {
	const runs: Run[] = [];
	const replies: upstreamTransport.CallerReply[] = [];
	const time = {nowMs: 0};
	const closes: string[] = [];
	let left = 0;
	const server = callerServer.createCallerServer(
		() => time.nowMs,
		(head) =>
			head.path === '/none/'
				? {kind: 'reject', status: 404, reason: 'no-route'}
				: {
						kind: 'accept',
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
									left++;
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
	const listenPort = await port();
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

	setLimits({});
	return {server, runs, replies, closes, time, open, setLimits, left: () => left};
};

/** The timer of an idle limit of 0 has fired after this time. */
const idleTimerMs = 2500;

/** The server has looked for slow heads after this time. */
const headTimerMs = 2200;

const sleep = async (durationMs: number): Promise<void> =>
	new Promise((resolve) => {
		setTimeout(resolve, durationMs);
	});

/** The event loop reads no socket meanwhile. */
const stallLoop = (durationMs: number): void => {
	const endMs = performance.now() + durationMs;
	while (performance.now() < endMs) {
		// Busy.
	}
};

const until = async (condition: () => boolean, maxSteps = 200): Promise<boolean> => {
	for (let step = 0; step < maxSteps && !condition(); step++) {
		await sleep(10);
	}

	return condition();
};

tap.t.test('a connection carries many requests', async (t) => {
	const {runs, open} = await start(t);
	const {socket, state} = await open();
	socket.write('GET /a/ HTTP/1.1\r\nhost: a\r\n\r\n');
	await until(() => state.text.endsWith('ok'));
	socket.write(
		'POST /b/ HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n',
	);
	t.ok(await until(() => runs.length === 2));
	t.same(runs[1], {path: '/b/', body: 'abc'});
});

tap.t.test('a request inside another one is not run', async (t) => {
	const {runs, closes, open} = await start(t);
	const {socket, state} = await open();
	socket.write(
		'POST /a/ HTTP/1.1\r\nhost: a\r\ncontent-length: 5\r\ntransfer-encoding: chunked\r\n\r\n' +
			'0\r\n\r\nGET /smuggled/ HTTP/1.1\r\nhost: a\r\n\r\n',
	);
	t.ok(await until(() => state.isClosed));
	t.match(state.text, 'HTTP/1.1 400');
	t.same(runs, []);
	t.same(closes, ['client-error 0']);
});

tap.t.test('limits of head and body get their status', async (t) => {
	const {runs, open} = await start(t);
	const large = await open();
	large.socket.write(`GET /a/ HTTP/1.1\r\nhost: a\r\nx: ${'y'.repeat(600)}\r\n\r\n`);
	t.ok(await until(() => large.state.text.includes('431')));
	const long = await open();
	long.socket.write(
		`POST /a/ HTTP/1.1\r\nhost: a\r\ncontent-length: 200\r\n\r\n${'z'.repeat(200)}`,
	);
	t.ok(await until(() => long.state.text.includes('413')));
	const none = await open();
	none.socket.write('GET /none/ HTTP/1.1\r\nhost: a\r\n\r\n');
	t.ok(await until(() => none.state.text.includes('404')));
	t.same(runs, []);
});

tap.t.test('a caller that leaves is noticed', async (t) => {
	const {server, runs, open, left} = await start(t);
	const {socket} = await open();
	socket.write('GET /wait/ HTTP/1.1\r\nhost: a\r\n\r\n');
	await until(() => runs.length === 1);
	t.equal(server.inFlight, 1);
	socket.destroy();
	t.ok(await until(() => left() === 1));
	t.equal(server.inFlight, 0);
});

for (const [name, leave] of [
	['reset', (socket: net.Socket) => socket.resetAndDestroy()],
	['closed', (socket: net.Socket) => socket.end()],
] as const) {
	tap.t.test(`a request that was ${name} while the daemon stalled is not run`, async (t) => {
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

tap.t.test('an answer that breaks does not look complete', async (t) => {
	const {replies, open} = await start(t);
	const {socket, state} = await open();
	socket.write('GET /wait/ HTTP/1.1\r\nhost: a\r\n\r\n');
	await until(() => replies.length === 1);
	replies[0]!.start(200, {});
	replies[0]!.write(new TextEncoder().encode('half'));
	await until(() => state.text.includes('half'));
	replies[0]!.abort();
	t.ok(await until(() => state.isClosed));
	t.notMatch(state.text, '0\r\n\r\n');
});

tap.t.test('a stop asks callers to leave with their answers', async (t) => {
	const {server, open} = await start(t);
	const {socket, state} = await open();
	server.startDraining();
	socket.write('GET /a/ HTTP/1.1\r\nhost: a\r\n\r\n');
	t.ok(await until(() => state.text.endsWith('ok')));
	t.match(state.text.toLowerCase(), 'connection: close');
	t.ok(await until(() => state.isClosed));
});

tap.t.test('a request that crosses the close of its idle connection is not run', async (t) => {
	const {closes, server, runs, time, open} = await start(t);
	const {socket, state} = await open(true);
	socket.write('GET /a/ HTTP/1.1\r\nhost: a\r\n\r\n');
	await until(() => state.text.endsWith('ok'));
	time.nowMs += 1000;
	server.startDraining();
	server.closeIdle();
	t.ok(await until(() => state.hasEnded));
	socket.write('GET /b/ HTTP/1.1\r\nhost: a\r\n\r\n');
	t.ok(await until(() => server.openConnections === 0));
	t.same(
		runs.map(({path}) => path),
		['/a/'],
	);
	t.same(closes, ['stop 0', 'crossed 1']);
});

// Requests that waited in the socket while the daemon stalled got no answer.
tap.t.test('a stop answers what arrived before it closes a connection', async (t) => {
	const {server, runs, time, open} = await start(t);
	const kept = await open();
	kept.socket.write('GET /kept-1/ HTTP/1.1\r\nhost: a\r\n\r\n');
	const half = await open();
	half.socket.write('GET /half/ HTTP/1.1\r\nhost: a\r\nx: ');
	const fresh = await open();
	t.ok(await until(() => kept.state.text.endsWith('ok') && server.openConnections === 3));
	await sleep(50);
	time.nowMs += 1000;
	server.startDraining();
	kept.socket.write('GET /kept-2/ HTTP/1.1\r\nhost: a\r\n\r\n');
	half.socket.write('1\r\n\r\n');
	fresh.socket.write('GET /fresh/ HTTP/1.1\r\nhost: a\r\n\r\n');
	stallLoop(100);
	server.closeIdle();
	t.ok(await until(() => [kept, half, fresh].every(({state}) => state.isClosed)));
	t.same(runs.map(({path}) => path).sort(), ['/fresh/', '/half/', '/kept-1/', '/kept-2/']);
	t.ok([kept, half, fresh].every(({state}) => state.text.endsWith('ok')));
});

// A connection that was opened late in a stop was closed before its first request.
tap.t.test('a stop does not close what was just opened or is half read', async (t) => {
	const {server, runs, time, open} = await start(t);
	const half = await open();
	half.socket.write('GET /half/ HTTP/1.1\r\nhost: a\r\nx: ');
	await until(() => server.openConnections === 1);
	await sleep(50);
	time.nowMs += 1000;
	server.startDraining();
	const fresh = await open();
	await until(() => server.openConnections === 2);
	server.closeIdle();
	await sleep(50);
	half.socket.write('1\r\n\r\n');
	fresh.socket.write('GET /fresh/ HTTP/1.1\r\nhost: a\r\n\r\n');
	t.ok(await until(() => half.state.isClosed && fresh.state.isClosed));
	t.same(runs.map(({path}) => path).sort(), ['/fresh/', '/half/']);
});

// The HTTP server destroys such a connection when it stops to listen.
tap.t.test('a stop lets slow callers read their answer to the end', async (t) => {
	const {server, replies, open} = await start(t);
	const {socket, state} = await open();
	const bytes = new Uint8Array(16_000_000);
	let read = 0;
	socket.write('GET /wait/ HTTP/1.1\r\nhost: a\r\n\r\n');
	await until(() => replies.length === 1);
	socket.removeAllListeners('data');
	socket.pause();
	replies[0]!.start(200, {'content-length': String(bytes.length)});
	replies[0]!.write(bytes);
	replies[0]!.end();
	server.startDraining();
	server.closeIdle();
	server.stopListening();
	await sleep(100);
	socket.on('data', (chunk) => {
		read += chunk.length;
	});
	socket.resume();
	t.ok(await until(() => read > bytes.length), 'head and body');
	t.notOk(state.isClosed && read < bytes.length);
});

tap.t.test('an idle connection is closed after the limit', async (t) => {
	const {closes, time, open, setLimits} = await start(t);
	setLimits({idleMs: 0});
	const {socket, state} = await open();
	socket.write('GET /a/ HTTP/1.1\r\nhost: a\r\n\r\n');
	await until(() => state.text.endsWith('ok'));
	time.nowMs += 5000;
	t.ok(await until(() => state.isClosed, 1000));
	t.ok(state.text.endsWith('ok'), 'with nothing but the answer');
	t.same(closes, ['idle-limit 0']);
});

tap.t.test('a caller that does not close its side holds no connection', async (t) => {
	const {server, time, open} = await start(t);
	const {socket, state} = await open(true);
	await until(() => server.openConnections === 1);
	time.nowMs += 1000;
	server.closeIdle();
	t.ok(await until(() => state.hasEnded));
	t.ok(await until(() => server.openConnections === 0, 1000));
	t.notOk(socket.destroyed);
});

// The timer of an idle connection kept the limit that was in force at its last answer.
tap.t.test('a raised idle limit holds for connections that are idle already', async (t) => {
	const {time, open, setLimits} = await start(t);
	setLimits({idleMs: 0});
	const {socket, state} = await open();
	socket.write('GET /a/ HTTP/1.1\r\nhost: a\r\n\r\n');
	await until(() => state.text.endsWith('ok'));
	setLimits({idleMs: 15_000});
	time.nowMs += 10_000;
	await sleep(idleTimerMs);
	t.notOk(state.hasEnded);
	socket.write('GET /none/ HTTP/1.1\r\nhost: a\r\n\r\n');
	t.ok(await until(() => state.text.includes('404')));
});

// The timer fired before the request was read that waited in the socket.
tap.t.test('a request that came in time during a stall is answered', async (t) => {
	const {time, open, setLimits} = await start(t);
	setLimits({idleMs: 0});
	const {socket, state} = await open();
	socket.write('GET /a/ HTTP/1.1\r\nhost: a\r\n\r\n');
	await until(() => state.text.endsWith('ok'));
	socket.write('GET /none/ HTTP/1.1\r\nhost: a\r\n\r\n');
	stallLoop(idleTimerMs);
	time.nowMs += 5000;
	t.ok(await until(() => state.text.includes('404')));
	t.notOk(state.hasEnded);
});

tap.t.test('changed limits leave requests in progress alone', async (t) => {
	const {runs, replies, time, open, setLimits} = await start(t);
	const callers = [await open(), await open()];
	for (const {socket, state} of callers) {
		socket.write('GET /a/ HTTP/1.1\r\nhost: a\r\n\r\n');
		await until(() => state.text.endsWith('ok'));
		socket.write('GET /wait/ HTTP/1.1\r\nhost: a\r\n\r\n');
	}

	await until(() => replies.length === 4);
	const [early, late] = replies.filter((_reply, index) => runs[index]!.path === '/wait/');
	early!.start(200, {});
	early!.write(new TextEncoder().encode('first'));
	setLimits({headerBytes: 10, bodyBytes: 1, headerTimeoutMs: 1, idleMs: 0});
	time.nowMs += 5000;
	await sleep(idleTimerMs);
	late!.start(200, {});
	for (const reply of [early!, late!]) {
		reply.write(new TextEncoder().encode('last'));
		reply.end();
	}

	t.ok(await until(() => callers.every(({state}) => state.text.endsWith('last\r\n0\r\n\r\n'))));
});

// Callers do not retry after 400; after 408 they know that the request has not run.
tap.t.test('a head that takes too long gets 408', async (t) => {
	const {closes, runs, open, setLimits} = await start(t);
	setLimits({headerTimeoutMs: 100});
	const {socket, state} = await open();
	socket.write('GET /a/ HTTP/1.1\r\nhost: a\r\nx: ');
	t.ok(await until(() => state.isClosed, 1000));
	t.match(state.text, 'HTTP/1.1 408 ');
	t.same(runs, []);
	t.same(closes, ['slow-head 0']);
});

// The limit on heads counted from the opening of the connection, which then got 400.
tap.t.test('the limit on heads does not concern a connection without a request', async (t) => {
	const {server, runs, open, setLimits} = await start(t);
	setLimits({headerTimeoutMs: 100});
	const early = await open();
	await until(() => server.openConnections === 1);
	await sleep(headTimerMs);
	t.notOk(early.state.hasEnded);
	t.equal(early.state.text, '');
	early.socket.write('GET /wait/ HTTP/1.1\r\nhost: a\r\n\r\n');
	t.ok(await until(() => runs.length === 1));
});

tap.t.test('a connection without any request is closed after the idle limit', async (t) => {
	const {server, time, open, setLimits} = await start(t);
	setLimits({headerTimeoutMs: 1, idleMs: 0});
	const {state} = await open();
	await until(() => server.openConnections === 1);
	time.nowMs += 5000;
	t.ok(await until(() => state.isClosed, 1000));
	t.equal(state.text, '');
});

// The request ran, and its caller was told 400.
tap.t.test('a head whose rest came during a stall is in time', async (t) => {
	const {server, runs, open, setLimits} = await start(t);
	setLimits({headerTimeoutMs: 100});
	const {socket, state} = await open();
	socket.write('GET /a/ HTTP/1.1\r\nhost: a\r\nx: ');
	await until(() => server.openConnections === 1);
	await sleep(50);
	socket.write('1\r\n\r\n');
	stallLoop(headTimerMs);
	t.ok(await until(() => state.text.endsWith('ok')));
	t.match(state.text, 'HTTP/1.1 200 ');
	t.equal(runs.length, 1);
	t.notOk(state.hasEnded);
});

// A timer that is set before the first request must not end its answer.
tap.t.test('an answer may pause for longer than the idle limit', async (t) => {
	const {server, replies, time, open, setLimits} = await start(t);
	setLimits({headerTimeoutMs: 1, idleMs: 0});
	const {socket, state} = await open();
	await until(() => server.openConnections === 1);
	await sleep(headTimerMs);
	socket.write('GET /wait/ HTTP/1.1\r\nhost: a\r\n\r\n');
	await until(() => replies.length === 1);
	time.nowMs += 5000;
	await sleep(idleTimerMs);
	replies[0]!.start(200, {'content-length': '2'});
	replies[0]!.write(new TextEncoder().encode('ok'));
	replies[0]!.end();
	t.ok(await until(() => state.text.endsWith('ok')));
});

// Callers could not tell the end of the grace from a crash.
tap.t.test('requests in progress at the end of a stop get an answer', async (t) => {
	const {server, runs, replies, closes, open, left} = await start(t);
	const [begun, waiting, unread] = [await open(), await open(), await open()];
	begun.socket.write('GET /wait/begun/ HTTP/1.1\r\nhost: a\r\n\r\n');
	await until(() => replies.length === 1);
	replies[0]!.start(200, {});
	replies[0]!.write(new TextEncoder().encode('first'));
	waiting.socket.write('GET /wait/ HTTP/1.1\r\nhost: a\r\n\r\n');
	unread.socket.write('POST /wait/ HTTP/1.1\r\nhost: a\r\ncontent-length: 3\r\n\r\nab');
	t.ok(await until(() => begun.state.text.includes('first') && server.inFlight === 3));
	await until(() => runs.length === 2);
	server.startDraining();
	server.abortRequests();
	t.equal(server.inFlight, 0);
	t.equal(left(), 2);
	t.ok(await until(() => [begun, waiting, unread].every(({state}) => state.isClosed)));
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
