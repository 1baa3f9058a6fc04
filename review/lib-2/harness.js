/**
 * Stand-ins for the scripts of the review: the platform's store, upstreams, callers, and
 * the start of gateway processes with the command of the deploy file. All addresses are
 * loopback addresses.
 */
/* eslint camelcase: off -- the names of the platform's wire */
import * as buffer from 'node:buffer';
import * as childProcess from 'node:child_process';
import * as fs from 'node:fs';
import * as http from 'node:http';
import * as net from 'node:net';
import * as os from 'node:os';
import * as path from 'node:path';
// A namespace import makes exitCode read-only.
import process from 'node:process';
import * as timersPromises from 'node:timers/promises';
import * as url from 'node:url';

const root = path.resolve(path.dirname(url.fileURLToPath(import.meta.url)), '../..');

/** Interval of the check-ins of upstreams in the store. */
export const beatMs = 1200;
/** An entry is removed after this many check-ins without a word. */
const missedBeats = 3;
const restartDelayMs = 300;
const readyTimeoutMs = 20_000;

export const sleep = async (durationMs) => timersPromises.setTimeout(durationMs);

/** Whether the script plays the disruption; `TROUBLE=0` leaves it out. */
export const hasTrouble = process.env.TROUBLE !== '0';

/** Writes what was sent, answered and run, and ends the script with the verdict. */
export const createRecord = (folder) => {
	const startedAtMs = Date.now();
	const lines = [`disruption: ${hasTrouble ? 'yes' : 'no'}`];
	const cleanups = [];
	const note = (text) => {
		const second = ((Date.now() - startedAtMs) / 1000).toFixed(3).padStart(8);
		lines.push(`${second} ${text}`);
	};

	const finish = async (code, verdict) => {
		note(verdict);
		for (const cleanup of cleanups.reverse()) {
			await cleanup();
		}

		fs.writeFileSync(path.join(folder, 'record.txt'), `${lines.join('\n')}\n`);
		process.stdout.write(`${verdict}\n`);
		// eslint-disable-next-line unicorn/no-process-exit -- the exit code is the verdict
		process.exit(code);
	};

	let isFailing = false;
	const onFailure = (error) => {
		if (!isFailing) {
			isFailing = true;
			finish(2, `COULD NOT RUN: ${error?.stack ?? error}`);
		}
	};

	// An error of the script is no verdict on the rule.
	process.on('uncaughtException', onFailure);
	process.on('unhandledRejection', onFailure);
	for (const signal of ['SIGINT', 'SIGTERM']) {
		process.on(signal, () => {
			onFailure(signal);
		});
	}

	return {
		note,
		/** Adds what ends a process or a server that the script has started. */
		addCleanup(cleanup) {
			cleanups.push(cleanup);
		},
		broken: async (text) => finish(1, `BROKEN: ${text}`),
		held: async (text) => finish(0, `HELD: ${text}`),
		unable: async (text) => finish(2, `COULD NOT RUN: ${text}`),
	};
};

const listen = async (server, host, port = 0) =>
	new Promise((resolve, reject) => {
		server.once('error', reject);
		server.listen(port, host, () => {
			server.off('error', reject);
			resolve(server.address().port);
		});
	});

const readText = async (stream) => {
	const chunks = [];
	for await (const chunk of stream) {
		chunks.push(chunk);
	}

	return buffer.Buffer.concat(chunks).toString();
};

