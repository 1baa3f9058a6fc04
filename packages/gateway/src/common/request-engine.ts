/**
 * Executes one request from its arrival to its end: choice of upstream, send, safe
 * retries, resumption of streams, and a final answer that states whether the request
 * ran.
 */
import type * as clock from '@hawthornfront/base/common/clock.js';
import * as disposable from '@hawthornfront/base/common/disposable.js';
import type * as answerClassifier from './answer-classifier.js';
import * as answerBuffers from './answer-buffers.js';
import * as attempt from './attempt.js';
import * as attemptFailover from './attempt-failover.js';
import * as callerStreams from './caller-stream.js';
import type * as crashDetector from './crash-detector.js';
import type * as dispatcher from './dispatcher.js';
import type * as gatewayEvent from './gateway-event.js';
import type * as gatewayRequest from './gateway-request.js';
import * as relayHeaders from './relay-headers.js';
import * as relayedRoute from './relayed-route.js';
import type * as promptQuarantine from './prompt-quarantine.js';
import * as requestLogs from './request-log.js';
import type * as sharedRetryBudget from './shared-retry-budget.js';
import * as routeConfig from './route-config.js';
import type * as upstreamRegistry from './upstream-registry.js';
import type * as upstreamTransport from './upstream-transport.js';
import type * as wireFormat from './wire-format.js';
import * as workEstimate from './work-estimate.js';

export type EngineServices = {
	clock: clock.Clock;
	wire: wireFormat.WireFormat;
	dispatcher: dispatcher.Dispatcher;
	transport: upstreamTransport.UpstreamTransport;
	budget: sharedRetryBudget.SharedRetryBudget;
	quarantine: promptQuarantine.PromptQuarantine;
	crashes: crashDetector.CrashDetector;
	log: gatewayEvent.EventLog;
	/** Bounds what all attempts hold back of their answers. */
	buffers?: answerBuffers.AnswerBuffers;
	localRegion: string;
	/** Whether a daemon of another region is alive and its region not partitioned. */
	isReachable(peer: string): boolean;
	/** Another daemon has answered a relayed request by a later configuration. */
	onLaterConfig(peer: string, version: number): void;
	/** Versions on which decisions are based, for the log. */
	versions(): {configVersion: number; upstreamRevision: number};
};

/** A request in progress. Dispose it when the caller has disconnected. */
export type RequestExecution = disposable.Disposable & {
	/** Ends the request because the grace period of the daemon's stop is over. */
	terminate(): void;
};

export type RequestEngine = {
	/** Starts a request. */
	handle(
		request: gatewayRequest.GatewayRequest,
		reply: upstreamTransport.CallerReply,
		onEnd: OnEnd,
	): RequestExecution;
};

/** @param mayHaveRun whether an upstream may have begun to run the request */
export type OnEnd = (mayHaveRun: boolean) => void;

/** A request with less time left is not sent. */
const minUsefulMs = 15;
/** A request waits for an upstream for this share of its goal before it is refused. */
const upstreamWaitShare = 0.125;
const waitStepMs = 30;
/** Limit of the retry delay of callers, as a share of the time left. */
const maxRetryAfterShare = 0.3;
const minRetryAfterMs = 50;
/** Retry delay for callers when an upstream refused and no other is left to try. */
const refusedRetryMs = 200;

/** Reason of a request that is refused because it, or a part of its prompt, is quarantined. */
const quarantinedReason = 'quarantined-prompt';

/** Runner priorities range from 0 to 9; the most urgent rank has the first priority, each further rank one step more, each route rank within a team's a part of a step. */
const firstPriority = 2;
const priorityStep = routeConfig.routeRanksInTeam;
const lastPriority = 9;

/** A choice that is not a refusal. */
type SendChoice = Exclude<dispatcher.Choice, {kind: 'refuse'}>;

const priorityOf = (rank: number): number =>
	Math.min(lastPriority, Math.round(firstPriority + rank * priorityStep));

/** Creates the engine of a daemon. */
export const createRequestEngine = ({
	buffers = answerBuffers.createAnswerBuffers(),
	...services
}: EngineServices): RequestEngine => ({
	handle: (request, reply, onEnd) => startRequest({...services, buffers}, request, reply, onEnd),
});

