/**
 * Produces the answer of a model as an ordered sequence of tokens. A broken or
 * preempted stream resumes at the next token on an upstream that can resume
 * streams; otherwise the answer ends with an error, never silently. A stalled
 * stream stays open until a successor at another upstream has sent its first part.
 */
import * as disposable from '@hawthornfront/base/common/disposable.js';
import * as gatewayError from '@hawthornfront/base/common/gateway-error.js';
import * as attempt from './attempt.js';
import * as deadline from './deadline.js';
import type * as runnerClient from './runner-client.js';
import * as settleWithin from './settle-within.js';
import * as successorSearch from './successor-search.js';
import * as tokenSequencer from './token-sequencer.js';

export type AnswerPart = runnerClient.TokenPart | runnerClient.FinishPart;

/** Parameters and callbacks of one answer. */
export type AnswerRequest = {
	requestId: string;
	body: Record<string, unknown>;
	priority: number;
	/** Index of the first token to produce; above 0 when a daemon of another region resumes a broken stream. */
	firstToken: number;
	isIdempotent: boolean;
	deadlineAtMs: number;
	signal: AbortSignal;
	/** Waits for a slot. Names in `excluded` have failed this request or cannot resume it. */
	acquire(
		excluded: ReadonlySet<string>,
		nextToken: number,
		signal: AbortSignal,
	): Promise<attempt.AttemptSource>;
	/** Returns a slot for a hedged attempt without waiting; undefined when there is none. */
	acquireHedge(excluded: ReadonlySet<string>): attempt.AttemptSource | undefined;
	/** Delay before a hedged attempt; undefined for no hedge. */
	hedgeDelayMs(): number | undefined;
	/** Takes one retry from the budget; false when the budget is used up. */
	tryRetry(): boolean;
	/** Names of upstreams that cannot resume a stream at a given token. */
	cannotResume(): readonly string[];
	/** Records for the counters that a hedge was sent and which attempt won. */
	noteHedge(winner: 'first' | 'second'): void;
	noteResume(): void;
};

const maxAttempts = 4;
const minimumAttemptMs = 100;
/** Keeps the timeout of the HTTP client after the deadline, so that the deadline signal fires first. */
const clientGraceMs = 1000;

type AnswerRun = {
	services: attempt.AttemptServices;
	request: AnswerRequest;
	/** Aborts when the caller disconnects or at the deadline. */
	signal: AbortSignal;
	excluded: Set<string>;
	mayHaveRun: boolean;
	nextToken: number;
};

/** Starts a successor in parallel when all attempts of one round are stalled. */
type Failover = {
	watch(current: attempt.Attempt): void;
	/** Stops the search and returns the running successor, if any. */
	finish(): StartedAttempt | undefined;
};

type StartedAttempt = {
	attempt: attempt.Attempt;
	first: Promise<runnerClient.StreamPart | undefined>;
};

/**
 * Stall limits of an attempt. For idempotent requests they are at most half of the
 * remaining time, so that another upstream has time to answer when the first one hangs.
 */
const stallLimitsOf = (run: AnswerRun): attempt.AttemptSettings => {
	const {settings, clock} = run.services;
	const halfRemainingMs = Math.max(
		minimumAttemptMs,
		(run.request.deadlineAtMs - clock.nowMs()) / 2,
	);
	return run.request.isIdempotent
		? {
				firstTokenTimeoutMs: Math.min(settings.firstTokenTimeoutMs, halfRemainingMs),
				stallTimeoutMs: Math.min(settings.stallTimeoutMs, halfRemainingMs),
			}
		: settings;
};

const start = (
	run: AnswerRun,
	source: attempt.AttemptSource,
	failover: Failover,
): StartedAttempt => {
	const started = attempt.startAttempt(
		run.services,
		source,
		stallLimitsOf(run),
		{
			body: run.request.body,
			requestId: run.request.requestId,
			priority: run.request.priority,
			resumeFromToken: run.nextToken,
			timeoutMs: Math.max(0, run.request.deadlineAtMs - run.services.clock.nowMs()) + clientGraceMs,
		},
		run.signal,
	);
	failover.watch(started);
	const first = started.next();
	first.catch(() => undefined);
	return {attempt: started, first};
};

/** Rejects for a stream that fails or ends without a token, so that it does not win against an attempt that may still answer. */
const waitForFirstPart = async (started: StartedAttempt): Promise<StartedAttempt> => {
	const part = await started.first;
	if (!part || part.kind === 'done') {
		throw new Error(`${started.attempt.source.name} ended its stream without a token`);
	}

	return started;
};

