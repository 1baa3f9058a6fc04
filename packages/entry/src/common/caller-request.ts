/** Requests and answers at the border to the callers, independent of the HTTP server. */

/** One request of a caller, or one that another daemon forwarded. */
export type CallerRequest = {
	/** Unique in the cluster; also names the request at the upstream. */
	requestId: string;
	method: string;
	/** Path with query, without the prefix of forwarded requests. */
	path: string;
	/** Header names are in lower case. */
	headers: Readonly<Record<string, string>>;
	/** True when another daemon of the cluster sent it. */
	isForwarded: boolean;
	/** Aborted when the caller has gone. */
	signal: AbortSignal;
	/**
	 * Reads the body. It is not read before this call, so that a request can be
	 * refused from its headers. @throws GatewayException when it is longer than the limit.
	 */
	readBody(limitBytes: number): Promise<Uint8Array>;
};

/** The answer. A body that throws must break the connection visibly. */
export type CallerResponse = {
	status: number;
	headers: Record<string, string>;
	body: Uint8Array | string | AsyncIterable<Uint8Array | string>;
	/** Latest end of a streamed body, on the monotonic clock. */
	deadlineAtMs?: number;
	/**
	 * Aborted when a streamed body was not taken before its deadline; the connection
	 * is then broken. A caller that vanished without a reset would hold it otherwise.
	 */
	expired?: AbortSignal;
};

/** Builds an answer with a JSON body. */
export const jsonResponse = (
	status: number,
	value: unknown,
	headers: Record<string, string> = {},
): CallerResponse => ({
	status,
	headers: {'content-type': 'application/json', ...headers},
	body: JSON.stringify(value),
});
