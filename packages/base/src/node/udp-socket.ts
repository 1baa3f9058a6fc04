/** Datagrams over UDP. */
import * as dgram from 'node:dgram';
import * as datagramSocket from '../common/datagram-socket.js';
import * as event from '../common/event.js';

/** UDP socket bound to one address of this process. */
export class UdpSocket extends datagramSocket.DatagramSocket {
	/** Datagrams that the operating system refused to send. */
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

	/** Port that the socket is bound to. */
	get port(): number {
		return this.#socket.address().port;
	}

	override get onDidReceive(): event.Event<datagramSocket.Datagram> {
		return this.#didReceive.event;
	}

	override send(peer: string, bytes: Uint8Array): void {
		// A delayed sender may still hold the socket after it was disposed.
		if (this.#isDisposed) {
			this.failedSends++;
			return;
		}

		const separator = peer.lastIndexOf(':');
		const host = peer.slice(0, separator);
		const port = Number(peer.slice(separator + 1));
		this.#socket.send(bytes, port, host, (error) => {
			if (error) {
				this.failedSends++;
			}
		});
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

/** Binds a socket. Port 0 takes a free port. @throws Error when the address is taken. */
export const bindUdpSocket = async (host: string, port: number): Promise<UdpSocket> => {
	const socket = dgram.createSocket('udp4');
	await new Promise<void>((resolve, reject) => {
		socket.once('error', reject);
		socket.bind(port, host, () => {
			socket.off('error', reject);
			resolve();
		});
	});
	return new UdpSocket(socket);
};
