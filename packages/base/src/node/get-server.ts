/**
 * HTTP server for a few small `GET` endpoints of a daemon. It uses `node:http` directly:
 * a web framework takes longer to load than the rest of a daemon together.
 */
import * as buffer from 'node:buffer';
import * as http from 'node:http';
import type * as net from 'node:net';

export type GetResponse = {
	status: number;
	/** Text with its content type; undefined: an empty body. */
	body?: {contentType: string; text: string};
};

/** Handles a request for one path. */
export type GetHandler = (query: URLSearchParams) => GetResponse | Promise<GetResponse>;

const notFoundStatus = 404;
const errorStatus = 500;

/** Response with a JSON body. */
export const jsonResponse = (value: unknown): GetResponse => ({
	status: 200,
	body: {contentType: 'application/json', text: JSON.stringify(value)},
});

/** Called with the path and the error of a handler that failed; the response has status 500. */
export type HandlerErrorListener = (path: string, error: unknown) => void;

const answer = async (
	handlers: Readonly<Record<string, GetHandler>>,
	request: http.IncomingMessage,
	onError: HandlerErrorListener,
): Promise<GetResponse> => {
	const [path = '', query = ''] = (request.url ?? '').split('?', 2);
	const handler = request.method === 'GET' ? handlers[path] : undefined;
	if (!handler) {
		return {status: notFoundStatus};
	}

	try {
		return await handler(new URLSearchParams(query));
	} catch (error) {
		onError(path, error);
		return {status: errorStatus};
	}
};

/** Creates a server that is not listening yet. @param handlers handlers by path */
export const createGetServer = (
	handlers: Readonly<Record<string, GetHandler>>,
	onError: HandlerErrorListener,
): http.Server =>
	http.createServer((request, response) => {
		void (async () => {
			const {status, body} = await answer(handlers, request, onError);
			response.writeHead(status, {
				'content-length': body ? buffer.Buffer.byteLength(body.text) : 0,
				...(body && {'content-type': body.contentType}),
			});
			response.end(body?.text);
		})();
	});

/** Closes the oldest connection for a new one beyond a maximum; requests of these servers are short. */
export const limitConnections = (server: http.Server, maxConnections: number): void => {
	const open = new Set<net.Socket>();
	server.on('connection', (socket: net.Socket) => {
		open.add(socket);
		socket.on('close', () => {
			open.delete(socket);
		});
		const [oldest] = open;
		if (oldest && open.size > maxConnections) {
			open.delete(oldest);
			oldest.destroy();
		}
	});
};
