/**
 * Carries one request from its arrival to its end: choice of upstream, sends,
 * further sends where they are safe, resumption of streams, and a final answer
 * that says truthfully whether the request ran.
 */
import type * as clock from '@hawthornfront/base/common/clock.js';
import type * as disposable from '@hawthornfront/base/common/disposable.js';
import type * as answerVerdict from './answer-verdict.js';
import * as attempt from './attempt.js';
import type * as dispatcher from './dispatcher.js';
import type * as gatewayEvent from './gateway-event.js';
import type * as gatewayRequest from './gateway-request.js';
import * as relayHeaders from './relay-headers.js';
import type * as resendBudget from './resend-budget.js';
import * as routeConfig from './route-config.js';
import type * as upstreamTransport from './upstream-transport.js';
import type * as wireFormat from './wire-format.js';
import * as workEstimate from './work-estimate.js';

export type EngineServices = {
	clock: clock.Clock;
	wire: wireFormat.WireFormat;
	dispatcher: dispatcher.Dispatcher;
	transport: upstreamTransport.UpstreamTransport;
	budget: resendBudget.ResendBudget;
	log: gatewayEvent.EventLog;
	ownRegion: string;
	/** Versions on which decisions are based, for the log. */
	versions(): {configVersion: number; upstreamRevision: number};
};

export type RequestEngine = {
	/** Starts a request. Disposing it means that the caller has left. */
	handle(
		request: gatewayRequest.GatewayRequest,
		reply: upstreamTransport.CallerReply,
		onEnd: () => void,
	): disposable.Disposable;
};

/** A request with less time left is not sent. */
const minUsefulMs = 15;
/** A refusal for want of an upstream waits this part of the goal for one. */
const waitForUpstreamShare = 0.125;
const waitStepMs = 30;
/** Callers wait at most this part of their time when they are asked back. */
const maxRetryAfterShare = 0.3;
const minRetryAfterMs = 50;
/** Time after which a caller is asked back when an upstream refused and no other is left to try. */
const refusedRetryMs = 200;

/** Priority of the most urgent rank at a runner, and the distance to the next; 0 to 9 exist. */
const firstPriority = 2;
const priorityStep = 3;
const lastPriority = 9;

const priorityOf = (rank: number): number =>
	Math.min(lastPriority, firstPriority + rank * priorityStep);

/** Creates the engine of a daemon. */
export const createRequestEngine = (services: EngineServices): RequestEngine => ({
	handle: (request, reply, onEnd) => startCourse(services, request, reply, onEnd),
});

