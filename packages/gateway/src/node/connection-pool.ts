/**
 * Connections to upstreams and other daemons. Each undici client holds one
 * connection with one request at a time, so that the pool knows how old a
 * connection is and which request a failure belongs to.
 */
import * as net from 'node:net';
import * as undiciParts from '@hawthornfront/base/node/undici-parts.js';
import type * as undici from 'undici';
import * as framingMeter from '../common/framing-meter.js';
import * as upstreamTransport from '../common/upstream-transport.js';

export type PoolSettings = {
	/** Time for a new connection. */
	connectTimeoutMs: number;
	/** Idle connections are closed after this time, or earlier when the peer says so. */
	idleTimeoutMs: number;
	/** A request that must not be lost only reuses connections that were idle for less. */
	maxRecentIdleMs: number;
	/** Idle connections kept for one peer. */
	maxIdlePerPeer: number;
};

export const defaultPoolSettings: PoolSettings = {
	connectTimeoutMs: 1000,
	idleTimeoutMs: 4000,
	maxRecentIdleMs: 600,
	maxIdlePerPeer: 64,
};

type Connection = {
	client: undici.Client;
	address: string;
	socket?: net.Socket;
	lastUsedMs: number;
	/** A connection was made and not lost since. */
	isConnected: boolean;
	/** The socket ended with an error, so an answer that only ends with it is not complete. */
	hasSocketError: boolean;
	/** The peer closed its side. */
	hasSocketEnded: boolean;
	/** The answer in progress has no length and ends with the connection. */
	isReadingUntilEnd: boolean;
	/** Whether the end of the connection was a reset; settles after the end of an answer without length. */
	wasReset?: Promise<boolean>;
	/** Of the request in progress. */
	controller?: undici.Dispatcher.DispatchController;
	/** Bytes that had come at the end of the last answer. */
	readBytes: number;
	/** Bytes have come and the client has taken what it can; set while a request is in progress. */
	onRead?: () => void;
	isClosed: boolean;
};

/** Margin before the peer's own time-out of an idle connection. */
const keepAliveMarginMs = 1000;

/** An idle connection was lost before the client wrote a request to it. */
const lostBeforeSendCode = 'CONNECTION_LOST_BEFORE_SEND';

/** Errors of {@link ConnectionPool} itself while it connects; an established connection has others. */
const neverSentCodes: ReadonlySet<string> = new Set([
	'ECONNREFUSED',
	'UND_ERR_CONNECT_TIMEOUT',
	lostBeforeSendCode,
]);

/**
 * Tells a reset from an orderly end. When a reset arrives together with the last
 * bytes, the runtime reports an orderly end; only a further write fails then.
 * An empty line after a request is ignored by HTTP servers.
 */
export const testForReset = async (socket: net.Socket): Promise<boolean> =>
	new Promise((resolve) => {
		socket.write('\r\n', (error) => {
			const code = error && 'code' in error ? error.code : undefined;
			resolve(code === 'ECONNRESET' || code === 'EPIPE');
		});
	});

/** Drops what was not delivered yet, so that it cannot reach the peer after the request has ended. */
const resetSocket = (socket: net.Socket | undefined): void => {
	// A reset of a socket that is connecting would wait for the connection.
	if (socket && !socket.connecting && !socket.destroyed) {
		// Without an error, the client takes the close for the end of an answer without length.
		socket.emit('error', new Error('reset by this daemon'));
		socket.resetAndDestroy();
	}
};

/** Bytes of a connection that its client has taken. */
const readBytesOf = (socket: net.Socket | undefined): number =>
	socket ? socket.bytesRead - socket.readableLength : 0;

const detailOf = (error: Error): string =>
	'code' in error && typeof error.code === 'string' ? error.code : error.message;

/** Transport on undici. */
export class ConnectionPool extends upstreamTransport.UpstreamTransport {
	readonly #settings: PoolSettings;
	readonly #nowMs: () => number;
	readonly #idle = new Map<string, Connection[]>();
	#opened = 0;

	constructor(nowMs: () => number, settings: PoolSettings = defaultPoolSettings) {
		super();
		this.#nowMs = nowMs;
		this.#settings = settings;
	}

	/** Connections opened since the start. */
	get openedCount(): number {
		return this.#opened;
	}

