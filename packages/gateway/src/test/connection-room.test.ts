// Guards against callers that cannot connect while others keep idle connections (issue 39).
import * as net from 'node:net';
import * as tap from 'tap';
import * as callerServer from '../node/caller-server.js';

const findFreePort = async (): Promise<number> =>
	new Promise((resolve) => {
		const probe = net.createServer();
		probe.listen(0, '127.0.0.1', () => {
			const {port} = probe.address() as net.AddressInfo;
			probe.close(() => {
				resolve(port);
			});
		});
	});

const waitUntil = async (condition: () => boolean): Promise<boolean> => {
	for (let step = 0; step < 300 && !condition(); step++) {
		await new Promise((resolve) => {
			setTimeout(resolve, 10);
		});
	}

	return condition();
};

const start = async (t: tap.Test, maxConnections: number) => {
	const closes: string[] = [];
	const time = {nowMs: 0};
	const server: callerServer.CallerServer = callerServer.createCallerServer(
		() => time.nowMs,
		() => ({kind: 'reject', status: 404, reason: 'no-route'}),
		{
			note(reason) {
				closes.push(reason);
			},
		},
		{
			makeRoom: () => server.openConnections <= maxConnections || server.closeLongestIdle(),
		},
	);
	const port = await findFreePort();
	await server.listen('127.0.0.1', port);
	t.teardown(() => {
		server.destroy();
	});
	const open = () => {
		const socket = net.connect(port, '127.0.0.1');
		const state = {text: '', isClosed: false};
		socket.on('data', (bytes) => {
			state.text += bytes.toString();
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

	return {server, closes, time, open};
};

const request = 'GET / HTTP/1.1\r\nhost: a\r\n\r\n';

tap.t.test('the connection that was idle for the longest time makes room', async (t) => {
	const {server, closes, time, open} = await start(t, 2);
	const first = open();
	t.ok(await waitUntil(() => server.openConnections === 1));
	const second = open();
	t.ok(await waitUntil(() => server.openConnections === 2));
	time.nowMs = 1000;
	first.socket.write(request);
	t.ok(await waitUntil(() => first.state.text.includes('404')));
	time.nowMs = 2000;
	const third = open();
	t.ok(await waitUntil(() => second.state.isClosed));
	t.notOk(first.state.isClosed);
	third.socket.write(request);
	t.ok(await waitUntil(() => third.state.text.includes('404')));
	t.same(closes, ['make-room']);
});

tap.t.test('without an idle connection, a new one is refused', async (t) => {
	const {server, closes, open} = await start(t, 1);
	const first = open();
	t.ok(await waitUntil(() => server.openConnections === 1));
	const second = open();
	t.ok(await waitUntil(() => second.state.text.startsWith('HTTP/1.1 503')));
	t.ok(await waitUntil(() => second.state.isClosed));
	t.notOk(first.state.isClosed, 'it is new, so its first request may be on its way');
	t.same(closes, ['no-room']);
});
