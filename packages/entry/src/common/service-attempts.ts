/** Attempts at plain services: old setup, upstream choice, hedges and retries. */
import type * as disposable from '@hawthornfront/base/common/disposable.js';
import * as gatewayError from '@hawthornfront/base/common/gateway-error.js';
import * as iteration from '@hawthornfront/base/common/iteration.js';
import * as pauseTolerantTimer from '@hawthornfront/base/common/pause-tolerant-timer.js';
import type * as types from '@hawthornfront/decisions/common/types.js';
import * as deadline from './deadline.js';
import type * as engineServices from './engine-services.js';
import * as oldSetup from './old-setup.js';
import type * as requestContext from './request-context.js';
import * as requestHeaders from './request-headers.js';
import * as serviceAnswer from './service-answer.js';
import * as settleWithin from './settle-within.js';
import * as successorSearch from './successor-search.js';

const maxAttempts = 3;
const minimumAttemptMs = 100;
/** Answers of an overloaded or broken upstream; another one may do better. */
const repeatableStatuses = new Set([502, 503, 504]);

/** See {@link serviceAnswer.ServiceAttempt}. */
export type MarkSent = NonNullable<serviceAnswer.ServiceAttempt['markSent']>;

/** One call of a caller. */
export type ServiceCall = {
	services: engineServices.EngineServices;
	context: requestContext.EntryContext;
	/** Path and query at the service. */
	path: string;
	body: Uint8Array;
	item: types.WorkItem;
	signal: AbortSignal;
};

/** A slot for the first attempt of a call, acquired ahead of it. */
export type Place = {
	acquire(): Promise<void>;
	/** The slot, once; undefined when there is none. */
	take(): types.Assignment | undefined;
	/** Gives back a slot that was not taken. */
	release(): void;
};

/** Creates a place without a slot. A call that the old setup carries needs none. */
export const createPlace = (call: ServiceCall): Place => {
	const {services, context, item, signal} = call;
	let assignment: types.Assignment | undefined;
	const take = () => {
		const taken = assignment;
		assignment = undefined;
		return taken;
	};

	return {
		async acquire() {
			if (!oldSetup.chooseOldSetup(services.digests, context)) {
				assignment = await services.scheduler.acquire(item, signal);
			}
		},
		take,
		release() {
			take()?.release('cancelled');
		},
	};
};

/** An error that follows an attempt which may have run cannot say `not-run`. */
export const withOutcome = (error: unknown, mayHaveRun: boolean): unknown =>
	mayHaveRun && error instanceof gatewayError.GatewayException && error.error.outcome === 'not-run'
		? new gatewayError.GatewayException({...error.error, outcome: 'unknown'})
		: error;

const attemptAt = async (
	call: ServiceCall,
	address: string,
	signal: AbortSignal,
	markSent?: MarkSent,
): Promise<serviceAnswer.ServiceAnswer> => {
	const {services, context} = call;
	const answer = await serviceAnswer.openService(services.httpClient, {
		address,
		method: context.request.method,
		path: call.path,
		headers: requestHeaders.headersForService(context.request.headers, services.cdnLoopIdentifier),
		body: call.body,
		timeoutMs: Math.max(1, call.item.deadlineAtMs - services.clock.nowMs()),
		signal,
		markSent,
		// An answer under a key is kept, so it must be whole.
		mayStream: markSent === undefined,
	});
	if (context.entry.idempotent && repeatableStatuses.has(answer.status)) {
		throw new gatewayError.GatewayException({
			kind: 'upstream-failed',
			status: answer.status,
			step: 'sent-in-full',
			peer: address,
			outcome: 'unknown',
			detail: `the service answered with status ${answer.status}`,
		});
	}

	return answer;
};

/**
 * Time after which an attempt needs a successor: half of the time that is left,
 * so that a hung upstream leaves time for another.
 */
const patienceMs = ({services, item}: ServiceCall): number =>
	Math.max(minimumAttemptMs, (item.deadlineAtMs - services.clock.nowMs()) / 2);

type Running = {
	answer: Promise<serviceAnswer.ServiceAnswer>;
	upstream: string;
	/** The attempt counts as failed when it is cancelled from now on. */
	markLate(): void;
	cancel(reason: string): void;
};

