/** Datagram transport over UDP. */
import * as dgram from 'node:dgram';
import * as datagramSocket from '../common/datagram-socket.js';
import * as event from '../common/event.js';

/** UDP socket that is bound to one local address. */
export class UdpSocket extends datagramSocket.DatagramSocket {
	/** Number of datagrams that could not be sent. */
	failedSends = 0;
	#isDisposed = false;
	readonly #socket: dgram.Socket;
	readonly #didReceive = event.createEmitter<datagramSocket.Datagram>();

	constructor(socket: dgram.Socket) {
		super();
		this.#socket = socket;
		socket.on('message', (bytes, remote) => {
			this.#didReceive.fire({peer: `${remote.address}:${remote.port}`, bytes});
		});
		socket.on('error', () => {
			this.failedSends++;
		});
	}

	/** Local port. */
	get port(): number {
		return this.#socket.address().port;
	}

	override get onDidReceive(): event.Event<datagramSocket.Datagram> {
		return this.#didReceive.event;
	}

	override send(peer: string, bytes: Uint8Array): void {
		// A delayed send may run after the socket was disposed.
		if (this.#isDisposed) {
			this.failedSends++;
			return;
		}

		const separator = peer.lastIndexOf(':');
		const host = peer.slice(0, separator);
		const port = Number(peer.slice(separator + 1));
		try {
			this.#socket.send(bytes, port, host, (error) => {
				if (error) {
					this.failedSends++;
				}
			});
		} catch {
			// Throws for a port out of range, which another daemon or the store may name.
			this.failedSends++;
		}
	}

	override dispose(): void {
		if (this.#isDisposed) {
			return;
		}

		this.#isDisposed = true;
		this.#didReceive.dispose();
		this.#socket.close();
	}
}

/** Binds a socket; port 0 selects a free port. @throws Error when the address is in use. */
export const bindUdpSocket = async (host: string, port: number): Promise<UdpSocket> => {
	const socket = dgram.createSocket('udp4');
	await new Promise<void>((resolve, reject) => {
		const onError = (error: Error) => {
			socket.close();
			reject(error);
		};

		socket.once('error', onError);
		socket.bind(port, host, () => {
			socket.off('error', onError);
			resolve();
		});
	});
	return new UdpSocket(socket);
};
