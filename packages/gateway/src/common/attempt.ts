/** One attempt of a request: a send to an upstream, or to a daemon of another region, up to its end. */
import type * as clock from '@hawthornfront/base/common/clock.js';
import * as answerClassifier from './answer-classifier.js';
import type * as dispatcher from './dispatcher.js';
import * as eventSplitter from './event-splitter.js';
import type * as gatewayRequest from './gateway-request.js';
import * as stallDetector from './stall-detector.js';
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
	account: dispatcher.DispatchedRequest | undefined;
	isIdempotent: boolean;
	/** Whether another run may answer in place of one that failed, so that its failure is not passed on. */
	mayAskAgain(): boolean;
	/** Whether the caller has part of the answer already. */
	isResumption(): boolean;
};

export type AttemptFailure = {
	/** Step of the request at which it failed. */
	step: string;
	outcome: answerClassifier.Outcome;
	detail: string;
	startedAtMs: number;
	/** Upstreams that may have run the request; undefined when it is not known. */
	upstreamsUsed?: number;
	/** Complete events that the peer sent. */
	events: number;
	/** Time since the peer last made progress, or since the send. */
	silentMs: number;
	/** Set when the attempt was given up for its peer's silence. */
	stall?: stallDetector.Stall;
	/** Last whole event that the caller was given. */
	lastEventId?: string;
};

/** Callbacks of one attempt. After `onAnswered`, `onFailed` or a cancel, nothing more is called. */
export type AttemptListener = {
	/** A connection stands and the request is written to it. */
	onSent(): void;
	/**
	 * The peer has an answer for the caller: a whole event of a stream, or a plain
	 * answer that is whole or too large to be held. Called before its bytes are
	 * passed on, for each event.
	 */
	onAnswering(): void;
	/** The peer is silent beyond the limit; repeated while it lasts. The attempt goes on. */
	onSilent(stall: stallDetector.Stall, step: string): void;
	/** The head goes to the caller; called before the first bytes. */
	onHead(status: number, headers: wireFormat.Headers): void;
	onBytes(bytes: Uint8Array, flow: Flow | undefined): void;
	/** The whole answer was passed on. */
	onAnswered(status: number): void;
	onFailed(failure: AttemptFailure): void;
};

/** Holds the peer's bytes back while the caller does not read. */
export type Flow = Pick<upstreamTransport.Exchange, 'pause' | 'resume'>;

export type Attempt = {
	isRunning(): boolean;
	/** Last whole event that the caller was given. */
	readonly lastEventId: string | undefined;
	/** Complete events that the peer sent. */
	readonly events: number;
	/** Gives the attempt up for its peer's silence. */
	giveUp(stall: stallDetector.Stall): void;
	/** Stops the upstream's work; nothing more is called. */
	cancel(): void;
};

/** Answers of plain services up to this size are held back until they are complete. */
const maxHeldAnswerBytes = 262_144;
/** An idempotent request without a first event looks for another upstream after this multiple of the expected time. */
const stallFactor = 3;
const minStallMs = 700;
const minGapStallMs = 900;
/** Multiple of the longest gap that is on time. */
const gapStallFactor = 2;
/** A daemon that relays looks for another upstream itself first, so the one that sent it there waits longer. */
const relayStallFactor = 2;

