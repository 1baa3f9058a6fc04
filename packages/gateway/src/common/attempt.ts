/** One attempt of a request: a send to an upstream, or to a daemon of another region, up to its end. */
import type * as clock from '@hawthornfront/base/common/clock.js';
import type * as disposable from '@hawthornfront/base/common/disposable.js';
import * as answerVerdict from './answer-verdict.js';
import type * as dispatcher from './dispatcher.js';
import * as eventCutter from './event-cutter.js';
import type * as gatewayRequest from './gateway-request.js';
import type * as upstreamTransport from './upstream-transport.js';
import type * as wireFormat from './wire-format.js';

export type AttemptTarget = {
	/** Id of the upstream, or name of the daemon. */
	peer: string;
	address: string;
	headers: string[];
	isRelay: boolean;
	/** Expected time to the first event. */
	expectedMs: number;
};

export type AttemptOptions = {
	clock: clock.Clock;
	wire: wireFormat.WireFormat;
	transport: upstreamTransport.UpstreamTransport;
	request: gatewayRequest.GatewayRequest;
	target: AttemptTarget;
	/** Account of the upstream's load and failures; undefined for a relay. */
	account: dispatcher.Dispatched | undefined;
	isIdempotent: boolean;
	/** Whether the request may still run elsewhere after this attempt has run. */
	mayGoElsewhere: boolean;
	/** Whether the budget has room for a further send. */
	mayResendNow(): boolean;
	/** The caller has part of the answer already. */
	isResumption: boolean;
};

/** Why a peer's silence counted as a stall. */
export type Stall = {
	limitMs: number;
	/** Delay of this daemon's own timer; a long one means that the daemon itself was held up. */
	timerLateMs: number;
};

export type AttemptFailure = {
	/** Step of the request at which it failed. */
	step: string;
	outcome: answerVerdict.Outcome;
	detail: string;
	startedAtMs: number;
	/** Upstreams that may have run the request; undefined when it is not known. */
	upstreamsUsed?: number;
	/** Complete events that the peer sent. */
	events: number;
	/** Time since the last bytes of the peer, or since the send. */
	silentMs: number;
	/** Set when the attempt was given up for its peer's silence. */
	stall?: Stall;
	/** Last whole event that the caller was given. */
	lastEventId?: string;
};

export type AttemptListener = {
	/** The head goes to the caller; called before the first bytes. */
	onHead(status: number, headers: wireFormat.Headers): void;
	onBytes(bytes: Uint8Array, exchange: upstreamTransport.Exchange | undefined): void;
	/** The whole answer was passed on. */
	onAnswered(status: number): void;
	onFailed(failure: AttemptFailure): void;
};

export type Attempt = {
	isRunning(): boolean;
	/** Stops the upstream's work; nothing more is called. */
	cancel(): void;
};

/** Answers of plain services up to this size are held back until they are complete. */
const maxHeldAnswerBytes = 262_144;
/** An idempotent request without a first event goes elsewhere after this multiple of the expected time. */
const stallFactor = 3;
const minStallMs = 700;
const minGapStallMs = 900;
/**
 * A daemon that relays notices a stall itself and goes on elsewhere; the daemon
 * that sent it there waits this many times as long, for a second upstream too.
 */
const relayStallFactor = 2;

