/** Uses up the descriptors of its process, then sends to an upstream; the test reads its standard output. */
import * as fs from 'node:fs';
import * as net from 'node:net';
import * as connectionPool from '../node/connection-pool.js';

const server = net.createServer();
server.listen(0, '127.0.0.1', () => {
	const {port} = server.address() as net.AddressInfo;
	const address = `127.0.0.1:${port}`;
	const opened: number[] = [];
	for (;;) {
		try {
			opened.push(fs.openSync('/dev/null', 'r'));
		} catch {
			break;
		}
	}

	const results: Record<string, unknown> = {opened: opened.length > 0};
	const finish = (change: Record<string, unknown>) => {
		Object.assign(results, change);
		if ('failure' in results && 'probe' in results) {
			fs.writeSync(1, JSON.stringify(results));
			pool.dispose();
			server.close();
		}
	};

	const pool = new connectionPool.ConnectionPool(() => performance.now());
	pool.probe(address, (probe) => {
		finish({probe});
	});
	pool.send(
		{address, method: 'GET', path: '/', headers: [], needsRecentConnection: false},
		{
			onSent: () => undefined,
			onHead: () => undefined,
			onData: () => undefined,
			onEnd: () => undefined,
			onFailure(failure) {
				finish({failure});
			},
		},
	);
});
