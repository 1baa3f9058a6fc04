/** HTTP client that reports every message it sends or receives, so that a session can be recorded. */
import * as httpClient from '@hawthornfront/base/common/http-client.js';

/** Told of one request as it goes on, at the times at which its client sees it. */
export type Exchange = {
	answered(status: number, headers: Record<string, string>): void;
	received(part: Uint8Array): void;
	/** The answer ended by itself. */
	ended(): void;
	/** The connection broke, or the client gave the answer up. */
	broken(reason: string): void;
};

/** Called for each request; returns nothing for a request that need not be followed. */
export type Observer = (from: string, request: httpClient.HttpRequest) => Exchange | undefined;

const messageOf = (error: unknown): string =>
	error instanceof Error ? error.message : 'request failed';

async function* observeBody(
	body: AsyncIterable<Uint8Array>,
	exchange: Exchange,
): AsyncGenerator<Uint8Array> {
	let isOver = false;
	try {
		for await (const part of body) {
			exchange.received(part);
			yield part;
		}

		isOver = true;
		exchange.ended();
	} catch (error) {
		isOver = true;
		exchange.broken(messageOf(error));
		throw error;
	} finally {
		if (!isOver) {
			exchange.broken('closed by the client');
		}
	}
}

/** Wraps the client of the process at address `from`. */
export const createObservedClient = (
	client: httpClient.HttpClient,
	from: string,
	observe: Observer,
): httpClient.HttpClient => {
	class ObservedClient extends httpClient.HttpClient {
		override async request(request: httpClient.HttpRequest): Promise<httpClient.HttpResponse> {
			const exchange = observe(from, request);
			if (!exchange) {
				return client.request(request);
			}

			try {
				const answer = await client.request(request);
				exchange.answered(answer.status, answer.headers);
				return {...answer, body: observeBody(answer.body, exchange)};
			} catch (error) {
				exchange.broken(messageOf(error));
				throw error;
			}
		}

		override async close(): Promise<void> {
			await client.close();
		}
	}

	return new ObservedClient();
};
