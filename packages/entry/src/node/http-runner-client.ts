/** Streams of runners over HTTP as server-sent events. */
import * as eventsourceParser from 'eventsource-parser';
import * as httpClient from '@hawthornfront/base/common/http-client.js';
import * as zod from 'zod';
import * as runnerClient from '../common/runner-client.js';

const maxRefusalBytes = 65_536;
/** Maximum size of one event. Runners send a few hundred bytes per event. */
const maxEventBytes = 262_144;

const chunkSchema = zod.object({
	token_index: zod.number().int().nonnegative().optional(),
	choices: zod.array(zod.record(zod.string(), zod.unknown())).default([]),
	usage: zod.object({prompt_tokens: zod.number(), completion_tokens: zod.number()}).nullish(),
});
type Chunk = zod.infer<typeof chunkSchema>;

const textOf = (choice: Record<string, unknown> | undefined): string => {
	if (typeof choice?.text === 'string') {
		return choice.text;
	}

	const delta = choice?.delta;
	if (typeof delta === 'object' && delta !== null && 'content' in delta) {
		return typeof delta.content === 'string' ? delta.content : '';
	}

	return '';
};

type ParserState = {
	/** Index of the next part, for inference engines that send no index. */
	nextIndex: number;
	finishReason: string | undefined;
	hasFinished: boolean;
	/** True when the inference engine numbers its tokens, so that a lost token is detected. */
	isIndexed: boolean;
};

const partsOf = (chunk: Chunk, state: ParserState): runnerClient.StreamPart[] => {
	const parts: runnerClient.StreamPart[] = [];
	const [choice] = chunk.choices;
	const reason = choice?.finish_reason;
	const text = textOf(choice);
	if (choice && (text !== '' || typeof reason !== 'string')) {
		const index = chunk.token_index ?? state.nextIndex;
		state.isIndexed ||= chunk.token_index !== undefined;
		state.nextIndex = Math.max(state.nextIndex, index + 1);
		const choices = chunk.choices.map((item) => ({...item, finish_reason: null}));
		parts.push({kind: 'token', index, choices, text});
	}

	if (typeof reason === 'string') {
		state.finishReason = reason;
	}

	if (state.finishReason !== undefined && chunk.usage && !state.hasFinished) {
		state.hasFinished = true;
		parts.push({
			kind: 'finish',
			finishReason: state.finishReason,
			promptTokens: chunk.usage.prompt_tokens,
			completionTokens: chunk.usage.completion_tokens,
			partCount: state.isIndexed ? chunk.usage.completion_tokens : state.nextIndex,
		});
	}

	return parts;
};

const parseData = (data: string, state: ParserState): runnerClient.StreamPart[] => {
	if (data !== '[DONE]') {
		return partsOf(chunkSchema.parse(JSON.parse(data)), state);
	}

	const finish: runnerClient.StreamPart[] =
		state.finishReason === undefined || state.hasFinished
			? []
			: [
					{
						kind: 'finish',
						finishReason: state.finishReason,
						promptTokens: 0,
						completionTokens: state.nextIndex,
						partCount: state.nextIndex,
					},
				];
	return [...finish, {kind: 'done'}];
};

async function* parseStream(
	body: AsyncIterable<Uint8Array>,
	firstIndex: number,
): AsyncGenerator<runnerClient.StreamPart> {
	const state: ParserState = {
		nextIndex: firstIndex,
		finishReason: undefined,
		hasFinished: false,
		isIndexed: false,
	};
	let ready: runnerClient.StreamPart[] = [];
	let sinceEventBytes = 0;
	const parser = eventsourceParser.createParser({
		onEvent(event) {
			sinceEventBytes = 0;
			ready.push(...parseData(event.data, state));
		},
	});
	const decoder = new TextDecoder();
	for await (const bytes of body) {
		sinceEventBytes += bytes.length;
		parser.feed(decoder.decode(bytes, {stream: true}));
		const parts = ready;
		ready = [];
		yield* parts;
		if (sinceEventBytes > maxEventBytes) {
			throw new Error(`the runner sent ${sinceEventBytes} bytes without an event`);
		}
	}
}

/** Opens streams with an {@link httpClient.HttpClient}. */
export class HttpRunnerClient extends runnerClient.RunnerClient {
	readonly #client: httpClient.HttpClient;

	constructor(client: httpClient.HttpClient) {
		super();
		this.#client = client;
	}

	override async open(
		request: runnerClient.RunnerRequest,
	): Promise<AsyncIterable<runnerClient.StreamPart>> {
		const answer = await this.#client.request({
			peer: request.address,
			method: 'POST',
			path: request.path,
			headers: {...request.headers, 'content-type': 'application/json'},
			body: JSON.stringify({
				...request.body,
				stream: true,
				stream_options: {include_usage: true},
				priority: request.priority,
				request_id: request.requestId,
				resume_from_token: request.resumeFromToken,
			}),
			timeoutMs: request.timeoutMs,
			signal: request.signal,
			onSent: request.onSent,
		});
		if (answer.status !== 200) {
			await httpClient.readText(answer.body, maxRefusalBytes);
			throw new runnerClient.RunnerRefusal(request.address, answer.status);
		}

		return parseStream(answer.body, request.resumeFromToken);
	}
}
