/** What the head of an answer means: whether it goes to the caller, and what it proves otherwise. */
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
			/** Another upstream has the address. */
			isReplaced?: boolean;
			/** Upstreams that another daemon used; undefined when it did not say. */
			upstreamsUsed?: number;
	  };

/** Statuses that promise a caller that its request has not run and never will. */
const promisingStatuses: ReadonlySet<number> = new Set([408, 421, 429, 503]);

const fail = (
	outcome: Outcome,
	detail: string,
	options: {isHard?: boolean; isReplaced?: boolean; upstreamsUsed?: number} = {},
): AnswerClassification => ({kind: 'fail', outcome, detail, isHard: false, ...options});

const judgeRelayFailure = (outcome: Outcome, headers: wireFormat.Headers): AnswerClassification => {
	const used = Number(headers[relayHeaders.upstreamsUsedHeader]);
	return fail(outcome, String(headers[relayHeaders.reasonHeader] ?? 'relay-failed'), {
		upstreamsUsed: Number.isInteger(used) ? used : undefined,
	});
};

/**
 * @param attemptId the request's own
 * @param mayAskAgain whether a failed run can be repeated elsewhere
 */
export const classifyAnswer = (
	status: number,
	headers: wireFormat.Headers,
	answer: wireFormat.AnswerFacts,
	attemptId: string | undefined,
	mayAskAgain: boolean,
): AnswerClassification => {
	if (answer.attemptId !== undefined && answer.attemptId !== attemptId) {
		return fail('unknown', 'answer-of-another-request', {isHard: true});
	}

	const relayed = relayHeaders.outcomeSchema.safeParse(headers[relayHeaders.outcomeHeader]);
	if (relayed.success) {
		return judgeRelayFailure(relayed.data, headers);
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

	if (promisingStatuses.has(status)) {
		return fail('unknown', `unproven-${status}`);
	}

	return status >= 500 && mayAskAgain ? fail('ran', `status-${status}`) : {kind: 'pass'};
};
