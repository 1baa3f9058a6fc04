/** Tracks the requests in progress and the idle time of caller connections. */
import type * as net from 'node:net';

const closeTimeoutMs = 2000;

type Connection = {
	/** One callback for each request whose head was read and whose response has not ended. */
	requests: Set<() => void>;
	/** End of the last response, or the opening of the connection. */
	idleSinceMs: number;
	/** Bytes read by that time; further bytes belong to an incomplete head. */
	bytesReadAtIdle: number;
	/** This side of the connection is closed. */
	isClosing: boolean;
};

export type CallerConnections = {
	add(socket: net.Socket): void;
	/** @param onClose called if the connection closes before the request has ended */
	startRequest(socket: net.Socket, onClose: () => void): void;
	endRequest(socket: net.Socket, onClose: () => void): void;
	isBusy(socket: net.Socket): boolean;
	/** Number of requests whose head was read and whose response has not ended. */
	requestCount(socket: net.Socket): number;
	isClosing(socket: net.Socket): boolean;
	/** Bytes of a head that is not complete; 0 during a request. */
	headBytes(socket: net.Socket): number;
	/** Time since the last request, or undefined during a request and after any byte of the next one. */
	idleMs(socket: net.Socket): number | undefined;
	/**
	 * Closes this side of the connection. A request that the caller has already sent is not answered.
	 *
	 * @param lastText text to send before the close
	 * @param timeoutMs time for a caller to close its side; after it, the socket emits `timeout`
	 */
	close(socket: net.Socket, lastText?: string, timeoutMs?: number): void;
	/** The connection that has been idle for the longest time, and at least for `minIdleMs`. */
	longestIdle(minIdleMs: number): net.Socket | undefined;
	all(): Iterable<net.Socket>;
	readonly count: number;
};

export const createCallerConnections = (nowMs: () => number): CallerConnections => {
	/** Ordered by the last change between idle and busy, so that the longest idle ones are first. */
	const connections = new Map<net.Socket, Connection>();
	const idleMs = (socket: net.Socket): number | undefined => {
		const connection = connections.get(socket);
		if (
			!connection ||
			connection.isClosing ||
			connection.requests.size > 0 ||
			socket.bytesRead !== connection.bytesReadAtIdle
		) {
			return undefined;
		}

		return nowMs() - connection.idleSinceMs;
	};

	return {
		add(socket) {
			connections.set(socket, {
				requests: new Set(),
				idleSinceMs: nowMs(),
				bytesReadAtIdle: socket.bytesRead,
				isClosing: false,
			});
			socket.on('close', () => {
				const requests = connections.get(socket)?.requests ?? [];
				connections.delete(socket);
				for (const onClose of requests) {
					onClose();
				}
			});
		},
		startRequest(socket, onClose) {
			connections.get(socket)?.requests.add(onClose);
		},
		endRequest(socket, onClose) {
			const connection = connections.get(socket);
			if (connection) {
				connection.requests.delete(onClose);
				connection.idleSinceMs = nowMs();
				connection.bytesReadAtIdle = socket.bytesRead;
				connections.delete(socket);
				connections.set(socket, connection);
			}
		},
		requestCount: (socket) => connections.get(socket)?.requests.size ?? 0,
		isBusy: (socket) => (connections.get(socket)?.requests.size ?? 0) > 0,
		isClosing: (socket) => connections.get(socket)?.isClosing ?? false,
		headBytes(socket) {
			const connection = connections.get(socket);
			if (!connection || connection.requests.size > 0 || connection.isClosing) {
				return 0;
			}

			return socket.bytesRead - connection.bytesReadAtIdle;
		},
		idleMs,
		longestIdle(minIdleMs) {
			for (const socket of connections.keys()) {
				if ((idleMs(socket) ?? 0) >= minIdleMs) {
					return socket;
				}
			}

			return undefined;
		},
		close(socket, lastText = '', timeoutMs = closeTimeoutMs) {
			const connection = connections.get(socket);
			if (connection) {
				connection.isClosing = true;
			}

			socket.end(lastText);
			socket.setTimeout(timeoutMs);
		},
		all: () => connections.keys(),
		get count() {
			return connections.size;
		},
	};
};
