/* eslint camelcase: 'off' -- names of the platform's wire */
/** Starts gateway daemons of the deploy file with small stand-ins on loopback addresses. */
import buffer from 'node:buffer';
import childProcess from 'node:child_process';
import fs from 'node:fs';
import http from 'node:http';
import net from 'node:net';
import os from 'node:os';
import path from 'node:path';
import process from 'node:process';
import timers from 'node:timers/promises';
import url from 'node:url';

const root = path.resolve(path.dirname(url.fileURLToPath(import.meta.url)), '../..');
const startedAtMs = Date.now();

/** Milliseconds since the start of the script. */
export const nowMs = () => Date.now() - startedAtMs;

export const sleepUntil = async (atMs) => timers.setTimeout(Math.max(0, atMs - nowMs()));

/** Writes one line for each thing that was sent, answered or run. */
export const createRecord = (file) => {
	const lines = [];
	return {
		note(text) {
			lines.push(`${(nowMs() / 1000).toFixed(3)} s  ${text}`);
		},
		save() {
			fs.writeFileSync(file, `${lines.join('\n')}\n`);
		},
	};
};

const listen = async (server, host, port = 0) =>
	new Promise((resolve, reject) => {
		server.once('error', reject);
		server.listen({host, port}, () => {
			resolve(server.address().port);
		});
	});

const freePorts = async (hosts, count) => {
	const ports = [];
	while (ports.length < count) {
		const probe = net.createServer();
		const port = await listen(probe, hosts[0]);
		probe.close();
		let isFree = !ports.includes(port);
		for (const host of hosts) {
			const other = net.createServer();
			try {
				await listen(other, host, port);
			} catch {
				isFree = false;
			}

			other.close();
		}

		if (isFree) {
			ports.push(port);
		}
	}

	return ports;
};

const encode = (value) => buffer.Buffer.from(JSON.stringify(value)).toString('base64');

