/**
 * Injectable HTTP client; tests and the demo replace it to simulate delay, loss
 * and partitions between processes.
 */

/** One outgoing request. `peer` is an address of the form `host:port`. */
export type HttpRequest = {
	peer: string;
	method: string;
	/** Path and query. */
	path: string;
	headers?: Record<string, string>;
	body?: string | Uint8Array;
	/** Time limit for the response headers; reading the body has no time limit. */
	timeoutMs?: number;
	signal?: AbortSignal;
	/** Closes the connection after the response, so that no later request waits on one that went silent meanwhile. */
	isConnectionClosed?: boolean;
	/** Called once, when the first byte may have left this process. */
	onSent?: () => void;
};

/** A response. The body must be read to its end or cancelled through the signal of the request. */
export type HttpResponse = {
	status: number;
	/** Header names are in lower case. */
	headers: Record<string, string>;
	body: AsyncIterable<Uint8Array>;
};

/** A request without a response. `mayHaveBeenSent` is false only when no byte left this process. */
export class HttpClientError extends Error {
	readonly peer: string;
	readonly mayHaveBeenSent: boolean;

	constructor(message: string, peer: string, mayHaveBeenSent: boolean, cause?: unknown) {
		super(message, {cause});
		this.name = 'HttpClientError';
		this.peer = peer;
		this.mayHaveBeenSent = mayHaveBeenSent;
	}
}

/** Sends HTTP requests. Implementations never retry. */
export abstract class HttpClient {
	/** @throws {@link HttpClientError} when no response was received. */
	abstract request(request: HttpRequest): Promise<HttpResponse>;

	/** Closes all connections; requests in progress fail. */
	abstract close(): Promise<void>;
}

/** Reads a whole body as text. @throws Error when the body is longer than `limitBytes`. */
export const readText = async (
	body: AsyncIterable<Uint8Array>,
	limitBytes: number,
): Promise<string> => {
	const decoder = new TextDecoder();
	let text = '';
	let lengthBytes = 0;
	for await (const chunk of body) {
		lengthBytes += chunk.byteLength;
		if (lengthBytes > limitBytes) {
			throw new Error(`body is longer than ${limitBytes} bytes`);
		}

		text += decoder.decode(chunk, {stream: true});
	}

	return text + decoder.decode();
};