	override send(
		request: upstreamTransport.TransportRequest,
		listener: upstreamTransport.TransportListener,
	): upstreamTransport.Exchange {
		const connection = this.#take(request);
		const meter = framingMeter.createFramingMeter();
		let isCancelled = false;
		let isFramed = true;
		let isOver = false;

		const fail = (error: Error) => {
			if (isOver) {
				return;
			}

			isOver = true;
			connection.onRead = undefined;
			connection.controller = undefined;
			const mayHaveBeenSent = !neverSentCodes.has(detailOf(error));
			this.#close(connection);
			if (!isCancelled) {
				listener.onFailure({mayHaveBeenSent, detail: detailOf(error)});
			}
		};

		const finish = (wasReset: boolean) => {
			if (isOver) {
				return;
			}

			if (wasReset) {
				fail(new Error('connection reset before the end of the answer'));
				return;
			}

			isOver = true;
			connection.onRead = undefined;
			connection.controller = undefined;
			this.#release(connection);
			if (!isCancelled) {
				listener.onEnd();
			}
		};

		meter.start(readBytesOf(connection.socket));
		connection.onRead = () => {
			if (meter.isExceeded(readBytesOf(connection.socket))) {
				resetSocket(connection.socket);
				fail(new Error('too many bytes outside the body of the answer'));
			}
		};

		const ownController = () => (isOver ? undefined : connection.controller);

		connection.client.dispatch(
			{
				method: request.method,
				path: request.path,
				headers: request.headers,
				body: request.body,
				idempotent: false,
				blocking: false,
			},
			{
				onRequestStart(started) {
					connection.controller = started;
					if (isCancelled) {
						started.abort(new Error('cancelled'));
					} else {
						listener.onSent();
					}
				},
				onResponseStart(started, status, headers) {
					connection.controller = started;
					isFramed =
						headers['content-length'] !== undefined || headers['transfer-encoding'] !== undefined;
					connection.isReadingUntilEnd = !isFramed;
					if (status >= 200 && !isCancelled) {
						listener.onHead(status, headers);
					}
				},
				onResponseData(_controller, chunk) {
					meter.noteBody(chunk.length);
					if (!isCancelled) {
						listener.onData(chunk);
					}
				},
				onResponseEnd() {
					if (isOver) {
						return;
					}

					// The client also reports the end of the connection as the end of an answer.
					if (connection.hasSocketError || (isFramed && connection.hasSocketEnded)) {
						fail(new Error('connection ended before the answer'));
						return;
					}

					if (connection.wasReset) {
						void connection.wasReset.then((wasReset) => {
							finish(wasReset);
						});
					} else {
						finish(false);
					}
				},
				onResponseError(_controller, error) {
					fail(error);
				},
			},
		);
		return {
			cancel: () => {
				isCancelled = true;
				if (!isOver) {
					resetSocket(connection.socket);
					connection.controller?.abort(new Error('cancelled'));
					this.#close(connection);
				}
			},
			pause() {
				// After the end of the connection there is nothing left to hold back.
				if (!connection.hasSocketEnded) {
					ownController()?.pause();
				}
			},
			resume() {
				ownController()?.resume();
			},
		};
	}

	/** Closes connections that were idle for too long; call it at regular intervals. */
	sweep(): void {
		const oldestMs = this.#nowMs() - this.#settings.idleTimeoutMs;
		for (const [address, connections] of this.#idle) {
			const kept = connections.filter((connection) => {
				if (connection.lastUsedMs < oldestMs || connection.isClosed) {
					this.#close(connection);
					return false;
				}

				return true;
			});
			if (kept.length === 0) {
				this.#idle.delete(address);
			} else {
				this.#idle.set(address, kept);
			}
		}
	}

	/** Closes the idle connections to a peer that is gone. */
	drop(address: string): void {
		for (const connection of this.#idle.get(address) ?? []) {
			this.#close(connection);
		}

		this.#idle.delete(address);
	}

	dispose(): void {
		for (const address of this.#idle.keys()) {
			this.drop(address);
		}
	}

