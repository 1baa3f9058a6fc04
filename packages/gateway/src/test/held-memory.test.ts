// Callers whose bodies and unread answers together pass the budget of a server, over loopback.
import * as net from 'node:net';
import * as tap from 'tap';
import * as memoryBudget from '../common/memory-budget.js';
import * as callerServer from '../node/caller-server.js';
import * as serverPort from '../node/server-port.js';
import type * as answerClassifier from '../common/answer-classifier.js';
import type * as upstreamTransport from '../common/upstream-transport.js';

const bodyBytes = 400_000;
const budgetBytes = 4_000_000;
const answerBytes: Readonly<Record<string, number>> = {'/large/': bodyBytes, '/medium/': 15_000};

/** Names the reason of a refusal in a header. */
class ReasonPort extends serverPort.CallerPort {
	override refusalHeaders(_outcome: answerClassifier.Outcome, reason: string) {
		return {'x-reason': reason};
	}
}

const start = async (t: tap.Test, timeoutMs?: number) => {
	const budget = memoryBudget.createMemoryBudget(() => performance.now(), budgetBytes);
	const runs: string[] = [];
	const closes: string[] = [];
	let mostBytes = 0;
	const server = callerServer.createCallerServer(
		() => performance.now(),
		(head) =>
			head.path === '/none/'
				? {kind: 'reject', status: 404, reason: 'no-route'}
				: {
						kind: 'accept',
						timeoutMs,
						run(body, reply, onEnd) {
							runs.push(`${head.path} ${body?.length ?? 0}`);
							const answer = new Uint8Array(answerBytes[head.path] ?? 2);
							const write = (caller: upstreamTransport.CallerReply) => {
								caller.start(200, {'content-length': String(answer.length)});
								caller.write(answer);
								caller.end();
								onEnd();
							};

							if (head.path !== '/wait/') {
								write(reply);
							}

							return {dispose: () => undefined, terminate: () => undefined};
						},
					},
		{
			note(reason) {
				closes.push(reason);
			},
		},
		{budget, port: new ReasonPort()},
	);
	const port = await new Promise<number>((resolve) => {
		const probe = net.createServer();
		probe.listen(0, '127.0.0.1', () => {
			const address = probe.address() as net.AddressInfo;
			probe.close(() => {
				resolve(address.port);
			});
		});
	});
	await server.listen('127.0.0.1', port);
	server.applyLimits({headerBytes: 500, bodyBytes, headerTimeoutMs: 3000, idleMs: 15_000});
	const sampler = setInterval(() => {
		mostBytes = Math.max(mostBytes, budget.bodyBytes + budget.answerBytes);
	}, 1);
	t.teardown(() => {
		clearInterval(sampler);
		server.destroy();
	});
	const open = async () => {
		const socket = net.connect({port, host: '127.0.0.1'});
		const state = {text: '', isClosed: false};
		socket.on('data', (bytes) => {
			state.text += bytes.toString('latin1');
		});
		socket.on('close', () => {
			state.isClosed = true;
		});
		socket.on('error', () => undefined);
		t.teardown(() => {
			socket.destroy();
		});
		return {socket, state};
	};

	const post = async (path: string, declaredBytes: number, sentBytes: number) => {
		const caller = await open();
		caller.socket.write(
			`POST ${path} HTTP/1.1\r\nhost: a\r\ncontent-length: ${declaredBytes}\r\n\r\n`,
		);
		caller.socket.write(new Uint8Array(sentBytes));
		return caller;
	};

	return {budget, server, runs, closes, open, post, mostBytes: () => mostBytes};
};

const sleep = async (durationMs: number): Promise<void> =>
	new Promise((resolve) => {
		setTimeout(resolve, durationMs);
	});

const waitUntil = async (condition: () => boolean, maxSteps = 500): Promise<boolean> => {
	for (let step = 0; step < maxSteps && !condition(); step++) {
		await sleep(10);
	}

	return condition();
};

