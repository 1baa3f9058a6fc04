/**
 * Outgoing HTTP as a service, so that tests and the demo can put links with
 * delay, loss and cuts between processes.
 */

/** One outgoing request. `peer` is an address of the form `host:port`. */
export type HttpRequest = {
	peer: string;
	method: string;
	/** Path and query. */
	path: string;
	headers?: Record<string, string>;
	body?: string | Uint8Array;
	/** Limit until the headers of the answer; the body has no limit of its own. */
	timeoutMs?: number;
	signal?: AbortSignal;
	/** Called once when the first byte may have left this process. */
	onSent?: () => void;
};

/** The answer. The body must be read to its end or cancelled by the signal of the request. */
export type HttpResponse = {
	status: number;
	/** Header names are in lower case. */
	headers: Record<string, string>;
	body: AsyncIterable<Uint8Array>;
};

/** Why a request got no answer. `mayHaveBeenSent` is false only when no byte left. */
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

/** Sends HTTP requests. Implementations never repeat a request on their own. */
export abstract class HttpClient {
	/** @throws {@link HttpClientError} when no answer arrived. */
	abstract request(request: HttpRequest): Promise<HttpResponse>;

	/** Closes idle connections; requests in progress end with an error. */
	abstract close(): Promise<void>;
}

/** Reads a whole body as text. @throws Error when it is longer than `limitBytes`. */
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
