/** Reads a streamed answer and checks that it is whole and in order. */
import * as eventsourceParser from 'eventsource-parser';
import * as zod from 'zod';

const chunkSchema = zod.looseObject({
	token_index: zod.number().optional(),
	choices: zod
		.array(
			zod.looseObject({
				finish_reason: zod.string().nullish(),
				delta: zod.looseObject({content: zod.string().nullish()}).optional(),
				text: zod.string().nullish(),
			}),
		)
		.default([]),
});

export type StreamState = 'open' | 'whole' | 'truncated' | 'duplicated';

export type AnswerCheck = {
	/** Takes the next bytes of the body. */
	push(bytes: Uint8Array): void;
	/** Verdict when the body has ended. */
	end(): Exclude<StreamState, 'open'>;
	/** Parts with content so far. */
	readonly parts: number;
};

/** Creates a check for one answer in the SSE format of the OpenAI protocol. */
export const createAnswerCheck = (): AnswerCheck => {
	const decoder = new TextDecoder();
	let parts = 0;
	let nextIndex = 0;
	let hasGap = false;
	let hasRepeat = false;
	let hasFinishReason = false;
	let isDone = false;

	const noteIndex = (index: number) => {
		hasGap ||= index > nextIndex;
		hasRepeat ||= index < nextIndex;
		nextIndex = index + 1;
	};

	const onEvent = (message: eventsourceParser.EventSourceMessage) => {
		if (message.data === '[DONE]') {
			isDone = true;
			return;
		}

		const chunk = chunkSchema.parse(JSON.parse(message.data));
		const [choice] = chunk.choices;
		const hasContent = Boolean(choice?.delta?.content ?? choice?.text);
		if (hasContent) {
			parts++;
		}

		if (hasContent && chunk.token_index !== undefined) {
			noteIndex(chunk.token_index);
		}

		hasFinishReason ||= Boolean(choice?.finish_reason);
	};

	const parser = eventsourceParser.createParser({onEvent});
	return {
		push(bytes) {
			parser.feed(decoder.decode(bytes, {stream: true}));
		},
		end() {
			if (hasRepeat) {
				return 'duplicated';
			}

			return isDone && hasFinishReason && !hasGap ? 'whole' : 'truncated';
		},
		get parts() {
			return parts;
		},
	};
};
