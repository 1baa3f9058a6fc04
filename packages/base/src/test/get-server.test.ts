// The small GET endpoints of a daemon.
import * as net from 'node:net';
import * as tap from 'tap';
import * as getServer from '../node/get-server.js';

const start = async (t: tap.Test) => {
	const failures: string[] = [];
	const server = getServer.createGetServer(
		{
			'/echo': (query) => getServer.jsonResponse({name: query.get('name')}),
			'/empty': () => ({status: 503}),
			async '/broken'() {
				throw new Error('out of order');
			},
		},
		(path, error) => {
			failures.push(`${path}: ${String(error)}`);
		},
	);
	await new Promise<void>((resolve) => {
		server.listen(0, '127.0.0.1', resolve);
	});
	t.teardown(() => {
		server.closeAllConnections();
		server.close();
	});
	const {port} = server.address() as net.AddressInfo;
	return {base: `http://127.0.0.1:${port}`, failures, server, port};
};

tap.t.test('a handler gets the query and answers in JSON', async (t) => {
	const {base} = await start(t);
	const response = await fetch(`${base}/echo?name=demo.example&x=1`);
	t.equal(response.headers.get('content-type'), 'application/json');
	t.same(await response.json(), {name: 'demo.example'});
	const empty = await fetch(`${base}/empty`);
	t.equal(empty.status, 503);
	t.equal(await empty.text(), '');
});

tap.t.test('other paths and methods are not found', async (t) => {
	const {base} = await start(t);
	const responses = await Promise.all([
		fetch(`${base}/other`),
		fetch(`${base}/constructor`),
		fetch(`${base}/echo`, {method: 'POST', body: 'x'}),
	]);
	t.same(
		responses.map(({status}) => status),
		[404, 404, 404],
	);
});

tap.t.test('a failed handler is reported and answers 500', async (t) => {
	const {base, failures} = await start(t);
	const {status} = await fetch(`${base}/broken`);
	t.equal(status, 500);
	t.same(failures, ['/broken: Error: out of order']);
});

// Guards against a flood of connections that uses up the descriptors of a process (issue 39).
tap.t.test('the oldest connection makes room for a new one', async (t) => {
	const {server, port} = await start(t);
	getServer.limitConnections(server, 2);
	const connect = async () => {
		const socket = net.connect(port, '127.0.0.1');
		await new Promise((resolve) => {
			socket.once('connect', resolve);
		});
		return socket;
	};

	const sockets: net.Socket[] = [];
	for (let count = 0; count < 5; count++) {
		sockets.push(await connect());
	}

	const isAnyOpen = () => sockets.slice(0, 3).some(({destroyed}) => !destroyed);
	for (let step = 0; step < 200 && isAnyOpen(); step++) {
		await new Promise((resolve) => {
			setTimeout(resolve, 10);
		});
	}

	t.same(
		sockets.map(({destroyed}) => destroyed),
		[true, true, true, false, false],
	);
	for (const socket of sockets) {
		socket.destroy();
	}
});
