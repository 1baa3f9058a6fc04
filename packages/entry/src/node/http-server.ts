/** HTTP server of the entry daemon, based on h3. */
import * as buffer from 'node:buffer';
import * as crypto from 'node:crypto';
import * as http from 'node:http';
import type * as net from 'node:net';
import * as h3 from 'h3';
import * as gatewayError from '@hawthornfront/base/common/gateway-error.js';
import * as attemptSources from '../common/attempt-sources.js';
import type * as callerRequest from '../common/caller-request.js';

/** Header that authenticates requests of daemons of the same cluster. */
export const clusterTokenHeader = 'hawthornfront-cluster-token';

const maxRpcBytes = 16_777_216;
const headersTimeoutMs = 10_000;
/** Maximum time for receiving a request; the connection of a slower caller is closed. */
const requestTimeoutMs = 60_000;

export type HttpHandlers = {
	/** Handles requests of callers, received directly or forwarded. Never throws. */
	handle(request: callerRequest.CallerRequest): Promise<callerRequest.CallerResponse>;
	/** Handles messages of the internal protocol. */
	handleRpc(text: string): Promise<string>;
	/** Handles `GET` requests on operator paths; undefined for other paths. */
	handleOperator(path: string): Promise<callerRequest.CallerResponse | undefined>;
};

export type HttpServerOptions = {
	host: string;
	port: number;
	clusterToken: string;
	handlers: HttpHandlers;
};

export type HttpServer = {
	readonly port: number;
	/** Stops accepting connections, closes idle ones and waits for the others to end. */
	close(): Promise<void>;
	/** Closes all connections immediately, as a crash would. */
	abort(): void;
};

const tooLarge = (limitBytes: number): gatewayError.GatewayException =>
	new gatewayError.GatewayException({
		kind: 'body-too-large',
		limitBytes,
		step: 'before-admission',
		peer: '',
		outcome: 'not-run',
		detail: `the body is longer than ${limitBytes} bytes`,
	});

const readBody = async (body: Request['body'], limitBytes: number): Promise<Uint8Array> => {
	if (!body) {
		return new Uint8Array();
	}

	const chunks: Uint8Array[] = [];
	let lengthBytes = 0;
	for await (const chunk of body as AsyncIterable<Uint8Array>) {
		lengthBytes += chunk.byteLength;
		if (lengthBytes > limitBytes) {
			throw tooLarge(limitBytes);
		}

		chunks.push(chunk);
	}

	return buffer.Buffer.concat(chunks);
};

/** Converts a body to a stream with backpressure: a part is read only when the connection can accept it. */
const toStream = (
	body: AsyncIterable<Uint8Array | string>,
	signal: AbortSignal,
	expired: AbortSignal | undefined,
): ReadableStream<Uint8Array> => {
	const iterator = body[Symbol.asyncIterator]();
	// Otherwise the iterator would stay open when the caller disconnects before the first read.
	signal.addEventListener('abort', () => {
		void iterator.return?.();
	});
	const encoder = new TextEncoder();
	return new ReadableStream<Uint8Array>(
		{
			start(controller) {
				expired?.addEventListener('abort', () => {
					controller.error(new Error('the answer was not read before its deadline'));
				});
			},
			async pull(controller) {
				const result = await iterator.next();
				if (result.done) {
					controller.close();
					return;
				}

				const {value} = result;
				controller.enqueue(typeof value === 'string' ? encoder.encode(value) : value);
			},
			async cancel() {
				await iterator.return?.();
			},
		},
		{highWaterMark: 0},
	);
};

const toResponse = (answer: callerRequest.CallerResponse, signal: AbortSignal): Response => {
	const hasNoBody = answer.status === 204 || answer.status === 304;
	const isWhole = typeof answer.body === 'string' || answer.body instanceof Uint8Array;
	const body = isWhole
		? (answer.body as string | Uint8Array<ArrayBuffer>)
		: toStream(answer.body as AsyncIterable<Uint8Array | string>, signal, answer.expired);
	return new Response(hasNoBody ? null : body, {status: answer.status, headers: answer.headers});
};

const isClusterMember = (header: string, clusterToken: string): boolean => {
	const given = buffer.Buffer.from(header);
	const expected = buffer.Buffer.from(clusterToken);
	return given.length === expected.length && crypto.timingSafeEqual(given, expected);
};

const toCallerRequest = (request: Request, path: string): callerRequest.CallerRequest => ({
	requestId: crypto.randomUUID(),
	method: request.method,
	path: path.startsWith(attemptSources.forwardPrefix)
		? path.slice(attemptSources.forwardPrefix.length)
		: path,
	headers: Object.fromEntries(request.headers),
	isForwarded: path.startsWith(attemptSources.forwardPrefix),
	signal: request.signal,
	readBody: async (limitBytes) => readBody(request.body, limitBytes),
});

const createApp = (options: HttpServerOptions): h3.H3 => {
	const {handlers, clusterToken} = options;
	const app = new h3.H3();
	app.all('/internal/rpc', async (event) => {
		if (!isClusterMember(event.req.headers.get(clusterTokenHeader) ?? '', clusterToken)) {
			return new Response('', {status: 403});
		}

		const bytes = await readBody(event.req.body, maxRpcBytes);
		const text = await handlers.handleRpc(buffer.Buffer.from(bytes).toString('utf8'));
		return new Response(text, {headers: {'content-type': 'application/json'}});
	});
	app.all('/**', async (event) => {
		const path = event.url.pathname + event.url.search;
		if (event.req.method === 'GET') {
			const answer = await handlers.handleOperator(event.url.pathname);
			if (answer) {
				return toResponse(answer, event.req.signal);
			}
		}

		const isForwarded = path.startsWith(attemptSources.forwardPrefix);
		const token = event.req.headers.get(clusterTokenHeader) ?? '';
		if (isForwarded && !isClusterMember(token, clusterToken)) {
			return new Response('', {status: 403});
		}

		return toResponse(await handlers.handle(toCallerRequest(event.req, path)), event.req.signal);
	});
	return app;
};

/** Starts the server. @throws Error when the address is in use. */
export const startHttpServer = async (options: HttpServerOptions): Promise<HttpServer> => {
	const listener = h3.toNodeHandler(createApp(options));
	const server = http.createServer((request, response) => {
		void listener(request, response);
	});
	server.headersTimeout = headersTimeoutMs;
	server.requestTimeout = requestTimeoutMs;
	await new Promise<void>((resolve, reject) => {
		server.once('error', reject);
		server.listen(options.port, options.host, () => {
			server.off('error', reject);
			resolve();
		});
	});
	return {
		port: (server.address() as net.AddressInfo).port,
		async close() {
			await new Promise<void>((resolve) => {
				server.close(() => {
					resolve();
				});
				server.closeIdleConnections();
			});
		},
		abort() {
			server.close();
			server.closeAllConnections();
		},
	};
};
