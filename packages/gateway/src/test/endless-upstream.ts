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
};

/** The upstream gives up after this many bytes. */
export const mostBytes = 33_554_432;

/** Text repeated to about `pieceBytes`. */
const pieceOf = (repeated: string, pieceBytes: number): string =>
	repeated.repeat(Math.ceil(pieceBytes / repeated.length));

/** Answers its first request with `head` and then with `repeated` without end. */
export const startEndlessUpstream = async (
	t: tap.Test,
	form: {head: string; repeated: string; pieceBytes: number},
): Promise<EndlessUpstream> => {
	const piece = pieceOf(form.repeated, form.pieceBytes);
	let sentBytes = 0;
	let settle: (end: 'closed' | 'gave-up') => void = () => undefined;
	const ended = new Promise<'closed' | 'gave-up'>((resolve) => {
		settle = resolve;
	});

	const send = async (socket: net.Socket) => {
		socket.write(form.head);
		while (!socket.destroyed && sentBytes < mostBytes) {
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

			await timers.setImmediate();
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
	return {address: `127.0.0.1:${port}`, ended, sentBytes: () => sentBytes};
};