/** Sends the request. */
export const startAttempt = (options: AttemptOptions, listener: AttemptListener): Attempt => {
	const {clock, wire, request, target, account} = options;
	const {route} = request;
	const isStream = route.work === 'stream';
	const cutter = isStream ? eventSplitter.createEventSplitter() : undefined;
	const startedAtMs = clock.nowMs();
	const held: Uint8Array[] = [];
	let heldBytes = 0;
	let step = 'sent-in-full';
	let isPassing = false;
	let isOver = false;
	let head: {status: number; headers: wireFormat.Headers} | undefined;
	let watch: stallDetector.StallDetector | undefined;
	let progressAtMs = startedAtMs;
	const running: {exchange?: upstreamTransport.Exchange} = {};

	/** Where another run may go on. */
	const lastEventId = () => (route.canResume ? cutter?.lastEventId : undefined);

	const close = () => {
		isOver = true;
		watch?.dispose();
		account?.end();
	};

	const fail = (
		outcome: answerClassifier.Outcome,
		detail: string,
		isHard: boolean,
		more: {upstreamsUsed?: number; stall?: stallDetector.Stall} = {},
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
			silentMs: clock.nowMs() - progressAtMs,
			lastEventId: lastEventId(),
			...more,
		});
	};

	const flow: Flow = {
		pause() {
			running.exchange?.pause();
			watch?.pause();
		},
		resume() {
			running.exchange?.resume();
			watch?.resume();
		},
	};

	const silenceLimitMs = (delayMs: number) => delayMs * (target.isRelay ? relayStallFactor : 1);

	const noteProgress = () => {
		progressAtMs = clock.nowMs();
		account?.noteEvent();
		account?.noteFirstEvent();
		watch?.setLimit(
			silenceLimitMs(Math.max(minGapStallMs, gapStallFactor * (route.maxEventGapMs ?? 0))),
		);
	};

	const startPassing = () => {
		if (!isPassing) {
			isPassing = true;
			listener.onAnswering();
			listener.onHead(head!.status, head!.headers);
		}
	};

	const pass = (bytes: Uint8Array) => {
		startPassing();
		listener.onBytes(bytes, isOver ? undefined : flow);
	};

	const passHeld = () => {
		startPassing();
		for (const bytes of held.splice(0)) {
			pass(bytes);
		}
	};

	const onHead = (status: number, headers: wireFormat.Headers) => {
		const verdict = answerClassifier.classifyAnswer(
			status,
			headers,
			wire.readAnswer(status, headers),
			request.facts.attemptId,
			options.mayAskAgain() && !options.isResumption(),
		);
		if (verdict.kind === 'fail') {
			if (verdict.isReplaced) {
				account?.noteReplaced();
			}

			fail(verdict.outcome, verdict.detail, verdict.isHard, {
				upstreamsUsed: verdict.upstreamsUsed,
			});
		} else if (options.isResumption() && status !== 200) {
			fail('unknown', `resume-${status}`, false);
		} else {
			head = {status, headers};
			step = 'first-token';
		}
	};

	/** Only complete events are progress: a runner in trouble may send other bytes without end. */
	const passEvents = (events: eventSplitter.EventSplitter, bytes: Uint8Array) => {
		const eventsBefore = events.events;
		const complete = events.push(bytes);
		if (events.events > eventsBefore) {
			noteProgress();
			listener.onAnswering();
		}

		if (complete) {
			step = 'mid-stream';
			pass(complete);
		}

		if (events.isOverlong) {
			fail('unknown', 'not-an-answer', true);
		}
	};

	const onData = (bytes: Uint8Array) => {
		if (cutter && head!.status < 300) {
			passEvents(cutter, bytes);
			return;
		}

		noteProgress();
		if (isPassing || isStream) {
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
			onSent() {
				if (!isOver) {
					listener.onSent();
				}
			},
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
	if (options.isIdempotent && !isOver) {
		watch = stallDetector.createStallDetector(
			clock,
			silenceLimitMs(Math.max(minStallMs, stallFactor * target.expectedMs)),
			(stall) => {
				listener.onSilent(stall, step);
			},
		);
	}

	return {
		isRunning: () => !isOver,
		get lastEventId() {
			return lastEventId();
		},
		get events() {
			return cutter?.events ?? 0;
		},
		giveUp(stall) {
			fail('unknown', step === 'sent-in-full' ? 'no-answer' : 'stalled', true, {stall});
		},
		cancel() {
			close();
			running.exchange?.cancel();
		},
	};
};
