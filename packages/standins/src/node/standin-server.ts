/**
 * HTTP server shared by the stand-ins. Handlers get the request and answer of
 * Node, since fault injection has to reset and stall connections.
 */
import * as buffer from 'node:buffer';
import * as http from 'node:http';
import type * as net from 'node:net';
import * as h3 from 'h3';
import * as h3Node from 'h3/node';

const defaultMaxBodyBytes = 16_777_216;

/** Where a stand-in listens. Port 0 takes a free port. */
export type ListenSettings = {host: string; port: number};

export const defaultListen: ListenSettings = {host: '127.0.0.1', port: 0};

/** One request with its whole body. */
export type Exchange = {
	request: http.IncomingMessage;
	response: http.ServerResponse;
	/** Path without query. */
	path: string;
	query: URLSearchParams;
	body: Uint8Array;
	/** Aborted when the connection closes before the answer has ended. */
	signal: AbortSignal;
};

export type Handler = (exchange: Exchange) => Promise<void>;

/** Answers with JSON. */
export const answerJson = (exchange: Exchange, status: number, value: unknown): void => {
	if (exchange.response.destroyed) {
		return;
	}

	exchange.response.writeHead(status, {'content-type': 'application/json'});
	exchange.response.end(JSON.stringify(value));
};

/** Breaks the connection with a reset, so that the caller gets no answer. */
export const resetConnection = (exchange: Exchange): void => {
	exchange.request.socket.resetAndDestroy();
};

/** JSON body of a request; undefined when it is not JSON. */
export const jsonBody = (exchange: Exchange): unknown => {
	try {
		return JSON.parse(new TextDecoder().decode(exchange.body)) as unknown;
	} catch {
		return undefined;
	}
};

const readBody = async (request: http.IncomingMessage): Promise<Uint8Array | undefined> => {
	const parts: Uint8Array[] = [];
	let lengthBytes = 0;
	for await (const part of request as AsyncIterable<Uint8Array>) {
		lengthBytes += part.byteLength;
		if (lengthBytes > defaultMaxBodyBytes) {
			return undefined;
		}

		parts.push(part);
	}

	return buffer.Buffer.concat(parts);
};

const abortOnEarlyClose = (response: http.ServerResponse): AbortSignal => {
	const controller = new AbortController();
	response.once('close', () => {
		if (!response.writableFinished) {
			controller.abort(new Error('connection closed before the answer ended'));
		}
	});
	return controller.signal;
};

const runHandler = async (
	handler: Handler,
	request: http.IncomingMessage,
	response: http.ServerResponse,
): Promise<void> => {
	const signal = abortOnEarlyClose(response);
	try {
		const body = await readBody(request);
		if (!body) {
			response.writeHead(413).end();
			return;
		}

		const url = new URL(request.url ?? '/', 'http://standin');
		const {pathname: path, searchParams: query} = url;
		await handler({request, response, path, query, body, signal});
	} catch (error) {
		// A closed connection needs no answer; anything else is a fault of the stand-in.
		if (signal.aborted || request.socket.destroyed) {
			return;
		}

		const message = error instanceof Error ? error.message : String(error);
		if (response.headersSent) {
			response.destroy();
		} else {
			response.writeHead(500, {'content-type': 'text/plain'}).end(message);
		}
	}
};

const closeOrEnd = async (response: http.ServerResponse): Promise<void> => {
	if (response.writableEnded || response.closed) {
		return;
	}

	await new Promise<void>((resolve) => {
		response.once('close', resolve);
	});
};

/** Adds a route; `path` uses the patterns of h3, `any` stands for every method. */
export const addRoute = (
	app: h3.H3,
	method: 'GET' | 'POST' | 'PUT' | 'any',
	path: string,
	handler: Handler,
): void => {
	const nodeHandler = h3.fromNodeHandler(async (request, response) => {
		await runHandler(handler, request as http.IncomingMessage, response as http.ServerResponse);
		// h3 takes the return of a handler as the end of the answer, and a hang has none.
		await closeOrEnd(response as http.ServerResponse);
	});
	if (method === 'any') {
		app.all(path, nodeHandler);
	} else {
		app.on(method, path, nodeHandler);
	}
};

export type StandinServer = {
	readonly address: string;
	/** Stops listening and resets every connection; callers are then refused. */
	stop(): Promise<void>;
	/** Listens again at the same address after {@link stop}. */
	start(): Promise<void>;
	close(): Promise<void>;
};

const listen = async (server: http.Server, settings: ListenSettings): Promise<number> =>
	new Promise((resolve, reject) => {
		server.once('error', reject);
		server.listen(settings.port, settings.host, () => {
			server.off('error', reject);
			resolve((server.address() as net.AddressInfo).port);
		});
	});

/** Starts a server. @throws Error when the address is taken. */
export const createStandinServer = async (
	app: h3.H3,
	settings: ListenSettings,
): Promise<StandinServer> => {
	const nodeHandler = h3Node.toNodeHandler(app);
	const create = () =>
		http.createServer((request, response) => {
			void nodeHandler(request, response);
		});
	let server: http.Server | undefined = create();
	const port = await listen(server, settings);

	const stop = async () => {
		const stopping = server;
		server = undefined;
		if (!stopping) {
			return;
		}

		await new Promise<void>((resolve) => {
			stopping.close(() => {
				resolve();
			});
			stopping.closeAllConnections();
		});
	};

	return {
		address: `${settings.host}:${port}`,
		stop,
		async start() {
			if (server) {
				return;
			}

			server = create();
			await listen(server, {host: settings.host, port});
		},
		close: stop,
	};
};
