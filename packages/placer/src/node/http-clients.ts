/** HTTP calls from the placer to runners and entry daemons. */
import * as httpClient from '@hawthornfront/base/common/http-client.js';
import * as zod from 'zod';
import * as runnerClient from '../common/runner-client.js';

const maxAnswerBytes = 4_194_304;
const conflictStatus = 409;

const stateSchema = zod.looseObject({
	demand: zod.record(zod.string(), zod.number().nonnegative()),
});

/** Sends one request and reads the whole answer within the timeout. */
const call = async (
	client: httpClient.HttpClient,
	request: Omit<httpClient.HttpRequest, 'signal' | 'timeoutMs'>,
	timeoutMs: number,
): Promise<{status: number; text: string}> => {
	const answer = await client.request({
		...request,
		timeoutMs,
		signal: AbortSignal.timeout(timeoutMs),
	});
	return {status: answer.status, text: await httpClient.readText(answer.body, maxAnswerBytes)};
};

const expectOk = (peer: string, path: string, status: number): void => {
	if (status !== 200) {
		throw new Error(`${path} at ${peer}: status ${status}`);
	}
};

/** Calls runners over HTTP: `GET /load` and `POST /orders`. */
export class HttpRunnerClient extends runnerClient.RunnerClient {
	readonly #client: httpClient.HttpClient;
	readonly #timeoutMs: number;

	constructor(client: httpClient.HttpClient, timeoutMs: number) {
		super();
		this.#client = client;
		this.#timeoutMs = timeoutMs;
	}

	override async load(address: string): Promise<runnerClient.RunnerLoad> {
		const path = '/load';
		const request = {peer: address, method: 'GET', path};
		const {status, text} = await call(this.#client, request, this.#timeoutMs);
		expectOk(address, path, status);
		return runnerClient.runnerLoadSchema.parse(JSON.parse(text));
	}

	override async order(
		address: string,
		order: runnerClient.RunnerOrder,
	): Promise<runnerClient.OrderAnswer> {
		const path = '/orders';
		const request = {
			peer: address,
			method: 'POST',
			path,
			headers: {'content-type': 'application/json'},
			body: JSON.stringify(order),
		};
		const {status} = await call(this.#client, request, this.#timeoutMs);
		if (status === conflictStatus) {
			return 'refused';
		}

		expectOk(address, path, status);
		return 'accepted';
	}
}

/** Calls entry daemons over HTTP: `GET /debug/state`. */
export class HttpDemandClient extends runnerClient.DemandClient {
	readonly #client: httpClient.HttpClient;
	readonly #timeoutMs: number;

	constructor(client: httpClient.HttpClient, timeoutMs: number) {
		super();
		this.#client = client;
		this.#timeoutMs = timeoutMs;
	}

	override async read(address: string): Promise<Readonly<Record<string, number>>> {
		const path = '/debug/state';
		const request = {peer: address, method: 'GET', path};
		const {status, text} = await call(this.#client, request, this.#timeoutMs);
		expectOk(address, path, status);
		return stateSchema.parse(JSON.parse(text)).demand;
	}
}
