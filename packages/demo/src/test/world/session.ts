/** Callers of the test deployment, and what they saw. */
import * as gatewayError from '@hawthornfront/base/common/gateway-error.js';
import * as httpClient from '@hawthornfront/base/common/http-client.js';
import * as entryList from '@hawthornfront/entry/common/entry-list.js';
import * as records from './records.js';
import type * as world from './world.js';

const maxAnswerBytes = 1_048_576;
const callerTimeoutMs = 150_000;

/** What a caller got: a whole answer, a visible break, no connection, or a problem. */
export type Verdict =
	| {kind: 'whole'; status: number; text: string}
	| {kind: 'broken'}
	| {kind: 'no-connection'}
	| {kind: 'problem'; status: number; problem: gatewayError.Problem};

export type Request = {
	address: string;
	method?: string;
	path: string;
	headers?: Record<string, string>;
	body?: string;
	signal?: AbortSignal;
	/** True for a caller in the other region. */
	isFromAway?: boolean;
};

const parseStream = (text: string): Verdict => {
	if (!text.endsWith('data: [DONE]\n\n')) {
		return {kind: 'broken'};
	}

	let answer = '';
	for (const line of text.split('\n\n')) {
		const data = line.slice('data: '.length);
		if (line.startsWith('data: {')) {
			const chunk = JSON.parse(data) as {choices: Array<{delta?: {content?: string}}>};
			answer += chunk.choices[0]?.delta?.content ?? '';
		}
	}

	return {kind: 'whole', status: 200, text: answer};
};

/** Sends one request and reads its answer to the end. Never rejects. */
export const send = async (system: world.World, request: Request): Promise<Verdict> => {
	try {
		const client = request.isFromAway ? system.awayCallerClient : system.callerClient;
		const answer = await client.request({
			peer: request.address,
			method: request.method ?? 'POST',
			path: request.path,
			headers: {authorization: `Bearer ${records.apiKey}`, ...request.headers},
			body: request.body,
			timeoutMs: callerTimeoutMs,
			signal: request.signal,
		});
		const text = await httpClient.readText(answer.body, maxAnswerBytes);
		const type = answer.headers['content-type'] ?? '';
		if (type.startsWith('application/problem+json')) {
			const problem = gatewayError.problemSchema.parse(JSON.parse(text));
			return {kind: 'problem', status: answer.status, problem};
		}

		return type.startsWith('text/event-stream')
			? parseStream(text)
			: {kind: 'whole', status: answer.status, text};
	} catch (error) {
		const wasSent = !(error instanceof httpClient.HttpClientError) || error.mayHaveBeenSent;
		return {kind: wasSent ? 'broken' : 'no-connection'};
	}
};

/** Runs a promise while the manual clock moves. @throws Error when it takes longer than `limitMs`. */
export const settle = async <T>(
	system: world.World,
	pending: Promise<T>,
	limitMs = 400_000,
): Promise<T> => {
	let result: {value: T} | undefined;
	let failure: unknown;
	const observe = async () => {
		try {
			result = {value: await pending};
		} catch (error) {
			failure = error;
		}
	};

	void observe();
	const stepMs = 50;
	for (let elapsedMs = 0; elapsedMs < limitMs; elapsedMs += stepMs) {
		await system.clock.advance(stepMs);
		if (result) {
			return result.value;
		}

		if (failure !== undefined) {
			throw failure as Error;
		}
	}

	throw new Error(`nothing settled within ${limitMs} ms`);
};

/** A chat request for a model entry. */
export const chat = (address: string, entry: string, prompt: string): Request => ({
	address,
	path: '/v1/chat/completions',
	headers: {'hawthornfront-entry': entry},
	body: JSON.stringify({
		model: entry,
		stream: true,
		messages: [{role: 'user', content: prompt}],
	}),
});

/** A call of the order service; `key` makes a non-idempotent one safe to repeat. */
export const order = (address: string, entry: string, body: string, key?: string): Request => ({
	address,
	path: `/v1/services/${entry}/orders`,
	headers: key === undefined ? {} : {'idempotency-key': key},
	body,
});

/** Fresh idempotency key that an entry VM issues. */
export const takeKey = async (
	system: world.World,
	address: string,
	isFromAway = false,
): Promise<string> => {
	const verdict = await settle(
		system,
		send(system, {address, method: 'GET', path: '/v1/entries', isFromAway}),
	);
	if (verdict.kind !== 'whole') {
		throw new Error(`no entry list from ${address}`);
	}

	return entryList.entryListSchema.parse(JSON.parse(verdict.text)).idempotencyKeys[0]!;
};

/** How often the upstreams executed a body or prompt. */
export const executions = (system: world.World, text: string): number => {
	let count = 0;
	for (const upstream of system.upstreams.values()) {
		count += upstream.executions.filter((item) => item === text).length;
	}

	return count;
};
