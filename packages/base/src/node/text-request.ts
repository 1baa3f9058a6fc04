/** HTTP requests whose complete response is read as text. */
import type * as disposable from '../common/disposable.js';
import * as httpClient from '../common/http-client.js';
import * as pauseTolerantTimer from '../common/pause-tolerant-timer.js';
import * as systemClock from './system-clock.js';

const clock = new systemClock.SystemClock();

/** Limits for reading the body of a response. */
export type BodyLimits = {
	maxBytes: number;
	/** Time from the response headers to the end of the body. */
	timeoutMs: number;
};

/**
 * Sends a request and reads its response. A body that exceeds a limit is cancelled.
 *
 * @param onHeaders called with the headers of a response that was read; their names are in lower case
 * @throws HttpClientError without a response; Error when the body exceeds a limit or is incomplete.
 */
export const requestText = async (
	client: httpClient.HttpClient,
	request: httpClient.HttpRequest,
	limits: BodyLimits,
	onHeaders?: (headers: Record<string, string>) => void,
): Promise<{status: number; text: string}> => {
	const controller = new AbortController();
	const {signal} = request;
	const cancel = () => {
		controller.abort(signal?.reason);
	};

	signal?.addEventListener('abort', cancel);
	if (signal?.aborted) {
		cancel();
	}

	let timer: disposable.Disposable | undefined;
	try {
		const answer = await client.request({...request, signal: controller.signal});
		const onTimeout = () => {
			controller.abort(new Error(`body was not received within ${limits.timeoutMs} ms`));
		};

		timer = pauseTolerantTimer.setPauseTolerantTimer(clock, onTimeout, limits.timeoutMs);
		const text = await httpClient.readText(answer.body, limits.maxBytes);
		onHeaders?.(answer.headers);
		return {status: answer.status, text};
	} finally {
		timer?.dispose();
		signal?.removeEventListener('abort', cancel);
	}
};
