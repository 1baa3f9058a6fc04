/**
 * Headers between callers, this gateway and upstreams. A deployment supplies their
 * names; the gateway uses only the facts that they carry.
 */

export type PromptPart = {id: string; tokens: number};

/** Facts about a request from its caller's headers. */
export type RequestFacts = {
	/** Identifies one attempt of the caller; undefined when it sent none. */
	attemptId?: string;
	/** Time for which the caller waits, counted from the arrival; undefined when not given. */
	callerTimeoutMs?: number;
	model?: string;
	promptTokens: number;
	maxOutputTokens: number;
	/** Caller's estimate of the output; often far off. */
	expectedOutputTokens?: number;
	/** In order; the last part belongs to the request or its session alone. */
	promptParts: PromptPart[];
	/** Last event that the caller has received of a broken stream. */
	lastEventId?: string;
};

/** What this gateway adds when it sends a request to an upstream. */
export type DispatchFacts = {
	remainingMs: number;
	/** Any other upstream refuses the request. */
	upstreamId: string;
	/** 0 (first) to 9; undefined for services without priorities. */
	priority?: number;
	/** `host:port` of a runner that holds more of the prompt, which the upstream may copy. */
	promptSource?: string;
	/** Event after which the upstream resumes. */
	resumeAfterEventId?: string;
};

/** Facts from the head of an upstream's answer. */
export type AnswerFacts = {
	/** The upstream guarantees that the request did not run and never will. */
	isNotRun: boolean;
	/** The request reached another upstream than the one named. */
	isWrongUpstream: boolean;
	/** Attempt to which the answer belongs; undefined when the answer does not name one. */
	attemptId?: string;
	/** The answer carries the upstream's signature. */
	isSigned: boolean;
	/** The body is not the upstream's own bytes. */
	isEncoded: boolean;
};

export type Headers = Record<string, string | string[] | undefined>;

/** Translates headers. Names are in lower case where a record is passed. */
export abstract class WireFormat {
	abstract readRequest(headers: Headers): RequestFacts;

	/**
	 * Headers for an upstream: those of the caller without the ones of one
	 * connection and without the ones that only this gateway may set.
	 *
	 * @param rawHeaders names and values in turn, as received
	 */
	abstract dispatchHeaders(rawHeaders: readonly string[], facts: DispatchFacts): string[];

	/** Headers for another daemon, which reads the caller's facts again. */
	abstract relayHeaders(
		rawHeaders: readonly string[],
		remainingMs: number,
		resumeAfterEventId?: string,
	): string[];

	abstract readAnswer(status: number, headers: Headers): AnswerFacts;

	/** Headers of an upstream's answer that the caller gets. */
	abstract answerHeaders(headers: Headers): Headers;
}
