/**
 * Bounds the bytes of all request heads that are not complete. Node.js holds them for each
 * connection, without an event before the head is complete or over its own limit.
 */
import type * as net from 'node:net';
import type * as callerConnections from './caller-connections.js';

const checkIntervalMs = 100;

export type HeadGuard = {
	dispose(): void;
};

export type HeadGuardOptions = {
	/** Longest head that Node.js reads on one connection. */
	headLimitBytes: number;
	/** Limit for all heads that are not complete. */
	limitBytes: number;
	/** Ends the connection; called for the longest heads, of equal ones the oldest, until the others are within the limit. */
	onGiveWay(socket: net.Socket): void;
};

export const startHeadGuard = (
	connections: Pick<callerConnections.CallerConnections, 'all' | 'count' | 'headBytes'>,
	{headLimitBytes, limitBytes, onGiveWay}: HeadGuardOptions,
): HeadGuard => {
	const check = () => {
		// Few connections cannot pass the limit.
		if (connections.count * headLimitBytes <= limitBytes) {
			return;
		}

		const heads: Array<{socket: net.Socket; bytes: number}> = [];
		let sum = 0;
		for (const socket of connections.all()) {
			const bytes = connections.headBytes(socket);
			if (bytes > 0) {
				heads.push({socket, bytes});
				sum += bytes;
			}
		}

		if (sum <= limitBytes) {
			return;
		}

		heads.sort((a, b) => b.bytes - a.bytes);
		for (const {socket, bytes} of heads) {
			if (sum <= limitBytes) {
				return;
			}

			sum -= bytes;
			onGiveWay(socket);
		}
	};

	const timer = setInterval(check, checkIntervalMs);
	timer.unref();
	return {
		dispose() {
			clearInterval(timer);
		},
	};
};
