/** HTTP in memory between processes of a test, with delays, cuts, pauses and crashes on a manual clock. */
import type * as clock from '@hawthornfront/base/common/clock.js';
import type * as event from '@hawthornfront/base/common/event.js';
import * as httpClient from '@hawthornfront/base/common/http-client.js';

const connectTimeoutMs = 2000;
const defaultTimeoutMs = 30_000;

/** Answers one request; `signal` aborts when the connection is gone. */
export type Handler = (
	request: httpClient.HttpRequest,
	signal: AbortSignal,
) => Promise<httpClient.HttpResponse>;

export type Links = {
	delayMs(from: string, to: string): number;
	isCut(from: string, to: string): boolean;
	/** Fires when a cut or a pause has ended. */
	readonly onDidChange: event.Event<void>;
	isPaused(address: string): boolean;
};

type Server = {handler: Handler; ended: AbortController};

export type MemoryHttp = {
	listen(address: string, handler: Handler): {close(): void};
	/** Refuses new connections to an address; those in progress go on. */
	unlisten(address: string): void;
	createClient(from: string): httpClient.HttpClient & {crash(): void};
};

/** Rejects with `connection reset` when the signal aborts first. */
const unlessAborted = async <T>(pending: Promise<T>, signal: AbortSignal): Promise<T> =>
	new Promise((resolve, reject) => {
		const fail = () => {
			reject(new Error('connection reset'));
		};

		if (signal.aborted) {
			// A server may fail as well, which nobody waits for any more.
			pending.catch(() => undefined);
			fail();
			return;
		}

		signal.addEventListener('abort', fail, {once: true});
		const end = () => {
			signal.removeEventListener('abort', fail);
		};

		pending.then(
			(value) => {
				end();
				resolve(value);
			},
			(error: unknown) => {
				end();
				reject(error instanceof Error ? error : new Error('request failed'));
			},
		);
	});

/** Creates a network of HTTP servers. */
export const createMemoryHttp = (time: clock.Clock, links: Links): MemoryHttp => {
	const servers = new Map<string, Server>();

	const change = async (signal: AbortSignal): Promise<void> =>
		unlessAborted(
			new Promise<void>((resolve) => {
				const listener = links.onDidChange(() => {
					listener.dispose();
					resolve();
				});
			}),
			signal,
		);

	/** Passes one message: waits for the link, and for both ends to run. */
	const pass = async (from: string, to: string, signal: AbortSignal): Promise<void> => {
		while (links.isCut(from, to) || links.isPaused(from) || links.isPaused(to)) {
			await change(signal);
		}

		await time.sleep(links.delayMs(from, to), signal);
	};

	class MemoryClient extends httpClient.HttpClient {
		readonly #from: string;
		readonly #ended = new AbortController();

		constructor(from: string) {
			super();
			this.#from = from;
		}

		/** Breaks all requests in progress and refuses new ones. */
		crash(): void {
			this.#ended.abort(new Error('the process crashed'));
		}

		override async close(): Promise<void> {
			this.crash();
		}

		override async request(request: httpClient.HttpRequest): Promise<httpClient.HttpResponse> {
			const {peer} = request;
			const server = await this.#connect(request);
			const limit = new AbortController();
			const timer = time.setTimer(() => {
				limit.abort(new Error('timeout'));
			}, request.timeoutMs ?? defaultTimeoutMs);
			const sources = [this.#ended.signal, server.ended.signal];
			const connection = AbortSignal.any(request.signal ? [...sources, request.signal] : sources);
			const signal = AbortSignal.any([connection, limit.signal]);
			try {
				request.onSent?.();
				await pass(this.#from, peer, signal);
				const answer = await unlessAborted(server.handler(request, connection), signal);
				await pass(peer, this.#from, signal);
				return {...answer, body: this.#body(answer.body, peer, connection)};
			} catch (error) {
				const message = error instanceof Error ? error.message : 'connection reset';
				throw new httpClient.HttpClientError(message, peer, true, error);
			} finally {
				timer.dispose();
			}
		}

		/** Opens a connection; nothing of the request has left when it fails. */
		async #connect(request: httpClient.HttpRequest): Promise<Server> {
			const {peer, signal} = request;
			const refuse = (message: string) => new httpClient.HttpClientError(message, peer, false);
			if (this.#ended.signal.aborted) {
				throw refuse('the process crashed');
			}

			if (links.isCut(this.#from, peer) || links.isCut(peer, this.#from)) {
				await time.sleep(connectTimeoutMs, signal);
				throw refuse('connect timeout');
			}

			const server = servers.get(peer);
			if (!server) {
				throw refuse('connection refused');
			}

			if (signal?.aborted) {
				throw refuse('aborted');
			}

			return server;
		}

		async *#body(
			body: AsyncIterable<Uint8Array>,
			peer: string,
			signal: AbortSignal,
		): AsyncGenerator<Uint8Array> {
			const iterator = body[Symbol.asyncIterator]();
			try {
				for (;;) {
					const pending = iterator.next();
					pending.catch(() => undefined);
					const result = await unlessAborted(pending, signal);
					if (result.done) {
						return;
					}

					await pass(peer, this.#from, signal);
					yield result.value;
				}
			} finally {
				void iterator.return?.();
			}
		}
	}

	return {
		listen(address, handler) {
			const server = {handler, ended: new AbortController()};
			servers.set(address, server);
			return {
				close() {
					if (servers.get(address) === server) {
						servers.delete(address);
					}

					server.ended.abort(new Error('the server is gone'));
				},
			};
		},
		unlisten(address) {
			servers.delete(address);
		},
		createClient: (from) => new MemoryClient(from),
	};
};
