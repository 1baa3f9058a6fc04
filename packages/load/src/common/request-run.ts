/**
 * Carries requests of an experiment through a policy and the runners: attempts,
 * hedges, resuming after pre-emption or failure.
 */
import type * as clockModule from '@hawthornfront/base/common/clock.js';
import type * as runnerModel from '@hawthornfront/standins/common/runner-model.js';
import type * as runnerTypes from '@hawthornfront/standins/common/runner-types.js';
import * as answerProgress from './answer-progress.js';
import type * as measures from './measures.js';
import type * as policyModule from './policy.js';
import * as prompts from './prompts.js';
import * as runnerAttempt from './runner-attempt.js';
import type * as workload from './workload.js';

// A request that fails this often is given up, so that a run always ends.
const maxAttempts = 10;

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

type Carried = {
	progress: answerProgress.Progress;
	policy: policyModule.Policy;
	models: ReadonlyMap<string, runnerModel.RunnerModel>;
	endedAtMs: number;
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
	const inProgress = new Set<answerProgress.Progress>();
	let answeredTokens = 0;
	let finished = 0;
	let finishedRemotely = 0;

	const record = (
		progress: answerProgress.Progress,
		outcome: measures.Outcome,
		endedAtMs: number,
	) => {
		if (!inProgress.delete(progress)) {
			return;
		}

		finished++;
		finishedRemotely += progress.wasRemote ? 1 : 0;
		answeredTokens += outcome === 'answered' ? progress.nextToken : 0;
		const alone = aloneMs(progress.request);
		recorder.record(answerProgress.sampleOf(progress, outcome, endedAtMs, alone));
	};

	const toGeneration = ({
		request,
		nextToken,
	}: answerProgress.Progress): runnerTypes.GenerationRequest => ({
		requestId: request.id,
		model: prompts.modelName,
		prompt: prompts.promptOf(request),
		outputTokens: request.outputTokens,
		finishReason: 'stop',
		priority: factory.priorityOf(request.workClass),
		resumeFromToken: nextToken,
	});

	const toItem = (progress: answerProgress.Progress): policyModule.PolicyItem => {
		const {request} = progress;
		return {
			workClass: request.workClass,
			team: request.team,
			model: prompts.modelName,
			estimatedTokens: Math.max(1, request.estimatedTokens - progress.nextToken),
			promptTokens: request.sharedPromptTokens + request.ownPromptTokens,
			prefixHash: prompts.sharedPrefix(request),
			deadlineAtMs: request.arrivesAtMs + answerProgress.deadlineMs[request.workClass],
			canBePreempted: request.workClass === 'long',
			canBeMigrated: true,
			excluded: progress.excluded,
			preemptions: progress.preemptions,
			homeRegion: request.isBound ? request.region : undefined,
			isFirst: progress.nextToken === 0 && progress.excluded.size === 0,
		};
	};

	/** Runs one attempt and, when its first token is late, a second one beside it. */
	const race = async (
		carried: Carried,
		assignment: policyModule.PolicyAssignment,
	): Promise<void> => {
		const {progress, policy, models} = carried;
		const {request} = progress;
		const attempts: runnerAttempt.Attempt[] = [];
		let winner: runnerAttempt.Attempt | undefined;

		const noteLatency = ({dispatchedAtMs}: runnerAttempt.Attempt) => {
			policy.noteFirstTokenLatency(request.workClass, clock.nowMs() - dispatchedAtMs);
		};

		const begin = (place: policyModule.PolicyAssignment) => {
			const attempt = runnerAttempt.startAttempt({
				clock,
				assignment: place,
				model: models.get(place.upstream.name)!,
				generation: toGeneration(progress),
				region: request.region,
				signal: progress.stopping.signal,
				onFirstToken(first) {
					winner ??= first;
					if (winner !== first) {
						return false;
					}

					noteLatency(first);
					for (const other of attempts) {
						if (other !== first) {
							other.loseRace();
						}
					}

					return true;
				},
				onTokens({tokenIndex, count}, atMs) {
					answerProgress.noteTokens(progress, atMs, tokenIndex, count);
				},
				onEnd(atMs) {
					progress.hasEnded = true;
					carried.endedAtMs = atMs;
				},
			});
			progress.wasRemote ||= attempt.isRemote;
			attempts.push(attempt);
			return attempt;
		};

		const first = begin(assignment);
		const delayMs = policy.hedgeDelayMs(toItem(progress));
		const timer =
			delayMs === undefined
				? undefined
				: clock.setTimer(() => {
						const excluded = new Set([...progress.excluded, first.upstream]);
						const place = winner ? undefined : policy.acquireHedge({...toItem(progress), excluded});
						if (place) {
							begin(place);
						}
					}, delayMs);
		// The list grows when a hedge starts.
		for (const attempt of attempts) {
			const end = await attempt.ended;
			timer?.dispose();
			progress.preemptions += end === 'pre-empted' ? 1 : 0;
			if (end === 'failed') {
				progress.excluded.add(attempt.upstream);
			}

			if (end === 'lost-race') {
				noteLatency(attempt);
			}
		}
	};

	const carry = async (carried: Carried): Promise<measures.Outcome> => {
		const {progress, policy} = carried;
		for (let count = 0; count < maxAttempts && !progress.hasEnded; count++) {
			let assignment;
			try {
				assignment = await policy.acquire(toItem(progress), progress.stopping.signal);
			} catch {
				return progress.nextToken === 0 ? 'not-run' : 'truncated';
			}

			await race(carried, assignment);
		}

		return answerProgress.outcomeOf(progress);
	};

	return {
		start(request, policy, models) {
			const progress = answerProgress.createProgress(request);
			const carried = {progress, policy, models, endedAtMs: 0};
			inProgress.add(progress);
			const finish = async () => {
				const outcome = await carry(carried);
				record(progress, outcome, carried.endedAtMs);
			};

			void finish();
		},
		inProgress: () => inProgress.size,
		answeredTokens: () => answeredTokens,
		remoteShare: () => (finished === 0 ? 0 : finishedRemotely / finished),
		abandon() {
			for (const progress of inProgress) {
				record(progress, 'lost', clock.nowMs());
				progress.stopping.abort(new Error('the experiment has ended'));
			}
		},
	};
};