const startRequest = (
	services: EngineServices & Required<Pick<EngineServices, 'buffers'>>,
	request: gatewayRequest.GatewayRequest,
	reply: upstreamTransport.CallerReply,
	onEnd: OnEnd,
): RequestExecution => {
	const {clock, wire} = services;
	const {route, team, facts, service} = request;
	const rank = routeConfig.rankOf(request);
	const work = workEstimate.estimateWork(facts, route);
	const observed: crashDetector.ObservedRequest = {
		attemptId: facts.attemptId,
		// Parts beyond those that the estimate lists are read anew, since each request would keep thousands.
		partIds: () =>
			facts.hasUnlistedParts
				? wire.readSharedPartIds(request.rawHeaders)
				: work.sharedParts.map(({id}) => id),
		digest: request.digest,
		isStream: route.work === 'stream',
	};
	const isIdempotent = routeConfig.isIdempotent(route);
	const limitMs = Math.min(facts.callerTimeoutMs ?? Number.POSITIVE_INFINITY, route.timeoutMs);
	const deadlineMs = request.arrivedAtMs + limitMs;
	const triedUpstreams = new Set<string>();
	const failedUpstreams = new Set<string>();
	const triedRegions = new Set<string>();
	const timers = new Set<disposable.Disposable>();
	const callerStream = callerStreams.createCallerStream(facts.lastEventId);
	/** Released when the request ends. */
	const resources = disposable.createDisposableStore();

	let sends = 0;
	let upstreamsThatRan = 0;
	let mayHaveRun = false;
	let hasStarted = false;
	/** Head of the upstream's answer that was passed to the caller. */
	let begunHeaders: wireFormat.Headers | undefined;
	/** The caller has part of an answer that may not be continued. */
	let isFinalAnswer = false;
	let hasEnded = false;
	let firstMs = -1;
	let lastObstacle: gatewayEvent.TakeoverObstacle | undefined;
	let waitedMs = 0;

	const remainingMs = () => deadlineMs - clock.nowMs();

	/** The caller has part of an answer that no other run can continue. */
	const isPartlyPassed = () => isFinalAnswer || !callerStream.canContinue;

	const requestLog = requestLogs.createRequestLog(clock, services.log, request, () => ({
		remainingMs: remainingMs(),
		sends,
		resumeAfter: callerStream.lastEventId,
	}));

	/** Runs the callback after a delay unless the request ends before. */
	const runAfter = (delayMs: number, callback: () => void) => {
		const timer = clock.setTimer(() => {
			timers.delete(timer);
			callback();
		}, delayMs);
		timers.add(timer);
	};

	const finish = (outcome: requestLogs.EndedEvent['outcome'], status: number, reason?: string) => {
		hasEnded = true;
		for (const timer of timers) {
			timer.dispose();
		}

		timers.clear();
		resources.dispose();
		requestLog.ended({outcome, status, reason}, firstMs);
		onEnd(outcome !== 'not-run' && sends > 0);
	};

	/** Ends a request that has no answer from an upstream. */
	const failWith = (status: number, reason: string, retryAfterMs?: number) => {
		const outcome: answerClassifier.Outcome = mayHaveRun ? 'unknown' : 'not-run';
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
		// The end of a pause is known, also when it is later than the deadline.
		const longestMs =
			reason === 'paused' ? Number.POSITIVE_INFINITY : remainingMs() * maxRetryAfterShare;
		const waitMs = Math.max(minRetryAfterMs, Math.min(retryAfterMs, longestMs));
		const status = hasStarted || mayHaveRun ? 502 : 503;
		requestLog.refused({reason, status, hasStarted, ...services.versions()}, waitMs, basis);
		failWith(status, reason, status === 503 ? waitMs : undefined);
	};

	/** Refuses the request because it, or a part of its prompt, is quarantined; returns whether it did. */
	const refuseQuarantined = (): boolean => {
		const found = services.quarantine.quarantinedPart(service.name, observed);
		if (!found) {
			return false;
		}

		const status = hasStarted || mayHaveRun ? 502 : 503;
		const decision = {reason: quarantinedReason, status, hasStarted, part: found.partId};
		requestLog.refused({...decision, ...services.versions()}, found.remainingMs, undefined);
		failWith(status, quarantinedReason, status === 503 ? found.remainingMs : undefined);
		return true;
	};

	/** Ends a request in progress that would crash its upstream. */
	const onQuarantine = () => {
		const isAffected = services.quarantine.quarantinedPart(service.name, observed) !== undefined;
		if (isAffected && !hasEnded && !hasStarted) {
			failover.cancel();
			// The upstream may have begun to run the request.
			mayHaveRun ||= sends > 0;
			refuseQuarantined();
		}
	};

	const onDeadline = () => {
		// After a failed run, the request may be waiting for another upstream.
		const reason = sends > 0 && !failover.isRunning ? 'no-upstream' : 'deadline';
		failover.cancel();
		if (sends > 0) {
			// The upstream may have begun to run the request.
			mayHaveRun = true;
			failWith(504, reason);
		} else {
			refuse('deadline', minRetryAfterMs);
		}
	};

	/** Why the request may not be sent again after an attempt; undefined if it may, which uses one retry of the budget. */
	const obstacleToResend = (
		{outcome, detail}: attempt.AttemptFailure,
		hasCrashed: boolean,
	): gatewayEvent.ResendObstacle | undefined => {
		if (outcome !== 'not-run' && !isIdempotent) {
			return 'not-idempotent';
		}

		if (hasCrashed || detail === quarantinedReason) {
			return 'suspected-prompt';
		}

		if (isPartlyPassed()) {
			return 'partly-passed';
		}

		if (remainingMs() <= minUsefulMs) {
			return 'no-time';
		}

		if (upstreamsThatRan >= request.maxUpstreams) {
			return 'upstreams-used';
		}

		return services.budget.tryRetry(service.name) ? undefined : 'budget';
	};

	/** Counts upstreams that may have run the request in an attempt that has ended. */
	const noteMayHaveRun = (target: attempt.AttemptTarget, upstreamsUsed?: number) => {
		mayHaveRun = true;
		// A daemon that does not report how many upstreams it used may have used all.
		upstreamsThatRan +=
			upstreamsUsed ?? (target.isRelay ? request.maxUpstreams - upstreamsThatRan : 1);
	};

	const noteFailed = (target: attempt.AttemptTarget, failure: attempt.AttemptFailure) => {
		if (failure.outcome !== 'ran') {
			failedUpstreams.add(target.peer);
		}

		if (failure.outcome !== 'not-run') {
			noteMayHaveRun(target, failure.upstreamsUsed);
		}
	};

	/** Decides what follows an attempt that did not answer the caller. */
	const decideResend = (
		target: attempt.AttemptTarget,
		failure: attempt.AttemptFailure,
		hasCrashed: boolean,
	) => {
		const obstacle = obstacleToResend(failure, hasCrashed);
		requestLog.failed(target, failure, obstacle ? 'give-up' : 'resend', obstacle);
		if (!obstacle) {
			next();
		} else if (mayHaveRun) {
			failWith(502, failure.detail);
		} else {
			refuse(failure.detail, refusedRetryMs);
		}
	};

	const afterFailure = (
		{target, upstream}: attemptFailover.AttemptPlan,
		failure: attempt.AttemptFailure,
	) => {
		noteFailed(target, failure);
		const mayHaveCrashed =
			failure.brokeAsItBegan ||
			(failure.outcome === 'unknown' && services.quarantine.isSuspected(service.name, observed));
		if (!mayHaveCrashed || !upstream || !isIdempotent) {
			decideResend(target, failure, false);
			return;
		}

		// A request that crashed this upstream would crash the next one too.
		services.crashes.whenDecided(upstream, (hasCrashed) => {
			if (!hasEnded) {
				decideResend(target, failure, hasCrashed);
			}
		});
	};

	const passToCaller = (bytes: Uint8Array, flow: attempt.Flow | undefined) => {
		if (firstMs < 0) {
			firstMs = clock.nowMs() - request.arrivedAtMs;
		}

		if (!reply.write(bytes) && flow) {
			flow.pause();
			const listener = reply.onDidDrain(() => {
				listener.dispose();
				flow.resume();
			});
		}
	};

	/** Why no other upstream may be tried beside a stalled attempt. */
	const obstacleToTakeover = (
		target: attempt.AttemptTarget,
	): gatewayEvent.TakeoverObstacle | undefined => {
		if (isPartlyPassed()) {
			return 'partly-passed';
		}

		if (remainingMs() <= minUsefulMs) {
			return 'no-time';
		}

		// The daemon that the request was relayed to looks for another upstream itself.
		if (target.isRelay && (hasStarted || services.isReachable(target.peer))) {
			return 'relayed';
		}

		if (services.quarantine.isSuspected(service.name, observed)) {
			return 'suspected-prompt';
		}

		// A relay to a partitioned region counts as one upstream.
		if (upstreamsThatRan + 1 >= request.maxUpstreams) {
			return 'upstreams-used';
		}

		return services.budget.canHedge(service.name) ? undefined : 'budget';
	};

	/** Finds an upstream that can take over from a stalled one. */
	const findSuccessor = (
		target: attempt.AttemptTarget,
	): {choice: SendChoice} | {obstacle: gatewayEvent.TakeoverObstacle} => {
		const obstacle = obstacleToTakeover(target);
		if (obstacle) {
			return {obstacle};
		}

		const baseRequest = dispatchRequest();
		const choice = services.dispatcher.choose({
			...baseRequest,
			failedUpstreams: new Set([...failedUpstreams, target.peer]),
			// The stalled upstream may still answer first, so a successor that is too slow is refused.
			wasAccepted: false,
			// A daemon of another region may detect too late for a stream that it has no upstream.
			mayRelay: baseRequest.mayRelay && (route.work !== 'stream' || target.isRelay),
		});
		if (choice.kind === 'refuse') {
			return {obstacle: choice.reason};
		}

		return services.budget.tryHedge(service.name) ? {choice} : {obstacle: 'budget'};
	};

	const onSilent = (
		{target}: attemptFailover.AttemptPlan,
		running: attempt.Attempt,
		silence: attemptFailover.AttemptStall,
	) => {
		const found = findSuccessor(target);
		const obstacle = 'obstacle' in found ? found.obstacle : undefined;
		const isCutOff = target.isRelay && !hasStarted && !services.isReachable(target.peer);
		const next = obstacle ? (isCutOff ? 'give-up' : 'wait') : 'takeover';
		if (next !== 'wait' || obstacle !== lastObstacle) {
			lastObstacle = obstacle;
			requestLog.silent(target, running.events, silence, {next, obstacle});
		}

		if ('choice' in found) {
			failover.startSuccessor(planFor(found.choice));
		} else if (isCutOff) {
			running.giveUp(silence);
		}
	};

	const failover = attemptFailover.createAttemptFailover(
		{clock, mustTakeOverEarly: route.work === 'stream'},
		{
			onHead(status, headers) {
				if (!hasStarted) {
					hasStarted = true;
					begunHeaders = headers;
					isFinalAnswer = status >= 300 || !routeConfig.mayResume(route);
					reply.start(status, {
						...wire.answerHeaders(headers),
						...(request.isRelayedByEarlierConfig && {
							[relayHeaders.configVersionHeader]: String(request.configVersion),
						}),
					});
				}
			},
			onBytes: passToCaller,
			onAnswered(status) {
				reply.end();
				finish('answered', status);
			},
			onFailed: afterFailure,
			onSilent,
			onSuccessorFailed({target}, failure) {
				noteFailed(target, failure);
				requestLog.failed(target, failure, 'other-attempt');
			},
			onSuccessorCancelled({target}, wasSent) {
				if (wasSent) {
					noteMayHaveRun(target);
				}

				requestLog.tookOver(target, 'kept');
			},
			onTakenOver(from, to, basis) {
				if (basis.kind === 'failure') {
					noteFailed(from.target, basis.failure);
					requestLog.failed(from.target, basis.failure, 'other-attempt');
				} else {
					noteMayHaveRun(from.target);
				}

				lastObstacle = undefined;
				requestLog.tookOver(to.target, basis.kind);
			},
		},
	);

	/** Describes an attempt that the failover starts. */
	const createPlan = (
		target: attempt.AttemptTarget,
		local?: {upstream: upstreamRegistry.Upstream; account: dispatcher.DispatchedRequest},
	): attemptFailover.AttemptPlan => ({
		target,
		upstream: local?.upstream,
		start: (listener) =>
			attempt.startAttempt(
				{
					clock,
					wire,
					transport: services.transport,
					request,
					target,
					account: local?.account,
					observedRun: local && services.crashes.begin(local.upstream, observed),
					isIdempotent,
					buffers: services.buffers,
					canRetry: () =>
						failover.hasSuccessor ||
						(isIdempotent &&
							!target.isRelay &&
							upstreamsThatRan + 1 < request.maxUpstreams &&
							services.budget.canRetry(service.name)),
					begunHeaders: () => begunHeaders,
					callerStream,
					onLaterConfig(version) {
						services.onLaterConfig(target.peer, version);
					},
				},
				listener,
			),
	});

	const planAtUpstream = (
		choice: dispatcher.Choice & {kind: 'upstream'},
	): attemptFailover.AttemptPlan => {
		const {upstream, basis} = choice;
		const {id, address} = upstream.entry;
		triedUpstreams.add(id);
		sends++;
		requestLog.sent(choice);
		const headers = wire.dispatchHeaders(request.rawHeaders, {
			remainingMs: remainingMs(),
			upstreamId: id,
			priority: service.engine ? priorityOf(rank) : undefined,
			team: team?.name,
			resumeAfterEventId: callerStream.lastEventId,
			promptSource: choice.promptSource?.entry.address,
		});
		return createPlan(
			{peer: id, address, headers, isRelay: false, expectedMs: basis.expectedMs},
			{upstream, account: services.dispatcher.dispatch(choice, dispatchRequest())},
		);
	};

	const planInRegion = (
		choice: dispatcher.Choice & {kind: 'region'},
	): attemptFailover.AttemptPlan => {
		const {region, member, basis} = choice;
		// A second relay is a resend, which the budget has counted.
		if (triedRegions.size === 0) {
			services.budget.noteRelayed(service.name);
		}

		triedRegions.add(region);
		sends++;
		requestLog.relayed(choice);
		const headers = wire.relayHeaders(request.rawHeaders, remainingMs(), callerStream.lastEventId);
		headers.push(
			relayHeaders.relayedFromHeader,
			services.localRegion,
			relayHeaders.upstreamsLeftHeader,
			String(request.maxUpstreams - upstreamsThatRan - (failover.isRunning ? 1 : 0)),
			...relayedRoute.relayedRouteHeaders(request, member.configVersion),
		);
		if (team) {
			headers.push(relayHeaders.teamHeader, team.name);
		}

		return createPlan({
			peer: member.name,
			address: member.peerAddress,
			headers,
			isRelay: true,
			expectedMs: basis.expectedMs,
		});
	};

	/** Logs and counts the send. */
	const planFor = (choice: SendChoice): attemptFailover.AttemptPlan =>
		choice.kind === 'upstream' ? planAtUpstream(choice) : planInRegion(choice);

	const dispatchRequest = (): dispatcher.DispatchRequest => ({
		route,
		team,
		service,
		work,
		rank,
		remainingMs: remainingMs(),
		triedUpstreams,
		failedUpstreams,
		triedRegions,
		mayRelay: request.relayedFrom === undefined,
		wasAccepted: mayHaveRun,
	});

	const mayWaitForUpstream = () => waitedMs < route.goalMs * upstreamWaitShare;

	/** Whether an upstream is likely to accept the request within the time that it may wait. */
	const mayWaitAfter = ({reason, pauseMs}: dispatcher.Choice & {kind: 'refuse'}): boolean => {
		if (reason === 'no-upstream') {
			return hasStarted || mayWaitForUpstream();
		}

		const mostMs = hasStarted ? remainingMs() : route.goalMs * upstreamWaitShare - waitedMs;
		return pauseMs !== undefined && pauseMs < mostMs;
	};

	const next = () => {
		if (hasEnded) {
			return;
		}

		if (remainingMs() < minUsefulMs) {
			onDeadline();
			return;
		}

		if (refuseQuarantined()) {
			return;
		}

		const choice = services.dispatcher.choose(dispatchRequest());
		if (choice.kind !== 'refuse') {
			if (sends === 0) {
				resources.add(services.quarantine.beginTrial(service.name, observed));
			}

			failover.startFirst(planFor(choice));
		} else if (mayWaitAfter(choice)) {
			waitedMs += waitStepMs;
			runAfter(waitStepMs, next);
		} else {
			refuse(choice.reason, choice.retryAfterMs, choice.basis);
		}
	};

	services.budget.noteRequest(service.name);
	resources.add(
		services.quarantine.onDidChange((change) => {
			if (change.kind === 'quarantined' && change.service === service.name) {
				onQuarantine();
			}
		}),
	);

	runAfter(Math.max(0, remainingMs()), onDeadline);
	next();
	const stop = (outcome: requestLogs.EndedEvent['outcome'], reason?: string) => {
		if (!hasEnded) {
			failover.cancel();
			finish(outcome, 0, reason);
		}
	};

	return {
		dispose() {
			stop('caller-gone');
		},
		terminate() {
			stop(hasStarted ? 'broken' : 'unknown', 'grace-over');
		},
	};
};
