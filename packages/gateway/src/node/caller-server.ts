/** HTTP server for callers and, on another port, for requests relayed by other daemons. */
import * as buffer from 'node:buffer';
import * as http from 'node:http';
import * as net from 'node:net';
import * as bindAddress from '@hawthornfront/base/node/bind-address.js';
import type * as answerClassifier from '../common/answer-classifier.js';
import * as memoryBudget from '../common/memory-budget.js';
import type * as requestEngine from '../common/request-engine.js';
import type * as routeConfig from '../common/route-config.js';
import type * as upstreamTransport from '../common/upstream-transport.js';
import type * as wireFormat from '../common/wire-format.js';
import * as callerConnections from './caller-connections.js';
import type * as closeLog from './close-log.js';
import * as headGuard from './head-guard.js';
import * as requestBody from './request-body.js';
import * as serverPort from './server-port.js';
import * as serverReply from './server-reply.js';

/** Request line and headers of a request. */
export type RequestHead = {
	method: string;
	path: string;
	host: string;
	rawHeaders: string[];
	headers: wireFormat.Headers;
	arrivedAtMs: number;
};

export type Rejection = {
	kind: 'reject';
	status: number;
	reason: string;
	retryAfterMs?: number;
	/** Additional response headers. */
	headers?: wireFormat.Headers;
};

/** Decision on a request, taken from its head. */
export type AdmissionDecision =
	| Rejection
	/** The daemon itself responds to another daemon. */
	| {kind: 'respond'; body: string}
	| {
			kind: 'accept';
			/** Time for the request from its head on; without it, unlimited. */
			timeoutMs?: number;
			/**
			 * Whether the request is still accepted when its body is complete.
			 *
			 * @param waitedMs time since the arrival of the head
			 */
			recheck?(waitedMs: number): Rejection | undefined;
			/** Called instead of `run` if the request ends before. */
			abandon?(): void;
			/** Called once, with the complete body. */
			run(
				body: Uint8Array | undefined,
				reply: upstreamTransport.CallerReply,
				onEnd: () => void,
			): requestEngine.RequestExecution;
	  };

export type CallerServerOptions = {
	/** The port for callers by default. */
	port?: serverPort.ServerPort;
	/** Bounds what the connections of all servers of a daemon hold together. */
	budget?: memoryBudget.MemoryBudget;
	/** Called for each new connection; returns whether it may stay open. */
	makeRoom?(): boolean;
};

export type CallerServer = {
	/** @param onLaterError called for each error of the listening server, which keeps listening */
	listen(host: string, port: number, onLaterError?: (error: Error) => void): Promise<void>;
	/** Applies the limits of the configuration in force. */
	applyLimits(limits: routeConfig.CallerLimits): void;
	/** Sends `connection: close` with each further response. */
	startDraining(): void;
	/** Closes idle connections, except new ones whose first request may still arrive. */
	closeIdle(): void;
	/** Closes the connection that has been idle for the longest time; returns false without one. */
	closeLongestIdle(): boolean;
	/**
	 * Accepts the connections that are pending, and then no more.
	 *
	 * @param untilMs monotonic time at which those that are still pending are reset
	 */
	stopListening(untilMs: number): void;
	/** Whether a connection may still be accepted. */
	readonly isListening: boolean;
	/** Requests whose head was read and whose response has not ended. */
	readonly inFlight: number;
	readonly openConnections: number;
	/** Ends the requests in progress: responds with the outcome so far, or closes the connection if a response has begun. */
	abortRequests(): void;
	destroy(): void;
};

/** Longest time that a timer of Node.js accepts. */
const maxTimerMs = 2_147_483_647;
const connectionsCheckMs = 2000;
/** A caller that still sends the body of a refused request has this long to read the refusal. */
const refusalReadMs = 1000;
/** Retry delay for callers whose body found no memory. */
const noMemoryRetryMs = 500;
/** Requests in progress on one connection. Callers that send the next request early do so with a few. */
const maxPipelinedRequests = 32;
/** Added to the idle limit, for a request that is already on the network. */
const idleSlackMs = 1000;
/** The first request of a new connection arrives within this time, even on a slow network. */
const firstRequestGraceMs = 250;

/** Time for a caller to close its side while connections are scarce. */
const scarceCloseTimeoutMs = 250;

/**
 * Calls back after the event loop has polled its sockets once more. After a stall of the
 * loop, a request and the close of its connection may both be pending, and the loop reads
 * one of the two at a time. Timers run before the loop reads what arrived during a stall,
 * so a decision on an idle connection waits for the poll too.
 */
