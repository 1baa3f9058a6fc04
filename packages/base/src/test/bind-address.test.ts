// Addresses that another process still holds, over loopback.
import * as net from 'node:net';
import * as tap from 'tap';
import * as bindAddress from '../node/bind-address.js';

const listen = async (
	server: net.Server,
	port: number,
	onLaterError: (error: Error) => void = () => undefined,
): Promise<number> => {
	await bindAddress.listenOnce(server, {port, host: '127.0.0.1'}, onLaterError);
	return (server.address() as net.AddressInfo).port;
};

const start = async (t: tap.Test) => {
	const holder = net.createServer();
	const port = await listen(holder, 0);
	const server = net.createServer();
	t.teardown(() => {
		holder.close();
		server.close();
	});
	const errors: string[] = [];
	const bind = async (timeoutMs: number) =>
		bindAddress.bindWhenFree(async () => listen(server, port), {
			timeoutMs,
			onRetry(error) {
				errors.push(error.message);
				holder.close();
			},
		});
	return {port, errors, bind};
};

// Guards against a daemon that ended by itself because its predecessor had not quite ended.
tap.t.test('an address that becomes free is bound', async (t) => {
	const {port, errors, bind} = await start(t);
	t.equal(await bind(10_000), port);
	t.match(errors, [/EADDRINUSE/u]);
});

tap.t.test('an address that stays in use fails', async (t) => {
	const {bind} = await start(t);
	await t.rejects(bind(0), {code: 'EADDRINUSE'});
});

tap.t.test('another error is not repeated', async (t) => {
	let calls = 0;
	const bind = async () => {
		calls++;
		throw new Error('no permission');
	};

	const onRetry = () => t.fail();
	await t.rejects(bindAddress.bindWhenFree(bind, {timeoutMs: 10_000, onRetry}), /permission/u);
	t.equal(calls, 1);
});

// Guards against a daemon that ended by itself because its VM's address came up late.
tap.t.test('an address that the VM lacks is bound when it comes up', async (t) => {
	const errors: string[] = [];
	const bind = async () => {
		if (errors.length === 0) {
			throw Object.assign(new Error('not available'), {code: 'EADDRNOTAVAIL'});
		}

		return 'bound';
	};

	const onRetry = (error: bindAddress.BindError) => {
		errors.push(error.code);
	};

	t.equal(await bindAddress.bindWhenFree(bind, {timeoutMs: 10_000, onRetry}), 'bound');
	t.strictSame(errors, ['EADDRNOTAVAIL']);
});

tap.t.test('a signal ends the wait for an address', async (t) => {
	const {port} = await start(t);
	const stop = new AbortController();
	const server = net.createServer();
	const bound = bindAddress.bindWhenFree(async () => listen(server, port), {
		timeoutMs: 60_000,
		signal: stop.signal,
		onRetry() {
			stop.abort();
		},
	});
	await t.rejects(bound, {name: 'AbortError'});
});

// Guards against an accept that fails, whose error ended the process (issue 39).
tap.t.test('an error of a listening server is reported, and it keeps listening', async (t) => {
	const server = net.createServer((socket) => {
		socket.end();
	});
	const errors: string[] = [];
	const port = await listen(server, 0, (error) => {
		errors.push(error.message);
	});
	t.teardown(() => {
		server.close();
	});
	server.emit('error', new Error('accept EMFILE'));
	server.emit('error', new Error('accept ENOBUFS'));
	t.same(errors, ['accept EMFILE', 'accept ENOBUFS']);
	const socket = net.connect(port, '127.0.0.1');
	await new Promise((resolve) => {
		socket.once('close', resolve);
		socket.resume();
	});
	t.ok(server.listening);
});
