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
	'EMFILE',
	'ENFILE',
	'EADDRNOTAVAIL',
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

const createAgent = () =>
	new undiciParts.Agent({
		connections: maxConnectionsPerPeer,
		pipelining: 1,
		connect: {timeout: connectTimeoutMs},
		headersTimeout: 0,
		bodyTimeout: 0,
	});
type Agent = ReturnType<typeof createAgent>;

/**
 * Client with one connection pool per peer. After a request that was given up, new requests
 * open new connections: what silenced a connection without a reset may have silenced the
 * idle ones, too.
 */
export class UndiciHttpClient extends httpClient.HttpClient {
	readonly #clock = new systemClock.SystemClock();
	#agent = createAgent();
	#isClosed = false;
	/** Replaced agents whose last requests are in progress. */
	readonly #retired = new Set<Agent>();

	override async request(request: httpClient.HttpRequest): Promise<httpClient.HttpResponse> {
		const timeout = new AbortController();
		const timeoutMs = request.timeoutMs ?? defaultTimeoutMs;
		const onTimeout = () => {
			timeout.abort(new Error(`no answer within ${timeoutMs} ms`));
		};

		const timer = pauseTolerantTimer.setPauseTolerantTimer(this.#clock, onTimeout, timeoutMs);
		const signals = request.signal ? [timeout.signal, request.signal] : [timeout.signal];
		const agent = this.#agent;
		try {
			request.onSent?.();
			const answer = await undiciParts.request(agent, {
				origin: `http://${request.peer}`,
				path: request.path,
				method: request.method,
				headers: request.headers,
				body: request.body,
				reset: request.isConnectionClosed,
				signal: AbortSignal.any(signals),
			});
			return {
				status: answer.statusCode,
				headers: flattenHeaders(answer.headers),
				body: answer.body,
			};
		} catch (error) {
			if (signals.some(({aborted}) => aborted)) {
				this.#retire(agent);
			}

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
		this.#isClosed = true;
		const agents = [this.#agent, ...this.#retired];
		await Promise.all(agents.map(async (agent) => agent.destroy()));
	}

	/** Closes the idle connections of an agent, and the others at the end of their requests. */
	#retire(agent: Agent): void {
		if (this.#isClosed || agent !== this.#agent) {
			return;
		}

		this.#agent = createAgent();
		this.#retired.add(agent);
		void this.#closeRetired(agent);
	}

	async #closeRetired(agent: Agent): Promise<void> {
		await agent.close();
		this.#retired.delete(agent);
	}
}
