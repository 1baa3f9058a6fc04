/**
 * A caller as an operator's application would write it: asks for the entry VMs,
 * tries the next one when a request was not run, and repeats a non-idempotent
 * request only under its key.
 */
import type * as clock from '@hawthornfront/base/common/clock.js';
import * as gatewayError from '@hawthornfront/base/common/gateway-error.js';
import * as httpClient from '@hawthornfront/base/common/http-client.js';
import * as entryList from '@hawthornfront/entry/common/entry-list.js';
import * as eventsourceParser from 'eventsource-parser';
import * as zod from 'zod';

const maxAnswerBytes = 4_194_304;
const maxTries = 4;
const retryDelayMs = 100;
const requestTimeoutMs = 20_000;

/** What became of one request, from the caller's side. */
export type CallResult = {
	outcome: 'answered' | 'not-run' | 'unknown' | 'ran';
	latencyMs: number;
	/** Time to the first token of a streamed answer. */
	firstTokenMs?: number;
	/** Text of the answer. */
	text: string;
	/** Entry VM that gave the last answer. */
	address: string;
	status: number;
	/** A stream that had begun and did not end with its terminal marker. */
	isBrokenStream: boolean;
};

export type CallerOptions = {
	clock: clock.Clock;
	client: httpClient.HttpClient;
	apiKey: string;
	/** First contact, from the platform's directory. */
	addresses: string[];
};

export type Caller = {
	/** Streams an answer of a model entry. */
	ask(entry: string, prompt: string): Promise<CallResult>;
	/** Calls a plain service under a key, repeated under the same key while the outcome is unknown. */
	book(entry: string, path: string, body: string): Promise<CallResult>;
	/** Calls an idempotent plain service. */
	check(entry: string, path: string): Promise<CallResult>;
};

type Try = {address: string; result: CallResult; freshKey?: string};

const chunkSchema = zod.object({
	token_index: zod.number().optional(),
	choices: zod.array(
		zod.object({
			delta: zod.object({content: zod.string().optional()}).optional(),
			finish_reason: zod.string().nullish(),
		}),
	),
});

type StreamState = {text: string; nextIndex: number; hasFinish: boolean; isDone: boolean};

const readEvent = (data: string, state: StreamState): void => {
	if (data === '[DONE]') {
		state.isDone = state.hasFinish;
		return;
	}

	const chunk = chunkSchema.parse(JSON.parse(data));
	const [choice] = chunk.choices;
	const content = choice?.delta?.content;
	if (content) {
		if (chunk.token_index !== state.nextIndex) {
			throw new Error(`token ${chunk.token_index} came in place of ${state.nextIndex}`);
		}

		state.nextIndex++;
		state.text += content;
	}

	state.hasFinish ||= typeof choice?.finish_reason === 'string';
};

