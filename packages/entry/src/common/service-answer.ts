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

export type ServiceAttempt = {
	address: string;
	method: string;
	path: string;
	headers: Record<string, string>;
	body: Uint8Array;
	timeoutMs: number;
	signal: AbortSignal;
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

const readWhole = async (
	attempt: ServiceAttempt,
	response: httpClient.HttpResponse,
): Promise<Uint8Array> => {
	const chunks: Uint8Array[] = [];
	let lengthBytes = 0;
	for await (const chunk of response.body) {
		lengthBytes += chunk.byteLength;
		if (lengthBytes > maxBufferedAnswerBytes) {
			throw new gatewayError.GatewayException({
				kind: 'upstream-failed',
				step: 'last-token',
				peer: attempt.address,
				outcome: 'ran',
				detail: `the answer is longer than ${maxBufferedAnswerBytes} bytes`,
			});
		}

		chunks.push(chunk);
	}

	const whole = new Uint8Array(lengthBytes);
	let offsetBytes = 0;
	for (const chunk of chunks) {
		whole.set(chunk, offsetBytes);
		offsetBytes += chunk.byteLength;
	}

	return whole;
};

/**
 * Makes one attempt and reads the whole answer.
 * @throws GatewayException with outcome `not-run` only when no byte left this process.
 */
export const callService = async (
	client: httpClient.HttpClient,
	attempt: ServiceAttempt,
): Promise<WholeAnswer> => {
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
		const body = await readWhole(attempt, response);
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
