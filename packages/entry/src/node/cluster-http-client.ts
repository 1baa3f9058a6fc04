/** HTTP client for calls to other daemons; adds the headers that authenticate this daemon. */
import * as httpClient from '@hawthornfront/base/common/http-client.js';

/** Wraps another client and adds fixed headers to every request. */
export class ClusterHttpClient extends httpClient.HttpClient {
	readonly #inner: httpClient.HttpClient;
	readonly #headers: Record<string, string>;

	constructor(inner: httpClient.HttpClient, headers: Record<string, string>) {
		super();
		this.#inner = inner;
		this.#headers = headers;
	}

	override async request(request: httpClient.HttpRequest): Promise<httpClient.HttpResponse> {
		return this.#inner.request({...request, headers: {...request.headers, ...this.#headers}});
	}

	override async close(): Promise<void> {
		await this.#inner.close();
	}
}
