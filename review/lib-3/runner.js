/** Stand-in of a runner over HTTP that registers itself in the store. */
/* eslint-disable camelcase -- the names of the platform's wire */
import http from 'node:http';

const beatMs = 1200;

/**
 * Starts a runner. `handle(request, response, {attempt, id})` answers the requests that it runs.
 */
export const startRunner = async (store, {id, service, zone, host, slots = 6, handle}) => {
	const born = Date.now();
	let seq = 0;
	const sockets = new Set();
	const server = http.createServer({keepAliveTimeout: 5000}, (request, response) => {
		const attempt = request.headers['attempt-id'];
		if (request.url === '/healthz') {
			request.resume();
			response.writeHead(200, {'instance-id': id, 'content-length': 0});
			response.end();
			return;
		}

		if (attempt === undefined) {
			request.resume();
			response.writeHead(400, {'not-run': '1', 'content-length': 0}).end();
			return;
		}

		const expected = request.headers['expect-instance'];
		if (expected !== undefined && expected !== id) {
			request.resume();
			response
				.writeHead(421, {'instance-id': id, 'attempt-id': attempt, 'content-length': 0})
				.end();
			return;
		}

		handle(request, response, {attempt, id});
	});
	server.on('connection', (socket) => {
		sockets.add(socket);
		socket.on('error', () => undefined);
		socket.on('close', () => sockets.delete(socket));
	});
	await new Promise((resolve) => {
		server.listen(0, host, resolve);
	});
	const address = `${host}:${server.address().port}`;
	const beat = () => {
		seq++;
		store.put(`servers/${id}`, {
			service,
			address,
			zone,
			version: 'v1',
			slots,
			state: 'ready',
			cold_left_ms: 0,
			seq,
			born,
		});
	};

	beat();
	const timer = setInterval(beat, beatMs);
	return {
		id,
		address,
		close() {
			clearInterval(timer);
			server.close();
			for (const socket of sockets) {
				socket.destroy();
			}
		},
	};
};
