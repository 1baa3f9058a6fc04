/**
 * HTTP headers between callers, this gateway and upstreams. A deployment supplies their
 * names; the gateway uses only their decoded contents.
 */

import type * as upstreamPauses from './upstream-pauses.js';

export type PromptPart = {id: string; tokens: number};

/** Facts about a request from its caller's headers. */
export type RequestFacts = {
	/** Identifies one attempt of the caller; undefined when it sent none. */
	attemptId?: string;
	/** Timeout of the caller, counted from the arrival; undefined when it sent none. */
	callerTimeoutMs?: number;
	model?: string;
	promptTokens: number;
	maxOutputTokens: number;
	/** Caller's estimate of the output; often inaccurate. */
	expectedOutputTokens?: number;
	/** In order; the last part is specific to the request or its session. */
	promptParts: PromptPart[];
	/** Parts in the middle are not listed one by one; {@link WireFormat.readSharedPartIds} names them. */
	hasUnlistedParts?: boolean;
	/** Last event of a broken stream that the caller has received. */
	lastEventId?: string;
};

/** Key that a caller presented, with the other headers of its request. */
export type KeyReading = {
	/** SHA-256 digest of the key, or why there is none. */
	key: {kind: 'digest'; digest: string} | {kind: 'unusable'; reason: KeyFault};
	/** Raw headers without any key. */
	otherHeaders: readonly string[];
};

export type KeyFault = 'no-key' | 'malformed-key' | 'repeated-key';

/** What this gateway adds when it sends a request to an upstream. */
export type DispatchFacts = {
	remainingMs: number;
	/** Upstream that is to run the request; any other refuses it. */
	upstreamId: string;
	/** 0 (first) to 9; undefined for services without priorities. */
	priority?: number;
	/** Name of the team whose key the request had. */
	team?: string;
	/** `host:port` of a runner from which the upstream may copy cached parts of the prompt. */
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
	/** The answer has the upstream's signature. */
	isSigned: boolean;
	/** The body has a content encoding, so its bytes are not the upstream's own. */
	isEncoded: boolean;
	/** When the upstream wants work of this gateway again; undefined if it does not say. */
	pause?: upstreamPauses.NamedPause;
	/** The upstream leaves and will take no more work. */
	isLeaving: boolean;
	/** Rate limit that the upstream names, in requests a second of all daemons together. */
	requestsPerS?: number;
};

/** What an upstream says of itself when it is asked for its health. */
export type HealthFacts = {
	/** Time for which it stays cold; 0 if it is warm. */
	coldMs: number | 'unusable';
	/** Upstream that answered; undefined if it does not say. */
	upstreamId?: string;
};

export type Headers = Record<string, string | string[] | undefined>;

/** Translates headers. The names in a `Headers` record are in lower case. */
export abstract class WireFormat {
	abstract readRequest(headers: Headers): RequestFacts;

	/**
	 * Ids of all parts of the prompt that other requests may share, in order.
	 *
	 * @param rawHeaders alternating names and values, as received
	 */
	abstract readSharedPartIds(rawHeaders: readonly string[]): string[];

	/** Reads and removes the key. A key exists outside of this method only as its digest. */
	abstract takeKey(rawHeaders: readonly string[]): KeyReading;

	/**
	 * Headers for an upstream: those of the caller without hop-by-hop headers
	 * and without headers that only this gateway may set.
	 *
	 * @param rawHeaders alternating names and values, as received
	 */
	abstract dispatchHeaders(rawHeaders: readonly string[], facts: DispatchFacts): string[];

	/** Headers for another daemon, which decodes the caller's headers again. */
	abstract relayHeaders(
		rawHeaders: readonly string[],
		remainingMs: number,
		resumeAfterEventId?: string,
	): string[];

	/** Path at which an upstream answers for its health. */
	abstract readonly healthPath: string;

	abstract readHealth(status: number, headers: Headers): HealthFacts;

	abstract readAnswer(status: number, headers: Headers): AnswerFacts;

	/** Headers of an upstream's answer that are passed to the caller. */
	abstract answerHeaders(headers: Headers): Headers;
}