const afterNextPoll = (callback: () => void): void => {
	setImmediate(() => {
		setImmediate(callback);
	});
};

/** Socket timeouts throw for a negative or infinite time, and 0 disables them. */
const toTimerMs = (durationMs: number): number =>
	Math.round(Math.min(maxTimerMs, Math.max(1, durationMs)));

/** Value of the header, in seconds. */
const retryAfter = (delayMs: number): string => (delayMs / 1000).toFixed(2);

/** @param status code and reason phrase */
const emptyResponse = (status: string, headers: wireFormat.Headers): string =>
	[
		`HTTP/1.1 ${status}`,
		'connection: close',
		'content-length: 0',
		...Object.entries(headers).map(([name, value]) => `${name}: ${String(value)}`),
		'',
		'',
	].join('\r\n');

/**
 * @param decide decides on a request from its head
 * @param closes counts the connections that the server closes
 */
export const createCallerServer = (
	nowMs: () => number,
	decide: (head: RequestHead) => AdmissionDecision,
	closes: Pick<closeLog.CloseLog, 'note'>,
	options: CallerServerOptions = {},
): CallerServer => {
	const {
		port = new serverPort.CallerPort(),
		budget = memoryBudget.createMemoryBudget(nowMs, memoryBudget.heldLimitBytes(undefined)),
		makeRoom = () => true,
	} = options;
	const {initialLimits} = port;
	const connections = callerConnections.createCallerConnections(nowMs);
	/** One callback for each request in progress, which aborts it. */
	const requestAborts = new Set<() => void>();
	let isDraining = false;
	let maxHeaderBytes = initialLimits.headerBytes;
	let maxBodyBytes = initialLimits.bodyBytes;
	let idleLimitMs = initialLimits.idleMs;

	const reject = (
		response: http.ServerResponse,
		status: number,
		reason: string,
		{
			outcome = 'not-run',
			retryAfterMs,
			headers = {},
			isReading = false,
		}: {
			outcome?: answerClassifier.Outcome;
			retryAfterMs?: number;
			headers?: wireFormat.Headers;
			/** The caller still sends the body; the connection closes when it has sent it or had the time to read. */
			isReading?: boolean;
		} = {},
	) => {
		const body = JSON.stringify({outcome, reason});
		response.sendDate = false;
		if (retryAfterMs !== undefined) {
			response.setHeader('retry-after', retryAfter(retryAfterMs));
		}

		if (isDraining || isReading) {
			response.setHeader('connection', 'close');
		}

		response.writeHead(status, {
			...headers,
			...port.refusalHeaders(outcome, reason),
			'content-type': 'application/problem+json',
			'content-length': buffer.Buffer.byteLength(body),
		});
		if (isReading) {
			// A connection that is closed while bytes arrive is reset, and the caller may lose the response.
			response.write(body);
			const end = () => {
				response.end();
			};

			const timer = setTimeout(end, refusalReadMs);
			response.req.on('end', end);
			response.req.resume();
			response.on('close', () => {
				clearTimeout(timer);
			});
		} else {
			response.end(body);
		}
	};

	/** Response to a request whose head was not read. */
	const refuseConnection = (status: string, reason: string, headers: wireFormat.Headers = {}) =>
		emptyResponse(status, {...headers, ...port.refusalHeaders('not-run', reason)});

	const headerBytes = (rawHeaders: readonly string[]) =>
		rawHeaders.reduce((sum, text) => sum + text.length + 2, 0);

	const onRequest = (request: http.IncomingMessage, response: http.ServerResponse) => {
		// The request arrived after this side of the connection was closed, so no response can be sent.
		if (connections.isClosing(request.socket)) {
			closes.note('crossed', 1);
			request.socket.destroy();
			return;
		}

		let execution: requestEngine.RequestExecution | undefined;
		const held: {
			body?: requestBody.RequestBody;
			/** Set for a refusal that waits for earlier responses. */
			head?: requestBody.RequestBody;
			reply?: serverReply.ServerReply;
			/** Set for an accepted request. */
			abandon?(): void;
		} = {};
		let isOver = false;
		let hasRun = false;
		const end = () => {
			if (isOver) {
				return;
			}

			isOver = true;
			requestAborts.delete(abortNow);
			connections.endRequest(request.socket, end);
			if (!hasRun) {
				held.abandon?.();
			}

			execution?.dispose();
			held.body?.release();
			held.head?.release();
			held.reply?.release();
		};

		// A response that waits for an earlier one on its connection has no `close` event.
		connections.startRequest(request.socket, end);
		const abortNow = () => {
			closes.note('grace-over', connections.requestCount(request.socket));
			execution?.terminate();
			end();
			if (response.headersSent) {
				serverReply.breakOff(response);
				request.socket.destroy();
			} else if (hasRun) {
				reject(response, 502, 'stopping', {outcome: 'unknown'});
			} else {
				reject(response, 503, 'stopping');
			}
		};

		requestAborts.add(abortNow);
		response.on('close', end);
		const closeConnection = (reason: closeLog.CloseReason) => {
			closes.note(reason, connections.requestCount(request.socket));
			request.socket.destroy();
		};

		/** Counts what a refusal that waits for earlier responses holds. */
		const holdRefused = () => {
			if (connections.requestCount(request.socket) > 1) {
				held.head ??= requestBody.holdHead(request, budget, () => {
					closeConnection('no-memory');
				});
			}
		};

		// Those that wait may have run, so the connection ends without an answer.
		if (connections.requestCount(request.socket) > maxPipelinedRequests) {
			closeConnection('pipelined');
			return;
		}

		if (headerBytes(request.rawHeaders) > maxHeaderBytes) {
			holdRefused();
			reject(response, 431, 'header-too-large');
			return;
		}

		const receivedAtMs = nowMs();
		const decision = decide({
			method: request.method ?? 'GET',
			path: request.url ?? '/',
			host: request.headers.host ?? '',
			rawHeaders: request.rawHeaders,
			headers: request.headers,
			arrivedAtMs: receivedAtMs,
		});
		if (decision.kind === 'reject') {
			request.resume();
			holdRefused();
			reject(response, decision.status, decision.reason, decision);
			return;
		}

		if (decision.kind === 'respond') {
			request.resume();
			holdRefused();
			response.writeHead(200, {
				'content-type': 'application/json',
				'content-length': buffer.Buffer.byteLength(decision.body),
			});
			response.end(decision.body);
			return;
		}

		held.abandon = decision.abandon;
		const refuseBody = (failure: requestBody.BodyFailure) => {
			if (isOver) {
				return;
			}

			holdRefused();
			if (failure === 'too-large') {
				reject(response, 413, 'body-too-large', {isReading: true});
				return;
			}

			closes.note(failure === 'deadline' ? 'slow-body' : 'no-memory', 1);
			reject(response, 503, failure, {
				retryAfterMs: failure === 'deadline' ? undefined : noMemoryRetryMs,
				isReading: true,
			});
		};

		if (Number(request.headers['content-length']) > maxBodyBytes) {
			refuseBody('too-large');
			return;
		}

		const onBody = (body: Uint8Array | undefined) => {
			if (isOver) {
				return;
			}

			const {run} = decision;
			afterNextPoll(() => {
				const {socket} = request;
				if (isOver || socket.destroyed || socket.readableEnded) {
					return;
				}

				const rejection = decision.recheck?.(nowMs() - receivedAtMs);
				if (rejection) {
					reject(response, rejection.status, rejection.reason, rejection);
					return;
				}

				hasRun = true;
				const reply = new serverReply.ServerReply(response, {
					isDraining: () => isDraining,
					budget,
					onUnread() {
						closes.note('unread-answer', 1);
						serverReply.breakOff(response);
						socket.destroy();
					},
				});
				held.reply = reply;
				execution = run(body, reply, () => {
					execution = undefined;
					// The request is kept with a response that waits for earlier ones.
					if (response.socket) {
						held.body?.release();
					}
				});
			});
		};

		held.body = requestBody.readBody(request, {
			budget,
			maxBytes: maxBodyBytes,
			timeoutMs: decision.timeoutMs ?? Number.POSITIVE_INFINITY,
			onComplete: onBody,
			onFailure: refuseBody,
		});
	};

	const server = http.createServer(
		{
			maxHeaderSize: port.headLimitBytes,
			connectionsCheckingInterval: connectionsCheckMs,
			requestTimeout: 0,
			noDelay: true,
		},
		onRequest,
	);
	// Node.js drops the headers beyond a number without a word; their bytes are bounded anyway.
	server.maxHeadersCount = 0;
	// `close` of the HTTP server would also destroy connections whose response is still being written.
	const closeListener = () => net.Server.prototype.close.call(server);

	let accepted = 0;
	/** A poll accepts one connection, and the close of the listener resets those that are still pending. */
	const closeWhenAccepted = (untilMs: number) => {
		const before = accepted;
		afterNextPoll(() => {
			if (accepted === before || nowMs() > untilMs) {
				closeListener();
			} else {
				closeWhenAccepted(untilMs);
			}
		});
	};

	server.on('connection', (socket) => {
		accepted++;
		connections.add(socket);
		if (!makeRoom()) {
			closes.note('no-room', 0);
			connections.close(
				socket,
				refuseConnection('503 Service Unavailable', 'no-room'),
				scarceCloseTimeoutMs,
			);
		}
	});
	// When `timeout` has a listener, the server does not close the connection itself.
	server.on('timeout', (socket: net.Socket) => {
		if (connections.isClosing(socket)) {
			socket.destroy();
			return;
		}

		const {bytesRead} = socket;
		afterNextPoll(() => {
			if (socket.destroyed || connections.isBusy(socket) || socket.bytesRead !== bytesRead) {
				return;
			}

			// The limit may have been raised since the connection became idle.
			const leftMs = idleLimitMs - (connections.idleMs(socket) ?? idleLimitMs);
			if (leftMs > 0) {
				socket.setTimeout(toTimerMs(leftMs));
			} else {
				closes.note('idle-limit', 0);
				connections.close(socket);
			}
		});
	});
	const closeSlowHead = (socket: net.Socket) => {
		if (socket.destroyed || connections.isBusy(socket) || connections.isClosing(socket)) {
			return;
		}

		if (connections.idleMs(socket) === undefined) {
			closes.note('slow-head', 0);
			connections.close(socket, refuseConnection('408 Request Timeout', 'slow-head'));
		} else {
			// No head has begun, or its request has ended meanwhile; the idle limit applies.
			socket.setTimeout(idleLimitMs);
		}
	};

	const guard = headGuard.startHeadGuard(connections, {
		headLimitBytes: port.headLimitBytes,
		limitBytes: budget.headLimitBytes,
		onGiveWay(socket) {
			closes.note('no-memory', 0);
			budget.noteHead(connections.headBytes(socket));
			connections.close(
				socket,
				refuseConnection('503 Service Unavailable', 'no-memory', {
					'retry-after': retryAfter(noMemoryRetryMs),
				}),
			);
			// Node.js holds the head until the connection is closed.
			socket.destroySoon();
		},
	});

	server.on('clientError', (error: NodeJS.ErrnoException, stream) => {
		const socket = stream as net.Socket;
		if (error.code === 'ERR_HTTP_REQUEST_TIMEOUT') {
			afterNextPoll(() => {
				closeSlowHead(socket);
			});
			return;
		}

		if (!socket.writable || connections.isClosing(socket) || error.code === 'ECONNRESET') {
			socket.destroy();
			return;
		}

		closes.note('client-error', connections.requestCount(socket));
		if (connections.isBusy(socket)) {
			socket.destroy();
		} else {
			const isTooLarge = error.code === 'HPE_HEADER_OVERFLOW';
			const refusal = isTooLarge
				? refuseConnection('431 Request Header Fields Too Large', 'header-too-large')
				: refuseConnection('400 Bad Request', 'malformed');
			connections.close(socket, refusal);
		}
	});

	const applyLimits = (limits: routeConfig.CallerLimits) => {
		maxHeaderBytes = limits.headerBytes;
		maxBodyBytes = limits.bodyBytes;
		server.headersTimeout = toTimerMs(limits.headerTimeoutMs);
		idleLimitMs = toTimerMs(limits.idleMs + idleSlackMs);
		server.keepAliveTimeout = idleLimitMs;
	};

	applyLimits(initialLimits);
	return {
		async listen(host, port, onLaterError = () => undefined) {
			await bindAddress.listenOnce(server, {host, port, backlog: 1024}, onLaterError);
		},
		applyLimits,
		startDraining() {
			isDraining = true;
		},
		closeIdle() {
			afterNextPoll(() => {
				for (const socket of connections.all()) {
					if ((connections.idleMs(socket) ?? 0) > firstRequestGraceMs) {
						closes.note('stop', 0);
						connections.close(socket);
					}
				}
			});
		},
		closeLongestIdle() {
			const socket = connections.longestIdle(firstRequestGraceMs);
			if (socket) {
				closes.note('make-room', 0);
				connections.close(socket, '', scarceCloseTimeoutMs);
			}

			return socket !== undefined;
		},
		stopListening(untilMs) {
			closeWhenAccepted(untilMs);
		},
		get isListening() {
			return server.listening;
		},
		get inFlight() {
			return requestAborts.size;
		},
		get openConnections() {
			return connections.count;
		},
		abortRequests() {
			for (const abortNow of requestAborts) {
				abortNow();
			}
		},
		destroy() {
			guard.dispose();
			closeListener();
			for (const socket of connections.all()) {
				socket.destroy();
			}
		},
	};
};
