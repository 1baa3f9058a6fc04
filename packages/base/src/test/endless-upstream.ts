/** Loopback upstream that sends an endless response until the caller closes the connection. */
import * as net from 'node:net';
import * as timers from 'node:timers/promises';
import type * as tap from 'tap';

export type EndlessUpstream = {
	address: string;
	/** Resolves when the caller has closed the connection or the upstream has sent its maximum. */
	ended: Promise<'closed' | 'gave-up'>;
	/** Number of bytes of `repeated` that were written to the socket. */
	sentBytes(): number;
	/** Resolves to true when backpressure stops the upstream, and to false when the upstream has ended. */
	isBlocked(): Promise<boolean>;
};

export type EndlessResponse = {
	head: string;
	/** Text that is sent after the head, over and over. */
	repeated: string;
	pieceBytes: number;
	/** Delay after each write. */
	pauseMs?: number;
	/** Number of writes after which the upstream gives up. */
	maxPieces?: number;
};

/** Number of bytes after which the upstream gives up. */
export const maxSentBytes = 33_554_432;

/** An upstream that writes nothing for this time is blocked by backpressure. */
const blockedAfterMs = 200;

/** Repeats a text up to a length of at least `pieceBytes`. */
const repeatToLength = (repeated: string, pieceBytes: number): string =>
	repeated.repeat(Math.ceil(pieceBytes / repeated.length));

/** Starts an upstream that responds to the first request on a connection with `head` and endless `repeated`. */
export const startEndlessUpstream = async (
	t: tap.Test,
	response: EndlessResponse,
): Promise<EndlessUpstream> => {
	const piece = repeatToLength(response.repeated, response.pieceBytes);
	let sentBytes = 0;
	const maxBytes = Math.min(
		maxSentBytes,
		(response.maxPieces ?? Number.POSITIVE_INFINITY) * piece.length,
	);
	let resolveEnded: (end: 'closed' | 'gave-up') => void = () => undefined;
	const ended = new Promise<'closed' | 'gave-up'>((resolve) => {
		resolveEnded = resolve;
	});

	const send = async (socket: net.Socket) => {
		socket.write(response.head);
		while (!socket.destroyed && sentBytes < maxBytes) {
			const hasCapacity = socket.write(piece);
			sentBytes += piece.length;
			if (!hasCapacity) {
				await Promise.race([
					new Promise((resolve) => {
						socket.once('drain', resolve);
					}),
					new Promise((resolve) => {
						socket.once('close', resolve);
					}),
				]);
			}

			await (response.pauseMs === undefined
				? timers.setImmediate()
				: timers.setTimeout(response.pauseMs));
		}

		resolveEnded(socket.destroyed ? 'closed' : 'gave-up');
	};

	const sockets = new Set<net.Socket>();
	const server = net.createServer((socket) => {
		sockets.add(socket);
		// Ignores the reset of the connection by the caller.
		socket.on('error', () => undefined);
		socket.once('data', () => {
			void send(socket);
		});
	});
	await new Promise<void>((resolve) => {
		server.listen(0, '127.0.0.1', resolve);
	});
	t.teardown(() => {
		server.close();
		for (const socket of sockets) {
			socket.destroy();
		}
	});
	const {port} = server.address() as net.AddressInfo;
	const isBlocked = async (): Promise<boolean> => {
		for (let before = -1; before !== sentBytes || before === 0;) {
			before = sentBytes;
			const end = await Promise.race([ended, timers.setTimeout(blockedAfterMs, 'open')]);
			if (end !== 'open') {
				return false;
			}
		}

		return true;
	};

	return {address: `127.0.0.1:${port}`, ended, sentBytes: () => sentBytes, isBlocked};
};
