/** One attempt of a request: sends it to an upstream or a daemon of another region and processes the answer. */
import type * as clock from '@hawthornfront/base/common/clock.js';
import type * as disposable from '@hawthornfront/base/common/disposable.js';
import type * as answerBuffers from './answer-buffers.js';
import * as answerClassifier from './answer-classifier.js';
import type * as callerStream from './caller-stream.js';
import type * as crashDetector from './crash-detector.js';
import type * as dispatcher from './dispatcher.js';
import * as eventSplitter from './event-splitter.js';
import type * as gatewayRequest from './gateway-request.js';
import * as growingBytes from './growing-bytes.js';
import * as relayHeaders from './relay-headers.js';
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
	/** Records the upstream's load and failures; undefined for a relay. */
	account: dispatcher.DispatchedRequest | undefined;
	/** Compares crashes of the upstream with the prompts there; undefined for a relay or without a prompt. */
	observedRun: crashDetector.ObservedRun | undefined;
	isIdempotent: boolean;
	/** Bounds what all attempts hold back. */
	buffers: answerBuffers.AnswerBuffers;
	/** Whether a failed run may be retried, so that its failure is not passed to the caller. */
	canRetry(): boolean;
	/** Head of the answer of which the caller has a part already; undefined if it has none. */
	begunHeaders(): wireFormat.Headers | undefined;
	/** Another daemon has answered by a later configuration than the one that it was told. */
	onLaterConfig(version: number): void;
	/** The events that the caller has of all attempts. */
	callerStream: callerStream.CallerStream;
};

export type AttemptFailure = {
	/** Step of the request at which it failed. */
	step: string;
	outcome: answerClassifier.Outcome;
	detail: string;
	startedAtMs: number;
	/** Upstreams that may have run the request; undefined when unknown. */
	upstreamsUsed?: number;
	/** Complete events that the peer sent. */
	events: number;
	/** Time since the peer last made progress, or since the send. */
	silentMs: number;
	/** Set when the attempt was cancelled because its peer stalled. */
	stall?: stallDetector.Stall;
	/** The connection broke after the head of a stream and before its first event. */
	brokeAsItBegan: boolean;
};

/** Callbacks of one attempt. After `onAnswered`, `onFailed` or a cancel, nothing more is called. */
export type AttemptListener = {
	/** The connection is open and the request is written to it. */
	onSent(): void;
	/**
	 * The peer has an answer for the caller: a complete event of a stream or other text, or a
	 * plain answer that is complete or too large to be buffered. Called before its bytes are
	 * passed on, for each event.
	 */
	onAnswering(): void;
	/** The peer is silent beyond the limit; repeated while the stall lasts. The attempt continues. */
	onSilent(stall: stallDetector.Stall, step: string): void;
	/** The head is passed to the caller; called before the first bytes. */
	onHead(status: number, headers: wireFormat.Headers): void;
	onBytes(bytes: Uint8Array, flow: Flow | undefined): void;
	/** The complete answer was passed on. */
	onAnswered(status: number): void;
	onFailed(failure: AttemptFailure): void;
};

/** Backpressure on the peer while the caller does not read. */
export type Flow = Pick<upstreamTransport.Exchange, 'pause' | 'resume'>;

export type Attempt = {
	isRunning(): boolean;
	/** Complete events that the peer sent. */
	readonly events: number;
	/** Fails the attempt because its peer stalled. */
	giveUp(stall: stallDetector.Stall): void;
	/** Cancels the upstream's work; no callback is called after it. */
	cancel(): void;
};

/** Status with which an upstream turns a request away and may ask for a pause. */
const busyStatus = 503;
/** Answers of plain services up to this size are buffered until they are complete. */
const maxBufferedAnswerBytes = 262_144;
/** Incomplete events up to this size are also held back while all attempts together hold too much. */
const maxScarceEventBytes = 16_384;
/** An idempotent request without a first event counts as stalled after this multiple of the expected time. */
const stallFactor = 3;
const minStallMs = 700;
const minGapStallMs = 900;
/** Multiple of the route's longest allowed gap between events. */
const gapStallFactor = 2;
/** The daemon that a request is relayed to retries first, so the relaying daemon waits longer. */
const relayStallFactor = 2;

