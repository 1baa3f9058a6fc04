/** Stand-in of a model runner: the protocol of section 6.5 of the design page. */
import type * as http from 'node:http';
import type * as clockModule from '@hawthornfront/base/common/clock.js';
import * as randomModule from '@hawthornfront/base/common/random.js';
import * as h3 from 'h3';
import * as zod from 'zod';
import * as chunkBuffer from '../common/chunk-buffer.js';
import * as openai from '../common/openai.js';
import * as perturbChunks from '../common/perturb-chunks.js';
import * as runnerModel from '../common/runner-model.js';
import * as runnerOrders from '../common/runner-orders.js';
import type * as runnerTypes from '../common/runner-types.js';
import * as standinServer from './standin-server.js';

export type RunnerStandinSettings = standinServer.ListenSettings &
	runnerTypes.RunnerSettings & {
		/** Shortest and longest answer when `max_tokens` does not cut it. */
		minimumAnswerTokens: number;
		maximumAnswerTokens: number;
	};

const defaultMinimumAnswerTokens = 16;
const defaultMaximumAnswerTokens = 64;

export type RunnerStandin = {
	readonly address: string;
	readonly faults: runnerTypes.RunnerFaults & perturbChunks.StreamFaults;
	readonly counts: runnerTypes.RunnerCounts;
	readonly orders: runnerOrders.OrderBook;
	readonly model: runnerModel.RunnerModel;
	/** Resets every connection, loses all work and the cache, and refuses connections. */
	crash(): Promise<void>;
	restart(): Promise<void>;
	close(): Promise<void>;
};

const cancelSchema = zod.object({request_id: zod.string()});

// Reasons for which a generation was not accepted, so that no work was done.
const refusalStatus = new Map<chunkBuffer.GenerationError['reason'], number>([
	['refused', 503],
	['not-loaded', 404],
]);

/** Writes and waits while the connection is full, so that a slow reader slows its sequence. */
const writeWithBackPressure = async (
	response: http.ServerResponse,
	text: string,
	signal: AbortSignal,
): Promise<void> => {
	if (response.write(text) || signal.aborted) {
		return;
	}

	await new Promise<void>((resolve) => {
		const finish = () => {
			response.off('drain', finish);
			response.off('close', finish);
			resolve();
		};

		response.on('drain', finish);
		response.on('close', finish);
	});
};

type Answering = {
	clock: clockModule.Clock;
	exchange: standinServer.Exchange;
	generation: openai.Generation;
	chunks: AsyncIterable<chunkBuffer.Chunk>;
};

const answerStream = async ({clock, exchange, generation, chunks}: Answering): Promise<void> => {
	const {response, signal} = exchange;
	const createdSeconds = Math.floor(clock.wallMs() / 1000);
	let hasEnded = false;
	for await (const chunk of chunks) {
		if (!response.headersSent) {
			response.writeHead(200, {
				'content-type': 'text/event-stream',
				'cache-control': 'no-store',
			});
		}

		if (chunk.kind === 'end') {
			const {outputTokens} = generation.request;
			const last = openai.streamChunk(generation, createdSeconds, outputTokens, chunk);
			response.write(`data: ${JSON.stringify(last)}\n\n`);
			response.end('data: [DONE]\n\n');
			hasEnded = true;
			continue;
		}

		for (let offset = 0; offset < chunk.count; offset++) {
			const item = openai.streamChunk(generation, createdSeconds, chunk.tokenIndex + offset);
			await writeWithBackPressure(response, `data: ${JSON.stringify(item)}\n\n`, signal);
		}
	}

	if (!hasEnded) {
		response.end();
	}
};

const answerWhole = async ({clock, exchange, generation, chunks}: Answering): Promise<void> => {
	for await (const chunk of chunks) {
		if (chunk.kind === 'end') {
			const createdSeconds = Math.floor(clock.wallMs() / 1000);
			standinServer.answerJson(
				exchange,
				200,
				openai.wholeAnswer(generation, createdSeconds, chunk),
			);
		}
	}
};

