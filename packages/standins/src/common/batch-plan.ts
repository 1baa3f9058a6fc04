/** Planning of one step of a continuous batch, without time or state of its own. */

/** A sequence that holds a slot. */
export type BatchMember = {
	/** Prompt tokens still to compute before the first token. */
	prefillLeft: number;
	/** Tokens still to generate. */
	decodeLeft: number;
	/** Tokens that the reader's buffer has room for. */
	room: number;
};

export type BatchTimes = {
	prefillMsPerToken: number;
	decodeMsPerToken: number;
	/** Relative growth of the decode time with every further sequence. */
	batchGrowth: number;
	/** Prompt tokens computed in one step beside decoding. */
	prefillTokensPerStep: number;
	/** Iterations that one step may combine when the batch does not change. */
	maxIterationsPerStep: number;
};

export type BatchPlan<Member> = {
	prefill: Array<{member: Member; tokens: number}>;
	decode: Member[];
	/** Tokens that each decoding sequence generates in this step. */
	iterations: number;
	/** Duration of one iteration, without any slowdown. */
	iterationMs: number;
};

/**
 * Plans the next step. Prefill is chunked: it shares steps with decoding and so
 * slows it, as in engines that batch continuously. Steps without prefill may
 * combine iterations up to the next completion.
 * @returns undefined when no sequence can make progress
 */
export const planStep = <Member extends BatchMember>(
	members: readonly Member[],
	times: BatchTimes,
): BatchPlan<Member> | undefined => {
	const decode = members.filter((member) => member.prefillLeft === 0 && member.room > 0);
	const prefill: BatchPlan<Member>['prefill'] = [];
	let budget = times.prefillTokensPerStep;
	for (const member of members) {
		const tokens = Math.min(budget, member.prefillLeft);
		if (tokens > 0) {
			prefill.push({member, tokens});
			budget -= tokens;
		}
	}

	if (decode.length === 0 && prefill.length === 0) {
		return undefined;
	}

	let iterations = prefill.length > 0 ? 1 : times.maxIterationsPerStep;
	for (const member of decode) {
		iterations = Math.min(iterations, member.decodeLeft, member.room);
	}

	const decodeMs =
		decode.length === 0
			? 0
			: times.decodeMsPerToken * (1 + times.batchGrowth * (decode.length - 1));
	const prefillTokens = times.prefillTokensPerStep - budget;
	return {
		prefill,
		decode,
		iterations,
		iterationMs: decodeMs + prefillTokens * times.prefillMsPerToken,
	};
};
