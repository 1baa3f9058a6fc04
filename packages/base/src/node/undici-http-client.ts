/** HTTP client based on undici, without automatic retries and redirects. */
import * as errorText from '../common/error-text.js';
import * as httpClient from '../common/http-client.js';
import * as pauseTolerantTimer from '../common/pause-tolerant-timer.js';
import * as systemClock from './system-clock.js';
import * as undiciParts from './undici-parts.js';

const defaultTimeoutMs = 30_000;
const connectTimeoutMs = 2000;
const maxConnectionsPerPeer = 512;

// Errors that undici reports before it writes the first byte of a request.
const notSentCodes = new Set([
	'ECONNREFUSED',
	'EHOSTUNREACH',
	'ENETUNREACH',
	'UND_ERR_CONNECT_TIMEOUT',
]);

const codeOf = (error: unknown): string =>
	error instanceof Error && 'code' in error ? String(error.code) : '';

const flattenHeaders = (
	headers: Record<string, string | string[] | undefined>,
): Record<string, string> => {
	const flat: Record<string, string> = {};
	for (const [name, value] of Object.entries(headers)) {
		if (value !== undefined) {
			flat[name] = Array.isArray(value) ? value.join(', ') : value;
		}
	}

	return flat;
};

/** Client with one connection pool per peer. */
export class UndiciHttpClient extends httpClient.HttpClient {
	readonly #clock = new systemClock.SystemClock();
	readonly #agent = new undiciParts.Agent({
		connections: maxConnectionsPerPeer,
		pipelining: 1,
		connect: {timeout: connectTimeoutMs},
		headersTimeout: 0,
		bodyTimeout: 0,
	});

	override async request(request: httpClient.HttpRequest): Promise<httpClient.HttpResponse> {
		const timeout = new AbortController();
		const timeoutMs = request.timeoutMs ?? defaultTimeoutMs;
		const onTimeout = () => {
			timeout.abort(new Error(`no answer within ${timeoutMs} ms`));
		};

		const timer = pauseTolerantTimer.setPauseTolerantTimer(this.#clock, onTimeout, timeoutMs);
		const signals = request.signal ? [timeout.signal, request.signal] : [timeout.signal];
		try {
			request.onSent?.();
			const answer = await undiciParts.request(this.#agent, {
				origin: `http://${request.peer}`,
				path: request.path,
				method: request.method,
				headers: request.headers,
				body: request.body,
				signal: AbortSignal.any(signals),
			});
			return {
				status: answer.statusCode,
				headers: flattenHeaders(answer.headers),
				body: answer.body,
			};
		} catch (error) {
			const isNotSent = notSentCodes.has(codeOf(error));
			throw new httpClient.HttpClientError(
				errorText.errorText(error),
				request.peer,
				!isNotSent,
				error,
			);
		} finally {
			timer.dispose();
		}
	}

	override async close(): Promise<void> {
		await this.#agent.destroy();
	}
}
