/** Datagrams as a service, so that tests can lose, delay and cut them. */
import type * as event from './event.js';

export type Datagram = {
	/** Address of the sender, `host:port`. */
	peer: string;
	bytes: Uint8Array;
};

/** Sends and receives datagrams. Delivery is not guaranteed, and neither is order. */
export abstract class DatagramSocket {
	abstract get onDidReceive(): event.Event<Datagram>;

	/** Sends to `host:port`; errors are counted, not thrown, as for a lost datagram. */
	abstract send(peer: string, bytes: Uint8Array): void;

	abstract dispose(): void;
}