// Guards against unfinished bodies of many callers that together pass the memory limit.
tap.t.test(
	'40 unfinished bodies stay in the budget, and short requests run meanwhile',
	async (t) => {
		const {budget, runs, closes, post, mostBytes} = await start(t);
		const callers = await Promise.all(
			Array.from({length: 40}, async () => post('/unfinished/', bodyBytes, bodyBytes - 100)),
		);
		const short: Array<Awaited<ReturnType<typeof post>>> = [];
		for (let index = 0; index < 20; index++) {
			short.push(await post('/short/', 200, 200));
			await sleep(10);
		}

		const refused = () => callers.filter(({state}) => state.text !== '');
		const mostThatFit = budgetBytes / (bodyBytes - 100);
		t.ok(
			await waitUntil(() => refused().length >= 40 - mostThatFit),
			`${refused().length} refused`,
		);
		t.ok(mostBytes() <= budgetBytes, `${mostBytes()} bytes held`);
		t.ok(await waitUntil(() => short.every(({state}) => state.text.startsWith('HTTP/1.1 200'))));
		t.equal(runs.length, 20, 'no refused request runs');
		for (const {state} of refused()) {
			t.match(state.text, /^HTTP\/1\.1 503 /u);
			t.match(state.text, /\r\nretry-after: 0\.\d+\r\n/iu);
			t.match(state.text, /\r\nconnection: close\r\n/iu);
			t.match(state.text, /\r\nx-reason: no-memory\r\n/iu);
			t.ok(state.text.endsWith('{"outcome":"not-run","reason":"no-memory"}'));
		}

		t.ok(await waitUntil(() => refused().every(({state}) => state.isClosed)));
		t.equal(closes.filter((reason) => reason === 'no-memory').length, refused().length);

		// A body that was not refused can still be completed.
		const kept = callers.find(({state}) => state.text === '')!;
		kept.socket.write(new Uint8Array(100));
		t.ok(await waitUntil(() => kept.state.text.startsWith('HTTP/1.1 200')));
		t.equal(runs.at(-1), `/unfinished/ ${bodyBytes}`);
		for (const {socket} of callers) {
			socket.destroy();
		}

		t.ok(await waitUntil(() => budget.bodyBytes === 0), 'what left callers held is free');
		t.equal(budget.unfinishedBodies, 0);
	},
);

// A caller that is still sending may lose a response if its connection is reset.
tap.t.test('a caller that sends on after a refusal receives it whole', async (t) => {
	const {open, runs} = await start(t);
	const {socket, state} = await open();
	socket.write(`POST / HTTP/1.1\r\nhost: a\r\ncontent-length: ${bodyBytes + 1}\r\n\r\n`);
	const timer = setInterval(() => {
		socket.write(new Uint8Array(1000));
	}, 5);
	t.teardown(() => {
		clearInterval(timer);
	});
	t.ok(await waitUntil(() => state.text !== ''));
	t.match(state.text, /^HTTP\/1\.1 413 /u);
	t.ok(await waitUntil(() => state.text.endsWith('"body-too-large"}')));
	t.ok(await waitUntil(() => state.isClosed), 'it may not send on forever');
	t.equal(runs.length, 0);
});

tap.t.test('a declared size beyond the limit is refused before any byte of it', async (t) => {
	const {post, budget, server} = await start(t);
	const {state} = await post('/', bodyBytes + 1, 0);
	t.ok(await waitUntil(() => state.text.startsWith('HTTP/1.1 413 ')));
	t.ok(await waitUntil(() => state.isClosed));
	t.equal(budget.unfinishedBodies, 0);
	t.ok(await waitUntil(() => server.inFlight === 0));
});

