/** HTTP client that returns the JSON bodies of a test; a request fails when the callback throws or rejects. */
import * as httpClient from '../common/http-client.js';

export class FakeHttpClient extends httpClient.HttpClient {
	readonly #answer: (request: httpClient.HttpRequest) => unknown;

	constructor(answer: (request: httpClient.HttpRequest) => unknown) {
		super();
		this.#answer = answer;
	}

	override async request(request: httpClient.HttpRequest): Promise<httpClient.HttpResponse> {
		const bytes = new TextEncoder().encode(JSON.stringify(await this.#answer(request)));
		const body = (async function* () {
			yield bytes;
		})();
		return {status: 200, headers: {}, body};
	}

	override async close(): Promise<void> {
		// There are no connections to close.
	}
}
