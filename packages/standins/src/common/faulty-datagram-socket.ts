/** Datagram socket behind simulated links. */
import type * as clockModule from '@hawthornfront/base/common/clock.js';
import * as datagramSocket from '@hawthornfront/base/common/datagram-socket.js';
import type * as disposable from '@hawthornfront/base/common/disposable.js';
import type * as links from './links.js';

export class FaultyDatagramSocket extends datagramSocket.DatagramSocket {
	readonly #clock: clockModule.Clock;
	readonly #socket: datagramSocket.DatagramSocket;
	readonly #linkTo: (peer: string) => links.Link;
	readonly #pending = new Set<disposable.Disposable>();

	constructor(
		clock: clockModule.Clock,
		socket: datagramSocket.DatagramSocket,
		linkTo: (peer: string) => links.Link,
	) {
		super();
		this.#clock = clock;
		this.#socket = socket;
		this.#linkTo = linkTo;
	}

	override get onDidReceive() {
		return this.#socket.onDidReceive;
	}

	override send(peer: string, bytes: Uint8Array): void {
		const link = this.#linkTo(peer);
		const delayMs = link.datagramDelayMs(bytes.byteLength);
		if (delayMs === undefined) {
			return;
		}

		if (delayMs === 0) {
			this.#socket.send(peer, bytes);
			return;
		}

		// The caller may use its buffer again before the datagram leaves.
		const copy = Uint8Array.from(bytes);
		const timer = this.#clock.setTimer(() => {
			this.#pending.delete(timer);
			if (!link.isCut) {
				this.#socket.send(peer, copy);
			}
		}, delayMs);
		this.#pending.add(timer);
	}

	override dispose(): void {
		for (const timer of this.#pending) {
			timer.dispose();
		}

		this.#pending.clear();
		this.#socket.dispose();
	}
}
