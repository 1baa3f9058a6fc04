/** Streams of model runners, independent of the transport protocol. */

/** One token, or one group of choices, of a streamed answer. */
export type TokenPart = {
	kind: 'token';
	/** Position in the answer, from 0. */
	index: number;
	/** `choices` of the chunk, passed through unchanged. */
	choices: unknown[];
	/** Text of the token, for answers that are not streamed to the caller. */
	text: string;
};

/** Summary that a runner sends at the end of an answer. */
export type FinishPart = {
	kind: 'finish';
	finishReason: string;
	promptTokens: number;
	completionTokens: number;
	/** Number of parts of the whole answer; if fewer have arrived, some were lost. */
	partCount: number;
};

/** The terminal marker. A stream that ends without it is truncated. */
export type DonePart = {kind: 'done'};

export type StreamPart = TokenPart | FinishPart | DonePart;

/** Request of one attempt, to a runner or to a daemon of another region that forwards it. */
export type RunnerRequest = {
	/** `host:port` of the runner or daemon. */
	address: string;
	path: string;
	headers: Record<string, string>;
	/** Body of the caller; the client adds the members of the runner protocol. */
	body: Record<string, unknown>;
	requestId: string;
	/** A lower value is served first. */
	priority: number;
	resumeFromToken: number;
	/** Maximum time until the headers of the answer arrive. */
	timeoutMs: number;
	signal: AbortSignal;
	onSent?: () => void;
};

/** Raised when a runner answers with a status other than 200. */
export class RunnerRefusal extends Error {
	readonly status: number;

	constructor(peer: string, status: number) {
		super(`runner at ${peer} answered with status ${status}`);
		this.name = 'RunnerRefusal';
		this.status = status;
	}
}

/** Opens streams. Aborting the signal of a request cancels its execution at the runner. */
export abstract class RunnerClient {
	/** @throws {@link RunnerRefusal} or HttpClientError before the first part. */
	abstract open(request: RunnerRequest): Promise<AsyncIterable<StreamPart>>;
}