// Guards against bodies of callers that are gone without a word, which were held for good.
tap.t.test('a body that is not complete in the time of its request is refused', async (t) => {
	const {post, budget, runs, closes} = await start(t, 300);
	const {state} = await post('/', 1000, 500);
	t.ok(await waitUntil(() => state.text.endsWith('{"outcome":"not-run","reason":"deadline"}')));
	t.match(state.text, /^HTTP\/1\.1 503 /u);
	t.equal(budget.bodyBytes, 0);
	t.ok(await waitUntil(() => state.isClosed));
	t.same(closes, ['slow-body']);
	t.equal(runs.length, 0);
});

tap.t.test('bodies of requests in progress stay, and new ones are refused at once', async (t) => {
	const {post, runs} = await start(t);
	const running = [];
	for (let index = 0; index < 5; index++) {
		running.push(await post('/wait/', bodyBytes, bodyBytes));
		t.ok(await waitUntil(() => runs.length === index + 1));
	}

	const {state} = await post('/wait/', bodyBytes, bodyBytes - 1);
	t.ok(await waitUntil(() => state.text.includes('no-memory')));
	const short = await post('/short/', 10, 10);
	t.ok(await waitUntil(() => short.state.text.startsWith('HTTP/1.1 200')));
	t.ok(running.every((caller) => !caller.state.isClosed && caller.state.text === ''));
});

tap.t.test('a body in many small chunks is held in little more than its size', async (t) => {
	const {open, budget, runs} = await start(t);
	const {socket, state} = await open();
	socket.write('POST / HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n');
	socket.write('1\r\na\r\n'.repeat(50_000));
	t.ok(await waitUntil(() => budget.bodyBytes >= 50_000));
	t.ok(budget.bodyBytes < 100_000, `${budget.bodyBytes} bytes held`);
	socket.write('0\r\n\r\n');
	t.ok(await waitUntil(() => state.text.startsWith('HTTP/1.1 200')));
	t.same(runs, ['/ 50000']);
	t.equal(budget.bodyBytes, 0);
});

// Guards against heads of many connections that were never complete and together filled the heap.
tap.t.test('40 unfinished heads: the longest give way, and requests run meanwhile', async (t) => {
	const {open, closes, budget, runs} = await start(t);
	const callers: Array<Awaited<ReturnType<typeof open>>> = [];
	for (let index = 0; index < 40; index++) {
		const caller = await open();
		// Beyond the limit of a head, which is known when the head is complete.
		caller.socket.write(`GET / HTTP/1.1\r\nhost: a\r\nx: ${'y'.repeat(index < 30 ? 50_000 : 100)}`);
		callers.push(caller);
	}

	const closed = () => callers.filter(({state}) => state.isClosed);
	const mostThatFit = budget.headLimitBytes / 50_000;
	t.ok(await waitUntil(() => closed().length >= 30 - mostThatFit), `${closed().length} closed`);
	t.ok(closed().every(({state}) => state.text.startsWith('HTTP/1.1 503 ')));
	t.ok(closed().every(({state}) => /\r\nretry-after: 0\.\d+\r\n/u.test(state.text)));
	t.notOk(
		callers.slice(30).some(({state}) => state.isClosed),
		'short ones stay',
	);
	t.equal(closes.length, closed().length);
	t.match(budget.takeGaveWay(), [{what: 'head', count: closed().length}]);
	callers.at(-1)!.socket.write('\r\n\r\n');
	t.ok(await waitUntil(() => callers.at(-1)!.state.text.startsWith('HTTP/1.1 200')));
	t.equal(runs.length, 1);
});