/** Store of the platform: keys, watches and leases as PROTOCOL.md describes them. */
export const startStore = async (host, record) => {
	const items = new Map();
	const leases = new Map();
	const events = [];
	const waiting = new Set();
	let revision = 10;
	let leaseCount = 0;

	const publish = (event) => {
		events.push(event);
		for (const wake of waiting) {
			wake();
		}
	};

	const put = (key, value, lease = 0) => {
		revision++;
		const item = {key, value, rev: revision, created: items.get(key)?.created ?? revision, lease};
		items.set(key, item);
		publish(item);
	};

	const remove = (key) => {
		if (items.delete(key)) {
			revision++;
			publish({key, rev: revision, removed: true});
		}
	};

	const endLease = (id) => {
		leases.delete(id);
		for (const {key, lease} of items.values()) {
			if (lease === id) {
				remove(key);
			}
		}
	};

	const leaseTimer = setInterval(() => {
		for (const [id, {endsAtMs}] of leases) {
			if (endsAtMs < nowMs()) {
				endLease(id);
			}
		}
	}, 100);

	const watch = async (query) => {
		const prefix = query.get('prefix');
		const after = Number(query.get('after'));
		const untilMs = nowMs() + Number(query.get('wait_ms'));
		for (;;) {
			const found = events.filter(({key, rev}) => rev > after && key.startsWith(prefix));
			if (found.length > 0 || nowMs() >= untilMs) {
				return [200, {events: found, at: revision}];
			}

			await new Promise((resolve) => {
				const timer = setTimeout(() => wake(), Math.max(1, untilMs - nowMs()));
				timer.unref();
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
		const isMet = expected.every(({key, rev}) => (items.get(key)?.rev ?? 0) === rev);
		if (!isMet) {
			return [412, {items: expected.map(({key}) => items.get(key)).filter(Boolean)}];
		}

		if (writes.some(({lease}) => lease && !leases.has(lease))) {
			return [404, {}];
		}

		for (const {key, value, lease} of writes) {
			put(key, value, lease);
		}

		for (const key of removed) {
			remove(key);
		}

		return [200, {rev: revision}];
	};

	const answer = async (call, id, query, body) => {
		switch (call) {
			case 'kv-key': {
				const item = items.get(query.get('key'));
				return item ? [200, {...item, at: revision}] : [404, {}];
			}

			case 'kv-range': {
				const found = [...items.values()]
					.filter(
						({key}) => key.startsWith(query.get('prefix')) && key > (query.get('after') ?? ''),
					)
					.sort((a, b) => (a.key < b.key ? -1 : 1));
				return [200, {items: found, has_more: false, at: revision}];
			}

			case 'kv-watch': {
				return watch(query);
			}

			case 'kv-txn': {
				return transact(body);
			}

			case 'kv-lease': {
				leaseCount++;
				leases.set(leaseCount, {ttlMs: body.ttl_ms, endsAtMs: nowMs() + body.ttl_ms});
				return [200, {lease: leaseCount, ttl_ms: body.ttl_ms}];
			}

			case 'kv-keep': {
				const lease = leases.get(Number(id));
				if (lease) {
					lease.endsAtMs = nowMs() + lease.ttlMs;
				}

				return [lease ? 200 : 404, {}];
			}

			case 'kv-lease-end': {
				endLease(Number(id));
				return [200, {}];
			}

			default: {
				return [404, {}];
			}
		}
	};

	const server = http.createServer(async (request, response) => {
		const chunks = [];
		for await (const chunk of request) {
			chunks.push(chunk);
		}

		const text = buffer.Buffer.concat(chunks).toString();
		const {pathname, searchParams} = new URL(request.url, 'http://store');
		const [call, id] = pathname.replace('/api/', '').split('/');
		const [status, body] = await answer(call, id, searchParams, text ? JSON.parse(text) : {});
		// Some milliseconds an answer, as on the sheet of the deployment.
		await timers.setTimeout(4);
		response.writeHead(status, {'content-type': 'application/json'});
		response.end(JSON.stringify(body));
	});
	server.keepAliveTimeout = 60_000;
	const port = await listen(server, host);
	return {
		address: `${host}:${port}`,
		/** Writes as the operator or a runner; returns when the store has acknowledged it. */
		put(key, value) {
			put(key, encode(value));
			record.note(`store acknowledges ${key} = ${JSON.stringify(value).slice(0, 160)}`);
			return nowMs();
		},
		/** Repeats an entry without a line in the record, as a runner does at each beat. */
		repeat(key, value) {
			put(key, encode(value));
		},
		remove(key) {
			remove(key);
			record.note(`store acknowledges the removal of ${key}`);
			return nowMs();
		},
		close() {
			clearInterval(leaseTimer);
			server.closeAllConnections();
			server.close();
		},
	};
};

/** Loopback proxy whose open connections can go silent while new ones work. */
export const startProxy = async (host, target) => {
	const [targetHost, targetPort] = target.split(':');
	const links = new Set();
	const server = net.createServer({allowHalfOpen: true}, (caller) => {
		const callee = net.connect({host: targetHost, port: Number(targetPort), allowHalfOpen: true});
		const link = {isSilent: false, isAnswered: true, lastCall: '', caller, callee};
		links.add(link);
		for (const [from, to] of [
			[caller, callee],
			[callee, caller],
		]) {
			from.on('data', (bytes) => {
				if (link.isSilent) {
					return;
				}

				link.isAnswered = from === callee;
				link.lastCall =
					from === caller ? bytes.toString('latin1').split('\r\n', 1)[0] : link.lastCall;
				to.write(bytes);
			});
			from.on('end', () => {
				if (!link.isSilent) {
					to.end();
				}
			});
			from.on('error', () => undefined);
			from.on('close', () => {
				links.delete(link);
				if (!link.isSilent) {
					to.destroy();
				}
			});
		}
	});
	const port = await listen(server, host);
	return {
		address: `${host}:${port}`,
		/** The open connections on which a call waits for its answer pass nothing from now on; returns the calls. */
		silence(isAffected) {
			const affected = [...links].filter(
				({isAnswered, isSilent, lastCall}) => !isSilent && !isAnswered && isAffected(lastCall),
			);
			for (const link of affected) {
				link.isSilent = true;
			}

			return affected.map(({lastCall}) => lastCall);
		},
		close() {
			server.close();
			for (const {caller, callee} of links) {
				caller.destroy();
				callee.destroy();
			}
		},
	};
};

/**
 * A runner or a plain service. `answer(request, response, body)` writes the answer of a
 * request that it runs.
 */
export const startUpstream = async ({host, id, service, zone, store, record, answer}) => {
	const arrivals = [];
	const server = http.createServer((request, response) => {
		const chunks = [];
		request.on('data', (chunk) => chunks.push(chunk));
		request.on('end', () => {
			const attempt = request.headers['attempt-id'];
			const expected = request.headers['expect-instance'];
			if (expected !== undefined && expected !== id) {
				response.writeHead(421, {'attempt-id': attempt, 'instance-id': id}).end();
				return;
			}

			arrivals.push({attempt, atMs: nowMs()});
			record.note(`${id} runs ${attempt} ${request.method} ${request.url}`);
			answer(request, response, buffer.Buffer.concat(chunks));
		});
	});
	server.keepAliveTimeout = 10_000;
	const port = await listen(server, host);
	const entry = {
		service,
		address: `${host}:${port}`,
		zone,
		version: '1',
		slots: 6,
		state: 'ready',
		cold_left_ms: 0,
		born: Date.now() - 60_000,
		seq: 1,
	};
	const key = `servers/${id}`;
	const beat = () => {
		entry.seq++;
		store.repeat(key, entry);
	};

	beat();
	const timer = setInterval(beat, 1200);
	return {
		id,
		arrivals,
		/** Reports that it leaves; returns when the store has acknowledged it. */
		drain() {
			entry.state = 'draining';
			entry.seq++;
			return store.put(key, entry);
		},
		close() {
			clearInterval(timer);
			server.closeAllConnections();
			server.close();
		},
	};
};

/** Fills in the template of the deploy file as DEPLOY.md describes it. */
const renderTemplate = (template, fields) => {
	const look = (scope, name) => {
		if (name === '.') {
			return scope['.'];
		}

		if (name === '@') {
			return scope['@'];
		}

		let value = scope;
		for (const part of name.split('.')) {
			value = value?.[part];
		}

		return value;
	};

	const sections = template.replaceAll(
		/\{\{#([\w.]+)\}\}\n?([\s\S]*?)\{\{\/\1\}\}\n?/gu,
		(_, name, inner) =>
			Object.entries(look(fields, name) ?? {})
				.map(([key, value]) => renderTemplate(inner, {...fields, '@': key, '.': value}))
				.join(''),
	);
	return sections.replaceAll(/\{\{([\w.@]+)\}\}/gu, (_, name) => {
		const value = look(fields, name);
		return Array.isArray(value) ? value.join(',') : String(value ?? '');
	});
};

const readDeployFile = () => {
	const text = fs.readFileSync(path.join(root, 'deploy/system.toml'), 'utf8');
	const [, run] = /^run = "(.*)"$/mu.exec(text);
	const [, template] = /^template = "(.*)"$/mu.exec(text);
	return {run: run.split(' '), template: fs.readFileSync(path.join(root, template), 'utf8')};
};

/**
 * Starts one daemon for each of `zones` with the command of the deploy file.
 *
 * @param storeAddressOf address at which the daemon of an index reaches the store
 */
export const startDaemons = async ({zones, network, storeAddressOf, record, bounds = {}}) => {
	const hosts = zones.map((_, index) => `${network}.1.${index + 1}`);
	const [front, ready, directory, control, peers, metrics] = await freePorts(hosts, 6);
	const folder = fs.mkdtempSync(path.join(os.tmpdir(), 'review-'));
	const {run, template} = readDeployFile();
	const daemons = zones.map((zone, index) => {
		const host = hosts[index];
		const name = `front-${zone}-${index + 1}`;
		const settings = renderTemplate(template, {
			node: name,
			ip: host,
			zone,
			region: zone.replace(/-\w$/u, ''),
			zones: Object.fromEntries(zones.map((other) => [other, other.replace(/-\w$/u, '')])),
			listen: {
				front: `${host}:${front}`,
				ready: `${host}:${ready}`,
				control: `${host}:${control}`,
				directory: `${host}:${directory}`,
			},
			internal_ports: [peers, metrics],
			seeds: hosts.slice(0, 3).map((seed) => `${seed}:${control}`),
			limits: {cpu_share: 0.675, cores: 1, memory_mb: 350, max_fds: 4100},
			platform: {address: storeAddressOf(index)},
			bounds: {
				grace_s: 8,
				budget_ratio: 0.2,
				budget_extra: 54,
				budget_window_s: 10,
				ttl_max_s: 5,
				...bounds,
			},
		});
		const file = path.join(folder, `${name}.ini`);
		fs.writeFileSync(file, settings);
		const log = fs.openSync(path.join(folder, `${name}.log`), 'a');
		const [program, ...args] = run;
		const child = childProcess.spawn(program, args, {
			cwd: root,
			env: {PATH: process.env.PATH, HOME: process.env.HOME, HAWTHORNFRONT_CONFIG: file},
			stdio: ['ignore', log, log],
		});
		record.note(`${name} started: ${run.join(' ')}`);
		const daemon = {
			name,
			host,
			port: front,
			directoryPort: directory,
			child,
			logFile: path.join(folder, `${name}.log`),
			hasEnded: false,
			async isReady() {
				try {
					const {status} = await fetch(`http://${host}:${ready}/api/ready`);
					return status === 200;
				} catch {
					return false;
				}
			},
			signal(kind) {
				record.note(`${name} gets ${kind}`);
				child.kill(kind);
			},
		};
		child.on('exit', (code, signal) => {
			daemon.hasEnded = true;
			record.note(`${name} ended: ${signal ?? code}`);
		});
		return daemon;
	});

	const close = () => {
		for (const {child} of daemons) {
			child.kill('SIGKILL');
		}
	};

	process.once('exit', close);
	return {
		daemons,
		folder,
		async whenReady(withinMs = 15_000) {
			const untilMs = nowMs() + withinMs;
			for (const daemon of daemons) {
				while (!(await daemon.isReady())) {
					if (nowMs() > untilMs) {
						throw new Error(`${daemon.name} did not become ready`);
					}

					await timers.setTimeout(100);
				}
			}
		},
		close() {
			close();
			if (!process.env.KEEP) {
				fs.rmSync(folder, {recursive: true, force: true});
			}
		},
	};
};

let attempts = 0;

export const createAttemptId = () =>
	(Date.now() % 0xff_ff_ff_ff).toString(16).padStart(8, '0') +
	(attempts++).toString(16).padStart(8, '0');

/** Sends one request to a daemon and resolves with what the requester saw. */
export const sendRequest = async (
	{host, port, name},
	{method = 'GET', path: target, headers = {}, body, deadlineMs, agent, record},
) =>
	new Promise((resolve) => {
		const attempt = createAttemptId();
		record.note(`request ${attempt} ${method} ${target} sent to ${name}`);
		const seen = {attempt, sentAtMs: nowMs(), status: 0, body: '', isComplete: false};
		const finish = (error) => {
			if (seen.endedAtMs === undefined) {
				seen.endedAtMs = nowMs();
				seen.error = error;
				record.note(
					`request ${attempt} ends: ${seen.status || 'no answer'}${seen.isComplete ? '' : ', incomplete'}${error ? `, ${error}` : ''}${seen.stamp ? `, stamp ${seen.stamp}` : ''} after ${seen.endedAtMs - seen.sentAtMs} ms`,
				);
				resolve(seen);
			}
		};

		const request = http.request({
			host,
			port,
			method,
			path: target,
			agent: agent ?? false,
			headers: {
				host: 'shop.example',
				'attempt-id': attempt,
				'deadline-ms': String(deadlineMs),
				...headers,
			},
		});
		const timer = setTimeout(() => {
			request.destroy(new Error('requester gave up'));
		}, deadlineMs + 1500);
		request.on('close', () => {
			clearTimeout(timer);
		});
		request.on('error', (error) => {
			finish(error.code ?? error.message);
		});
		request.on('response', (response) => {
			seen.status = response.statusCode;
			seen.headers = response.headers;
			seen.stamp = response.headers['response-stamp'];
			response.setEncoding('latin1');
			response.on('data', (text) => {
				seen.body += text;
			});
			response.on('error', (error) => {
				finish(error.code ?? error.message);
			});
			response.on('close', () => {
				seen.isComplete = response.complete;
				finish();
			});
		});
		request.end(body);
	});

/** A configuration of the operator. */
export const createConfig = (version, routes, services, limits = {}) => ({
	version,
	routes: routes.map((route) => ({
		host: 'shop.example',
		priority: 1,
		attempts: 1,
		goal_ms: 500,
		timeout_ms: 1500,
		...route,
	})),
	services,
	limits: {
		header_bytes: 16_384,
		body_bytes: 4_194_304,
		header_timeout_ms: 3000,
		idle_ms: 15_000,
		...limits,
	},
});

/** Picks a loopback network by the process id, so that scripts can run side by side. */
export const network = `127.${20 + (process.pid % 200)}`;

// The `exit` listeners end the daemons also when the script is stopped from outside.
for (const signal of ['SIGINT', 'SIGTERM']) {
	process.once(signal, () => {
		process.exit(2);
	});
}

/** Runs a case; returns 1 if it broke its rule, 0 if the rule held, 2 if it could not run. */
export const runCase = async (play, record, cleanUps) => {
	let exitCode = 2;
	try {
		const isBroken = await play();
		exitCode = isBroken ? 1 : 0;
		record.note(isBroken ? 'result: the rule was broken' : 'result: the rule held');
	} catch (error) {
		record.note(`result: the case could not run: ${error.message}`);
	}

	for (const cleanUp of [...cleanUps].reverse()) {
		cleanUp();
	}

	record.save();
	return exitCode;
};
