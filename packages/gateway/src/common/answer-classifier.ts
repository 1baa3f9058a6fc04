/** Classifies an answer by its head: pass it to the caller, or fail the attempt with an outcome. */
import * as relayHeaders from './relay-headers.js';
import type * as wireFormat from './wire-format.js';

export type Outcome = 'not-run' | 'unknown' | 'ran';

export type AnswerClassification =
	| {kind: 'pass'}
	| {
			kind: 'fail';
			outcome: Outcome;
			detail: string;
			/** The upstream broke the protocol. */
			isHard: boolean;
			/** Another upstream now uses the address. */
			isReplaced?: boolean;
			/** Upstreams that another daemon used; undefined when it did not report them. */
			upstreamsUsed?: number;
	  };

/** Statuses that guarantee to a caller that its request has not run and never will. */
const notRunStatuses: ReadonlySet<number> = new Set([408, 421, 429, 503]);

/** Statuses of final answers in HTTP; a head with another one is not an answer. */
const minStatus = 200;
const maxStatus = 599;

const fail = (
	outcome: Outcome,
	detail: string,
	options: {isHard?: boolean; isReplaced?: boolean; upstreamsUsed?: number} = {},
): AnswerClassification => ({kind: 'fail', outcome, detail, isHard: false, ...options});

const classifyRelayFailure = (
	outcome: Outcome,
	headers: wireFormat.Headers,
): AnswerClassification => {
	const used = Number(headers[relayHeaders.upstreamsUsedHeader]);
	return fail(outcome, String(headers[relayHeaders.reasonHeader] ?? 'relay-failed'), {
		upstreamsUsed: Number.isInteger(used) ? used : undefined,
	});
};

/**
 * @param attemptId attempt id of the request
 * @param canRetry whether a failed run may be retried at another upstream
 */
export const classifyAnswer = (
	status: number,
	headers: wireFormat.Headers,
	answer: wireFormat.AnswerFacts,
	attemptId: string | undefined,
	canRetry: boolean,
): AnswerClassification => {
	if (answer.attemptId !== undefined && answer.attemptId !== attemptId) {
		return fail('unknown', 'answer-of-another-request', {isHard: true});
	}

	if (status < minStatus || status > maxStatus) {
		return fail('unknown', 'invalid-status', {isHard: true});
	}

	const relayed = relayHeaders.outcomeSchema.safeParse(headers[relayHeaders.outcomeHeader]);
	if (relayed.success) {
		return classifyRelayFailure(relayed.data, headers);
	}

	// A refusal without the id of the request may be an earlier one that was written again.
	const isProof = answer.attemptId === attemptId;
	if (!isProof && (answer.isWrongUpstream || answer.isNotRun)) {
		return fail('unknown', `unproven-${status}`, {isHard: true});
	}

	if (answer.isWrongUpstream) {
		return fail('not-run', 'wrong-upstream', {isReplaced: true});
	}

	if (answer.isNotRun) {
		return fail('not-run', `refused-${status}`);
	}

	if (answer.isEncoded || (status < 300 && !answer.isSigned)) {
		return fail('ran', 'not-an-answer', {isHard: true});
	}

	if (notRunStatuses.has(status)) {
		return fail('unknown', `unproven-${status}`);
	}

	return status >= 500 && canRetry ? fail('ran', `status-${status}`) : {kind: 'pass'};
};