const startCourse = (
	services: EngineServices,
	request: gatewayRequest.GatewayRequest,
	reply: upstreamTransport.CallerReply,
	onEnd: () => void,
): disposable.Disposable => {
	const {clock, wire, log} = services;
	const {route, facts, service} = request;
	const requestId = facts.attemptId ?? '';
	const work = workEstimate.estimateWork(facts, route);
	const isIdempotent = routeConfig.isIdempotent(route);
	const limitMs = Math.min(facts.patienceMs ?? Number.POSITIVE_INFINITY, route.timeoutMs);
	const deadlineMs = request.arrivedAtMs + limitMs;
	const triedUpstreams = new Set<string>();
	const failedUpstreams = new Set<string>();
	const triedRegions = new Set<string>();
	const timers = new Set<disposable.Disposable>();

	let sends = 0;
	let upstreamsThatRan = 0;
	let mayHaveRun = false;
	let hasStarted = false;
	let hasEnded = false;
	let firstMs = -1;
	let resumeAfter = facts.lastEventId;
	let cancelAttempt: (() => void) | undefined;
	let waitedMs = 0;

	const remainingMs = () => deadlineMs - clock.nowMs();

	/** Calls back unless the request ends before. */
	const after = (delayMs: number, callback: () => void) => {
		const timer = clock.setTimer(() => {
			timers.delete(timer);
			callback();
		}, delayMs);
		timers.add(timer);
	};

	const finish = (
		outcome: (gatewayEvent.RequestEvent & {kind: 'request-ended'})['outcome'],
		status: number,
		reason?: string,
	) => {
		hasEnded = true;
		for (const timer of timers) {
			timer.dispose();
		}

		timers.clear();
		log.note({
			kind: 'request-ended',
			request: requestId,
			route: route.name,
			service: service.name,
			outcome,
			status,
			reason,
			sends,
			firstMs: Math.round(firstMs),
			totalMs: Math.round(clock.nowMs() - request.arrivedAtMs),
			goalMs: route.goalMs,
		});
		onEnd();
	};

	/** Ends a request that has no answer of an upstream. */
	const failWith = (status: number, reason: string, retryAfterMs?: number) => {
		const outcome: answerVerdict.Outcome = mayHaveRun ? 'unknown' : 'not-run';
		if (hasStarted) {
			reply.abort();
			finish('broken', status, reason);
			return;
		}

		const body = new TextEncoder().encode(JSON.stringify({outcome, reason}));
		const headers: wireFormat.Headers = {
			'content-type': 'application/problem+json',
			'content-length': String(body.length),
			[relayHeaders.outcomeHeader]: outcome,
			[relayHeaders.reasonHeader]: reason,
			[relayHeaders.upstreamsUsedHeader]: String(upstreamsThatRan),
		};
		if (retryAfterMs !== undefined) {
			headers['retry-after'] = (retryAfterMs / 1000).toFixed(2);
		}

		reply.start(status, headers);
		reply.write(body);
		reply.end();
		finish(outcome, status, reason);
	};

	const refuse = (reason: string, retryAfterMs: number, basis?: dispatcher.ChoiceBasis) => {
		const waitMs = Math.max(
			minRetryAfterMs,
			Math.min(retryAfterMs, remainingMs() * maxRetryAfterShare),
		);
		log.note({
			kind: 'request-refused',
			request: requestId,
			route: route.name,
			reason,
			status: hasStarted || mayHaveRun ? 502 : 503,
			retryAfterMs: Math.round(waitMs),
			expectedMs: Math.round(basis?.expectedMs ?? -1),
			candidates: basis?.candidates ?? 0,
			remainingMs: Math.round(remainingMs()),
			hasStarted,
			...services.versions(),
		});
		if (hasStarted || mayHaveRun) {
			failWith(502, reason);
		} else {
			failWith(503, reason, waitMs);
		}
	};

	const onDeadline = () => {
		cancelAttempt?.();
		if (sends > 0) {
			// Nothing tells whether the upstream has begun.
			mayHaveRun = true;
			failWith(504, 'deadline');
		} else {
			refuse('deadline', minRetryAfterMs);
		}
	};

	/** Why the request may not be sent again after an attempt; takes from the budget when it may. */
	const obstacleToResend = (
		outcome: answerVerdict.Outcome,
	): gatewayEvent.ResendObstacle | undefined => {
		if (outcome !== 'not-run' && !isIdempotent) {
			return 'not-idempotent';
		}

		if (remainingMs() <= minUsefulMs) {
			return 'no-time';
		}

		if (outcome !== 'not-run' && upstreamsThatRan >= request.maxUpstreams) {
			return 'upstreams-used';
		}

		return services.budget.tryResend(service.name) ? undefined : 'budget';
	};

	/** Decides what follows an attempt that did not answer the caller. */
	const afterFailure = (target: attempt.AttemptTarget, failure: attempt.AttemptFailure) => {
		if (failure.outcome !== 'not-run') {
			mayHaveRun = true;
			// A daemon that does not say how many it used may have used all.
			upstreamsThatRan +=
				failure.upstreamsUsed ?? (target.isRelay ? request.maxUpstreams - upstreamsThatRan : 1);
		}

		const obstacle = obstacleToResend(failure.outcome);
		log.note({
			kind: 'request-attempt-failed',
			request: requestId,
			route: route.name,
			peer: target.peer,
			step: failure.step,
			outcome: failure.outcome,
			detail: failure.detail,
			afterMs: Math.round(clock.nowMs() - failure.startedAtMs),
			isRelay: target.isRelay,
			events: failure.events,
			silentMs: Math.round(failure.silentMs),
			stallLimitMs: failure.stall && Math.round(failure.stall.limitMs),
			timerLateMs: failure.stall && Math.round(failure.stall.timerLateMs),
			next: obstacle ? 'give-up' : 'resend',
			obstacle,
		});
		if (!obstacle) {
			next();
		} else if (mayHaveRun) {
			failWith(502, failure.detail);
		} else {
			refuse(failure.detail, refusedRetryMs);
		}
	};

	const passOn = (bytes: Uint8Array, exchange: upstreamTransport.Exchange | undefined) => {
		if (firstMs < 0) {
			firstMs = clock.nowMs() - request.arrivedAtMs;
		}

		if (!reply.write(bytes) && exchange) {
			exchange.pause();
			const listener = reply.onDidDrain(() => {
				listener.dispose();
				exchange.resume();
			});
		}
	};

	/** Starts one attempt; its end decides what follows. */
	const attemptAt = (target: attempt.AttemptTarget, account: dispatcher.Dispatched | undefined) => {
		const mayGoElsewhere = isIdempotent && upstreamsThatRan + 1 < request.maxUpstreams;
		const running = attempt.startAttempt(
			{
				clock,
				wire,
				transport: services.transport,
				request,
				target,
				account,
				isIdempotent,
				mayGoElsewhere,
				mayResendNow: () => services.budget.canResend(service.name),
				isResumption: hasStarted,
			},
			{
				onHead(status, headers) {
					if (!hasStarted) {
						hasStarted = true;
						reply.start(status, wire.answerHeaders(headers));
					}
				},
				onBytes: passOn,
				onAnswered(status) {
					cancelAttempt = undefined;
					reply.end();
					finish('answered', status);
				},
				onFailed(failure) {
					cancelAttempt = undefined;
					if (failure.outcome !== 'ran') {
						failedUpstreams.add(target.peer);
					}

					resumeAfter = failure.lastEventId ?? resumeAfter;
					afterFailure(target, failure);
				},
			},
		);
		if (!hasEnded && running.isRunning()) {
			cancelAttempt = running.cancel;
		}
	};

	const sendTo = (
		choice: dispatcher.Choice & {kind: 'upstream'},
		dispatchRequest: dispatcher.DispatchRequest,
	) => {
		const {upstream, basis} = choice;
		const {id, address} = upstream.entry;
		triedUpstreams.add(id);
		sends++;
		log.note({
			kind: 'request-sent',
			request: requestId,
			route: route.name,
			upstream: id,
			send: sends,
			expectedMs: Math.round(basis.expectedMs),
			candidates: basis.candidates,
			requestsThere: basis.requestsThere,
			heldTokens: basis.heldTokens,
			streamingMs: basis.streamingMs,
			promptSource: choice.promptSource?.entry.id,
			remainingMs: Math.round(remainingMs()),
			resumeAfter,
		});
		const headers = wire.dispatchHeaders(request.rawHeaders, {
			remainingMs: remainingMs(),
			upstreamId: id,
			priority: service.engine ? priorityOf(route.rank) : undefined,
			resumeAfterEventId: resumeAfter,
			promptSource: choice.promptSource?.entry.address,
		});
		attemptAt(
			{peer: id, address, headers, isRelay: false, expectedMs: basis.expectedMs},
			services.dispatcher.dispatch(choice, dispatchRequest),
		);
	};

	const relayTo = (choice: dispatcher.Choice & {kind: 'region'}) => {
		const {region, member, basis} = choice;
		triedRegions.add(region);
		sends++;
		log.note({
			kind: 'request-relayed',
			request: requestId,
			route: route.name,
			region,
			peer: member.name,
			send: sends,
			expectedMs: Math.round(basis.expectedMs),
			outlookAgeMs: basis.outlookAgeMs,
			remainingMs: Math.round(remainingMs()),
		});
		const headers = wire.relayHeaders(request.rawHeaders, remainingMs(), resumeAfter);
		headers.push(
			relayHeaders.relayedFromHeader,
			services.ownRegion,
			relayHeaders.upstreamsLeftHeader,
			String(request.maxUpstreams - upstreamsThatRan),
		);
		attemptAt(
			{
				peer: member.name,
				address: member.peerAddress,
				headers,
				isRelay: true,
				expectedMs: basis.expectedMs,
			},
			undefined,
		);
	};

	const next = () => {
		if (hasEnded) {
			return;
		}

		if (remainingMs() < minUsefulMs) {
			onDeadline();
			return;
		}

		const dispatchRequest: dispatcher.DispatchRequest = {
			route,
			service,
			work,
			remainingMs: remainingMs(),
			triedUpstreams,
			failedUpstreams,
			triedRegions,
			mayCross: request.relayedFrom === undefined,
		};
		const choice = services.dispatcher.choose(dispatchRequest);
		if (choice.kind === 'upstream') {
			sendTo(choice, dispatchRequest);
		} else if (choice.kind === 'region') {
			relayTo(choice);
		} else if (choice.reason === 'no-upstream' && waitedMs < route.goalMs * waitForUpstreamShare) {
			waitedMs += waitStepMs;
			after(waitStepMs, next);
		} else {
			refuse(choice.reason, choice.retryAfterMs, choice.basis);
		}
	};

	services.budget.noteRequest(service.name);
	after(Math.max(0, remainingMs()), onDeadline);
	next();
	return {
		dispose() {
			if (hasEnded) {
				return;
			}

			cancelAttempt?.();
			finish('caller-gone', 0);
		},
	};
};