/** Creates a caller. */
export const createCaller = (options: CallerOptions): Caller => {
	const {clock: time, client} = options;
	const headers = {
		authorization: `Bearer ${options.apiKey}`,
		'content-type': 'application/json',
	};
	let known: string[] = options.addresses;
	let keys: string[] = [];
	let listedUntilMs = 0;

	const refresh = async (): Promise<void> => {
		for (const address of known) {
			try {
				const answer = await client.request({
					peer: address,
					method: 'GET',
					path: '/v1/entries',
					headers,
					timeoutMs: 1000,
				});
				const text = await httpClient.readText(answer.body, maxAnswerBytes);
				if (answer.status === 200) {
					const list = entryList.entryListSchema.parse(JSON.parse(text));
					known = [...new Set([...list.entries.map((entry) => entry.address), ...known])];
					keys.push(...list.idempotencyKeys);
					listedUntilMs = time.nowMs() + list.timeToLiveMs;
					return;
				}
			} catch {
				// The next entry VM is asked.
			}
		}
	};

	const addressesNow = async (): Promise<string[]> => {
		if (time.nowMs() >= listedUntilMs) {
			await refresh();
		}

		return known;
	};

	const takeKey = async (): Promise<string | undefined> => {
		// Keys expire with their owner's list, so old ones are not hoarded.
		if (keys.length === 0 || time.nowMs() >= listedUntilMs) {
			keys = [];
			await refresh();
		}

		return keys.shift();
	};

	const failed = (address: string, startMs: number, isBrokenStream: boolean): CallResult => ({
		outcome: 'unknown',
		latencyMs: time.nowMs() - startMs,
		text: '',
		address,
		status: 0,
		isBrokenStream,
	});

	const readProblem = async (
		answer: httpClient.HttpResponse,
		address: string,
		startMs: number,
	): Promise<Try> => {
		const text = await httpClient.readText(answer.body, maxAnswerBytes);
		const problem = gatewayError.problemSchema.safeParse(JSON.parse(text));
		const outcome = problem.data?.outcome ?? 'unknown';
		const result = {...failed(address, startMs, false), outcome, status: answer.status};
		return {address, result, freshKey: problem.data?.freshKey};
	};

	const readStream = async (
		answer: httpClient.HttpResponse,
		address: string,
		startMs: number,
	): Promise<CallResult> => {
		const state: StreamState = {text: '', nextIndex: 0, hasFinish: false, isDone: false};
		let firstTokenMs: number | undefined;
		const parser = eventsourceParser.createParser({
			onEvent(event) {
				readEvent(event.data, state);
			},
		});
		const decoder = new TextDecoder();
		try {
			for await (const bytes of answer.body) {
				parser.feed(decoder.decode(bytes, {stream: true}));
				firstTokenMs ??= state.nextIndex > 0 ? time.nowMs() - startMs : undefined;
			}
		} catch {
			return failed(address, startMs, true);
		}

		return state.isDone
			? {
					outcome: 'answered',
					latencyMs: time.nowMs() - startMs,
					firstTokenMs,
					text: state.text,
					address,
					status: answer.status,
					isBrokenStream: false,
				}
			: failed(address, startMs, true);
	};

	const attempt = async (
		address: string,
		request: Omit<httpClient.HttpRequest, 'peer'>,
		startMs: number,
	): Promise<Try> => {
		try {
			const answer = await client.request({
				...request,
				peer: address,
				timeoutMs: requestTimeoutMs,
				headers: {...headers, ...request.headers},
			});
			const type = answer.headers['content-type'] ?? '';
			if (type.startsWith('application/problem+json')) {
				return await readProblem(answer, address, startMs);
			}

			if (type.startsWith('text/event-stream')) {
				return {address, result: await readStream(answer, address, startMs)};
			}

			const text = await httpClient.readText(answer.body, maxAnswerBytes);
			const result = {...failed(address, startMs, false), text, status: answer.status};
			const outcome = answer.status === 200 ? 'answered' : 'unknown';
			return {address, result: {...result, outcome}};
		} catch (error) {
			const wasSent = !(error instanceof httpClient.HttpClientError) || error.mayHaveBeenSent;
			const result = failed(address, startMs, false);
			return {address, result: {...result, outcome: wasSent ? 'unknown' : 'not-run'}};
		}
	};

	/** Idempotent work: any failure may be tried again at the next entry VM. */
	const repeat = async (request: Omit<httpClient.HttpRequest, 'peer'>): Promise<CallResult> => {
		const startMs = time.nowMs();
		let last: CallResult | undefined;
		for (let tries = 0; tries < maxTries; tries++) {
			const addresses = await addressesNow();
			const {result} = await attempt(addresses[tries % addresses.length]!, request, startMs);
			if (result.outcome === 'answered') {
				return result;
			}

			last = result;
			await time.sleep(retryDelayMs);
		}

		return last!;
	};

	return {
		ask: async (entry, prompt) =>
			repeat({
				method: 'POST',
				path: '/v1/chat/completions',
				headers: {'hawthornfront-entry': entry},
				body: JSON.stringify({
					model: entry,
					stream: true,
					messages: [{role: 'user', content: prompt}],
				}),
			}),
		check: async (entry, path) => repeat({method: 'GET', path: `/v1/services/${entry}${path}`}),
		async book(entry, path, body) {
			const startMs = time.nowMs();
			let key = await takeKey();
			let last: CallResult | undefined;
			for (let tries = 0; tries < maxTries; tries++) {
				const addresses = await addressesNow();
				const address = addresses[tries % addresses.length]!;
				const request = {
					method: 'POST',
					path: `/v1/services/${entry}${path}`,
					headers: key === undefined ? undefined : {'idempotency-key': key},
					body,
				};
				const {result, freshKey} = await attempt(address, request, startMs);
				const isFinal = result.outcome === 'answered' || result.outcome === 'ran';
				if (isFinal || (result.outcome === 'unknown' && key === undefined)) {
					return result;
				}

				last = result;
				key = result.outcome === 'not-run' ? (freshKey ?? key) : key;
				await time.sleep(retryDelayMs);
			}

			return last!;
		},
	};
};
