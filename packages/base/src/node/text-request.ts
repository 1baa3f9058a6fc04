/** Requests whose whole answer is read as text. */
import type * as disposable from '../common/disposable.js';
import * as httpClient from '../common/http-client.js';
import * as pauseTolerantTimer from '../common/pause-tolerant-timer.js';
import * as systemClock from './system-clock.js';

const clock = new systemClock.SystemClock();

/** Limits of a body, whatever its sender does. */
export type BodyLimits = {
	maxBytes: number;
	/** From the head to the end of the body. */
	timeoutMs: number;
};

/**
 * Sends a request and reads its answer; a body beyond its limits is cancelled.
 * @throws HttpClientError when there is no answer; Error when its body breaks a limit or breaks off.
 */
export const requestText = async (
	client: httpClient.HttpClient,
	request: httpClient.HttpRequest,
	limits: BodyLimits,
): Promise<{status: number; text: string}> => {
	const cancelling = new AbortController();
	const {signal} = request;
	const cancel = () => {
		cancelling.abort(signal?.reason);
	};

	signal?.addEventListener('abort', cancel);
	if (signal?.aborted) {
		cancel();
	}

	let timer: disposable.Disposable | undefined;
	try {
		const answer = await client.request({...request, signal: cancelling.signal});
		const giveUp = () => {
			cancelling.abort(new Error(`body is not complete after ${limits.timeoutMs} ms`));
		};

		timer = pauseTolerantTimer.setPauseTolerantTimer(clock, giveUp, limits.timeoutMs);
		return {status: answer.status, text: await httpClient.readText(answer.body, limits.maxBytes)};
	} finally {
		timer?.dispose();
		signal?.removeEventListener('abort', cancel);
	}
};
