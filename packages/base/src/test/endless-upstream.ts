/** Upstream over loopback that sends bytes without end, until its caller closes. */
import * as net from 'node:net';
import * as timers from 'node:timers/promises';
import type * as tap from 'tap';

export type EndlessUpstream = {
	address: string;
	/** Resolves when the caller has closed, or when the upstream has given up. */
	ended: Promise<'closed' | 'gave-up'>;
	/** Bytes that were handed to the system so far. */
	sentBytes(): number;
	/** Resolves to true when the system takes no more, and to false when the upstream has ended. */
	isBlocked(): Promise<boolean>;
};

export type EndlessResponse = {
	head: string;
	/** Follows the head without end. */
	repeated: string;
	pieceBytes: number;
	/** Delay after each piece. */
	pauseMs?: number;
	/** The upstream gives up after this many pieces. */
	maxPieces?: number;
};

/** The upstream gives up after this many bytes. */
export const maxSentBytes = 33_554_432;

/** A write that is not taken within this time waits for the reader. */
const blockedAfterMs = 200;

/** Text repeated to about `pieceBytes`. */
const pieceOf = (repeated: string, pieceBytes: number): string =>
	repeated.repeat(Math.ceil(pieceBytes / repeated.length));

/** Answers its first request with `head` and then with `repeated` without end. */
export const startEndlessUpstream = async (
	t: tap.Test,
	response: EndlessResponse,
): Promise<EndlessUpstream> => {
	const piece = pieceOf(response.repeated, response.pieceBytes);
	let sentBytes = 0;
	const maxBytes = Math.min(
		maxSentBytes,
		(response.maxPieces ?? Number.POSITIVE_INFINITY) * piece.length,
	);
	let settle: (end: 'closed' | 'gave-up') => void = () => undefined;
	const ended = new Promise<'closed' | 'gave-up'>((resolve) => {
		settle = resolve;
	});

	const send = async (socket: net.Socket) => {
		socket.write(response.head);
		while (!socket.destroyed && sentBytes < maxBytes) {
			const isTaken = socket.write(piece);
			sentBytes += piece.length;
			if (!isTaken) {
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

		settle(socket.destroyed ? 'closed' : 'gave-up');
	};

	const sockets = new Set<net.Socket>();
	const server = net.createServer((socket) => {
		sockets.add(socket);
		// The caller resets the connection.
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