const start = (
	call: ServiceCall,
	assignment: types.Assignment,
	excluded: Set<string>,
	markSent?: MarkSent,
): Running => {
	const {services, item} = call;
	const controller = new AbortController();
	const startMs = services.clock.nowMs();
	const {name, address} = assignment.upstream;
	let isLate = false;
	const run = async () => {
		const limit = deadline.createDeadlineSignal(
			services.clock,
			item.deadlineAtMs,
			AbortSignal.any([call.signal, controller.signal]),
		);
		const {signal} = limit;
		try {
			const answer = await attemptAt(call, address, signal, markSent);
			assignment.noteFirstToken();
			if (answer.body instanceof Uint8Array) {
				assignment.release('answered');
				return answer;
			}

			// The slot is held until the long answer has passed.
			const body = iteration.withCleanUp(answer.body, () => {
				assignment.release('answered');
			});
			return {...answer, body};
		} catch (error) {
			const isCancelled = call.signal.aborted || controller.signal.aborted;
			assignment.release(isCancelled && !isLate ? 'cancelled' : 'failed');
			excluded.add(name);
			throw error;
		} finally {
			limit.dispose();
			services.repetition.noteLatency(item.workClass, services.clock.nowMs() - startMs);
		}
	};

	const answer = run();
	answer.catch(() => undefined);
	return {
		answer,
		upstream: name,
		markLate() {
			isLate = true;
		},
		cancel(reason) {
			controller.abort(new Error(reason));
		},
	};
};

/** Starts a second attempt where the first one is late, the call is idempotent and the budget allows it. */
const startHedge = async (
	call: ServiceCall,
	first: Running,
	excluded: Set<string>,
): Promise<Running | undefined> => {
	const {services, context, item} = call;
	const {workClass, idempotent} = context.entry;
	const delayMs = services.repetition.hedgeDelayMs({workClass, isIdempotent: idempotent});
	const isInTime =
		delayMs === undefined ||
		(await settleWithin.settlesWithin(services.clock, first.answer, delayMs));
	if (isInTime || !services.repetition.tryHedge(workClass)) {
		return undefined;
	}

	const others = new Set([...excluded, first.upstream]);
	const assignment = services.scheduler.acquireNow({...item, excluded: others});
	return assignment && start(call, assignment, excluded);
};

/** Starts successors beside attempts that are late. */
type Handover = {
	watch(running: Running): void;
	/** Ends the search. */
	finish(): void;
};

/** @param successors further attempts that the call may have */
const createHandover = (
	call: ServiceCall,
	excluded: Set<string>,
	successors: number,
	onSuccessor: (running: Running) => void,
): Handover => {
	const {services, context, item} = call;
	const watched: Running[] = [];
	let started = 0;
	let timer: disposable.Disposable | undefined;
	const search = successorSearch.createSuccessorSearch<types.Assignment>({
		acquire: async (signal) =>
			services.scheduler.acquire(
				{...item, excluded: new Set([...excluded, ...watched.map(({upstream}) => upstream)])},
				signal,
			),
		mayReplace: () => services.repetition.tryRetry(context.entry.workClass),
		release(assignment) {
			assignment.release('cancelled');
		},
		onDidFind() {
			started++;
			onSuccessor(start(call, search.take()!, excluded));
		},
	});

	const watchLate = () => {
		timer?.dispose();
		const onLate = () => {
			for (const running of watched) {
				running.markLate();
			}

			if (started < successors) {
				search.start();
				watchLate();
			}
		};

		timer = pauseTolerantTimer.setPauseTolerantTimer(services.clock, onLate, patienceMs(call));
	};

	return {
		watch(running) {
			watched.push(running);
			if (started < successors) {
				search.stop();
				watchLate();
			}
		},
		finish() {
			timer?.dispose();
			search.stop();
		},
	};
};

/** An upstream that is broken or overloaded does not win against one that may still answer. */
const isSound = ({status}: serviceAnswer.ServiceAnswer): boolean => status < 500 && status !== 429;

const withSoundAnswer = async (running: Running): Promise<Running> => {
	const answer = await running.answer;
	if (!isSound(answer)) {
		throw new Error(`${running.upstream} answered with status ${answer.status}`);
	}

	return running;
};

const withAnswer = async (running: Running): Promise<Running> => {
	await running.answer;
	return running;
};

