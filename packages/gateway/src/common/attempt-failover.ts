/**
 * Runs the attempt that answers a caller and, while its peer is stalled, a successor
 * at another peer. The first attempt is cancelled only when the successor has
 * accepted the request: it answers or, for a stream, has not refused it within
 * {@link takeoverMs}.
 */
import type * as clock from '@hawthornfront/base/common/clock.js';
import type * as disposable from '@hawthornfront/base/common/disposable.js';
import type * as attempt from './attempt.js';
import type * as stallDetector from './stall-detector.js';
import type * as upstreamRegistry from './upstream-registry.js';

/** How to start one of the two attempts. */
export type AttemptPlan = {
	target: attempt.AttemptTarget;
	/** Undefined for a relay. */
	upstream: upstreamRegistry.Upstream | undefined;
	start(listener: attempt.AttemptListener): attempt.Attempt;
};

export type FailoverListener = Pick<
	attempt.AttemptListener,
	'onHead' | 'onBytes' | 'onAnswered'
> & {
	/** The only attempt failed. */
	onFailed(plan: AttemptPlan, failure: attempt.AttemptFailure): void;
	/** The only attempt is stalled; repeated while the stall lasts. */
	onSilent(plan: AttemptPlan, running: attempt.Attempt, silence: AttemptStall): void;
	/** The successor failed; the first attempt continues. */
	onSuccessorFailed(plan: AttemptPlan, failure: attempt.AttemptFailure): void;
	/** The first attempt made progress again, so the successor was cancelled. */
	onSuccessorCancelled(cancelled: AttemptPlan, wasSent: boolean): void;
	/** The successor answers the caller from now on; the first attempt has ended. */
	onTakenOver(from: AttemptPlan, to: AttemptPlan, basis: TakeoverReason): void;
};

export type AttemptStall = stallDetector.Stall & {step: string};

/** `answer`: the successor answers; `held`: it has not refused in time; `failure`: the first attempt failed. */
export type TakeoverReason =
	{kind: 'answer' | 'held'} | {kind: 'failure'; failure: attempt.AttemptFailure};

export type AttemptFailover = {
	/** Starts the attempt that answers the caller. */
	startFirst(plan: AttemptPlan): void;
	/** Starts another attempt beside a stalled one. */
	startSuccessor(plan: AttemptPlan): void;
	readonly isRunning: boolean;
	readonly hasSuccessor: boolean;
	/** Stops the work of both. */
	cancel(): void;
};

/**
 * Time after which a successor that was sent the request and did not refuse it takes
 * over. Two upstreams may run a resumed stream at once for at most 400 ms.
 */
const takeoverMs = 200;
/** Time to read a refusal that waits in the socket, in case the event loop was blocked. */
const lastReadMs = 1;

export type FailoverOptions = {
	clock: clock.Clock;
	/** Two upstreams may run the request for a short time only, so a successor takes over before it answers. */
	mustTakeOverEarly: boolean;
};

type Running = {plan: AttemptPlan; attempt?: attempt.Attempt; wasSent: boolean};

/** Creates a failover without attempts. */
export const createAttemptFailover = (
	options: FailoverOptions,
	listener: FailoverListener,
): AttemptFailover => {
	const {clock: time, mustTakeOverEarly} = options;
	let first: Running | undefined;
	let successor: Running | undefined;
	let takeoverTimer: disposable.Disposable | undefined;

	const dropSuccessor = () => {
		successor = undefined;
		takeoverTimer?.dispose();
		takeoverTimer = undefined;
	};

	const takeOver = (basis: TakeoverReason) => {
		const from = first!;
		const to = successor!;
		dropSuccessor();
		first = to;
		if (basis.kind !== 'failure') {
			from.attempt?.cancel();
		}

		listener.onTakenOver(from.plan, to.plan, basis);
	};

	const listenerOf = (running: Running): attempt.AttemptListener => ({
		onSent() {
			running.wasSent = true;
			if (running === successor && mustTakeOverEarly) {
				takeoverTimer = time.setTimer(() => {
					takeoverTimer = time.setTimer(() => {
						takeOver({kind: 'held'});
					}, lastReadMs);
				}, takeoverMs - lastReadMs);
			}
		},
		onAnswering() {
			if (running === successor) {
				takeOver({kind: 'answer'});
			} else if (running === first && successor) {
				const {plan, wasSent, attempt: successorAttempt} = successor;
				dropSuccessor();
				successorAttempt?.cancel();
				listener.onSuccessorCancelled(plan, wasSent);
			}
		},
		onSilent(stall, step) {
			if (running === first && !successor) {
				listener.onSilent(running.plan, running.attempt!, {...stall, step});
			}
		},
		onHead: listener.onHead,
		onBytes: listener.onBytes,
		onAnswered(status) {
			first = undefined;
			successor?.attempt?.cancel();
			dropSuccessor();
			listener.onAnswered(status);
		},
		onFailed(failure) {
			if (running === successor) {
				dropSuccessor();
				listener.onSuccessorFailed(running.plan, failure);
			} else if (successor) {
				takeOver({kind: 'failure', failure});
			} else {
				first = undefined;
				listener.onFailed(running.plan, failure);
			}
		},
	});

	const start = (running: Running) => {
		running.attempt = running.plan.start(listenerOf(running));
	};

	return {
		startFirst(plan) {
			first = {plan, wasSent: false};
			start(first);
		},
		startSuccessor(plan) {
			successor = {plan, wasSent: false};
			start(successor);
		},
		get isRunning() {
			return first !== undefined;
		},
		get hasSuccessor() {
			return successor !== undefined;
		},
		cancel() {
			first?.attempt?.cancel();
			first = undefined;
			successor?.attempt?.cancel();
			dropSuccessor();
		},
	};
};
