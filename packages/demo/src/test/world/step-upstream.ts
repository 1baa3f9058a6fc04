/** Upstream in memory that stops at every step of a request, so that a fault can be injected there. */
import type * as clock from '@hawthornfront/base/common/clock.js';
import type * as gatewayError from '@hawthornfront/base/common/gateway-error.js';
import type * as httpClient from '@hawthornfront/base/common/http-client.js';
import type * as memoryHttp from './memory-http.js';

/** What the upstream does from now on. */
export type Mode = 'normal' | 'reset' | 'hang' | 'slow' | 'late' | 'dead';

/** Called at each step of each request; `text` is its prompt or body. */
export type StepHook = (
	step: gatewayError.RequestStep,
	upstream: string,
	text: string,
) => Promise<void>;

export type StepUpstream = {
	readonly address: string;
	mode: Mode;
	/** Marks itself as leaving in its load report. */
	isLeaving: boolean;
	/** Executions by request body (services) or prompt (runners). */
	readonly executions: string[];
	/** Requests that began after the upstream had begun to leave. */
	receivedAtMs: number[];
	handler: memoryHttp.Handler;
};

export const answerTokens = 8;
const tokenMs = 20;
const slowMs = 400;
/** Five late steps must stay below the deadline of 20 s, which is the caller's own bound. */
const lateMs = 3000;
const never = 1e12;

/** Text of one token; the same at every runner, so that streams can be resumed. */
export const tokenText = (prompt: string, index: number): string => `${prompt.length}-${index} `;

/** Whole text of the answer to a prompt. */
export const wholeText = (prompt: string): string =>
	Array.from({length: answerTokens}, (_, index) => tokenText(prompt, index)).join('');

type RunnerBody = {messages: Array<{content: string}>; resume_from_token: number};

const bodyText = (request: httpClient.HttpRequest): string =>
	typeof request.body === 'string' ? request.body : new TextDecoder().decode(request.body);

/** Creates an upstream. `isRunner` chooses between a model runner and a plain service. */
export const createStepUpstream = (
	time: clock.Clock,
	address: string,
	isRunner: boolean,
	hook: StepHook,
): StepUpstream => {
	const encoder = new TextEncoder();

	/** Lets a fault happen, then behaves as the mode says. */
	const step = async (
		name: gatewayError.RequestStep,
		text: string,
		signal: AbortSignal,
	): Promise<void> => {
		await hook(name, address, text);
		switch (upstream.mode) {
			case 'normal': {
				break;
			}

			case 'slow': {
				await time.sleep(slowMs, signal);
				break;
			}

			case 'late': {
				await time.sleep(lateMs, signal);
				break;
			}

			case 'hang': {
				await time.sleep(never, signal);
				break;
			}

			case 'reset': {
				upstream.mode = 'normal';
				throw new Error('connection reset');
			}

			case 'dead': {
				throw new Error('connection reset');
			}
		}
	};

	async function* tokens(body: RunnerBody, signal: AbortSignal): AsyncGenerator<Uint8Array> {
		const prompt = body.messages[0]!.content;
		for (let index = body.resume_from_token; index < answerTokens; index++) {
			await time.sleep(tokenMs, signal);
			const chunk = {
				token_index: index,
				choices: [{index: 0, delta: {content: tokenText(prompt, index)}}],
			};
			yield encoder.encode(`data: ${JSON.stringify(chunk)}\n\n`);
			if (index === 0) {
				await step('first-token', prompt, signal);
			}

			if (index === answerTokens / 2) {
				await step('mid-stream', prompt, signal);
			}
		}

		await step('last-token', prompt, signal);
		const usage = {prompt_tokens: 1, completion_tokens: answerTokens};
		const last = {choices: [{index: 0, delta: {}, finish_reason: 'stop'}], usage};
		yield encoder.encode(`data: ${JSON.stringify(last)}\n\ndata: [DONE]\n\n`);
	}

	async function* serviceBody(
		request: string,
		text: string,
		signal: AbortSignal,
	): AsyncGenerator<Uint8Array> {
		await step('first-token', request, signal);
		const half = Math.floor(text.length / 2);
		yield encoder.encode(text.slice(0, half));
		await step('mid-stream', request, signal);
		yield encoder.encode(text.slice(half));
		await step('last-token', request, signal);
	}

	const json = (value: unknown): httpClient.HttpResponse => ({
		status: 200,
		headers: {'content-type': 'application/json'},
		body: (async function* () {
			yield encoder.encode(JSON.stringify(value));
		})(),
	});

	const handler: memoryHttp.Handler = async (request, signal) => {
		if (request.path === '/load') {
			return json({
				running: 0,
				waiting: 0,
				slots: 4,
				leaving: upstream.isLeaving,
				model: 'm',
				role: '',
			});
		}

		upstream.receivedAtMs.push(time.nowMs());
		const bytes = bodyText(request);
		if (isRunner) {
			const body = JSON.parse(bytes) as RunnerBody;
			const prompt = body.messages[0]!.content;
			await step('sent-in-part', prompt, signal);
			upstream.executions.push(prompt);
			await step('sent-in-full', prompt, signal);
			return {
				status: 200,
				headers: {'content-type': 'text/event-stream'},
				body: tokens(body, signal),
			};
		}

		await step('sent-in-part', bytes, signal);
		upstream.executions.push(bytes);
		await step('sent-in-full', bytes, signal);
		return {
			status: 200,
			headers: {'content-type': 'text/plain'},
			body: serviceBody(bytes, `done: ${bytes}`, signal),
		};
	};

	const upstream: StepUpstream = {
		address,
		mode: 'normal',
		isLeaving: false,
		executions: [],
		receivedAtMs: [],
		handler,
	};
	return upstream;
};