/** The platform's store: items, watches and leases. */
export const startStore = async (record) => {
	const items = new Map();
	const leases = new Map();
	const events = [];
	const wakers = new Set();
	let revision = 10;

	const publish = (event) => {
		events.push(event);
		for (const wake of wakers) {
			wake();
		}
	};

	const write = (key, value, lease = 0) => {
		revision++;
		items.set(key, {key, value, rev: revision, created: revision, lease});
		publish({key, rev: revision, created: revision, value, lease});
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

	const watch = async (query) => {
		const untilMs = Date.now() + Number(query.get('wait_ms'));
		for (;;) {
			const found = events.filter(
				({key, rev}) => rev > Number(query.get('after')) && key.startsWith(query.get('prefix')),
			);
			if (found.length > 0 || Date.now() >= untilMs) {
				return {status: 200, body: {events: found, at: revision}};
			}

			await new Promise((resolve) => {
				const wake = () => {
					wakers.delete(wake);
					clearTimeout(timer);
					resolve();
				};

				const timer = setTimeout(wake, Math.max(1, untilMs - Date.now()));
				wakers.add(wake);
			});
		}
	};

	const commit = ({expected = [], writes = [], remove: removed = []}) => {
		if (expected.some(({key, rev}) => (items.get(key)?.rev ?? 0) !== rev)) {
			return {status: 412, body: {items: []}};
		}

		if (writes.some(({lease}) => lease > 0 && !leases.has(lease))) {
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

	const grant = ({ttl_ms: ttlMs}) => {
		const lease = revision * 1000 + leases.size + 1;
		leases.set(lease, {ttlMs, endsAtMs: Date.now() + ttlMs});
		return {status: 200, body: {lease, ttl_ms: ttlMs}};
	};

	const keep = (lease) => {
		const known = leases.get(lease);
		if (known) {
			known.endsAtMs = Date.now() + known.ttlMs;
		}

		return {status: known ? 200 : 404, body: {}};
	};

	const answer = async (request) => {
		const text = await readText(request);
		const body = text === '' ? {} : JSON.parse(text);
		const {pathname, searchParams} = new URL(request.url, 'http://store');
		const [call, id] = pathname.replace('/api/', '').split('/');
		switch (call) {
			case 'kv-range': {
				const found = [...items.values()].filter(({key}) =>
					key.startsWith(searchParams.get('prefix')),
				);
				found.sort((a, b) => (a.key < b.key ? -1 : 1));
				return {status: 200, body: {items: found, has_more: false, at: revision}};
			}

			case 'kv-watch': {
				return watch(searchParams);
			}

			case 'kv-txn': {
				return commit(body);
			}

			case 'kv-lease': {
				return grant(body);
			}

			case 'kv-keep': {
				return keep(Number(id));
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

	const server = http.createServer(async (request, response) => {
		try {
			const {status, body} = await answer(request);
			response.writeHead(status, {'content-type': 'application/json'});
			response.end(JSON.stringify(body));
		} catch {
			response.destroy();
		}
	});
	const port = await listen(server, '127.0.0.1');
	const leaseTimer = setInterval(() => {
		for (const [lease, {endsAtMs}] of leases) {
			if (endsAtMs < Date.now()) {
				endLease(lease);
			}
		}
	}, 200);
	record.addCleanup(() => {
		clearInterval(leaseTimer);
		server.close();
		server.closeAllConnections();
	});
	return {
		address: `127.0.0.1:${port}`,
		put(key, value) {
			write(key, buffer.Buffer.from(JSON.stringify(value)).toString('base64'));
		},
		remove,
		has: (key) => items.has(key),
	};
};

/**
 * An upstream: checks in at the store, answers health questions, and runs requests after
 * their work time. `onRequest` may answer instead and returns whether it did.
 */
export const startUpstream = async (record, store, options) => {
	const {id, service, zone, workMs = 20, slots = 64, onRequest = () => false} = options;
	const born = Date.now();
	const arrivals = [];
	const upstream = {
		id,
		arrivals,
		/** Whether its check-ins reach the store. */
		reachesStore: true,
		/** Its entry is kept out of the store from now on, as of one that leaves without a word. */
		hasLeft: false,
		address: '',
	};
	let silentBeats = 0;
	const key = `servers/${id}`;
	const writeEntry = (fields = {}) => {
		record.note(`store: entry of ${id}`);
		store.put(key, {
			service,
			address: upstream.address,
			zone,
			version: 'v1',
			slots,
			state: 'ready',
			cold_left_ms: 0,
			seq: 1,
			born,
			...fields,
		});
	};

	const checkIn = () => {
		silentBeats = upstream.reachesStore ? 0 : silentBeats + 1;
		if (upstream.hasLeft) {
			return;
		}

		if (silentBeats >= missedBeats && store.has(key)) {
			record.note(`store: the entry of ${id} lapses`);
			store.remove(key);
		} else if (silentBeats === 0 && !store.has(key)) {
			// A check-in changes the entry only if more than its counter changes.
			writeEntry();
		}
	};

	const server = http.createServer({maxHeaderSize: 65_536}, async (request, response) => {
		const arrival = {
			atMs: Date.now(),
			attempt: String(request.headers['attempt-id']),
			path: request.url,
			expects: request.headers['expect-instance'],
			from: request.socket.remoteAddress,
			headers: request.headers,
		};
		const body = await readText(request);
		if (request.url === '/healthz') {
			response.writeHead(200, {'instance-id': id}).end();
			return;
		}

		arrivals.push(arrival);
		record.note(`${id}: request ${arrival.attempt} arrives`);
		response.setHeader('attempt-id', arrival.attempt);
		if (arrival.expects !== undefined && arrival.expects !== id) {
			response.writeHead(421, {'instance-id': id}).end();
			return;
		}

		if (await onRequest(arrival, response, body)) {
			return;
		}

		await sleep(workMs);
		if (!response.destroyed) {
			record.note(`${id}: ran ${arrival.attempt}`);
			response.writeHead(200, {'response-stamp': `stamp-${arrival.attempt}`});
			response.end(`answer to ${arrival.attempt}`);
		}
	});
	server.keepAliveTimeout = 10_000;
	const port = await listen(server, '127.0.0.1');
	upstream.address = `127.0.0.1:${port}`;
	checkIn();
	const timer = setInterval(checkIn, beatMs);
	record.addCleanup(() => {
		clearInterval(timer);
		server.close();
		server.closeAllConnections();
	});
	return Object.assign(upstream, {
		/** Writes the entry with changed fields, before the next check-in. */
		writeEntry,
		/** Removes the entry while the upstream serves on. */
		leave() {
			upstream.hasLeft = true;
			store.remove(key);
		},
		/** Ends like a process that crashes: its connections break, and its entry lapses. */
		crash() {
			record.note(`${id}: the process ends`);
			upstream.reachesStore = false;
			server.close();
			server.closeAllConnections();
		},
	});
};

const lookUp = (value, [part, ...rest]) =>
	part === undefined ? value : lookUp(value?.[part], rest);

/** Fills in a settings template as the platform does; only what this project's template uses. */
const fillTemplate = (template, fields) => {
	const valueOf = (name, scope) => (name === '.' ? scope['.'] : lookUp(scope, name.split('.')));
	const fill = (text, scope) => {
		const sections = /\{\{#(?<name>[^}]+)\}\}\n?(?<inner>.*?)\{\{\/\k<name>\}\}\n?/gsu;
		const expanded = text.replaceAll(sections, (_, name, inner) => {
			const value = valueOf(name, scope);
			if (typeof value === 'object' && value !== null) {
				return Object.entries(value)
					.map(([key, entry]) => fill(inner, {...scope, '.': entry, '@': key}))
					.join('');
			}

			return value === undefined ? '' : fill(inner, scope);
		});
		return expanded.replaceAll(/\{\{(?<name>[^}]+)\}\}/gu, (_, name) => {
			const value = name === '@' ? scope['@'] : valueOf(name, scope);
			return Array.isArray(value) ? value.join(',') : String(value ?? '');
		});
	};

	return fill(template, fields);
};

const deployText = fs.readFileSync(path.join(root, 'deploy/system.toml'), 'utf8');
const [, runCommand] = /^run = "(?<command>.*)"$/mu.exec(deployText);
const [, templateFile] = /^template = "(?<file>.*)"$/mu.exec(deployText);

const isFree = async (host, port) => {
	const server = net.createServer();
	try {
		await listen(server, host, port);
		return true;
	} catch {
		return false;
	} finally {
		server.close();
	}
};

/** Ports that are free on all hosts, as the ports are the same on all machines. */
const findPorts = async (hosts, count) => {
	const ports = [];
	while (ports.length < count) {
		const server = net.createServer();
		const port = await listen(server, hosts[0]);
		server.close();
		const free = await Promise.all(hosts.map(async (host) => isFree(host, port)));
		if (!ports.includes(port) && free.every(Boolean)) {
			ports.push(port);
		}
	}

	return ports;
};

/** Bounds of the small deployments. */
export const bounds = {
	grace_s: 8,
	budget_ratio: 0.2,
	budget_extra: 54,
	budget_window_s: 10,
	ttl_max_s: 5,
};

/** Starts one gateway process for each place; resolves when all are ready. */
export const startGateways = async (record, store, places, zones) => {
	const folder = fs.mkdtempSync(path.join(os.tmpdir(), 'review-'));
	const hosts = places.map((_, index) => `127.0.0.${10 + index}`);
	const [front, ready, directory, control, peers, metrics] = await findPorts(hosts, 6);
	record.addCleanup(() => {
		fs.rmSync(folder, {recursive: true, force: true});
	});
	const template = fs.readFileSync(path.join(root, templateFile), 'utf8');
	const gateways = places.map((place, index) => {
		const host = hosts[index];
		const settingsFile = path.join(folder, `${place.name}.ini`);
		const logFile = path.join(folder, `${place.name}.log`);
		fs.writeFileSync(
			settingsFile,
			fillTemplate(template, {
				node: place.name,
				region: zones[place.zone],
				zone: place.zone,
				zones,
				ip: host,
				limits: {cpu_share: 0.675, memory_mb: 350, max_fds: 4100},
				listen: {
					front: `${host}:${front}`,
					ready: `${host}:${ready}`,
					directory: `${host}:${directory}`,
				},
				internal_ports: [peers, metrics],
				seeds: hosts.slice(0, 3).map((seed) => `${seed}:${control}`),
				platform: {address: store.address},
				bounds,
			}),
		);
		const [program, ...words] = runCommand.split(' ');
		let child;
		let isClosed = false;
		const gateway = {
			name: place.name,
			host,
			port: front,
			restarts: 0,
			/** Time from the end of the process to its next start. */
			restartDelayMs,
			start() {
				const log = fs.openSync(logFile, 'a');
				child = childProcess.spawn(program, words, {
					cwd: root,
					env: {
						PATH: process.env.PATH,
						HOME: process.env.HOME,
						HAWTHORNFRONT_CONFIG: settingsFile,
					},
					stdio: ['ignore', log, log],
				});
				fs.closeSync(log);
				const started = child;
				started.on('exit', (code, signal) => {
					record.note(`${place.name}: process ended (${signal ?? code})`);
					if (!isClosed) {
						gateway.restarts++;
						setTimeout(() => {
							if (!isClosed) {
								gateway.start();
							}
						}, gateway.restartDelayMs);
					}
				});
			},
			signal(name) {
				record.note(`${place.name}: ${name}`);
				child.kill(name);
			},
			async isReady() {
				try {
					const {status} = await fetch(`http://${host}:${ready}/api/ready`);
					return status === 200;
				} catch {
					return false;
				}
			},
			/** State of the process for debugging; not used for a verdict. */
			async state() {
				const response = await fetch(`http://${host}:${metrics}/debug/state`);
				return response.json();
			},
			log: () => fs.readFileSync(logFile, 'utf8'),
		};
		record.addCleanup(async () => {
			isClosed = true;
			if (child.exitCode === null && child.signalCode === null) {
				const ended = new Promise((resolve) => {
					child.once('exit', resolve);
				});
				child.kill('SIGKILL');
				await ended;
			}

			if (process.env.KEEP_LOGS) {
				fs.copyFileSync(logFile, path.join(process.env.KEEP_LOGS, `${place.name}.log`));
			}
		});
		return gateway;
	});
	for (const gateway of gateways) {
		gateway.start();
	}

	const untilMs = Date.now() + readyTimeoutMs;
	for (const gateway of gateways) {
		while (!(await gateway.isReady())) {
			if (Date.now() > untilMs) {
				await record.unable(`${gateway.name} is not ready`);
			}

			await sleep(100);
		}
	}

	record.note('all gateways are ready');
	return gateways;
};

let attempts = 0;

/**
 * Sends a request as a caller and resolves with its answer; `status` is 0 if the connection
 * closed without a complete one.
 */
export const send = async (record, gateway, options) =>
	new Promise((resolve) => {
		const {method = 'GET', requestPath, host, deadlineMs = 3000, headers = {}, body} = options;
		const attempt = options.attempt ?? `a${(++attempts).toString(16).padStart(6, '0')}`;
		options.onAttempt?.(attempt);
		const sentAtMs = Date.now();
		record.note(`caller: ${method} ${requestPath} ${attempt} to ${gateway.name}`);
		const end = (status, text, answerHeaders = {}) => {
			clearTimeout(timer);
			record.note(`caller: ${attempt} answered ${status} ${text.slice(0, 80)}`);
			resolve({attempt, sentAtMs, endedAtMs: Date.now(), status, text, headers: answerHeaders});
		};

		const request = http.request(
			{
				host: gateway.host,
				port: gateway.port,
				method,
				path: requestPath,
				agent: options.agent,
				headers: {
					host,
					'attempt-id': attempt,
					'deadline-ms': String(deadlineMs),
					...headers,
				},
			},
			async (response) => {
				try {
					const text = await readText(response);
					end(response.statusCode, text, response.headers);
				} catch {
					end(0, 'broken off');
				}
			},
		);
		const timer = setTimeout(() => {
			request.destroy(new Error('the caller gave up'));
		}, deadlineMs + 500);
		request.on('error', (error) => {
			end(0, error.message);
		});
		request.end(body);
	});

/** Folder of a case, from the URL of its module. */
export const folderOf = (moduleUrl) => path.dirname(url.fileURLToPath(moduleUrl));

/** Fields of a route that the cases do not vary. */
export const route = (name, prefix, options) => ({
	name,
	host: 'shop.example',
	prefix,
	timeout_ms: 5000,
	goal_ms: 500,
	priority: 2,
	attempts: 1,
	can_resume: false,
	home_regions: [],
	...options,
});

export const service = (name) => ({
	name,
	health_path: '/healthz',
	max_conns: 100,
	cold_s: 0,
	cold_rate_s: 0,
});

export const config = (version, routes, services) => ({
	version,
	routes,
	services,
	limits: {header_bytes: 16_384, body_bytes: 4_194_304, header_timeout_ms: 3000, idle_ms: 15_000},
});
