/** Request and answer bodies of the OpenAI-compatible API, limited to the members that the gateway uses. */
import * as zod from 'zod';
import type * as runnerClient from './runner-client.js';

const contentSchema = zod.union([zod.string(), zod.array(zod.unknown()), zod.null()]);

const sharedShape = {
	model: zod.string().min(1),
	stream: zod.boolean().default(false),
	max_tokens: zod.number().int().positive().nullish(),
	max_completion_tokens: zod.number().int().positive().nullish(),
	n: zod.literal(1, 'only one choice is supported').nullish(),
	stream_options: zod.object({include_usage: zod.boolean().optional()}).nullish(),
	resume_from_token: zod.number().int().nonnegative().optional(),
	request_id: zod.string().optional(),
	priority: zod.number().optional(),
};

/** Body of `/v1/chat/completions`; unknown members are passed on to the runner. */
export const chatBodySchema = zod.looseObject({
	...sharedShape,
	messages: zod
		.array(zod.looseObject({role: zod.string(), content: contentSchema.optional()}))
		.min(1),
});

/** Body of `/v1/completions`. */
export const completionBodySchema = zod.looseObject({
	...sharedShape,
	prompt: zod.union([zod.string(), zod.array(zod.string())]),
});

export type ChatBody = zod.infer<typeof chatBodySchema>;
export type CompletionBody = zod.infer<typeof completionBodySchema>;
export type ModelBody = ChatBody | CompletionBody;

const bytesPerToken = 4;
const prefixLength = 1024;

/** Returns the prompt as text, for estimates and cache affinity. */
export const promptText = (body: ModelBody): string =>
	JSON.stringify('messages' in body ? body.messages : body.prompt);

/** Returns the start of the prompt, which is hashed for prefix cache affinity. */
export const promptPrefix = (prompt: string): string => prompt.slice(0, prefixLength);

/** Estimates the prompt length in tokens. */
export const estimatePromptTokens = (prompt: string): number =>
	Math.max(1, Math.ceil(prompt.length / bytesPerToken));

/** Members that are the same in every chunk of an answer. */
export type AnswerIdentity = {id: string; model: string; createdAtSeconds: number; isChat: boolean};

const envelope = (identity: AnswerIdentity, object: string) => ({
	id: identity.id,
	object,
	created: identity.createdAtSeconds,
	model: identity.model,
});

const chunkObject = (identity: AnswerIdentity): string =>
	identity.isChat ? 'chat.completion.chunk' : 'text_completion';

const event = (value: unknown): string => `data: ${JSON.stringify(value)}\n\n`;

/** Returns the server-sent event of one token. */
export const tokenEvent = (identity: AnswerIdentity, part: runnerClient.TokenPart): string =>
	event({
		...envelope(identity, chunkObject(identity)),
		token_index: part.index,
		choices: part.choices,
	});

const usageOf = (finish: runnerClient.FinishPart) => ({
	prompt_tokens: finish.promptTokens,
	completion_tokens: finish.completionTokens,
	total_tokens: finish.promptTokens + finish.completionTokens,
});

/** Returns the events at the end of a stream: finish reason, usage if requested, and terminal marker. */
export const finishEvents = (
	identity: AnswerIdentity,
	finish: runnerClient.FinishPart,
	withUsage: boolean,
): string => {
	const last = identity.isChat
		? {index: 0, delta: {}, finish_reason: finish.finishReason}
		: {index: 0, text: '', finish_reason: finish.finishReason};
	const base = envelope(identity, chunkObject(identity));
	const usage = withUsage ? event({...base, choices: [], usage: usageOf(finish)}) : '';
	return event({...base, choices: [last]}) + usage + 'data: [DONE]\n\n';
};

/** Returns the body of an answer that is not streamed. */
export const completionBody = (
	identity: AnswerIdentity,
	text: string,
	finish: runnerClient.FinishPart,
) => ({
	...envelope(identity, identity.isChat ? 'chat.completion' : 'text_completion'),
	choices: [
		identity.isChat
			? {
					index: 0,
					message: {role: 'assistant', content: text},
					finish_reason: finish.finishReason,
				}
			: {index: 0, text, finish_reason: finish.finishReason},
	],
	usage: usageOf(finish),
});
