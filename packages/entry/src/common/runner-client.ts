/** Streams of model runners, independent of the transport. */

/** One token, or one group of choices, of a streamed answer. */
export type TokenPart = {
	kind: 'token';
	/** Position in the answer, from 0. */
	index: number;
	/** `choices` of the chunk, passed through as it came. */
	choices: unknown[];
	/** Text of the token, for answers that are not streamed to the caller. */
	text: string;
};

/** What a runner says at the end of an answer. */
export type FinishPart = {
	kind: 'finish';
	finishReason: string;
	promptTokens: number;
	completionTokens: number;
	/** Number of parts of the whole answer; fewer means that some were lost. */
	partCount: number;
};

/** The terminal marker. A stream that ends without it is truncated. */
export type DonePart = {kind: 'done'};

export type StreamPart = TokenPart | FinishPart | DonePart;

/** One attempt at a runner, or at another region that passes it on. */
export type RunnerRequest = {
	/** `host:port` of the runner or daemon. */
	address: string;
	path: string;
	headers: Record<string, string>;
	/** Body of the caller; the client adds the members of the runner protocol. */
	body: Record<string, unknown>;
	requestId: string;
	/** Lower is served first. */
	priority: number;
	resumeFromToken: number;
	/** Limit until the headers of the answer. */
	timeoutMs: number;
	signal: AbortSignal;
	onSent?: () => void;
};

/** A runner refused with a status other than 200. */
export class RunnerRefusal extends Error {
	readonly status: number;

	constructor(peer: string, status: number) {
		super(`runner at ${peer} answered with status ${status}`);
		this.name = 'RunnerRefusal';
		this.status = status;
	}
}

/** Opens streams. Aborting the signal cancels the work at the runner. */
export abstract class RunnerClient {
	/** @throws {@link RunnerRefusal} or HttpClientError before the first part. */
	abstract open(request: RunnerRequest): Promise<AsyncIterable<StreamPart>>;
}
