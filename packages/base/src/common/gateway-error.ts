/**
 * Errors of the gateway as a discriminated union. Each error states the step and
 * the peer at which it occurred and whether the request was executed.
 */
import * as zod from 'zod';

/**
 * Execution of a request that failed: `not-run` when it was certainly not
 * executed, `ran` when it was executed, `unknown` otherwise.
 */
export const outcomeSchema = zod.enum(['not-run', 'unknown', 'ran']);
export type Outcome = zod.infer<typeof outcomeSchema>;

/** Steps of a request, in order. The fault matrix injects faults by these names. */
export const requestSteps = [
	'before-admission',
	'queued',
	'before-dispatch',
	'sent-in-part',
	'sent-in-full',
	'first-token',
	'mid-stream',
	'last-token',
	'after-answer',
] as const;
export type RequestStep = (typeof requestSteps)[number];

type ErrorBase = {
	/** Step at which the error occurred. */
	step: RequestStep;
	/** Address or name of the peer at which the error occurred; empty for this process. */
	peer: string;
	outcome: Outcome;
	/** One sentence for display; never contains content of the request. */
	detail: string;
	/** Idempotency key for a new attempt; set when the key of this attempt will never be executed. */
	freshKey?: string;
};

export type GatewayError = ErrorBase &
	(
		| {kind: 'bad-request'}
		| {kind: 'unauthorized'}
		| {kind: 'not-found'}
		| {kind: 'body-too-large'; limitBytes: number}
		| {kind: 'wrong-region'; region: string; entries: string[]}
		| {kind: 'loop-detected'}
		| {kind: 'over-limit'; retryAfterMs: number}
		| {kind: 'overloaded'; retryAfterMs: number}
		| {kind: 'stopping'; entries: string[]}
		| {kind: 'not-ready'; retryAfterMs: number}
		| {kind: 'deadline-exceeded'}
		| {kind: 'no-upstream'; retryAfterMs: number}
		| {kind: 'upstream-failed'; status?: number}
		| {kind: 'caller-gone'}
		| {kind: 'key-required'}
		| {kind: 'key-unknown'}
		| {kind: 'key-reused'}
		| {kind: 'key-expired'}
		| {kind: 'key-unavailable'}
		| {kind: 'internal'}
	);

export type GatewayErrorKind = GatewayError['kind'];

/** Carries a {@link GatewayError} through promise rejections. */
export class GatewayException extends Error {
	readonly error: GatewayError;

	constructor(error: GatewayError) {
		super(`${error.kind} at step ${error.step}, peer "${error.peer}": ${error.detail}`);
		this.name = 'GatewayException';
		this.error = error;
	}
}

const statusByKind: Record<GatewayErrorKind, number> = {
	'bad-request': 400,
	unauthorized: 401,
	'not-found': 404,
	'body-too-large': 413,
	'wrong-region': 421,
	'loop-detected': 508,
	'over-limit': 429,
	overloaded: 503,
	stopping: 503,
	'not-ready': 503,
	'deadline-exceeded': 504,
	'no-upstream': 503,
	'upstream-failed': 502,
	'caller-gone': 499,
	'key-required': 428,
	'key-unknown': 400,
	'key-reused': 422,
	'key-expired': 409,
	'key-unavailable': 409,
	internal: 500,
};

/** HTTP status that the gateway returns to the caller for an error. */
export const statusOf = (error: GatewayError): number => statusByKind[error.kind];

/** RFC 9457 problem details with the gateway's extension members. */
export const problemSchema = zod.object({
	type: zod.string(),
	title: zod.string(),
	status: zod.number(),
	detail: zod.string(),
	outcome: outcomeSchema,
	step: zod.enum(requestSteps),
	peer: zod.string(),
	entries: zod.array(zod.string()).optional(),
	freshKey: zod.string().optional(),
	retryAfterMs: zod.number().optional(),
});
export type Problem = zod.infer<typeof problemSchema>;

/** Converts an error to RFC 9457 problem details. */
export const toProblem = (error: GatewayError): Problem => ({
	type: `urn:hawthornfront:problem:${error.kind}`,
	title: error.kind.replaceAll('-', ' '),
	status: statusOf(error),
	detail: error.detail,
	outcome: error.outcome,
	step: error.step,
	peer: error.peer,
	...('entries' in error ? {entries: error.entries} : {}),
	...(error.freshKey ? {freshKey: error.freshKey} : {}),
	...('retryAfterMs' in error ? {retryAfterMs: error.retryAfterMs} : {}),
});

/** `Retry-After` in whole seconds, rounded up; undefined when the error has no retry delay. */
export const retryAfterSeconds = (error: GatewayError): number | undefined =>
	'retryAfterMs' in error ? Math.max(1, Math.ceil(error.retryAfterMs / 1000)) : undefined;
