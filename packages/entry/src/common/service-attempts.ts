/** Attempts of plain service calls: old setup, upstream selection, hedges and retries. */
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
/** Statuses of an overloaded or failing upstream; another upstream may succeed. */
const repeatableStatuses = new Set([502, 503, 504]);

/** See {@link serviceAnswer.ServiceAttempt}. */
export type MarkSent = NonNullable<serviceAnswer.ServiceAttempt['markSent']>;

/** One call of a plain service. */
export type ServiceCall = {
	services: engineServices.EngineServices;
	context: requestContext.EntryContext;
	/** Path and query at the service. */
	path: string;
	body: Uint8Array;
	item: types.WorkItem;
	signal: AbortSignal;
};

/** Slot for the first attempt of a call, acquired in advance. */
export type SlotReservation = {
	acquire(): Promise<void>;
	/** Returns the slot once; undefined when there is none. */
	take(): types.Assignment | undefined;
	/** Releases a slot that was not taken. */
	release(): void;
};

/** Creates a reservation that holds no slot yet. A call that the old setup serves needs no slot. */
export const createSlotReservation = (call: ServiceCall): SlotReservation => {
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

/** Replaces the outcome `not-run` by `unknown` when an earlier attempt may have run. */
export const adjustOutcome = (error: unknown, mayHaveRun: boolean): unknown =>
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
		// The answer to a keyed request is stored, so it must be buffered in full.
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
 * Delay before the search for a successor: half of the remaining time, so that
 * another upstream has time to answer when the first one hangs.
 */
const successorDelayMs = ({services, item}: ServiceCall): number =>
	Math.max(minimumAttemptMs, (item.deadlineAtMs - services.clock.nowMs()) / 2);

type RunningAttempt = {
	answer: Promise<serviceAnswer.ServiceAnswer>;
	upstream: string;
	/** From this call on, a cancellation of the attempt counts as a failure of the upstream. */
	markLate(): void;
	cancel(reason: string): void;
};

const start = (
	call: ServiceCall,
	assignment: types.Assignment,
	excluded: Set<string>,
	markSent?: MarkSent,
): RunningAttempt => {
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

			// The slot is held until the long answer has been passed on in full.
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

/** Starts a hedged attempt when the first attempt is late, the call is idempotent and the budget allows it. */
const startHedge = async (
	call: ServiceCall,
	first: RunningAttempt,
	excluded: Set<string>,
): Promise<RunningAttempt | undefined> => {
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

/** Starts successors in parallel with late attempts. */
type Failover = {
	watch(running: RunningAttempt): void;
	/** Stops the search for a successor. */
	finish(): void;
};

/** @param successors maximum number of further attempts */
const createFailover = (
	call: ServiceCall,
	excluded: Set<string>,
	successors: number,
	onSuccessor: (running: RunningAttempt) => void,
): Failover => {
	const {services, context, item} = call;
	const watched: RunningAttempt[] = [];
	let started = 0;
	let timer: disposable.Disposable | undefined;
	const search = successorSearch.createSuccessorSearch<types.Assignment>({
		acquire: async (signal) =>
			services.scheduler.acquire(
				{...item, excluded: new Set([...excluded, ...watched.map(({upstream}) => upstream)])},
				signal,
			),
		canStartSuccessor: () => services.repetition.tryRetry(context.entry.workClass),
		release(assignment) {
			assignment.release('cancelled');
		},
		onDidFind() {
			started++;
			onSuccessor(start(call, search.take()!, excluded));
		},
	});

	const restartTimer = () => {
		timer?.dispose();
		const onLate = () => {
			for (const running of watched) {
				running.markLate();
			}

			if (started < successors) {
				search.start();
				restartTimer();
			}
		};

		timer = pauseTolerantTimer.setPauseTolerantTimer(
			services.clock,
			onLate,
			successorDelayMs(call),
		);
	};

	return {
		watch(running) {
			watched.push(running);
			if (started < successors) {
				search.stop();
				restartTimer();
			}
		},
		finish() {
			timer?.dispose();
			search.stop();
		},
	};
};

/** An error or overload status does not win while another attempt may still succeed. */
const isUsable = ({status}: serviceAnswer.ServiceAnswer): boolean => status < 500 && status !== 429;

const waitForUsableAnswer = async (running: RunningAttempt): Promise<RunningAttempt> => {
	const answer = await running.answer;
	if (!isUsable(answer)) {
		throw new Error(`${running.upstream} answered with status ${answer.status}`);
	}

	return running;
};

const waitForAnswer = async (running: RunningAttempt): Promise<RunningAttempt> => {
	await running.answer;
	return running;
};

/** Cancels an attempt that lost the race and closes its answer, if one has arrived. */
const discard = (running: RunningAttempt): void => {
	running.cancel('another attempt was faster');
	void running.answer.then(
		async ({body}) => (body instanceof Uint8Array ? undefined : body.return?.()),
		() => undefined,
	);
};

/** Parallel attempts of one call. */
type AttemptRace = {
	add(running: RunningAttempt): void;
	/** First attempt with a usable answer. If there is none, an attempt with any answer, or else the first attempt. */
	readonly winner: Promise<RunningAttempt>;
};

const createAttemptRace = (): AttemptRace => {
	const contenders: RunningAttempt[] = [];
	let runningCount = 0;
	let isOver = false;
	let settle: (winner: RunningAttempt) => void = () => undefined;
	const winner = new Promise<RunningAttempt>((resolve) => {
		settle = resolve;
	});

	const end = (best: RunningAttempt) => {
		if (isOver) {
			return;
		}

		isOver = true;
		for (const other of contenders) {
			if (other !== best) {
				discard(other);
			}
		}

		settle(best);
	};

	const waitForEnd = async (running: RunningAttempt) => {
		try {
			end(await waitForUsableAnswer(running));
		} catch {
			runningCount--;
			if (runningCount === 0) {
				// An answer with any status is better than an error; between errors there is no preference.
				const pendingAnswers = contenders.map(async (contender) => waitForAnswer(contender));
				end(await Promise.any(pendingAnswers).catch(() => contenders[0]!));
			}
		}
	};

	return {
		add(running) {
			contenders.push(running);
			if (isOver) {
				discard(running);
				return;
			}

			runningCount++;
			void waitForEnd(running);
		},
		winner,
	};
};

/** Runs attempts at upstreams that the scheduler selects, with a hedge and successors for idempotent calls. */
const runRound = async (
	call: ServiceCall,
	assignment: types.Assignment,
	excluded: Set<string>,
	successors: number,
	markSent?: MarkSent,
): Promise<serviceAnswer.ServiceAnswer> => {
	const race = createAttemptRace();
	const failover = createFailover(call, excluded, successors, (running) => {
		race.add(running);
		failover.watch(running);
	});
	try {
		const first = start(call, assignment, excluded, markSent);
		race.add(first);
		failover.watch(first);
		const second = markSent ? undefined : await startHedge(call, first, excluded);
		if (second) {
			race.add(second);
			failover.watch(second);
		}

		const winner = await race.winner;
		if (second && (winner === first || winner === second)) {
			call.services.counters.countHedge(winner === first ? 'first' : 'second');
		}

		return await winner.answer;
	} finally {
		failover.finish();
	}
};

const runAtOldSetup = async (
	call: ServiceCall,
	markSent?: MarkSent,
): Promise<serviceAnswer.ServiceAnswer | undefined> => {
	const upstream = oldSetup.chooseOldSetup(call.services.digests, call.context);
	return upstream && attemptAt(call, upstream.address, call.signal, markSent);
};

/** True when a failed attempt can be retried. Non-idempotent calls are retried only if no byte was sent. */
const canRetry = (call: ServiceCall, error: unknown): boolean => {
	if (!(error instanceof gatewayError.GatewayException) || error.error.kind !== 'upstream-failed') {
		return false;
	}

	const {entry} = call.context;
	const canRepeat = entry.idempotent || error.error.outcome === 'not-run';
	return canRepeat && !call.signal.aborted && call.services.repetition.tryRetry(entry.workClass);
};

/** Runs a call with retries while they are safe and within the budget. @throws GatewayException */
export const runWithRetries = async (
	call: ServiceCall,
	markSent?: MarkSent,
	reservation?: SlotReservation,
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
				reservation?.take() ?? (await scheduler.acquire({...call.item, excluded}, call.signal));
			const successors = canBeRepeated ? maxAttempts - attempts : 0;
			return await runRound(call, assignment, excluded, successors, markSent);
		} catch (error) {
			const isKnown = error instanceof gatewayError.GatewayException;
			mayHaveRun ||= !isKnown || error.error.outcome !== 'not-run';
			if (attempts >= maxAttempts || !canRetry(call, error)) {
				throw adjustOutcome(error, mayHaveRun);
			}
		}
	}
};
