/** One attempt of a plain service call, with the outcome of its execution. */
import * as gatewayError from '@hawthornfront/base/common/gateway-error.js';
import * as httpClient from '@hawthornfront/base/common/http-client.js';

/** Answers up to this size are buffered before the caller receives the first byte, so that the call can be retried. */
export const maxBufferedAnswerBytes = 1_048_576;

/** An answer of a service that was read in full. */
export type BufferedAnswer = {
	status: number;
	headers: Record<string, string>;
	body: Uint8Array;
};

/** An answer whose body is a stream if it is too long to be buffered. */
export type ServiceAnswer = Omit<BufferedAnswer, 'body'> & {
	body: Uint8Array | AsyncIterableIterator<Uint8Array>;
};

export type ServiceAttempt = {
	address: string;
	method: string;
	path: string;
	headers: Record<string, string>;
	body: Uint8Array;
	timeoutMs: number;
	signal: AbortSignal;
	/** True to stream an answer that is too long to be buffered; otherwise such an answer is an error. */
	mayStream?: boolean;
	/**
	 * Called before the first byte can be sent. Throws when the request may no longer
	 * run. The returned function undoes the call when it is certain that no byte was sent.
	 */
	markSent?: () => () => void;
};

const failure = (
	attempt: ServiceAttempt,
	mayHaveRun: boolean,
	detail: string,
): gatewayError.GatewayException =>
	new gatewayError.GatewayException({
		kind: 'upstream-failed',
		step: mayHaveRun ? 'sent-in-full' : 'before-dispatch',
		peer: attempt.address,
		outcome: mayHaveRun ? 'unknown' : 'not-run',
		detail,
	});

const concatenate = (chunks: readonly Uint8Array[], lengthBytes: number): Uint8Array => {
	const whole = new Uint8Array(lengthBytes);
	let offsetBytes = 0;
	for (const chunk of chunks) {
		whole.set(chunk, offsetBytes);
		offsetBytes += chunk.byteLength;
	}

	return whole;
};

/** Yields chunks that were already read, then the rest of the body. Closing the result closes the body. */
const prependChunks = (
	chunks: readonly Uint8Array[],
	rest: AsyncIterator<Uint8Array>,
): AsyncIterableIterator<Uint8Array> => {
	const pending = [...chunks];
	return {
		[Symbol.asyncIterator]() {
			return this;
		},
		async next() {
			const chunk = pending.shift();
			return chunk ? {done: false, value: chunk} : rest.next();
		},
		async return() {
			await rest.return?.();
			return {done: true, value: undefined};
		},
	};
};

const readBody = async (
	attempt: ServiceAttempt,
	response: httpClient.HttpResponse,
): Promise<ServiceAnswer['body']> => {
	const chunks: Uint8Array[] = [];
	const iterator = response.body[Symbol.asyncIterator]();
	let lengthBytes = 0;
	for (;;) {
		const result = await iterator.next();
		if (result.done) {
			return concatenate(chunks, lengthBytes);
		}

		chunks.push(result.value);
		lengthBytes += result.value.byteLength;
		if (lengthBytes > maxBufferedAnswerBytes) {
			if (attempt.mayStream) {
				return prependChunks(chunks, iterator);
			}

			await iterator.return?.();
			throw new gatewayError.GatewayException({
				kind: 'upstream-failed',
				step: 'last-token',
				peer: attempt.address,
				outcome: 'ran',
				detail: `the answer is longer than ${maxBufferedAnswerBytes} bytes`,
			});
		}
	}
};

/**
 * Runs one attempt and reads the part of its answer that is buffered.
 * @throws GatewayException with the outcome `not-run` only when no byte was sent.
 */
export const openService = async (
	client: httpClient.HttpClient,
	attempt: ServiceAttempt,
): Promise<ServiceAnswer> => {
	const undoMarkSent = attempt.markSent?.();
	try {
		const response = await client.request({
			peer: attempt.address,
			method: attempt.method,
			path: attempt.path,
			headers: attempt.headers,
			body: attempt.body.byteLength > 0 ? attempt.body : undefined,
			timeoutMs: attempt.timeoutMs,
			signal: attempt.signal,
		});
		const body = await readBody(attempt, response);
		return {status: response.status, headers: response.headers, body};
	} catch (error) {
		if (error instanceof gatewayError.GatewayException) {
			throw error;
		}

		const mayHaveRun = !(error instanceof httpClient.HttpClientError) || error.mayHaveBeenSent;
		if (!mayHaveRun) {
			undoMarkSent?.();
		}

		const detail = error instanceof Error ? error.message : String(error);
		throw failure(attempt, mayHaveRun, detail);
	}
};

/** Narrows the answer of an attempt without `mayStream`. @throws TypeError when the body is a stream. */
export const requireBuffered = (answer: ServiceAnswer): BufferedAnswer => {
	if (!(answer.body instanceof Uint8Array)) {
		throw new TypeError('the body of the answer is a stream instead of a buffer');
	}

	return {...answer, body: answer.body};
};

/** Like {@link openService}, for answers that must be buffered in full. @throws GatewayException */
export const callService = async (
	client: httpClient.HttpClient,
	attempt: Omit<ServiceAttempt, 'mayStream'>,
): Promise<BufferedAnswer> => requireBuffered(await openService(client, attempt));
