/** Requests of callers and responses to them, independent of the HTTP server. */

/** A request of a caller, received directly or forwarded by another daemon. */
export type CallerRequest = {
	/** Unique in the cluster; also sent to the upstream. */
	requestId: string;
	method: string;
	/** Path and query, without the prefix of forwarded requests. */
	path: string;
	/** Header names are in lower case. */
	headers: Readonly<Record<string, string>>;
	/** True when another daemon of the cluster forwarded the request. */
	isForwarded: boolean;
	/** Aborted when the caller disconnects. */
	signal: AbortSignal;
	/**
	 * Reads the body. No part of the body is read before this call, so that a request can
	 * be refused by its headers. @throws GatewayException when the body exceeds the limit.
	 */
	readBody(limitBytes: number): Promise<Uint8Array>;
};

/** A response. When its body throws, the server must abort the connection so that the caller detects the truncation. */
export type CallerResponse = {
	status: number;
	headers: Record<string, string>;
	body: Uint8Array | string | AsyncIterable<Uint8Array | string>;
	/** Latest end of a streamed body, on the monotonic clock. */
	deadlineAtMs?: number;
	/**
	 * Aborted when a streamed body is not read before its deadline; the server then aborts
	 * the connection. Otherwise a caller that vanished without a reset would hold it open.
	 */
	expired?: AbortSignal;
};

/** Creates a response with a JSON body. */
export const jsonResponse = (
	status: number,
	value: unknown,
	headers: Record<string, string> = {},
): CallerResponse => ({
	status,
	headers: {'content-type': 'application/json', ...headers},
	body: JSON.stringify(value),
});