// Guards against complete heads of many fields, which stay as long as their requests.
tap.t.test(
	'heads of requests in progress count, and requests beyond the budget are refused',
	async (t) => {
		const {open, server, budget, runs} = await start(t);
		server.applyLimits({headerBytes: 16_384, bodyBytes, headerTimeoutMs: 3000, idleMs: 15_000});
		const fields = Array.from({length: 800}, (_, index) => `h${index}: abcdefgh\r\n`).join('');
		const callers: Array<Awaited<ReturnType<typeof open>>> = [];
		for (let index = 0; index < 60; index++) {
			const caller = await open();
			caller.socket.write(`GET /wait/ HTTP/1.1\r\nhost: a\r\n${fields}\r\n`);
			callers.push(caller);
		}

		const refused = () => callers.filter(({state}) => state.text.includes('"no-memory"'));
		t.ok(await waitUntil(() => runs.length + refused().length === 60));
		t.ok(runs.length < 30, `${runs.length} run`);
		t.ok(budget.bodyBytes <= budgetBytes);
		const short = await open();
		short.socket.write('GET / HTTP/1.1\r\nhost: a\r\n\r\n');
		t.ok(await waitUntil(() => short.state.text.startsWith('HTTP/1.1 200')));
		for (const {socket} of callers) {
			socket.destroy();
		}

		t.ok(await waitUntil(() => budget.bodyBytes === 0));
	},
);

// Guards against unread answers that together pass the memory limit.
tap.t.test('unread answers stay in the budget, and read ones arrive whole', async (t) => {
	const {open, budget, closes, mostBytes} = await start(t);
	const callers = [];
	for (let index = 0; index < 60; index++) {
		const caller = await open();
		caller.socket.pause();
		// Several answers, since the system's buffers take the first ones.
		caller.socket.write('GET /large/ HTTP/1.1\r\nhost: a\r\n\r\n'.repeat(20));
		callers.push(caller);
	}

	t.ok(await waitUntil(() => closes.includes('unread-answer')));
	await sleep(200);
	t.ok(budget.answerBytes <= budgetBytes);
	t.ok(mostBytes() <= budgetBytes, `${mostBytes()} bytes held`);
	const reader = await open();
	reader.socket.write('GET /large/ HTTP/1.1\r\nhost: a\r\n\r\n');
	t.ok(await waitUntil(() => reader.state.text.length > bodyBytes));
	for (const {socket} of callers) {
		socket.destroy();
	}

	t.ok(await waitUntil(() => budget.answerBytes === 0));
});

const headOf = (path: string, bytes: number) =>
	`GET ${path} HTTP/1.1\r\nhost: a\r\nx: ${'y'.repeat(bytes)}\r\n\r\n`;

// Guards against refusals that wait for an earlier response on their connection, whose heads ended a daemon at its heap limit.
tap.t.test('refused requests behind a waiting one stay in the budget', async (t) => {
	const {budget, server, closes, open, mostBytes} = await start(t);
	server.applyLimits({headerBytes: 60_000, bodyBytes, headerTimeoutMs: 3000, idleMs: 15_000});
	for (let index = 0; index < 10; index++) {
		const {socket} = await open();
		socket.write(headOf('/wait/', 1) + headOf('/none/', 50_000).repeat(20));
	}

	t.ok(await waitUntil(() => closes.includes('no-memory')));
	t.ok(budget.bodyBytes > 0);
	t.ok(mostBytes() <= budgetBytes, `${mostBytes()} bytes`);
});

// Guards against short answers behind a waiting one, which no budget counted.
tap.t.test('short answers behind a waiting one stay in the budget', async (t) => {
	const {budget, runs, closes, open, mostBytes} = await start(t);
	for (let index = 0; index < 10; index++) {
		const {socket} = await open();
		socket.write(headOf('/wait/', 1) + headOf('/medium/', 1).repeat(20));
	}

	t.ok(await waitUntil(() => closes.includes('unread-answer')));
	t.ok(runs.length > 20);
	t.ok(budget.answerBytes > 0);
	t.ok(mostBytes() <= budgetBytes, `${mostBytes()} bytes`);
});

// Guards against any number of requests in progress on one connection.
tap.t.test('a connection with very many requests in progress is closed', async (t) => {
	const {server, closes, open} = await start(t);
	const {socket, state} = await open();
	socket.write(headOf('/wait/', 1).repeat(40));
	t.ok(await waitUntil(() => state.isClosed));
	t.ok(closes.includes('pipelined'));
	t.equal(state.text, '', 'requests that may have run get no refusal');
	t.ok(await waitUntil(() => server.inFlight === 0));
});
