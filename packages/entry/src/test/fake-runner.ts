/** In-memory runners whose streams follow a script; they record their executions. */
import type * as clock from '@hawthornfront/base/common/clock.js';
import * as event from '@hawthornfront/base/common/event.js';
import * as httpClient from '@hawthornfront/base/common/http-client.js';
import type * as attempt from '../common/attempt.js';
import * as runnerClient from '../common/runner-client.js';

/** Behaviour of one attempt. Token numbers are positions in the whole answer. */
export type Script = {
	/** Refuses the connection before a byte is sent. */
	refuses?: boolean;
	delayMs?: number;
	/** Resets the connection before this token. */
	breaksAt?: number;
	/** Pauses before this token for `pauseMs`. */
	pausesAt?: number;
	pauseMs?: number;
	/** Sends nothing from this token on. */
	hangsAt?: number;
	/** Ends the stream before this token, without an error and without a finish part. */
	truncatesAt?: number;
	/** Order of the tokens, instead of ascending. */
	order?: number[];
};

export type FakeRunners = {
	client: runnerClient.RunnerClient;
	/** Attempts that reached a runner, with its address and the first token requested. */
	executions: Array<{address: string; from: number}>;
	cancelled: string[];
	/** Number of tokens read from the runners. */
	readonly tokensTaken: number;
};

const intervalMs = 10;

const token = (index: number): runnerClient.TokenPart => ({
	kind: 'token',
	index,
	choices: [{index: 0, delta: {content: `t${index} `}}],
	text: `t${index} `,
});

/** Creates runners that answer with `length` tokens. Each attempt at an address takes its next script. */
export const createFakeRunners = (
	time: clock.Clock,
	length: number,
	scripts: Record<string, Script[]>,
): FakeRunners => {
	const executions: FakeRunners['executions'] = [];
	const cancelled: string[] = [];
	let tokensTaken = 0;

	async function* stream(
		request: runnerClient.RunnerRequest,
		script: Script,
	): AsyncGenerator<runnerClient.StreamPart> {
		const {signal, resumeFromToken} = request;
		const natural = Array.from({length: length - resumeFromToken}, (_, at) => at + resumeFromToken);
		try {
			for (const index of script.order ?? natural) {
				await time.sleep(intervalMs, signal);
				if (index === script.breaksAt) {
					throw new Error('connection reset');
				}

				if (index === script.truncatesAt) {
					return;
				}

				if (index === script.pausesAt) {
					await time.sleep(script.pauseMs ?? 0, signal);
				}

				if (index === script.hangsAt) {
					await time.sleep(1e9, signal);
				}

				tokensTaken++;
				yield token(index);
			}
		} finally {
			if (signal.aborted) {
				cancelled.push(request.address);
			}
		}

		yield {
			kind: 'finish',
			finishReason: 'stop',
			promptTokens: 1,
			completionTokens: length,
			partCount: length,
		};
		yield {kind: 'done'};
	}

	class FakeClient extends runnerClient.RunnerClient {
		override async open(request: runnerClient.RunnerRequest) {
			const script = scripts[request.address]?.shift() ?? {};
			if (script.refuses) {
				throw new httpClient.HttpClientError('connection refused', request.address, false);
			}

			request.onSent?.();
			executions.push({address: request.address, from: request.resumeFromToken});
			const delayMs = script.delayMs ?? 0;
			await time.sleep(Math.min(delayMs, request.timeoutMs), request.signal);
			if (delayMs > request.timeoutMs) {
				throw new httpClient.HttpClientError('no answer in time', request.address, true);
			}

			return stream(request, script);
		}
	}

	return {
		client: new FakeClient(),
		executions,
		cancelled,
		get tokensTaken() {
			return tokensTaken;
		},
	};
};

export type FakeSource = attempt.AttemptSource & {
	preempt(): void;
	releases: string[];
};

/** Creates a source that records its releases. */
export const createFakeSource = (name: string): FakeSource => {
	const emitter = event.createEmitter<void>();
	const releases: string[] = [];
	return {
		name,
		address: name,
		path: '/v1/completions',
		headers: {},
		releases,
		onDidPreempt: emitter.event,
		preempt() {
			emitter.fire();
		},
		noteFirstToken() {},
		noteTokens() {},
		release(result) {
			releases.push(result);
		},
	};
};
