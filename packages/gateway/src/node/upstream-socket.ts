/** Connection to an upstream whose end may be the end of an answer. */
import * as net from 'node:net';

/** Error of a write after a reset alone; a reset that follows an orderly end gives another one. */
const resetCode = 'ECONNRESET';

/**
 * Whether a connection ended with a reset alone; call it at the `end` event. When a reset
 * arrives together with the last bytes, Node.js reports an orderly end, and only a write fails.
 * The write is an empty line, which HTTP servers ignore after a request.
 */
export const testForReset = async (socket: net.Socket): Promise<boolean> =>
	new Promise((resolve) => {
		socket.write('\r\n', (error) => {
			resolve(error !== null && error !== undefined && 'code' in error && error.code === resetCode);
		});
	});

/** A socket that keeps the error of a write for {@link testForReset}, although its user destroys it at its end. */
export class UpstreamSocket extends net.Socket {
	#isHeld = false;
	#postponed: {error: Error | undefined} | undefined;

	/** {@link testForReset}, in the `end` event before its user destroys the socket. */
	async wasReset(): Promise<boolean> {
		if (this.writableLength > 0) {
			this.#hold();
		}

		return testForReset(this);
	}

	/** Waits while the socket is held, because a destroyed socket drops the errors of its writes. */
	override destroy(error?: Error): this {
		if (this.#isHeld) {
			this.#postponed ??= {error};
			return this;
		}

		return super.destroy(error);
	}

	/** Holds the socket for this turn of the event loop: a write that fails does so right after the end. */
	#hold(): void {
		this.#isHeld = true;
		setImmediate(() => {
			this.#isHeld = false;
			if (this.#postponed) {
				super.destroy(this.#postponed.error);
			}
		});
	}
}
