/** OpenAI-compatible requests and answers of the runner stand-in. */
import * as zod from 'zod';
import type * as chunkBuffer from './chunk-buffer.js';
import type * as runnerTypes from './runner-types.js';
import * as tokens from './tokens.js';

const commonSchema = zod.object({
	model: zod.string(),
	max_tokens: zod.number().int().positive().optional(),
	max_completion_tokens: zod.number().int().positive().optional(),
	seed: zod.number().int().default(0),
	stream: zod.boolean().default(false),
	priority: zod.number().default(0),
	resume_from_token: zod.number().int().nonnegative().default(0),
	request_id: zod.string().optional(),
});

export const chatSchema = commonSchema.extend({
	messages: zod.array(zod.looseObject({role: zod.string(), content: zod.unknown()})).min(1),
});

export const completionSchema = commonSchema.extend({
	prompt: zod.union([zod.string(), zod.array(zod.string())]),
});

export type ChatBody = zod.infer<typeof chatSchema>;
export type CompletionBody = zod.infer<typeof completionSchema>;
export type AnswerStyle = 'chat' | 'completion';

const textOfContent = (content: unknown): string =>
	typeof content === 'string' ? content : JSON.stringify(content ?? '');

/** Text that the tokens of the prompt are counted from. */
export const promptText = (body: ChatBody | CompletionBody): string => {
	if ('messages' in body) {
		return body.messages
			.map((message) => `${message.role}: ${textOfContent(message.content)}\n`)
			.join('');
	}

	return typeof body.prompt === 'string' ? body.prompt : body.prompt.join('\n');
};

/** Shortest and longest answer when `max_tokens` does not cut it. */
export type AnswerLengths = {minimum: number; maximum: number};

/** A generation with what is needed to write its answer. */
export type Generation = {
	request: runnerTypes.GenerationRequest;
	digest: number;
	style: AnswerStyle;
	isStreamed: boolean;
};

/** Derives the generation from a request body. */
export const toGeneration = (
	body: ChatBody | CompletionBody,
	fallbackId: string,
	lengths: AnswerLengths,
): Generation => {
	const prompt = tokens.promptOfText(promptText(body));
	const digest = tokens.answerDigest(prompt.digest, body.seed, body.model);
	const natural = tokens.naturalLength(digest, lengths.minimum, lengths.maximum);
	const limit = body.max_completion_tokens ?? body.max_tokens ?? natural;
	return {
		digest,
		style: 'messages' in body ? 'chat' : 'completion',
		isStreamed: body.stream,
		request: {
			requestId: body.request_id ?? fallbackId,
			model: body.model,
			prompt,
			outputTokens: Math.min(natural, limit),
			finishReason: natural <= limit ? 'stop' : 'length',
			priority: body.priority,
			resumeFromToken: body.resume_from_token,
		},
	};
};

/** Text of the tokens from `start` to `end` (exclusive) of an answer. */
export const answerText = (digest: number, start: number, end: number): string => {
	let text = '';
	for (let index = start; index < end; index++) {
		text += tokens.tokenText(digest, index);
	}

	return text;
};

/** Usage in the names of the OpenAI protocol. */
export const usageFields = (usage: chunkBuffer.Usage) => ({
	prompt_tokens: usage.promptTokens,
	completion_tokens: usage.completionTokens,
	total_tokens: usage.promptTokens + usage.completionTokens,
	prompt_tokens_details: {cached_tokens: usage.cachedTokens},
});

const envelope = (generation: Generation, createdSeconds: number, isChunk: boolean) => ({
	id: generation.request.requestId,
	object:
		generation.style === 'completion'
			? 'text_completion'
			: isChunk
				? 'chat.completion.chunk'
				: 'chat.completion',
	created: createdSeconds,
	model: generation.request.model,
});

/** One chunk of a streamed answer. */
export const streamChunk = (
	generation: Generation,
	createdSeconds: number,
	tokenIndex: number,
	end?: Extract<chunkBuffer.Chunk, {kind: 'end'}>,
) => {
	const content = end ? '' : tokens.tokenText(generation.digest, tokenIndex);
	const finish = {finish_reason: end?.finishReason ?? null};
	const role = tokenIndex === 0 ? {role: 'assistant'} : {};
	const choice =
		generation.style === 'chat'
			? {index: 0, delta: end ? {} : {...role, content}, ...finish}
			: {index: 0, text: content, ...finish};
	return {
		...envelope(generation, createdSeconds, true),
		choices: [choice],
		token_index: tokenIndex,
		...(end ? {usage: usageFields(end.usage)} : {}),
	};
};

/** A whole answer that is not streamed; it starts at the token to resume from. */
export const wholeAnswer = (
	generation: Generation,
	createdSeconds: number,
	end: Extract<chunkBuffer.Chunk, {kind: 'end'}>,
) => {
	const {resumeFromToken, outputTokens} = generation.request;
	const content = answerText(generation.digest, resumeFromToken, outputTokens);
	const finish = {index: 0, finish_reason: end.finishReason};
	const choice =
		generation.style === 'chat'
			? {...finish, message: {role: 'assistant', content}}
			: {...finish, text: content};
	return {
		...envelope(generation, createdSeconds, false),
		choices: [choice],
		usage: usageFields(end.usage),
	};
};
