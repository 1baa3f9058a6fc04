/** What the scripts of the cases share: addresses, a folder, a record, requests. */
import {Buffer} from 'node:buffer';
import crypto from 'node:crypto';
import fs from 'node:fs';
import http from 'node:http';
import net from 'node:net';
import os from 'node:os';
import path from 'node:path';
import process from 'node:process';

export const isTrouble = process.env.TROUBLE !== '0';

export const sleep = async (ms) =>
	new Promise((resolve) => {
		setTimeout(resolve, ms);
	});

/** A run claims a subnet with this port of the subnet's first address, as the project's soak does. */
const claimPort = 18_139;
const draws = 50;

const claim = async (prefix) =>
	new Promise((resolve) => {
		const server = net.createServer();
		server.once('error', () => {
			resolve(undefined);
		});
		server.listen(claimPort, `${prefix}.0.1`, () => {
			resolve(server);
		});
	});

/** First two bytes of a subnet of the loopback network that no other run uses. */
export const claimNetwork = async () => {
	for (let draw = 0; draw < draws; draw++) {
		const prefix = `127.${10 + crypto.randomInt(200)}`;
		const server = await claim(prefix);
		if (server) {
			server.unref();
			return prefix;
		}
	}

	throw new Error('no free subnet of the loopback network');
};

export const createFolder = () => fs.mkdtempSync(path.join(os.tmpdir(), 'review-'));

/** Writes lines with times to `record.txt` in a folder. */
export const createRecord = (folder) => {
	const file = path.join(folder, 'record.txt');
	fs.writeFileSync(file, '');
	const startedAtMs = Date.now();
	return (text) => {
		const line = `${((Date.now() - startedAtMs) / 1000).toFixed(3)} ${text}`;
		fs.appendFileSync(file, `${line}\n`);
	};
};

export const newAttempt = () => crypto.randomBytes(8).toString('hex');

/**
 * Sends a request on a channel of the agent and resolves with its answer. `kind` is `closed`
 * if the channel ended without a complete answer, and `refused` if it could not be opened.
 */
export const request = async ({
	at,
	agent,
	method = 'POST',
	path: target,
	headers = {},
	body,
	attempt,
}) =>
	new Promise((resolve) => {
		const sent = http.request({
			...at,
			agent,
			method,
			path: target,
			headers: {
				host: 'shop.example',
				'attempt-id': attempt,
				...(body && {'content-length': body.length}),
				...headers,
			},
		});
		let wasConnected = false;
		sent.on('socket', (socket) => {
			if (socket.connecting) {
				socket.once('connect', () => {
					wasConnected = true;
				});
			} else {
				wasConnected = true;
			}
		});
		sent.on('error', (error) => {
			resolve({kind: wasConnected ? 'closed' : 'refused', detail: error.code ?? error.message});
		});
		sent.on('response', (response) => {
			const chunks = [];
			response.on('data', (chunk) => chunks.push(chunk));
			response.on('error', (error) => {
				resolve({
					kind: 'closed',
					detail: `in the answer, ${error.code}`,
					status: response.statusCode,
				});
			});
			response.on('end', () => {
				resolve({
					kind: 'answer',
					status: response.statusCode,
					headers: response.headers,
					body: Buffer.concat(chunks).toString('latin1'),
				});
			});
		});
		sent.end(body);
	});

/** Waits until all gateways are ready. @throws Error when they are not in time */
export const waitForReady = async (gateways, withinMs = 20_000) => {
	const untilMs = Date.now() + withinMs;
	for (const gateway of gateways) {
		while (!(await gateway.isReady())) {
			if (Date.now() > untilMs) {
				throw new Error(`${gateway.name} is not ready`);
			}

			await sleep(100);
		}
	}
};

const closers = [];

/** Waits for a part of the world and closes it at the end. */
export const kept = async (part) => {
	const started = await part;
	closers.push(started);
	return started;
};

const longestMs = 115_000;

/** Runs a case. Returns 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. */
export const runCase = async (main, record) => {
	let timer;
	try {
		const limit = new Promise((resolve) => {
			timer = setTimeout(resolve, longestMs);
		});
		const isBroken = await Promise.race([main(), limit]);
		if (isBroken === undefined) {
			throw new Error('the case took too long');
		}

		record(isBroken ? 'the rule was broken' : 'the rule held');
		return isBroken ? 1 : 0;
	} catch (error) {
		record(`the case could not run: ${error.stack}`);
		return 2;
	} finally {
		clearTimeout(timer);
		for (const part of closers.toReversed()) {
			part.close();
		}

		setTimeout(() => {
			// eslint-disable-next-line unicorn/no-process-exit -- kept channels may stay open
			process.exit();
		}, 500);
	}
};
