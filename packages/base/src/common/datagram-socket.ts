/** Injectable datagram transport; tests replace it to drop, delay and block datagrams. */
import type * as event from './event.js';

export type Datagram = {
	/** Address of the sender, `host:port`. */
	peer: string;
	bytes: Uint8Array;
};

/** Sends and receives datagrams. Neither delivery nor order is guaranteed. */
export abstract class DatagramSocket {
	abstract get onDidReceive(): event.Event<Datagram>;

	/** Sends to `host:port`. Errors are counted and never thrown, because a datagram may be lost anyway. */
	abstract send(peer: string, bytes: Uint8Array): void;

	abstract dispose(): void;
}
