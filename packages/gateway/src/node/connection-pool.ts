/**
 * Keep-alive connections to upstreams and other daemons. Each undici client holds one
 * connection with one request at a time, so that the pool can determine the idle time of
 * a connection and the request that a failure belongs to. What silences a connection without
 * a reset may silence the idle ones beside it, so those are closed with it.
 */
import * as net from 'node:net';
import type * as event from '@hawthornfront/base/common/event.js';
import * as undiciParts from '@hawthornfront/base/node/undici-parts.js';
import type * as undici from 'undici';
import * as connectionLosses from '../common/connection-losses.js';
import * as framingMeter from '../common/framing-meter.js';
import * as headLimits from '../common/head-limits.js';
import * as upstreamTransport from '../common/upstream-transport.js';
import * as upstreamSocket from './upstream-socket.js';

export type PoolSettings = {
	connectTimeoutMs: number;
	/** Idle connections are closed after this time, or earlier if the peer's keep-alive header has a shorter timeout. */
	idleTimeoutMs: number;
	/** Requests with `needsRecentConnection` only reuse connections that were idle for at most this time. */
	maxRecentIdleMs: number;
	maxIdlePerPeer: number;
	probeTimeoutMs: number;
};

export const defaultPoolSettings: PoolSettings = {
	connectTimeoutMs: 1000,
	idleTimeoutMs: 4000,
	maxRecentIdleMs: 600,
	maxIdlePerPeer: 64,
	probeTimeoutMs: 300,
};

type Connection = {
	client: undici.Client;
	address: string;
	socket?: upstreamSocket.UpstreamSocket;
	lastUsedMs: number;
	/** The connection was established. */
	isConnected: boolean;
	/** The socket ended with an error, so a response that is delimited by the end of the connection is incomplete. */
	hasSocketError: boolean;
	/** The peer closed its side of the connection. */
	hasSocketEnded: boolean;
	/** The peer said that it closes the connection after the response. */
	isLast: boolean;
	/** Set while the connection is established. */
	observed?: connectionLosses.ObservedConnection;
	/** The response in progress has no length and ends with the connection. */
	isReadingUntilEnd: boolean;
	/** Whether the connection ended with a reset; settles after the end of a response without length. */
	wasReset?: Promise<boolean>;
	/** Controller of the request in progress. */
	controller?: undici.Dispatcher.DispatchController;
	/** Bytes received up to the end of the last response. */
	readBytes: number;
	/** Called after the client has read from the socket; set while a request is in progress. */
	onRead?: () => void;
	isClosed: boolean;
};

/** A cancelled request that had no byte of an answer for this long suggests that its kept connection is silent. */
const suspiciousSilenceMs = 600;

/** Connections are closed this long before the peer's keep-alive timeout. */
const keepAliveMarginMs = 1000;

/** A probe's connection that stays open for this long was accepted. */
const probeHoldMs = 20;

/** Error code: an idle connection was lost before the client wrote a request to it. */
const lostBeforeSendCode = 'CONNECTION_LOST_BEFORE_SEND';

/** Error code: this process could not open a connection. */
const notOpenedCode = 'CONNECTION_NOT_OPENED';

/** Errors of a connect for which this process lacks a descriptor, memory or a local port. */
const localCodes: ReadonlySet<string> = new Set([
	'EMFILE',
	'ENFILE',
	'ENOBUFS',
	'ENOMEM',
	'EADDRNOTAVAIL',
]);

/** Errors of an established connection that its peer has ended. */
const lossCodes: ReadonlySet<string> = new Set(['ECONNRESET', 'EPIPE', 'ETIMEDOUT']);

/** Codes that {@link ConnectionPool} itself sets before it sends a request; an established connection fails with others. */
const neverSentCodes: ReadonlySet<string> = new Set([
	'ECONNREFUSED',
	'UND_ERR_CONNECT_TIMEOUT',
	lostBeforeSendCode,
	notOpenedCode,
	// The client does not accept a header.
	'UND_ERR_INVALID_ARG',
]);

/** Resets the connection, so that unsent bytes cannot reach the peer after the request has ended. */
const resetSocket = (socket: net.Socket | undefined): void => {
	// The reset of a connecting socket would be delayed until it is connected.
	if (socket && !socket.connecting && !socket.destroyed) {
		// Without an error, the client treats the close as the end of a response without length.
		socket.emit('error', new Error('reset by this daemon'));
		socket.resetAndDestroy();
	}
};

/** Bytes that the client has read from the socket. */
const readBytesOf = (socket: net.Socket | undefined): number =>
	socket ? socket.bytesRead - socket.readableLength : 0;

const saysClose = (header: string | string[] | undefined): boolean =>
	header !== undefined && /\bclose\b/iu.test(String(header));

const detailOf = (error: Error): string =>
	'code' in error && typeof error.code === 'string' ? error.code : error.message;

