/**
 * The attempt that answers a caller and, while its peer is silent, a successor at
 * another peer. The first one is given up only when the successor holds the
 * request: it answers or, for a stream, has not refused the request for a while.
 */
import type * as clock from '@hawthornfront/base/common/clock.js';
import type * as disposable from '@hawthornfront/base/common/disposable.js';
import type * as attempt from './attempt.js';
import type * as dispatcher from './dispatcher.js';
import type * as stallDetector from './stall-detector.js';

/** One of the two attempts. */
export type AttemptPlan = {
	target: attempt.AttemptTarget;
	/** Account of the upstream's load and failures; undefined for a relay. */
	account: dispatcher.DispatchedRequest | undefined;
	start(listener: attempt.AttemptListener): attempt.Attempt;
};

export type FailoverListener = Pick<
	attempt.AttemptListener,
	'onHead' | 'onBytes' | 'onAnswered'
> & {
	/** The only attempt failed. */
	onFailed(member: AttemptPlan, failure: attempt.AttemptFailure): void;
	/** The only attempt is silent; repeated while it lasts. */
	onSilent(member: AttemptPlan, running: attempt.Attempt, silence: AttemptStall): void;
	/** The successor did not take the request; the first attempt goes on. */
	onSuccessorFailed(member: AttemptPlan, failure: attempt.AttemptFailure): void;
	/** The first attempt spoke again, and the successor was cancelled. */
	onSuccessorCancelled(cancelled: AttemptPlan, wasSent: boolean): void;
	/** The successor answers the caller now; what the first attempt may have run is over. */
	onTakenOver(from: AttemptPlan, to: AttemptPlan, basis: TakeoverReason): void;
};

export type AttemptStall = stallDetector.Stall & {step: string};

/** `answer`: the successor answers; `held`: it has not refused; `failure`: the first attempt failed. */
export type TakeoverReason =
	{kind: 'answer' | 'held'} | {kind: 'failure'; failure: attempt.AttemptFailure};

export type AttemptFailover = {
	/** Starts the attempt that answers the caller. */
	startFirst(member: AttemptPlan): void;
	/** Starts another attempt beside a silent one. */
	startSuccessor(member: AttemptPlan): void;
	readonly isRunning: boolean;
	readonly hasSuccessor: boolean;
	/** Stops the work of both. */
	cancel(): void;
};

/**
 * Time after which a successor that has the request and did not refuse it takes
 * over. Two upstreams may be at work on a resumed stream for 400 ms at most.
 */
const takeoverMs = 200;
/** A refusal that waits in the socket is read in this time, also when the event loop was held up. */
const lastReadMs = 1;

export type FailoverOptions = {
	clock: clock.Clock;
	/** Two upstreams may be at work for a short time only, so a successor need not answer to take over. */
	mustTakeOverEarly: boolean;
};

type Running = {member: AttemptPlan; attempt?: attempt.Attempt; wasSent: boolean};

/** Creates a pair without attempts. */
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

	const move = (basis: TakeoverReason) => {
		const from = first!;
		const to = successor!;
		dropSuccessor();
		first = to;
		if (basis.kind !== 'failure') {
			from.attempt?.cancel();
		}

		listener.onTakenOver(from.member, to.member, basis);
	};

	const listenerOf = (running: Running): attempt.AttemptListener => ({
		onSent() {
			running.wasSent = true;
			if (running === successor && mustTakeOverEarly) {
				takeoverTimer = time.setTimer(() => {
					takeoverTimer = time.setTimer(() => {
						move({kind: 'held'});
					}, lastReadMs);
				}, takeoverMs - lastReadMs);
			}
		},
		onAnswering() {
			if (running === successor) {
				move({kind: 'answer'});
			} else if (running === first && successor) {
				const {member, wasSent, attempt: other} = successor;
				dropSuccessor();
				other?.cancel();
				listener.onSuccessorCancelled(member, wasSent);
			}
		},
		onSilent(stall, step) {
			if (running === first && !successor) {
				listener.onSilent(running.member, running.attempt!, {...stall, step});
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
				listener.onSuccessorFailed(running.member, failure);
			} else if (successor) {
				move({kind: 'failure', failure});
			} else {
				first = undefined;
				listener.onFailed(running.member, failure);
			}
		},
	});

	const start = (running: Running) => {
		running.attempt = running.member.start(listenerOf(running));
	};

	return {
		startFirst(member) {
			first = {member, wasSent: false};
			start(first);
		},
		startSuccessor(member) {
			successor = {member, wasSent: false};
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
