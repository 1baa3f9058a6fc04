/** Calls of plain services: one attempt, with what is known about its execution. */
import * as gatewayError from '@hawthornfront/base/common/gateway-error.js';
import * as httpClient from '@hawthornfront/base/common/http-client.js';

/** Answers up to this size are read before the caller gets the first byte, so that they can be repeated. */
export const maxBufferedAnswerBytes = 1_048_576;

/** An answer of a service that was read to its end. */
export type WholeAnswer = {
	status: number;
	headers: Record<string, string>;
	body: Uint8Array;
};

/** An answer whose body may still be on its way, when it is long. */
export type ServiceAnswer = Omit<WholeAnswer, 'body'> & {
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
	/** Passes an answer that is too long to be buffered on as it arrives; it is refused otherwise. */
	mayStream?: boolean;
	/**
	 * Called before the first byte may leave. It throws when the request may no longer
	 * run; the function that it returns takes the call back once it is known that no
	 * byte left.
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

/** Puts chunks that were already read in front of the rest; closing it closes the rest. */
const resumeBody = (
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
				return resumeBody(chunks, iterator);
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
 * Makes one attempt and reads its answer, as far as it is buffered.
 * @throws GatewayException with outcome `not-run` only when no byte left this process.
 */
export const openService = async (
	client: httpClient.HttpClient,
	attempt: ServiceAttempt,
): Promise<ServiceAnswer> => {
	const takeBack = attempt.markSent?.();
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
			takeBack?.();
		}

		const detail = error instanceof Error ? error.message : String(error);
		throw failure(attempt, mayHaveRun, detail);
	}
};

/** Narrows an answer of an attempt that may not stream. @throws TypeError when it was streamed. */
export const requireWhole = (answer: ServiceAnswer): WholeAnswer => {
	if (!(answer.body instanceof Uint8Array)) {
		throw new TypeError('an answer that must be whole was streamed');
	}

	return {...answer, body: answer.body};
};

/** {@link openService} for answers that must be whole. @throws GatewayException */
export const callService = async (
	client: httpClient.HttpClient,
	attempt: Omit<ServiceAttempt, 'mayStream'>,
): Promise<WholeAnswer> => requireWhole(await openService(client, attempt));