/** Whether a stream whose connection ended was broken off: an upstream that breaks off an answer without length ends the connection too. */
const isBrokenOff = ({events, rest}: eventSplitter.EventSplitter): boolean =>
	events === 0 || rest().length > 0;

const mediaTypeOf = (headers: wireFormat.Headers): string =>
	String(headers['content-type'] ?? '')
		.split(';', 1)[0]!
		.trim()
		.toLowerCase();

/** Sends the request. */
export const startAttempt = (options: AttemptOptions, listener: AttemptListener): Attempt => {
	const {clock, wire, request, target, account, observedRun, callerStream} = options;
	const {route} = request;
	const isStream = route.work === 'stream';
	const splitter = isStream ? eventSplitter.createEventSplitter() : undefined;
	const startedAtMs = clock.nowMs();
	// Copies the bytes, because each piece of an answer in very small pieces takes a buffer of its own.
	const buffered = growingBytes.createGrowingBytes();
	const heldBack = options.buffers.add();
	let step = 'sent-in-full';
	let isPassing = false;
	/** The answer continues one of which the caller has a part. */
	let isContinuation = false;
	let isOver = false;
	let wasSent = false;
	let head: {status: number; headers: wireFormat.Headers} | undefined;
	let detector: stallDetector.StallDetector | undefined;
	let restrictSubscription: disposable.Disposable | undefined;
	let progressAtMs = startedAtMs;
	const running: {exchange?: upstreamTransport.Exchange} = {};

	const close = () => {
		isOver = true;
		heldBack.set(0);
		restrictSubscription?.dispose();
		detector?.dispose();
		account?.end();
		observedRun?.end();
	};

	const fail = (
		outcome: answerClassifier.Outcome,
		detail: string,
		isHard: boolean,
		more: {
			upstreamsUsed?: number;
			stall?: stallDetector.Stall;
			brokeAsItBegan?: boolean;
		} = {},
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
			events: splitter?.events ?? 0,
			silentMs: clock.nowMs() - progressAtMs,
			brokeAsItBegan: false,
			...more,
		});
	};

	const flow: Flow = {
		pause() {
			running.exchange?.pause();
			detector?.pause();
		},
		resume() {
			running.exchange?.resume();
			detector?.resume();
		},
	};

	const silenceLimitMs = (delayMs: number) => delayMs * (target.isRelay ? relayStallFactor : 1);

	const noteProgress = () => {
		progressAtMs = clock.nowMs();
		account?.noteEvent();
		account?.noteFirstEvent();
		detector?.setLimit(
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

	const passBuffered = () => {
		startPassing();
		heldBack.set(0);
		if (buffered.length > 0) {
			pass(buffered.take());
		}
	};

	/** Notes what the upstream says of itself, if the answer is its own to this request. */
	const noteUpstreamState = (status: number, answer: wireFormat.AnswerFacts) => {
		if (answer.attemptId !== request.facts.attemptId || answer.isWrongUpstream) {
			return;
		}

		if (answer.isLeaving) {
			account?.noteLeaving();
		}

		if (status === busyStatus && answer.pause) {
			account?.notePause(answer.pause);
		}
	};

	/** Notes a configuration that another daemon has in force. */
	const noteConfigVersion = (headers: wireFormat.Headers) => {
		const version = Number(headers[relayHeaders.configVersionHeader]);
		if (target.isRelay && version > request.configVersion) {
			options.onLaterConfig(version);
		}
	};

	const onHead = (status: number, headers: wireFormat.Headers) => {
		noteConfigVersion(headers);
		const begun = options.begunHeaders();
		const answer = wire.readAnswer(status, headers);
		noteUpstreamState(status, answer);
		if (answer.isSigned || answer.requestsPerS !== undefined) {
			account?.noteRateLimit(answer.requestsPerS);
		}

		const classification = answerClassifier.classifyAnswer(
			status,
			headers,
			answer,
			request.facts.attemptId,
			options.canRetry() && !begun,
		);
		if (classification.kind === 'fail') {
			if (classification.isReplaced) {
				account?.noteReplaced();
			}

			fail(classification.outcome, classification.detail, classification.isHard, {
				upstreamsUsed: classification.upstreamsUsed,
			});
		} else if (begun && status !== 200) {
			fail('unknown', `resume-${status}`, false);
		} else if (begun && mediaTypeOf(begun) !== mediaTypeOf(headers)) {
			fail('unknown', 'resume-not-a-stream', true);
		} else {
			isContinuation = begun !== undefined;
			head = {status, headers};
			step = 'first-token';
			observedRun?.noteHead();
		}
	};

	/** Fails the attempt because the connection broke after the request was sent. */
	const failBroken = (detail: string) => {
		observedRun?.noteBroken();
		fail('unknown', detail, true, {
			brokeAsItBegan: head !== undefined && !isPassing && splitter?.events === 0,
		});
	};

	/** Whether the caller may get these events of an answer that continues another one. */
	const mayContinueWith = (complete: eventSplitter.CompleteEvents, isFirst: boolean): boolean =>
		isFirst ? callerStream.mayBeginWith(complete) : callerStream.mayGoOnWith(complete);

	/** Only complete events are progress: a faulty runner may send other bytes without end. */
	const passEvents = (events: eventSplitter.EventSplitter, bytes: Uint8Array) => {
		const isFirst = events.events === 0;
		const complete = events.push(bytes);
		if (complete && isContinuation && !mayContinueWith(complete, isFirst)) {
			const isText = complete.hasOtherText || complete.ids.length === 0;
			failBroken(isText ? 'not-events' : 'events-out-of-order');
			return;
		}

		const hasEvent = complete !== undefined && complete.ids.length > 0;
		if (hasEvent) {
			noteProgress();
			observedRun?.noteEvents(events.events);
		}

		if (hasEvent || complete?.hasOtherText) {
			// Another run can't go on where it was asked to.
			listener.onAnswering();
		}

		if (complete) {
			step = 'mid-stream';
			callerStream.notePassed(complete);
			pass(complete.bytes);
		}

		const pendingBytes = events.rest().length;
		const hasRoom = heldBack.set(isOver ? 0 : pendingBytes);
		if (events.isOverlong || (!hasRoom && pendingBytes > maxScarceEventBytes)) {
			fail('unknown', 'not-an-answer', true);
		}
	};

	const onData = (bytes: Uint8Array) => {
		if (splitter && head!.status < 300) {
			passEvents(splitter, bytes);
			return;
		}

		noteProgress();
		if (isPassing || isStream) {
			step = 'mid-stream';
			pass(bytes);
		} else {
			buffered.append(bytes);
			const hasRoom = heldBack.set(buffered.length);
			if (!hasRoom || buffered.length > maxBufferedAnswerBytes) {
				passBuffered();
			}
		}
	};

	const onAnswerEnd = (endedBy: 'connection' | undefined) => {
		const {status} = head!;
		const isBroken =
			splitter !== undefined &&
			status < 300 &&
			((endedBy === 'connection' && isBrokenOff(splitter)) ||
				(isContinuation && splitter.rest().length > 0));
		if (isBroken) {
			failBroken('ended-inside-event');
			return;
		}

		step = 'last-token';
		account?.noteFirstEvent();
		close();
		if (status >= 500) {
			account?.noteFailure(false);
		} else {
			account?.noteSuccess();
		}

		if (status < 300) {
			observedRun?.noteAnswer();
		}

		passBuffered();
		const rest = splitter?.rest();
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
			isRelay: target.isRelay,
		},
		{
			onSent() {
				wasSent = true;
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
			onEnd(endedBy) {
				if (!isOver && head) {
					onAnswerEnd(endedBy);
				}
			},
			onFailure({mayHaveBeenSent, detail, isLocal}) {
				if (isOver) {
					return;
				}

				if (mayHaveBeenSent) {
					failBroken(detail);
				} else {
					fail('not-run', detail, !isLocal);
				}
			},
		},
	);
	// A request that waits for its connection would reach the upstream in its pause, or when it is cold.
	if (!wasSent && !isOver) {
		restrictSubscription = account?.onDidRestrict((reason) => {
			if (!wasSent) {
				fail('not-run', reason, false);
			}
		});
	}

	if (options.isIdempotent && !isOver) {
		detector = stallDetector.createStallDetector(
			clock,
			silenceLimitMs(Math.max(minStallMs, stallFactor * target.expectedMs)),
			(stall) => {
				listener.onSilent(stall, step);
			},
		);
	}

	return {
		isRunning: () => !isOver,
		get events() {
			return splitter?.events ?? 0;
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
