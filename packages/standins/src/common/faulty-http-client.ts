/** HTTP client behind simulated links. */
import type * as clockModule from '@hawthornfront/base/common/clock.js';
import * as disposable from '@hawthornfront/base/common/disposable.js';
import * as httpClient from '@hawthornfront/base/common/http-client.js';
import * as delayedBody from './delayed-body.js';
import type * as links from './links.js';

export type LinkPair = {there: links.Link; back: links.Link};

const defaultTimeoutMs = 30_000;

// Rough size of the request line and headers, for the transfer time.
const headerBytes = 400;

const textEncoder = new TextEncoder();

const requestBytes = (request: httpClient.HttpRequest): number => {
	const {body} = request;
	const bodyBytes =
		typeof body === 'string' ? textEncoder.encode(body).byteLength : body?.byteLength;
	return headerBytes + (bodyBytes ?? 0);
};

/** Calls `callback` once when `signal` is or gets aborted, until `owned` is disposed. */
const onAbort = (
	owned: disposable.DisposableStore,
	signal: AbortSignal | undefined,
	callback: () => void,
): void => {
	if (signal?.aborted) {
		callback();
		return;
	}

	signal?.addEventListener('abort', callback, {once: true});
	owned.add({
		dispose() {
			signal?.removeEventListener('abort', callback);
		},
	});
};

/** Aborts the inner request; owns the timer and the listener of the caller's signal. */
type Attempt = disposable.DisposableStore & {
	readonly inner: AbortController;
	/** Rejects when the caller aborts or the time until the headers is over. */
	readonly gaveUp: Promise<never>;
};

/**
 * Delays requests and answers by the links. A request sent into a cut gets no
 * answer until its timeout; an answer's body that is in progress breaks when
 * either direction is cut.
 */
export class FaultyHttpClient extends httpClient.HttpClient {
	readonly #clock: clockModule.Clock;
	readonly #client: httpClient.HttpClient;
	readonly #linksTo: (peer: string) => LinkPair;

	constructor(
		clock: clockModule.Clock,
		client: httpClient.HttpClient,
		linksTo: (peer: string) => LinkPair,
	) {
		super();
		this.#clock = clock;
		this.#client = client;
		this.#linksTo = linksTo;
	}

	override async request(request: httpClient.HttpRequest): Promise<httpClient.HttpResponse> {
		const pair = this.#linksTo(request.peer);
		const attempt = this.#startAttempt(request);
		try {
			// A lost byte has left all the same, so the caller must assume the worst.
			request.onSent?.();
			const answer = await Promise.race([this.#exchange(request, pair, attempt), attempt.gaveUp]);
			return {...answer, body: this.#carryBody(request, pair, answer.body, attempt.inner)};
		} finally {
			// The limit of time ends with the headers.
			attempt.dispose();
		}
	}

	override async close(): Promise<void> {
		await this.#client.close();
	}

	#startAttempt(request: httpClient.HttpRequest): Attempt {
		const owned = disposable.createDisposableStore();
		const inner = new AbortController();
		const {signal, peer} = request;
		const timeoutMs = request.timeoutMs ?? defaultTimeoutMs;
		const gaveUp = new Promise<never>((_resolve, reject) => {
			const fail = (message: string) => {
				const error = new httpClient.HttpClientError(message, peer, true);
				reject(error);
				inner.abort(error);
			};

			owned.add(
				this.#clock.setTimer(() => {
					fail(`no answer within ${timeoutMs} ms`);
				}, timeoutMs),
			);
			onAbort(owned, signal, () => {
				fail('the request was aborted');
			});
		});
		// The rejection may come when nobody waits for headers any more.

		gaveUp.catch(() => undefined);
		return Object.assign(owned, {inner, gaveUp});
	}

	async #exchange(
		request: httpClient.HttpRequest,
		pair: LinkPair,
		attempt: Attempt,
	): Promise<httpClient.HttpResponse> {
		await this.#travel(pair.there, requestBytes(request), attempt);
		const answer = await this.#client.request({
			...request,
			onSent: undefined,
			signal: attempt.inner.signal,
		});
		await this.#travel(pair.back, headerBytes, attempt);
		return answer;
	}

	/** Waits for one direction; never resolves when it is cut. */
	async #travel(link: links.Link, lengthBytes: number, attempt: Attempt): Promise<void> {
		const delayMs = link.isCut ? 0 : link.streamDelayMs(lengthBytes);
		if (delayMs > 0) {
			await this.#clock.sleep(delayMs, attempt.inner.signal);
		}

		if (link.isCut) {
			await attempt.gaveUp;
		}
	}

	/** Breaks the body when a direction is cut or the caller aborts. */
	#carryBody(
		request: httpClient.HttpRequest,
		pair: LinkPair,
		body: AsyncIterable<Uint8Array>,
		inner: AbortController,
	): AsyncIterable<Uint8Array> {
		const owned = disposable.createDisposableStore();
		const delayed = delayedBody.createDelayedBody(this.#clock, pair.back, body, () => {
			owned.dispose();
			inner.abort(new Error('the reader of the body has ended'));
		});
		const breakBody = (message: string) => {
			owned.dispose();
			const error = new httpClient.HttpClientError(message, request.peer, true);
			delayed.fail(error);
			inner.abort(error);
		};

		const onCut = () => {
			breakBody('the link was cut');
		};

		owned.add(pair.there.onDidCut(onCut));
		owned.add(pair.back.onDidCut(onCut));
		onAbort(owned, request.signal, () => {
			breakBody('the request was aborted');
		});
		if (pair.there.isCut || pair.back.isCut) {
			onCut();
		}

		return delayed.body;
	}
}
