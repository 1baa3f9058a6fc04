/** Carries requests of an experiment through a policy and the runners. */
import type * as clockModule from '@hawthornfront/base/common/clock.js';
import * as disposable from '@hawthornfront/base/common/disposable.js';
import type * as runnerModel from '@hawthornfront/standins/common/runner-model.js';
import type * as runnerTypes from '@hawthornfront/standins/common/runner-types.js';
import type * as measures from './measures.js';
import type * as policyModule from './policy.js';
import * as prompts from './prompts.js';
import type * as workload from './workload.js';

// Long enough that a refusal for lateness means a real fault of a policy.
const deadlineMs: Record<workload.WorkClass, number> = {short: 300_000, long: 1_800_000};

// One-way delays between an entry daemon and a runner (design page, section 1).
const hopInRegionMs = 0.5;
const hopBetweenRegionsMs = 50;

// A request that fails this often is given up, so that a run always ends.
const maxAttempts = 10;

type Progress = {
	request: workload.WorkRequest;
	/** Index of the next token that the caller expects. */
	nextToken: number;
	firstTokenAtMs?: number;
	lastTokenAtMs?: number;
	longestGapMs: number;
	hasEnded: boolean;
	isDuplicated: boolean;
	/** Aborted when the experiment ends first; one for each request, since listeners add up. */
	stopping: AbortController;
	excluded: Set<string>;
	preemptions: number;
	/** Delay of the way back of the latest attempt. */
	hopMs: number;
	wasRemote: boolean;
};

export type RequestRun = {
	start(
		request: workload.WorkRequest,
		policy: policyModule.Policy,
		models: ReadonlyMap<string, runnerModel.RunnerModel>,
	): void;
	inProgress(): number;
	/** Tokens that answers delivered to callers. */
	answeredTokens(): number;
	/** Share of requests that another region worked on. */
	remoteShare(): number;
	/** Counts everything still in progress as lost. */
	abandon(): void;
};

