/** What the caller of one request of an experiment has received so far. */
import type * as measures from './measures.js';
import type * as workload from './workload.js';

// Long enough that a refusal for lateness means a real fault of a policy.
export const deadlineMs: Record<workload.WorkClass, number> = {short: 300_000, long: 1_800_000};

export type Progress = {
	readonly request: workload.WorkRequest;
	/** Index of the next token that the caller expects. */
	nextToken: number;
	firstTokenAtMs?: number;
	lastTokenAtMs?: number;
	longestGapMs: number;
	hasEnded: boolean;
	isDuplicated: boolean;
	/** Aborted when the experiment ends first; one for each request, since listeners add up. */
	readonly stopping: AbortController;
	/** Upstreams that failed this request. */
	readonly excluded: Set<string>;
	preemptions: number;
	wasRemote: boolean;
};

/** Progress of a request that has just arrived. */
export const createProgress = (request: workload.WorkRequest): Progress => ({
	request,
	nextToken: 0,
	longestGapMs: 0,
	hasEnded: false,
	isDuplicated: false,
	stopping: new AbortController(),
	excluded: new Set(),
	preemptions: 0,
	wasRemote: false,
});

/** Notes tokens that reach the caller at `atMs`. */
export const noteTokens = (
	progress: Progress,
	atMs: number,
	tokenIndex: number,
	count: number,
): void => {
	progress.isDuplicated ||= tokenIndex < progress.nextToken;
	// A gap leaves the expected token behind, so that the answer never counts as whole.
	if (tokenIndex === progress.nextToken) {
		progress.nextToken += count;
	}

	progress.firstTokenAtMs ??= atMs;
	const pauseMs = atMs - (progress.lastTokenAtMs ?? atMs);
	// Virtual time combines tokens into one chunk; the pause is spread over them.
	progress.longestGapMs = Math.max(progress.longestGapMs, pauseMs / count);
	progress.lastTokenAtMs = atMs;
};

/** Verdict on a request that gets no further attempt. */
export const outcomeOf = (progress: Progress): measures.Outcome => {
	if (progress.isDuplicated) {
		return 'duplicated';
	}

	const isWhole = progress.hasEnded && progress.nextToken === progress.request.outputTokens;
	return isWhole ? 'answered' : 'truncated';
};

/** Sample of a request that ended; `endedAtMs` counts only when it was answered. */
export const sampleOf = (
	progress: Progress,
	outcome: measures.Outcome,
	endedAtMs: number,
	aloneMs: number,
): measures.Sample => {
	const {request} = progress;
	// A refusal counts with its whole deadline, so that it cannot improve a percentile.
	const latencyMs =
		outcome === 'answered' ? endedAtMs - request.arrivesAtMs : deadlineMs[request.workClass];
	return {
		workClass: request.workClass,
		outcome,
		waitMs:
			progress.firstTokenAtMs === undefined
				? latencyMs
				: progress.firstTokenAtMs - request.arrivesAtMs,
		latencyMs,
		longestGapMs: progress.longestGapMs,
		stretch: latencyMs / aloneMs,
	};
};