const race = async (
	run: AnswerRun,
	first: StartedAttempt,
	second: StartedAttempt,
): Promise<StartedAttempt> => {
	const winner = await Promise.any([waitForFirstPart(first), waitForFirstPart(second)]).catch(
		() => first,
	);
	const loser = winner === first ? second : first;
	run.mayHaveRun ||= loser.attempt.mayHaveRun;
	loser.attempt.end('cancelled');
	run.request.noteHedge(winner === first ? 'first' : 'second');
	return winner;
};

const startWithHedge = async (
	run: AnswerRun,
	source: attempt.AttemptSource,
	failover: Failover,
): Promise<StartedAttempt> => {
	const first = start(run, source, failover);
	const delayMs = run.request.isIdempotent ? run.request.hedgeDelayMs() : undefined;
	if (
		delayMs === undefined ||
		(await settleWithin.settlesWithin(run.services.clock, first.first, delayMs))
	) {
		return first;
	}

	const other = run.request.acquireHedge(new Set([...run.excluded, source.name]));
	return other ? race(run, first, start(run, other, failover)) : first;
};

/** Yields the parts of one attempt in order. @throws when the attempt ends before the answer is complete. */
async function* readAttempt(run: AnswerRun, started: StartedAttempt): AsyncGenerator<AnswerPart> {
	const sequencer = tokenSequencer.createTokenSequencer<runnerClient.TokenPart>(run.nextToken);
	let finish: runnerClient.FinishPart | undefined;
	let part = await started.first;
	while (part && part.kind !== 'done') {
		if (part.kind === 'finish') {
			finish = part;
		} else {
			for (const ready of sequencer.push(part)) {
				run.nextToken = ready.index + 1;
				yield ready;
			}
		}

		part = await started.attempt.next();
	}

	if (!part || !finish || sequencer.nextIndex < finish.partCount) {
		throw new Error(`the stream ended after token ${sequencer.nextIndex} without being whole`);
	}

	yield finish;
}

const stepOf = (run: AnswerRun): gatewayError.RequestStep => {
	if (run.nextToken > run.request.firstToken) {
		return 'mid-stream';
	}

	return run.mayHaveRun ? 'sent-in-full' : 'before-dispatch';
};

const failure = (run: AnswerRun, peer: string, detail: string): gatewayError.GatewayException =>
	new gatewayError.GatewayException({
		kind: 'upstream-failed',
		step: stepOf(run),
		peer,
		outcome: run.mayHaveRun ? 'unknown' : 'not-run',
		detail,
	});

/**
 * Waits for a slot. A failure has the outcome `not-run` only if no earlier attempt
 * can have reached an upstream.
 */
const acquire = async (run: AnswerRun): Promise<attempt.AttemptSource> => {
	try {
		return await run.request.acquire(run.excluded, run.nextToken, run.request.signal);
	} catch (error) {
		if (error instanceof gatewayError.GatewayException && run.mayHaveRun) {
			const outcome = error.error.outcome === 'not-run' ? 'unknown' : error.error.outcome;
			throw new gatewayError.GatewayException({...error.error, outcome, step: stepOf(run)});
		}

		throw error;
	}
};

/** Names that cannot continue the answer after the upstreams in `failed` have failed. */
const exclusionsAfter = (run: AnswerRun, failed: readonly string[]): Set<string> =>
	new Set([...run.excluded, ...failed, ...(run.nextToken > 0 ? run.request.cannotResume() : [])]);