/** Creates the engine of one experiment. */
export const createRequestRun = (options: {
	clock: clockModule.Clock;
	policy: policyModule.PolicyFactory;
	recorder: measures.Recorder;
	/** Time that a request takes alone on a healthy runner. */
	aloneMs: (request: workload.WorkRequest) => number;
}): RequestRun => {
	const {clock, policy: factory, recorder, aloneMs} = options;
	const inProgress = new Set<Progress>();
	let answeredTokens = 0;
	let finished = 0;
	let finishedRemotely = 0;

	const record = (progress: Progress, outcome: measures.Outcome) => {
		if (!inProgress.delete(progress)) {
			return;
		}

		finished++;
		finishedRemotely += progress.wasRemote ? 1 : 0;
		const {request} = progress;
		// A refusal counts with its whole deadline, so that it cannot improve a percentile.
		const wasAnswered = outcome === 'answered';
		const elapsedMs = wasAnswered
			? clock.nowMs() + progress.hopMs - request.arrivesAtMs
			: deadlineMs[request.workClass];
		recorder.record({
			workClass: request.workClass,
			outcome,
			waitMs:
				progress.firstTokenAtMs === undefined
					? elapsedMs
					: progress.firstTokenAtMs - request.arrivesAtMs,
			latencyMs: elapsedMs,
			longestGapMs: progress.longestGapMs,
			stretch: elapsedMs / aloneMs(request),
		});
	};

	const noteTokens = (progress: Progress, tokenIndex: number, count: number) => {
		const nowMs = clock.nowMs();
		progress.isDuplicated ||= tokenIndex < progress.nextToken;
		progress.nextToken = tokenIndex + count;
		progress.firstTokenAtMs ??= nowMs + progress.hopMs;
		const gapMs = nowMs - (progress.lastTokenAtMs ?? nowMs);
		// Virtual time combines tokens into one chunk; the pause is spread over them.
		progress.longestGapMs = Math.max(progress.longestGapMs, gapMs / count);
		progress.lastTokenAtMs = nowMs;
	};

	const toGeneration = (progress: Progress): runnerTypes.GenerationRequest => ({
		requestId: progress.request.id,
		model: 'model',
		prompt: prompts.promptOf(progress.request),
		outputTokens: progress.request.outputTokens,
		finishReason: 'stop',
		priority: factory.priorityOf(progress.request.workClass),
		resumeFromToken: progress.nextToken,
	});

	const toItem = (progress: Progress): policyModule.PolicyItem => {
		const {request} = progress;
		return {
			workClass: request.workClass,
			team: request.team,
			model: 'model',
			estimatedTokens: Math.max(1, request.estimatedTokens - progress.nextToken),
			prefixHash: prompts.sharedPrefix(request),
			deadlineAtMs: request.arrivesAtMs + deadlineMs[request.workClass],
			canBePreempted: request.workClass === 'long',
			excluded: progress.excluded,
			preemptions: progress.preemptions,
			homeRegion: request.isBound ? request.region : undefined,
		};
	};

	/** One attempt at one upstream; true when the answer has ended. */
	const attempt = async (
		progress: Progress,
		assignment: policyModule.PolicyAssignment,
		model: runnerModel.RunnerModel,
	): Promise<void> => {
		const owned = disposable.createDisposableStore();
		const cancelling = new AbortController();
		let isPreempted = false;
		owned.add(
			assignment.onDidPreempt(() => {
				isPreempted = true;
				cancelling.abort(new Error('pre-empted'));
			}),
		);
		const {signal} = progress.stopping;
		const onStop = () => {
			cancelling.abort(signal.reason);
		};

		signal.addEventListener('abort', onStop);
		owned.add({
			dispose() {
				signal.removeEventListener('abort', onStop);
			},
		});
		let hasFirstToken = false;
		const isRemote = assignment.upstream.region !== progress.request.region;
		progress.wasRemote ||= isRemote;
		progress.hopMs = isRemote ? hopBetweenRegionsMs : hopInRegionMs;
		try {
			await clock.sleep(progress.hopMs, cancelling.signal);
			const chunks = model.generate(toGeneration(progress), cancelling.signal);
			for await (const chunk of chunks) {
				if (chunk.kind === 'end') {
					progress.hasEnded = true;
					continue;
				}

				if (!hasFirstToken) {
					hasFirstToken = true;
					assignment.noteFirstToken();
				}

				noteTokens(progress, chunk.tokenIndex, chunk.count);
				assignment.noteTokens(chunk.count);
			}

			assignment.release('answered');
		} catch {
			if (isPreempted) {
				progress.preemptions++;
			} else {
				progress.excluded.add(assignment.upstream.name);
			}

			assignment.release(isPreempted ? 'cancelled' : 'failed');
		} finally {
			owned.dispose();
		}
	};

	const carry = async (
		progress: Progress,
		policy: policyModule.Policy,
		models: ReadonlyMap<string, runnerModel.RunnerModel>,
	): Promise<measures.Outcome> => {
		for (let count = 0; count < maxAttempts && !progress.hasEnded; count++) {
			let assignment;
			try {
				assignment = await policy.acquire(toItem(progress), progress.stopping.signal);
			} catch {
				return progress.nextToken === 0 ? 'not-run' : 'truncated';
			}

			await attempt(progress, assignment, models.get(assignment.upstream.name)!);
		}

		if (progress.isDuplicated) {
			return 'duplicated';
		}

		const isWhole = progress.hasEnded && progress.nextToken === progress.request.outputTokens;
		return isWhole ? 'answered' : 'truncated';
	};

	return {
		start(request, policy, models) {
			const progress: Progress = {
				request,
				nextToken: 0,
				longestGapMs: 0,
				hasEnded: false,
				isDuplicated: false,
				stopping: new AbortController(),
				excluded: new Set(),
				preemptions: 0,
				hopMs: hopInRegionMs,
				wasRemote: false,
			};
			inProgress.add(progress);
			const finish = async () => {
				const outcome = await carry(progress, policy, models);
				if (outcome === 'answered') {
					answeredTokens += progress.nextToken;
				}

				record(progress, outcome);
			};

			void finish();
		},
		inProgress: () => inProgress.size,
		answeredTokens: () => answeredTokens,
		remoteShare: () => (finished === 0 ? 0 : finishedRemotely / finished),
		abandon() {
			for (const progress of inProgress) {
				record(progress, 'lost');
				progress.stopping.abort(new Error('the experiment has ended'));
			}
		},
	};
};