/** Sends the request. */
export const startAttempt = (options: AttemptOptions, listener: AttemptListener): Attempt => {
	const {clock, wire, request, target, account} = options;
	const {route} = request;
	const isStream = route.work === 'stream';
	const cutter = isStream && route.canResume ? eventCutter.createEventCutter() : undefined;
	const startedAtMs = clock.nowMs();
	const held: Uint8Array[] = [];
	let heldBytes = 0;
	let step = 'sent-in-full';
	let isPassing = false;
	let isOver = false;
	let head: {status: number; headers: wireFormat.Headers} | undefined;
	let stallTimer: disposable.Disposable | undefined;
	let heardAtMs = startedAtMs;
	const running: {exchange?: upstreamTransport.Exchange} = {};

	const close = () => {
		isOver = true;
		stallTimer?.dispose();
		account?.end();
	};

	const fail = (
		outcome: answerVerdict.Outcome,
		detail: string,
		isHard: boolean,
		more: {upstreamsUsed?: number; stall?: Stall} = {},
	) => {
		if (isOver) {
			return;
		}

		close();
		running.exchange?.cancel();
		if (outcome !== 'not-run' || isHard) {
			account?.noteFailure(isHard);
		}

		listener.onFailed({
			step,
			outcome,
			detail,
			startedAtMs,
			events: cutter?.events ?? 0,
			silentMs: clock.nowMs() - heardAtMs,
			lastEventId: cutter?.lastEventId,
			...more,
		});
	};

	const watchStall = (delayMs: number) => {
		stallTimer?.dispose();
		const limitMs = delayMs * (target.isRelay ? relayStallFactor : 1);
		const dueMs = clock.nowMs() + limitMs;
		stallTimer = clock.setTimer(() => {
			// Without the right to go elsewhere, a late answer is better than none.
			if (options.mayGoElsewhere && options.mayResendNow()) {
				fail('unknown', step === 'sent-in-full' ? 'no-answer' : 'stalled', true, {
					stall: {limitMs, timerLateMs: clock.nowMs() - dueMs},
				});
			}
		}, limitMs);
	};

	const startPassing = () => {
		if (!isPassing) {
			isPassing = true;
			listener.onHead(head!.status, head!.headers);
		}
	};

	const pass = (bytes: Uint8Array) => {
		startPassing();
		listener.onBytes(bytes, isOver ? undefined : running.exchange);
	};

	const passHeld = () => {
		startPassing();
		for (const bytes of held.splice(0)) {
			pass(bytes);
		}
	};

	const onHead = (status: number, headers: wireFormat.Headers) => {
		heardAtMs = clock.nowMs();
		const verdict = answerVerdict.judgeAnswer(
			status,
			headers,
			wire.readAnswer(status, headers),
			request.facts.attemptId,
			options.mayGoElsewhere && !options.isResumption && !target.isRelay,
		);
		if (verdict.kind === 'fail') {
			if (verdict.isReplaced) {
				account?.noteReplaced();
			}

			fail(verdict.outcome, verdict.detail, verdict.isHard, {
				upstreamsUsed: verdict.upstreamsUsed,
			});
		} else if (options.isResumption && status !== 200) {
			fail('unknown', `resume-${status}`, false);
		} else {
			head = {status, headers};
			step = 'first-token';
		}
	};

	const onData = (bytes: Uint8Array) => {
		heardAtMs = clock.nowMs();
		account?.noteEvent();
		account?.noteFirstEvent();
		if (cutter && head!.status < 300) {
			const complete = cutter.push(bytes);
			watchStall(Math.max(minGapStallMs, 2 * (route.maxEventGapMs ?? 0)));
			if (complete) {
				step = 'mid-stream';
				pass(complete);
			}
		} else if (isPassing || isStream) {
			step = 'mid-stream';
			pass(bytes);
		} else {
			held.push(bytes);
			heldBytes += bytes.length;
			if (heldBytes > maxHeldAnswerBytes) {
				passHeld();
			}
		}
	};

	const onAnswerEnd = () => {
		step = 'last-token';
		account?.noteFirstEvent();
		const {status} = head!;
		close();
		if (status >= 500) {
			account?.noteFailure(false);
		} else {
			account?.noteSuccess();
		}

		passHeld();
		const rest = cutter?.rest();
		if (rest && rest.length > 0) {
			pass(rest);
		}

		listener.onAnswered(status);
	};

	running.exchange = options.transport.send(
		{
			address: target.address,
			method: request.method,
			path: request.path,
			headers: target.headers,
			body: request.body,
			needsRecentConnection: !options.isIdempotent,
		},
		{
			onHead(status, headers) {
				if (!isOver) {
					onHead(status, headers);
				}
			},
			onData(bytes) {
				if (!isOver && head) {
					onData(bytes);
				}
			},
			onEnd() {
				if (!isOver && head) {
					onAnswerEnd();
				}
			},
			onFailure({mayHaveBeenSent, detail}) {
				fail(mayHaveBeenSent ? 'unknown' : 'not-run', detail, true);
			},
		},
	);
	if (options.mayGoElsewhere) {
		watchStall(Math.max(minStallMs, stallFactor * target.expectedMs));
	}

	return {
		isRunning: () => !isOver,
		cancel() {
			close();
			running.exchange?.cancel();
		},
	};
};
