/**
 * Produces the whole answer of a model as an ordered sequence of tokens. A
 * broken or pre-empted stream goes on at the exact token on an upstream that
 * resumes streams; otherwise the answer ends with an error, never silently.
 */
import * as gatewayError from '@hawthornfront/base/common/gateway-error.js';
import * as attempt from './attempt.js';
import * as deadline from './deadline.js';
import type * as runnerClient from './runner-client.js';
import * as settleWithin from './settle-within.js';
import * as tokenSequencer from './token-sequencer.js';

export type AnswerPart = runnerClient.TokenPart | runnerClient.FinishPart;

/** What one answer needs. */
export type AnswerRequest = {
	requestId: string;
	body: Record<string, unknown>;
	priority: number;
	/** First token wanted; above 0 when another region resumes its own broken stream. */
	firstToken: number;
	isIdempotent: boolean;
	deadlineAtMs: number;
	signal: AbortSignal;
	/** Waits for a place to run. Names in `excluded` have failed this request or cannot resume it. */
	acquire(excluded: ReadonlySet<string>, nextToken: number): Promise<attempt.AttemptSource>;
	/** Place for a second attempt without waiting; undefined when there is none. */
	acquireHedge(excluded: ReadonlySet<string>): attempt.AttemptSource | undefined;
	/** Delay after which a second attempt is worth its cost; undefined for none. */
	hedgeDelayMs(): number | undefined;
	/** Asks the retry budget for one more attempt. */
	mayRetry(): boolean;
	/** Names that cannot take a stream over at a token. */
	cannotResume(): readonly string[];
	/** Tells whether a hedge was sent, and which attempt won; for counters. */
	noteHedge(winner: 'first' | 'second'): void;
	noteResume(): void;
};

const maxAttempts = 4;
const minimumAttemptMs = 100;

type Run = {
	services: attempt.AttemptServices;
	request: AnswerRequest;
	/** Combines the caller's signal with the deadline. */
	signal: AbortSignal;
	excluded: Set<string>;
	mayHaveRun: boolean;
	nextToken: number;
};

type Started = {attempt: attempt.Attempt; first: Promise<runnerClient.StreamPart | undefined>};

/**
 * Limits of one attempt. Work that may be repeated gives no attempt more than
 * half of the time that is left, so that a hung upstream leaves time for another.
 */
const limitsOf = (run: Run): attempt.AttemptSettings => {
	const {settings, clock} = run.services;
	const halfMs = Math.max(minimumAttemptMs, (run.request.deadlineAtMs - clock.nowMs()) / 2);
	return run.request.isIdempotent
		? {
				firstTokenTimeoutMs: Math.min(settings.firstTokenTimeoutMs, halfMs),
				stallTimeoutMs: Math.min(settings.stallTimeoutMs, halfMs),
			}
		: settings;
};

const start = (run: Run, source: attempt.AttemptSource): Started => {
	const started = attempt.startAttempt(
		run.services,
		source,
		limitsOf(run),
		{
			body: run.request.body,
			requestId: run.request.requestId,
			priority: run.request.priority,
			resumeFromToken: run.nextToken,
		},
		run.signal,
	);
	const first = started.next();
	first.catch(() => undefined);
	return {attempt: started, first};
};

const race = async (run: Run, first: Started, second: Started): Promise<Started> => {
	const winner = await Promise.any([
		first.first.then(() => first),
		second.first.then(() => second),
	]).catch(() => first);
	const loser = winner === first ? second : first;
	run.mayHaveRun ||= loser.attempt.mayHaveRun;
	loser.attempt.end('cancelled');
	run.request.noteHedge(winner === first ? 'first' : 'second');
	return winner;
};

const startWithHedge = async (run: Run, source: attempt.AttemptSource): Promise<Started> => {
	const first = start(run, source);
	const delayMs = run.request.isIdempotent ? run.request.hedgeDelayMs() : undefined;
	if (
		delayMs === undefined ||
		(await settleWithin.settlesWithin(run.services.clock, first.first, delayMs))
	) {
		return first;
	}

	const other = run.request.acquireHedge(new Set([...run.excluded, source.name]));
	return other ? race(run, first, start(run, other)) : first;
};

/** Yields ordered parts of one attempt. @throws when the attempt ends before the whole answer. */
async function* readAttempt(run: Run, started: Started): AsyncGenerator<AnswerPart> {
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

const stepOf = (run: Run): gatewayError.RequestStep => {
	if (run.nextToken > run.request.firstToken) {
		return 'mid-stream';
	}

	return run.mayHaveRun ? 'sent-in-full' : 'before-dispatch';
};

const failure = (run: Run, peer: string, detail: string): gatewayError.GatewayException =>
	new gatewayError.GatewayException({
		kind: 'upstream-failed',
		step: stepOf(run),
		peer,
		outcome: run.mayHaveRun ? 'unknown' : 'not-run',
		detail,
	});

/**
 * Waits for a place to run. A refusal here says `not-run` only while no attempt
 * can have reached an upstream.
 */
const acquire = async (run: Run): Promise<attempt.AttemptSource> => {
	try {
		return await run.request.acquire(run.excluded, run.nextToken);
	} catch (error) {
		if (error instanceof gatewayError.GatewayException && run.mayHaveRun) {
			const outcome = error.error.outcome === 'not-run' ? 'unknown' : error.error.outcome;
			throw new gatewayError.GatewayException({...error.error, outcome, step: stepOf(run)});
		}

		throw error;
	}
};

/** Decides whether the answer can go on after a failed attempt; throws when it cannot. */
const prepareNext = (run: Run, failed: attempt.Attempt, error: unknown, attempts: number): void => {
	const wasPreempted = error instanceof attempt.AttemptInterrupted && error.reason === 'preempted';
	if (run.signal.aborted) {
		throw run.signal.reason as Error;
	}

	if (wasPreempted) {
		run.request.noteResume();
	} else {
		const detail = error instanceof Error ? error.message : String(error);
		const canRepeat = run.request.isIdempotent || !run.mayHaveRun;
		if (!canRepeat || attempts >= maxAttempts || !run.request.mayRetry()) {
			throw failure(run, failed.source.address, detail);
		}

		run.excluded.add(failed.source.name);
	}

	if (run.nextToken > 0) {
		for (const name of run.request.cannotResume()) {
			run.excluded.add(name);
		}
	}
};

/**
 * Yields the tokens of a whole answer in order, then its finish part. Reading
 * stops the work when the generator is closed early.
 * @throws GatewayException when the answer cannot be made whole.
 */
export async function* streamAnswer(
	services: attempt.AttemptServices,
	request: AnswerRequest,
): AsyncGenerator<AnswerPart> {
	const {clock} = services;
	const limit = deadline.createDeadlineSignal(clock, request.deadlineAtMs, request.signal);
	const run: Run = {
		services,
		request,
		signal: limit.signal,
		excluded: new Set(),
		mayHaveRun: false,
		nextToken: request.firstToken,
	};
	let current: attempt.Attempt | undefined;
	try {
		for (let attempts = 1; ; attempts++) {
			const source = await acquire(run);
			const started = await startWithHedge(run, source);
			current = started.attempt;
			try {
				yield* readAttempt(run, started);
				current.end('answered');
				return;
			} catch (error) {
				run.mayHaveRun ||= current.mayHaveRun;
				current.end('failed');
				prepareNext(run, current, error, attempts);
			}
		}
	} finally {
		current?.end('cancelled');
		limit.dispose();
	}
}
