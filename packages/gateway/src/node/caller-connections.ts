/** Connections of callers: what is in progress on them, and how long they have been idle. */
import type * as net from 'node:net';

/** Time for a caller to close its side; its socket reports a timeout then. */
const closeTimeoutMs = 2000;

type Connection = {
	/** Requests between their head and the end of their answer. */
	requests: number;
	/** End of the last answer, or the opening of the connection. */
	quietSinceMs: number;
	/** Bytes that had been read then; more of them belong to a head that is not whole yet. */
	quietBytes: number;
	/** The own side is closed. */
	isClosing: boolean;
};

export type CallerConnections = {
	add(socket: net.Socket): void;
	startRequest(socket: net.Socket): void;
	endRequest(socket: net.Socket): void;
	isBusy(socket: net.Socket): boolean;
	/** Requests between their head and the end of their answer. */
	requestCount(socket: net.Socket): number;
	isClosing(socket: net.Socket): boolean;
	/** Time without a request and without any byte of one; undefined while there is one. */
	idleMs(socket: net.Socket): number | undefined;
	/**
	 * Closes the own side; callers may still have sent a request, which is not answered.
	 *
	 * @param lastText sent before
	 */
	close(socket: net.Socket, lastText?: string): void;
	all(): Iterable<net.Socket>;
	readonly count: number;
};

export const createCallerConnections = (nowMs: () => number): CallerConnections => {
	const connections = new Map<net.Socket, Connection>();
	return {
		add(socket) {
			connections.set(socket, {
				requests: 0,
				quietSinceMs: nowMs(),
				quietBytes: socket.bytesRead,
				isClosing: false,
			});
			socket.on('close', () => {
				connections.delete(socket);
			});
		},
		startRequest(socket) {
			const connection = connections.get(socket);
			if (connection) {
				connection.requests++;
			}
		},
		endRequest(socket) {
			const connection = connections.get(socket);
			if (connection) {
				connection.requests--;
				connection.quietSinceMs = nowMs();
				connection.quietBytes = socket.bytesRead;
			}
		},
		requestCount: (socket) => connections.get(socket)?.requests ?? 0,
		isBusy: (socket) => (connections.get(socket)?.requests ?? 0) > 0,
		isClosing: (socket) => connections.get(socket)?.isClosing ?? false,
		idleMs(socket) {
			const connection = connections.get(socket);
			if (
				!connection ||
				connection.isClosing ||
				connection.requests > 0 ||
				socket.bytesRead !== connection.quietBytes
			) {
				return undefined;
			}

			return nowMs() - connection.quietSinceMs;
		},
		close(socket, lastText = '') {
			const connection = connections.get(socket);
			if (connection) {
				connection.isClosing = true;
			}

			socket.end(lastText);
			socket.setTimeout(closeTimeoutMs);
		},
		all: () => connections.keys(),
		get count() {
			return connections.size;
		},
	};
};
