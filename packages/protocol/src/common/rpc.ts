/**
 * JSON-RPC 2.0 between daemons. A method is a name with the schemas of its
 * parameters and result; client and server check both.
 */
import type * as zod from 'zod';

/** Definition of one method. */
export type RpcMethod<Params extends zod.ZodType, Result extends zod.ZodType> = {
	readonly name: string;
	readonly params: Params;
	readonly result: Result;
};

/** Defines a method. */
export const defineMethod = <Params extends zod.ZodType, Result extends zod.ZodType>(
	name: string,
	params: Params,
	result: Result,
): RpcMethod<Params, Result> => ({name, params, result});

/** A call that got no result. `mayHaveRun` is false only when the peer cannot have seen it. */
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
	/** @throws {@link RpcError} when there is no result. */
	abstract call<Params extends zod.ZodType, Result extends zod.ZodType>(
		peer: string,
		method: RpcMethod<Params, Result>,
		params: zod.infer<Params>,
		options?: {timeoutMs?: number; signal?: AbortSignal},
	): Promise<zod.infer<Result>>;
}

/** Registers the handlers of this daemon's methods. */
export abstract class RpcServer {
	abstract handle<Params extends zod.ZodType, Result extends zod.ZodType>(
		method: RpcMethod<Params, Result>,
		handler: (params: zod.infer<Params>) => Promise<zod.infer<Result>> | zod.infer<Result>,
	): void;
}

/** Path of the internal protocol on the HTTP address of a daemon. */
export const rpcPath = '/internal/rpc';