	#take(request: upstreamTransport.TransportRequest): Connection {
		const idle = this.#idle.get(request.address) ?? [];
		for (let connection = idle.at(-1); connection; connection = idle.at(-1)) {
			// Bytes that belong to no request make the client destroy the socket.
			if (connection.isClosed || !connection.isConnected || connection.socket?.destroyed) {
				idle.pop();
				this.#close(connection);
				continue;
			}

			const idleMs = this.#nowMs() - connection.lastUsedMs;
			if (request.needsRecentConnection && idleMs > this.#settings.maxRecentIdleMs) {
				break;
			}

			idle.pop();
			return connection;
		}

		return this.#open(request.address);
	}

	#open(address: string): Connection {
		this.#opened++;
		const connection: Connection = {
			client: undefined as unknown as undici.Client,
			address,
			lastUsedMs: this.#nowMs(),
			isConnected: false,
			hasSocketError: false,
			hasSocketEnded: false,
			isReadingUntilEnd: false,
			readBytes: 0,
			isClosed: false,
		};
		connection.client = new undiciParts.Client(`http://${address}`, {
			pipelining: 1,
			headersTimeout: 0,
			bodyTimeout: 0,
			keepAliveTimeout: this.#settings.idleTimeoutMs,
			keepAliveTimeoutThreshold: keepAliveMarginMs,
			connect: (options, callback) => {
				this.#connect(connection, options, callback);
			},
		});
		connection.client.on('connect', () => {
			this.#watchReads(connection);
		});
		return connection;
	}

	/** Starts when the client listens to the socket, so that it takes the bytes first. */
	#watchReads(connection: Connection): void {
		const {socket} = connection;
		socket?.on('readable', () => {
			if (connection.onRead) {
				connection.onRead();
			} else if (readBytesOf(socket) > connection.readBytes) {
				// The client ignores empty lines between answers.
				resetSocket(socket);
				this.#close(connection);
			}
		});
	}

	#connect(
		connection: Connection,
		options: undici.buildConnector.Options,
		callback: undici.buildConnector.Callback,
	): void {
		// A lost connection is not replaced behind the pool's back: the request may have been sent on it.
		if (connection.isClosed || connection.isConnected) {
			callback(Object.assign(new Error('connection lost'), {code: lostBeforeSendCode}), null);
			return;
		}

		const socket = net.connect({
			host: options.hostname,
			port: Number(options.port),
			noDelay: true,
			// The own side stays open for the test of a reset.
			allowHalfOpen: true,
		});
		connection.socket = socket;
		let isSettled = false;
		const timer = setTimeout(() => {
			settle(Object.assign(new Error('connect timeout'), {code: 'UND_ERR_CONNECT_TIMEOUT'}));
			socket.destroy();
		}, this.#settings.connectTimeoutMs);
		const settle = (error?: Error) => {
			clearTimeout(timer);
			if (isSettled) {
				return;
			}

			isSettled = true;
			if (error) {
				callback(error, null);
			} else {
				connection.isConnected = true;
				callback(null, socket);
			}
		};

		socket.once('connect', () => {
			settle();
		});
		socket.on('error', (error: NodeJS.ErrnoException) => {
			connection.hasSocketError = true;
			if (connection.controller?.paused) {
				// After a reset the client ends its parser, which must not be paused then.
				error.code = undefined;
			}

			if (!isSettled) {
				// No byte of a request is written before the connection stands.
				settle(Object.assign(error, {code: 'ECONNREFUSED'}));
			}
		});
		socket.once('end', () => {
			connection.hasSocketEnded = true;
			// All bytes are taken; the client ends its parser next, which must not be paused then.
			connection.controller?.resume();
			if (connection.isReadingUntilEnd) {
				connection.wasReset = testForReset(socket);
			}
		});
		socket.once('close', () => {
			connection.isClosed = true;
		});
	}

	#release(connection: Connection): void {
		connection.readBytes = connection.socket?.bytesRead ?? 0;
		connection.lastUsedMs = this.#nowMs();
		const idle = this.#idle.get(connection.address) ?? [];
		if (connection.isClosed || idle.length >= this.#settings.maxIdlePerPeer) {
			this.#close(connection);
			return;
		}

		idle.push(connection);
		this.#idle.set(connection.address, idle);
	}

	#close(connection: Connection): void {
		connection.isClosed = true;
		// The client rejects what it still holds; that request has been told already.
		void connection.client.destroy().catch(() => undefined);
	}
}