/** Fails an exchange of which no byte was sent. */
const failLater = (
	listener: upstreamTransport.TransportListener,
	error: Error,
): upstreamTransport.Exchange => {
	const timer = setImmediate(() => {
		listener.onFailure({mayHaveBeenSent: false, detail: detailOf(error)});
	});
	return {
		cancel() {
			clearImmediate(timer);
		},
		pause: () => undefined,
		resume: () => undefined,
	};
};

/** Upstream transport on undici. */
export class ConnectionPool extends upstreamTransport.UpstreamTransport {
	readonly #settings: PoolSettings;
	readonly #nowMs: () => number;
	readonly #idle = new Map<string, Connection[]>();
	readonly #losses: connectionLosses.ConnectionLosses;
	#opened = 0;
	#openSockets = 0;

	constructor(nowMs: () => number, settings: PoolSettings = defaultPoolSettings) {
		super();
		this.#nowMs = nowMs;
		this.#settings = settings;
		this.#losses = connectionLosses.createConnectionLosses(nowMs, (callback, delayMs) => {
			setTimeout(callback, delayMs).unref();
		});
	}

	/** Fires when its connections show that a peer may have restarted. */
	get onDidLosePeer(): event.Event<connectionLosses.PeerLoss> {
		return this.#losses.onDidLosePeer;
	}

	/** Number of connections opened since the start. */
	get openedCount(): number {
		return this.#opened;
	}

	/** Number of connections that hold a descriptor. */
	get openConnections(): number {
		return this.#openSockets;
	}

	override send(
		request: upstreamTransport.TransportRequest,
		listener: upstreamTransport.TransportListener,
	): upstreamTransport.Exchange {
		try {
			return this.#send(this.#acquire(request), request, listener);
		} catch (error) {
			// An address or a header that the client does not accept.
			return failLater(listener, error instanceof Error ? error : new Error(String(error)));
		}
	}

	override probe(address: string, callback: (result: upstreamTransport.ProbeResult) => void): void {
		const [host, port] = address.split(':');
		let socket: net.Socket;
		try {
			socket = net.connect({host, port: Number(port)});
		} catch {
			// The address is impossible, so nothing is known of an upstream there.
			setImmediate(callback, 'unknown');
			return;
		}

		let isDecided = false;
		const decide = (result: upstreamTransport.ProbeResult) => {
			if (!isDecided) {
				isDecided = true;
				clearTimeout(timer);
				socket.destroy();
				callback(result);
			}
		};

		const timer = setTimeout(() => {
			decide('unknown');
		}, this.#settings.probeTimeoutMs);
		socket.once('connect', () => {
			// While a process starts or ends, its port may accept connections and reset them at once.
			setTimeout(() => {
				decide('open');
			}, probeHoldMs);
		});
		socket.resume();
		socket.once('end', () => {
			decide('refused');
		});
		socket.on('error', ({code}: NodeJS.ErrnoException) => {
			decide(localCodes.has(code ?? '') ? 'unknown' : 'refused');
		});
	}

	/** Closes connections past their idle timeout; call it at regular intervals. */
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

	/** Closes the idle connections to a peer that has stopped. */
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

	#send(
		connection: Connection,
		request: upstreamTransport.TransportRequest,
		listener: upstreamTransport.TransportListener,
	): upstreamTransport.Exchange {
		const meter = framingMeter.createFramingMeter();
		let isCancelled = false;
		let isFramed = true;
		let isOver = false;
		const sentAtMs = this.#nowMs();
		const wasKept = connection.isConnected;
		const bytesBefore = readBytesOf(connection.socket);
		const isSuspect = () =>
			wasKept &&
			readBytesOf(connection.socket) === bytesBefore &&
			this.#nowMs() - sentAtMs >= suspiciousSilenceMs;

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
				const detail = detailOf(error);
				listener.onFailure({
					mayHaveBeenSent,
					detail,
					...(detail === notOpenedCode && {isLocal: true}),
				});
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
				listener.onEnd(isFramed ? undefined : 'connection');
			}
		};

		meter.start(readBytesOf(connection.socket));
		connection.onRead = () => {
			if (meter.isExceeded(readBytesOf(connection.socket))) {
				resetSocket(connection.socket);
				fail(new Error('too many bytes outside the body of the answer'));
			}
		};

		const activeController = () => (isOver ? undefined : connection.controller);

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
					connection.isLast = saysClose(headers.connection);
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

					// The client also reports the end of the connection as the end of a response.
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
					if (isSuspect()) {
						this.#closeIdleSince(connection.address, sentAtMs);
					}

					resetSocket(connection.socket);
					connection.controller?.abort(new Error('cancelled'));
					this.#close(connection);
				}
			},
			pause() {
				// After the end of the connection, no more bytes arrive that a pause could hold back.
				if (!connection.hasSocketEnded) {
					activeController()?.pause();
				}
			},
			resume() {
				activeController()?.resume();
			},
		};
	}

	/** Closes the idle connections to a peer that have delivered nothing since a time. */
	#closeIdleSince(address: string, sinceMs: number): void {
		const idle = this.#idle.get(address) ?? [];
		const recent = idle.filter(({lastUsedMs}) => lastUsedMs > sinceMs);
		for (const connection of idle) {
			if (!recent.includes(connection)) {
				this.#close(connection);
			}
		}

		this.#idle.set(address, recent);
	}

	#acquire(request: upstreamTransport.TransportRequest): Connection {
		const idle = this.#idle.get(request.address) ?? [];
		for (let connection = idle.at(-1); connection; connection = idle.at(-1)) {
			// The client destroys the socket when it receives bytes that belong to no request.
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

		return this.#open(request);
	}

	#open({address, isRelay}: upstreamTransport.TransportRequest): Connection {
		this.#opened++;
		const connection: Connection = {
			client: undefined as unknown as undici.Client,
			address,
			lastUsedMs: this.#nowMs(),
			isConnected: false,
			hasSocketError: false,
			hasSocketEnded: false,
			isLast: false,
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
			// Another daemon adds headers to an answer whose head an upstream may have filled.
			maxHeaderSize:
				headLimits.upstreamHeadLimitBytes + (isRelay ? headLimits.maxRelayedExtraBytes : 0),
			connect: (options, callback) => {
				this.#connect(connection, options, callback);
			},
		});
		connection.client.on('connect', () => {
			this.#watchReads(connection);
		});
		return connection;
	}

	/** Call it once the client listens to the socket, so that the client reads the bytes first. */
	#watchReads(connection: Connection): void {
		const {socket} = connection;
		socket?.on('readable', () => {
			if (connection.onRead) {
				connection.onRead();
			} else if (readBytesOf(socket) > connection.readBytes) {
				// The client ignores empty lines between responses, so unexpected bytes are detected here.
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
		// The client must not reconnect by itself: the request may have been sent on the lost connection.
		if (connection.isClosed || connection.isConnected) {
			callback(Object.assign(new Error('connection lost'), {code: lostBeforeSendCode}), null);
			return;
		}

		// This side stays open, because `wasReset` writes to the socket after its end.
		const socket = new upstreamSocket.UpstreamSocket({allowHalfOpen: true});
		socket.setNoDelay(true);
		socket.connect({host: options.hostname, port: Number(options.port)});
		connection.socket = socket;
		this.#openSockets++;
		let isSettled = false;
		const timer = setTimeout(() => {
			// Timers run before the event loop reads what arrived while the process was busy.
			setImmediate(() => {
				if (!isSettled) {
					settle(Object.assign(new Error('connect timeout'), {code: 'UND_ERR_CONNECT_TIMEOUT'}));
					socket.destroy();
				}
			});
		}, this.#settings.connectTimeoutMs);
		const settle = (error?: Error) => {
			clearTimeout(timer);
			if (isSettled) {
				return;
			}

			isSettled = true;
			if (error) {
				callback(error, null);
				if (!connection.isClosed && detailOf(error) !== notOpenedCode) {
					this.#losses.noteRefused(connection.address);
				}
			} else {
				connection.isConnected = true;
				connection.observed = this.#losses.open(connection.address);
				callback(null, socket);
			}
		};

		socket.once('connect', () => {
			settle();
		});
		const noteEnded = () => {
			// The end is expected if this daemon closes the connection or the peer has said that it will.
			if (connection.isClosed || connection.isLast || connection.isReadingUntilEnd) {
				connection.observed?.noteClosed();
			} else {
				const isBusy = connection.onRead !== undefined;
				connection.observed?.noteLost(isBusy ? 0 : this.#nowMs() - connection.lastUsedMs);
			}
		};

		socket.on('error', (error: NodeJS.ErrnoException) => {
			connection.hasSocketError = true;
			if (lossCodes.has(error.code ?? '')) {
				noteEnded();
			}

			if (connection.controller?.paused) {
				// After a reset, the client finishes its parser, which must not be paused at that time.
				error.code = undefined;
			}

			if (!isSettled) {
				// No byte of a request is written before the connection is established.
				const code = localCodes.has(error.code ?? '') ? notOpenedCode : 'ECONNREFUSED';
				settle(Object.assign(error, {code}));
			}
		});
		socket.once('end', () => {
			connection.hasSocketEnded = true;
			noteEnded();
			// The client has read all bytes and finishes its parser next, which must not be paused at that time.
			connection.controller?.resume();
			if (connection.isReadingUntilEnd) {
				connection.wasReset = socket.wasReset();
			}
		});
		socket.once('close', () => {
			connection.isClosed = true;
			connection.observed?.noteClosed();
			this.#openSockets--;
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
		// `destroy` rejects pending requests; their listeners have been notified already.
		void connection.client.destroy().catch(() => undefined);
	}
}