/** @param successors maximum number of further attempts */
const createFailover = (run: AnswerRun, successors: number): Failover => {
	const {request} = run;
	const resources = disposable.createDisposableStore();
	const watched: attempt.Attempt[] = [];
	let started = 0;
	let successor: StartedAttempt | undefined;
	let hasTakenOver = false;
	const names = () => watched.map(({source}) => source.name);
	const running = () => watched.filter(({hasEnded}) => !hasEnded);
	const areStalled = () => running().every(({isStalled}) => isStalled);
	const canRepeat = () =>
		request.isIdempotent || !(run.mayHaveRun || watched.some(({mayHaveRun}) => mayHaveRun));

	/** Ends the stalled attempts once the successor has sent its first part, so that the reader switches to the successor. */
	const switchWhenReady = async (candidate: StartedAttempt) => {
		try {
			await waitForFirstPart(candidate);
		} catch {
			run.mayHaveRun ||= candidate.attempt.mayHaveRun;
			candidate.attempt.end('failed');
			successor = successor === candidate ? undefined : successor;
			return;
		}

		if (successor !== candidate) {
			return;
		}

		hasTakenOver = true;
		const stalledAttempts = running().filter((current) => current !== candidate.attempt);
		run.excluded = exclusionsAfter(
			run,
			stalledAttempts.map(({source}) => source.name),
		);
		for (const current of stalledAttempts) {
			const detail = `${current.source.name} is silent, and another upstream goes on`;
			current.end('failed', new attempt.AttemptInterrupted('stalled', detail));
		}
	};

	const search = successorSearch.createSuccessorSearch<attempt.AttemptSource>({
		acquire: async (signal) =>
			request.acquire(exclusionsAfter(run, names()), run.nextToken, signal),
		// A hedge may have started during the wait for the slot.
		canStartSuccessor: () => areStalled() && canRepeat() && request.tryRetry(),
		release(source) {
			source.release('cancelled');
		},
		onDidFind() {
			started++;
			successor = start(run, search.take()!, failover);
			void switchWhenReady(successor);
		},
	});

	const failover: Failover = {
		watch(current) {
			watched.push(current);
			resources.add(
				current.onDidStall(() => {
					if (!successor && areStalled() && started < successors && canRepeat()) {
						search.start();
					}
				}),
			);
			resources.add(
				current.onDidRecover(() => {
					search.stop();
					if (successor && !hasTakenOver && successor.attempt !== current) {
						run.mayHaveRun ||= successor.attempt.mayHaveRun;
						successor.attempt.end('cancelled');
						successor = undefined;
					}
				}),
			);
		},
		finish() {
			resources.dispose();
			search.stop();
			search.take()?.release('cancelled');
			const found = successor;
			successor = undefined;
			return found && !found.attempt.hasEnded ? found : undefined;
		},
	};
	return failover;
};

/** Prepares the next attempt after a failed one. @throws when no further attempt is allowed. */
const prepareRetry = (
	run: AnswerRun,
	failed: attempt.Attempt,
	error: unknown,
	attempts: number,
): void => {
	const wasPreempted = error instanceof attempt.AttemptInterrupted && error.reason === 'preempted';
	if (run.signal.aborted) {
		throw run.signal.reason as Error;
	}

	if (wasPreempted) {
		run.request.noteResume();
	} else {
		const detail = error instanceof Error ? error.message : String(error);
		const canRepeat = run.request.isIdempotent || !run.mayHaveRun;
		if (!canRepeat || attempts >= maxAttempts || !run.request.tryRetry()) {
			throw failure(run, failed.source.address, detail);
		}

		run.excluded.add(failed.source.name);
	}

	run.excluded = exclusionsAfter(run, []);
};

/**
 * Yields the tokens of an answer in order, then its finish part. Closing the
 * generator early cancels the running attempts.
 * @throws GatewayException when the answer cannot be completed.
 */
export async function* streamAnswer(
	services: attempt.AttemptServices,
	request: AnswerRequest,
): AsyncGenerator<AnswerPart> {
	const {clock} = services;
	const limit = deadline.createDeadlineSignal(clock, request.deadlineAtMs, request.signal);
	const run: AnswerRun = {
		services,
		request,
		signal: limit.signal,
		excluded: new Set(),
		mayHaveRun: false,
		nextToken: request.firstToken,
	};
	let current: attempt.Attempt | undefined;
	let failover: Failover | undefined;
	let successor: StartedAttempt | undefined;
	try {
		for (let attempts = 1; ; attempts++) {
			failover = createFailover(run, maxAttempts - attempts);
			if (successor) {
				failover.watch(successor.attempt);
			}

			const started: StartedAttempt =
				successor ?? (await startWithHedge(run, await acquire(run), failover));
			current = started.attempt;
			try {
				yield* readAttempt(run, started);
				current.end('answered');
				return;
			} catch (error) {
				run.mayHaveRun ||= current.mayHaveRun;
				current.end('failed');
				successor = failover.finish();
				if (!successor) {
					prepareRetry(run, current, error, attempts);
				}
			}
		}
	} finally {
		// The answer may have ended while a successor was starting.
		failover?.finish()?.attempt.end('cancelled');
		current?.end('cancelled');
		limit.dispose();
	}
}
