/** JSON-RPC 2.0 over HTTP POST, based on the package `json-rpc-2.0`. */
import * as jsonRpc from 'json-rpc-2.0';
import * as httpClient from '@hawthornfront/base/common/http-client.js';
import * as textRequest from '@hawthornfront/base/node/text-request.js';
import type * as zod from 'zod';
import * as rpc from '../common/rpc.js';

const defaultTimeoutMs = 2000;
const bodyLimits: textRequest.BodyLimits = {maxBytes: 16_777_216, timeoutMs: 3000};

/** Client that uses an {@link httpClient.HttpClient}. */
export class HttpRpcClient extends rpc.RpcClient {
	readonly #client: httpClient.HttpClient;
	#lastId = 0;

	constructor(client: httpClient.HttpClient) {
		super();
		this.#client = client;
	}

	override async call<Params extends zod.ZodType, Result extends zod.ZodType>(
		peer: string,
		method: rpc.RpcMethod<Params, Result>,
		params: zod.infer<Params>,
		options: {timeoutMs?: number; signal?: AbortSignal} = {},
	): Promise<zod.infer<Result>> {
		const request = jsonRpc.createJSONRPCRequest(++this.#lastId, method.name, params);
		try {
			const {text} = await textRequest.requestText(
				this.#client,
				{
					peer,
					method: 'POST',
					path: rpc.rpcPath,
					headers: {'content-type': 'application/json'},
					body: JSON.stringify(request),
					timeoutMs: options.timeoutMs ?? defaultTimeoutMs,
					signal: options.signal,
				},
				bodyLimits,
			);
			const response = JSON.parse(text) as jsonRpc.JSONRPCResponse;
			if (response.error) {
				throw new rpc.RpcError(method.name, peer, response.error.message, true);
			}

			return method.result.parse(response.result);
		} catch (error) {
			if (error instanceof rpc.RpcError) {
				throw error;
			}

			const mayHaveRun = !(error instanceof httpClient.HttpClientError) || error.mayHaveBeenSent;
			const message = error instanceof Error ? error.message : String(error);
			throw new rpc.RpcError(method.name, peer, message, mayHaveRun, error);
		}
	}
}

/** Dispatches requests that the HTTP server receives. */
export class JsonRpcServer extends rpc.RpcServer {
	/** Number of calls with invalid parameters or a handler that threw. */
	failedCalls = 0;
	readonly #server = new jsonRpc.JSONRPCServer({
		errorListener: () => {
			this.failedCalls++;
		},
	});

	override handle<Params extends zod.ZodType, Result extends zod.ZodType>(
		method: rpc.RpcMethod<Params, Result>,
		handler: (params: zod.infer<Params>) => Promise<zod.infer<Result>> | zod.infer<Result>,
	): void {
		this.#server.addMethod(method.name, async (params: unknown) =>
			handler(method.params.parse(params)),
		);
	}

	/** Processes a request and returns its response; empty for a notification. */
	async receive(text: string): Promise<string> {
		const response = await this.#server.receiveJSON(text);
		return response ? JSON.stringify(response) : '';
	}
}
