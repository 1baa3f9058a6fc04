/**
 * JSON-RPC 2.0 between daemons. A method has a name and schemas: the server
 * validates the parameters, the client validates the result.
 */
import type * as zod from 'zod';

export type RpcMethod<Params extends zod.ZodType, Result extends zod.ZodType> = {
	readonly name: string;
	readonly params: Params;
	readonly result: Result;
};

export const defineMethod = <Params extends zod.ZodType, Result extends zod.ZodType>(
	name: string,
	params: Params,
	result: Result,
): RpcMethod<Params, Result> => ({name, params, result});

/** A call without a result. `mayHaveRun` is false only when the peer cannot have received the call. */
export class RpcError extends Error {
	readonly peer: string;
	readonly method: string;
	readonly mayHaveRun: boolean;

	constructor(method: string, peer: string, message: string, mayHaveRun: boolean, cause?: unknown) {
		super(`${method} at ${peer}: ${message}`, {cause});
		this.name = 'RpcError';
		this.peer = peer;
		this.method = method;
		this.mayHaveRun = mayHaveRun;
	}
}

/** Calls methods of other daemons. */
export abstract class RpcClient {
	/** @throws {@link RpcError} when the call returns no valid result. */
	abstract call<Params extends zod.ZodType, Result extends zod.ZodType>(
		peer: string,
		method: RpcMethod<Params, Result>,
		params: zod.infer<Params>,
		options?: {timeoutMs?: number; signal?: AbortSignal},
	): Promise<zod.infer<Result>>;
}

/** Registers handlers for the methods of this daemon. */
export abstract class RpcServer {
	abstract handle<Params extends zod.ZodType, Result extends zod.ZodType>(
		method: RpcMethod<Params, Result>,
		handler: (params: zod.infer<Params>) => Promise<zod.infer<Result>> | zod.infer<Result>,
	): void;
}

/** HTTP path of the internal protocol at a daemon. */
export const rpcPath = '/internal/rpc';