/** Starts a runner. */
export const createRunnerStandin = async (options: {
	clock: clockModule.Clock;
	seed: number;
	settings?: Partial<RunnerStandinSettings>;
}): Promise<RunnerStandin> => {
	const {clock, seed, settings = {}} = options;
	const model = runnerModel.createRunnerModel({clock, seed, settings});
	const random = randomModule.createRandom(seed).fork();
	const faults = Object.assign(model.faults, perturbChunks.createStreamFaults());
	const lengths = {
		minimum: settings.minimumAnswerTokens ?? defaultMinimumAnswerTokens,
		maximum: settings.maximumAnswerTokens ?? defaultMaximumAnswerTokens,
	};
	let lastId = 0;

	const generate = async (
		exchange: standinServer.Exchange,
		body: openai.ChatBody | openai.CompletionBody,
	) => {
		const generation = openai.toGeneration(body, `generation-${++lastId}`, lengths);
		try {
			const chunks = model.generate(generation.request, exchange.signal);
			await perturbChunks.delayAnswer(clock, faults, exchange.signal);
			const perturbed = perturbChunks.perturbChunks(chunks, faults, random);
			const answering = {clock, exchange, generation, chunks: perturbed};
			await (generation.isStreamed ? answerStream(answering) : answerWhole(answering));
		} catch (error) {
			if (exchange.signal.aborted) {
				return;
			}

			const status =
				error instanceof chunkBuffer.GenerationError ? refusalStatus.get(error.reason) : undefined;
			if (status !== undefined) {
				const message = error instanceof Error ? error.message : '';
				standinServer.answerJson(exchange, status, {error: {message}});
				return;
			}

			// A generation that broke must not look like one that ended.
			model.cancel(generation.request.requestId);
			standinServer.resetConnection(exchange);
		}
	};

	const parseAndGenerate = async (
		exchange: standinServer.Exchange,
		schema: typeof openai.chatSchema | typeof openai.completionSchema,
	) => {
		const body = schema.safeParse(standinServer.jsonBody(exchange));
		if (body.success) {
			await generate(exchange, body.data);
		} else {
			const message = body.error.issues[0]?.message ?? 'wrong body';
			standinServer.answerJson(exchange, 400, {error: {message}});
		}
	};

	const app = new h3.H3();
	standinServer.addRoute(app, 'POST', '/v1/chat/completions', async (exchange) =>
		parseAndGenerate(exchange, openai.chatSchema),
	);
	standinServer.addRoute(app, 'POST', '/v1/completions', async (exchange) =>
		parseAndGenerate(exchange, openai.completionSchema),
	);
	standinServer.addRoute(app, 'GET', '/v1/models', async (exchange) => {
		const data = model.orders.model === '' ? [] : [{id: model.orders.model, object: 'model'}];
		standinServer.answerJson(exchange, 200, {object: 'list', data});
	});
	standinServer.addRoute(app, 'POST', '/v1/cancel', async (exchange) => {
		const body = cancelSchema.safeParse(standinServer.jsonBody(exchange));
		const cancelled = body.success && model.cancel(body.data.request_id);
		standinServer.answerJson(exchange, body.success ? 200 : 400, {cancelled});
	});
	standinServer.addRoute(app, 'GET', '/load', async (exchange) => {
		standinServer.answerJson(exchange, 200, model.load());
	});
	standinServer.addRoute(app, 'GET', '/cache-events', async (exchange) => {
		const after = Number(exchange.query.get('after') ?? 0);
		standinServer.answerJson(exchange, 200, model.cacheEvents(after));
	});
	standinServer.addRoute(app, 'POST', '/orders', async (exchange) => {
		const order = runnerOrders.orderSchema.safeParse(standinServer.jsonBody(exchange));
		if (!order.success) {
			const error = order.error.issues[0]?.message ?? 'wrong body';
			standinServer.answerJson(exchange, 400, {error});
			return;
		}

		const result = model.orders.give(order.data);
		standinServer.answerJson(exchange, result.accepted ? 200 : 409, result);
	});

	const server = await standinServer.createStandinServer(app, {
		host: settings.host ?? standinServer.defaultListen.host,
		port: settings.port ?? standinServer.defaultListen.port,
	});
	return {
		address: server.address,
		faults,
		counts: model.counts,
		orders: model.orders,
		model,
		async crash() {
			model.crash();
			await server.stop();
		},
		async restart() {
			model.restart();
			await server.start();
		},
		async close() {
			model.dispose();
			await server.close();
		},
	};
};