/** Ends an attempt that lost, and closes its answer if there is one already. */
const discard = (running: Running): void => {
	running.cancel('another attempt was faster');
	void running.answer.then(
		async ({body}) => (body instanceof Uint8Array ? undefined : body.return?.()),
		() => undefined,
	);
};

/** Attempts of one call side by side. */
type Contest = {
	add(running: Running): void;
	/** The first with a sound answer; when all have failed, one with an answer, or else the first. */
	readonly winner: Promise<Running>;
};

const createContest = (): Contest => {
	const entrants: Running[] = [];
	let atWork = 0;
	let isOver = false;
	let settle: (winner: Running) => void = () => undefined;
	const winner = new Promise<Running>((resolve) => {
		settle = resolve;
	});

	const end = (best: Running) => {
		if (isOver) {
			return;
		}

		isOver = true;
		for (const other of entrants) {
			if (other !== best) {
				discard(other);
			}
		}

		settle(best);
	};

	const follow = async (running: Running) => {
		try {
			end(await withSoundAnswer(running));
		} catch {
			atWork--;
			if (atWork === 0) {
				// Any answer is better than an error; all errors are as good.
				const withAnswers = entrants.map(async (entrant) => withAnswer(entrant));
				end(await Promise.any(withAnswers).catch(() => entrants[0]!));
			}
		}
	};

	return {
		add(running) {
			entrants.push(running);
			if (isOver) {
				discard(running);
				return;
			}

			atWork++;
			void follow(running);
		},
		winner,
	};
};

/** Attempts at upstreams that the scheduler chooses, with a hedge and successors for idempotent calls. */
const runRound = async (
	call: ServiceCall,
	assignment: types.Assignment,
	excluded: Set<string>,
	successors: number,
	markSent?: MarkSent,
): Promise<serviceAnswer.ServiceAnswer> => {
	const contest = createContest();
	const handover = createHandover(call, excluded, successors, (running) => {
		contest.add(running);
		handover.watch(running);
	});
	try {
		const first = start(call, assignment, excluded, markSent);
		contest.add(first);
		handover.watch(first);
		const second = markSent ? undefined : await startHedge(call, first, excluded);
		if (second) {
			contest.add(second);
			handover.watch(second);
		}

		const winner = await contest.winner;
		if (second && (winner === first || winner === second)) {
			call.services.counters.countHedge(winner === first ? 'first' : 'second');
		}

		return await winner.answer;
	} finally {
		handover.finish();
	}
};

const runAtOldSetup = async (
	call: ServiceCall,
	markSent?: MarkSent,
): Promise<serviceAnswer.ServiceAnswer | undefined> => {
	const upstream = oldSetup.chooseOldSetup(call.services.digests, call.context);
	return upstream && attemptAt(call, upstream.address, call.signal, markSent);
};

/** Whether a failed attempt may be followed by another. Non-idempotent work only while no byte has left. */
const mayTryAgain = (call: ServiceCall, error: unknown): boolean => {
	if (!(error instanceof gatewayError.GatewayException) || error.error.kind !== 'upstream-failed') {
		return false;
	}

	const {entry} = call.context;
	const isSafe = entry.idempotent || error.error.outcome === 'not-run';
	return isSafe && !call.signal.aborted && call.services.repetition.tryRetry(entry.workClass);
};

/** Runs a call with retries as far as they are safe and within the budget. @throws GatewayException */
export const runWithRetries = async (
	call: ServiceCall,
	markSent?: MarkSent,
	place?: Place,
): Promise<serviceAnswer.ServiceAnswer> => {
	const {scheduler} = call.services;
	const excluded = new Set<string>();
	let mayHaveRun = false;
	for (let attempts = 1; ; attempts++) {
		const canBeRepeated = call.context.entry.idempotent && !markSent;
		try {
			const old = attempts === 1 ? await runAtOldSetup(call, markSent) : undefined;
			if (old) {
				return old;
			}

			const assignment =
				place?.take() ?? (await scheduler.acquire({...call.item, excluded}, call.signal));
			const successors = canBeRepeated ? maxAttempts - attempts : 0;
			return await runRound(call, assignment, excluded, successors, markSent);
		} catch (error) {
			const isKnown = error instanceof gatewayError.GatewayException;
			mayHaveRun ||= !isKnown || error.error.outcome !== 'not-run';
			if (attempts >= maxAttempts || !mayTryAgain(call, error)) {
				throw withOutcome(error, mayHaveRun);
			}
		}
	}
};
