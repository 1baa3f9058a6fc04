import type * as http from 'node:http';
import * as event from '@hawthornfront/base/common/event.js';
import type * as memoryBudget from '../common/memory-budget.js';
import * as upstreamTransport from '../common/upstream-transport.js';
import type * as wireFormat from '../common/wire-format.js';

/** Bytes that the connection of a paused upstream has read already and keeps, in its own buffers and the client's. */
const pausedUpstreamBytes = 131_072;

/**
 * Closes the connection of an answer that is not complete. An answer without length or chunks, as
 * to a caller of HTTP/1.0, ends with its connection, so it has to end with a reset.
 */
export const breakOff = (response: http.ServerResponse): void => {
	const isFramed = response.chunkedEncoding || response.hasHeader('content-length');
	if (response.headersSent && !isFramed) {
		response.socket?.resetAndDestroy();
	}

	response.destroy();
};

/** Response to a caller over HTTP; counts the bytes that the caller has not read. */
export class ServerReply extends upstreamTransport.CallerReply {
	readonly #response: http.ServerResponse;
	readonly #isDraining: () => boolean;
	readonly #didDrain = event.createEmitter<void>();
	readonly #budget: memoryBudget.MemoryBudget;
	readonly #onUnread: () => void;
	#unread: memoryBudget.UnreadAnswer | undefined;

	/** @param options `onUnread`: the answer gives way because its caller does not read it */
	constructor(
		response: http.ServerResponse,
		options: {
			isDraining(): boolean;
			budget: memoryBudget.MemoryBudget;
			onUnread(): void;
		},
	) {
		super();
		this.#response = response;
		this.#isDraining = options.isDraining;
		this.#budget = options.budget;
		this.#onUnread = options.onUnread;
		response.on('drain', () => {
			this.#noteUnread();
			this.#didDrain.fire();
		});
	}

	override get onDidDrain() {
		return this.#didDrain.event;
	}

	override start(status: number, headers: wireFormat.Headers): void {
		this.#response.sendDate = false;
		for (const [name, value] of Object.entries(headers)) {
			if (value !== undefined) {
				this.#response.setHeader(name, value);
			}
		}

		if (this.#isDraining()) {
			this.#response.setHeader('connection', 'close');
		}

		this.#response.writeHead(status);
	}

	override write(bytes: Uint8Array): boolean {
		const isRead = this.#response.write(bytes);
		// A response that waits for an earlier one on its connection has no socket, and holds its bytes.
		if (!isRead || !this.#response.socket) {
			this.#unread ??= this.#budget.addAnswer(this.#onUnread);
		}

		this.#noteUnread();
		return isRead;
	}

	override end(): void {
		this.#response.end();
		this.#noteUnread();
	}

	override abort(): void {
		breakOff(this.#response);
	}

	/** Ends the count of unread bytes; call it when the response has ended. */
	release(): void {
		this.#unread?.release();
	}

	#noteUnread(): void {
		const bytes = this.#response.writableLength;
		const isUpstreamPaused = bytes > 0 && !this.#response.writableEnded;
		this.#unread?.set(bytes + (isUpstreamPaused ? pausedUpstreamBytes : 0));
	}
}
