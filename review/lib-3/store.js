/** Stand-in of the platform's metadata store, in memory. Its answers follow PROTOCOL.md. */
/* eslint-disable camelcase -- the names of the platform's wire */
import {Buffer} from 'node:buffer';
import http from 'node:http';

const pageItems = 500;

const readJson = async (request) => {
	const chunks = [];
	for await (const chunk of request) {
		chunks.push(chunk);
	}

	const text = Buffer.concat(chunks).toString();
	return text === '' ? {} : JSON.parse(text);
};

/**
 * Starts the store on a loopback address. Each door is an address of its own, so that the store
 * can turn some machines away (`busy`: 503) and serve the others.
 */
export const startStore = async (host) => {
	const items = new Map();
	const leases = new Map();
	const events = [];
	const waiting = new Set();
	let revision = 10;
	let leaseId = 77_000;

	const publish = (event) => {
		events.push(event);
		for (const wake of waiting) {
			wake();
		}
	};

	const write = (key, value, lease = 0) => {
		revision++;
		const created = items.get(key)?.created ?? revision;
		items.set(key, {key, value, rev: revision, created, lease});
		publish({key, value, rev: revision, created, lease});
	};

	const remove = (key) => {
		if (items.delete(key)) {
			revision++;
			publish({key, rev: revision, removed: true});
		}
	};

	const endLease = (lease) => {
		leases.delete(lease);
		for (const item of items.values()) {
			if (item.lease === lease) {
				remove(item.key);
			}
		}
	};

	const leaseTimer = setInterval(() => {
		for (const [lease, {untilMs}] of leases) {
			if (untilMs < Date.now()) {
				endLease(lease);
			}
		}
	}, 100);

	const range = (query) => {
		const prefix = query.get('prefix') ?? '';
		const after = query.get('after') ?? '';
		const found = [...items.values()]
			.filter(({key}) => key.startsWith(prefix) && key > after)
			.sort((a, b) => (a.key < b.key ? -1 : 1));
		return {items: found.slice(0, pageItems), has_more: found.length > pageItems, at: revision};
	};

	const watch = async (query) => {
		const prefix = query.get('prefix') ?? '';
		const after = Number(query.get('after'));
		const untilMs = Date.now() + Number(query.get('wait_ms'));
		for (;;) {
			const found = events.filter(({key, rev}) => rev > after && key.startsWith(prefix));
			if (found.length > 0 || Date.now() >= untilMs) {
				return {events: found, at: revision};
			}

			await new Promise((resolve) => {
				const timer = setTimeout(() => wake(), Math.max(1, untilMs - Date.now()));
				const wake = () => {
					waiting.delete(wake);
					clearTimeout(timer);
					resolve();
				};

				waiting.add(wake);
			});
		}
	};

	const transact = ({expected = [], writes = [], remove: removed = []}) => {
		if (expected.some(({key, rev}) => (items.get(key)?.rev ?? 0) !== rev)) {
			const current = expected.flatMap(({key}) => items.get(key) ?? []);
			return {status: 412, body: {items: current}};
		}

		if (writes.some(({lease}) => lease && !leases.has(lease))) {
			return {status: 404, body: {}};
		}

		for (const {key, value, lease} of writes) {
			write(key, value, lease);
		}

		for (const key of removed) {
			remove(key);
		}

		return {status: 200, body: {rev: revision}};
	};

	const answer = async (call, id, query, body) => {
		switch (call) {
			case 'kv-key': {
				const item = items.get(query.get('key'));
				return item ? {status: 200, body: {...item, at: revision}} : {status: 404, body: {}};
			}

			case 'kv-range': {
				return {status: 200, body: range(query)};
			}

			case 'kv-watch': {
				return {status: 200, body: await watch(query)};
			}

			case 'kv-txn': {
				return transact(body);
			}

			case 'kv-lease': {
				leaseId++;
				leases.set(leaseId, {ttlMs: body.ttl_ms, untilMs: Date.now() + body.ttl_ms});
				return {status: 200, body: {lease: leaseId, ttl_ms: body.ttl_ms}};
			}

			case 'kv-keep': {
				const lease = leases.get(Number(id));
				if (!lease) {
					return {status: 404, body: {}};
				}

				lease.untilMs = Date.now() + lease.ttlMs;
				return {status: 200, body: {ttl_ms: lease.ttlMs}};
			}

			case 'kv-lease-end': {
				endLease(Number(id));
				return {status: 200, body: {}};
			}

			default: {
				return {status: 404, body: {}};
			}
		}
	};

	const servers = [];
	/** Opens one more address. */
	const openDoor = async () => {
		const door = {address: '', mode: 'up'};
		const server = http.createServer(async (request, response) => {
			try {
				const url = new URL(request.url, 'http://store');
				const [call, id] = url.pathname.replace('/api/', '').split('/');
				const body = await readJson(request);
				const result =
					door.mode === 'busy'
						? {status: 503, body: {}}
						: await answer(call, id, url.searchParams, body);
				response.writeHead(result.status, {'content-type': 'application/json'});
				response.end(JSON.stringify(result.body));
			} catch {
				response.destroy();
			}
		});
		await new Promise((resolve) => {
			server.listen(0, host, resolve);
		});
		servers.push(server);
		door.address = `${host}:${server.address().port}`;
		/** Answers 503 from now on, and cuts the watches that wait. */
		door.turnAway = () => {
			door.mode = 'busy';
			server.closeAllConnections();
		};

		door.serve = () => {
			door.mode = 'up';
		};

		return door;
	};

	return {
		openDoor,
		put(key, value) {
			write(key, Buffer.from(JSON.stringify(value)).toString('base64'));
		},
		remove,
		close() {
			clearInterval(leaseTimer);
			for (const server of servers) {
				server.close();
				server.closeAllConnections();
			}
		},
	};
};
