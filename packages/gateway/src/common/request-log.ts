/** Logs the events of one request: each decision with its inputs. */
import type * as clock from '@hawthornfront/base/common/clock.js';
import type * as attempt from './attempt.js';
import type * as attemptFailover from './attempt-failover.js';
import type * as dispatcher from './dispatcher.js';
import type * as gatewayEvent from './gateway-event.js';
import type * as gatewayRequest from './gateway-request.js';
import type * as loadShedding from './load-shedding.js';
import * as routeConfig from './route-config.js';
import type * as wireFormat from './wire-format.js';

/** State of the request that is logged with an event. */
export type RequestState = {
	remainingMs: number;
	sends: number;
	/** Id of the event after which the next run resumes a broken stream. */
	resumeAfter?: string;
};

export type EndedEvent = gatewayEvent.RequestEvent & {kind: 'request-ended'};

export type RequestLog = {
	sent(choice: dispatcher.Choice & {kind: 'upstream'}): void;
	relayed(choice: dispatcher.Choice & {kind: 'region'}): void;
	failed(
		target: attempt.AttemptTarget,
		failure: attempt.AttemptFailure,
		next: (gatewayEvent.RequestEvent & {kind: 'request-attempt-failed'})['next'],
		obstacle?: gatewayEvent.ResendObstacle,
	): void;
	silent(
		target: attempt.AttemptTarget,
		events: number,
		silence: attemptFailover.AttemptStall,
		decision: Pick<gatewayEvent.RequestEvent & {kind: 'request-silent'}, 'next' | 'obstacle'>,
	): void;
	tookOver(
		successor: attempt.AttemptTarget,
		result: (gatewayEvent.RequestEvent & {kind: 'request-takeover'})['result'],
	): void;
	refused(
		refusal: Pick<
			gatewayEvent.RequestEvent & {kind: 'request-refused'},
			'reason' | 'status' | 'hasStarted' | 'part' | 'configVersion' | 'upstreamRevision'
		>,
		retryAfterMs: number,
		basis: dispatcher.ChoiceBasis | undefined,
	): void;
	/** @param firstMs time to the first bytes; -1 without any */
	ended(end: Pick<EndedEvent, 'outcome' | 'status' | 'reason'>, firstMs: number): void;
};

/** Prompt parts that one log line names. */
const maxLoggedParts = 8;
/** Callers choose the ids, and a line has several. */
const maxLoggedIdLength = 64;

const logged = (id: string): string => id.slice(0, maxLoggedIdLength);

/** Id of a request in log lines. */
export const loggedId = (facts: wireFormat.RequestFacts): string => logged(facts.attemptId ?? '');

const loggedShedding = (basis: loadShedding.SheddingBasis | undefined) =>
	basis && {
		...basis,
		pressure: Number(basis.pressure.toFixed(2)),
		admittedShare: Number(basis.admittedShare.toFixed(2)),
		workMs: Math.round(basis.workMs),
		queuedMs: Math.round(basis.queuedMs),
	};

/** Creates the log of a request. */
export const createRequestLog = (
	time: clock.Clock,
	log: gatewayEvent.EventLog,
	request: gatewayRequest.GatewayRequest,
	state: () => RequestState,
): RequestLog => {
	const {facts, route, team, service, arrivedAtMs} = request;
	const subject = {request: loggedId(facts), route: route.name, team: team?.name};
	const sharedParts = facts.promptParts.slice(0, -1).slice(0, maxLoggedParts);
	const promptParts = sharedParts.length > 0 ? sharedParts.map(({id}) => logged(id)) : undefined;
	const resumeAfter = () => {
		const id = state().resumeAfter;
		return id === undefined ? undefined : logged(id);
	};

	const remainingMs = () => Math.round(state().remainingMs);

	return {
		sent({upstream, promptSource, basis}) {
			log.note({
				kind: 'request-sent',
				...subject,
				upstream: upstream.entry.id,
				send: state().sends,
				expectedMs: Math.round(basis.expectedMs),
				candidates: basis.candidates,
				requestsThere: basis.requestsThere,
				heldTokens: basis.heldTokens,
				streamingMs: basis.streamingMs,
				pace: basis.pace,
				promptSource: promptSource?.entry.id,
				promptParts,
				remainingMs: remainingMs(),
				resumeAfter: resumeAfter(),
			});
		},
		relayed({region, member, basis}) {
			log.note({
				kind: 'request-relayed',
				...subject,
				region,
				peer: member.name,
				send: state().sends,
				expectedMs: Math.round(basis.expectedMs),
				outlookAgeMs: basis.outlookAgeMs,
				remainingMs: remainingMs(),
			});
		},
		failed(target, failure, next, obstacle) {
			log.note({
				kind: 'request-attempt-failed',
				...subject,
				peer: target.peer,
				step: failure.step,
				outcome: failure.outcome,
				detail: failure.detail,
				afterMs: Math.round(time.nowMs() - failure.startedAtMs),
				isRelay: target.isRelay,
				events: failure.events,
				silentMs: Math.round(failure.silentMs),
				stallLimitMs: failure.stall && Math.round(failure.stall.limitMs),
				timerLateMs: failure.stall && Math.round(failure.stall.timerLateMs),
				next,
				obstacle,
			});
		},
		silent(target, events, silence, decision) {
			log.note({
				kind: 'request-silent',
				...subject,
				peer: target.peer,
				isRelay: target.isRelay,
				step: silence.step,
				events,
				silentMs: Math.round(silence.silentMs),
				limitMs: Math.round(silence.limitMs),
				timerLateMs: Math.round(silence.timerLateMs),
				remainingMs: remainingMs(),
				...decision,
			});
		},
		tookOver(successor, result) {
			log.note({
				kind: 'request-takeover',
				...subject,
				successor: successor.peer,
				result,
				remainingMs: remainingMs(),
			});
		},
		refused(refusal, retryAfterMs, basis) {
			log.note({
				kind: 'request-refused',
				...subject,
				...refusal,
				retryAfterMs: Math.round(retryAfterMs),
				expectedMs: Math.round(basis?.expectedMs ?? -1),
				candidates: basis?.candidates ?? 0,
				shedding: loggedShedding(basis?.shedding),
				remainingMs: remainingMs(),
				rank: Number(routeConfig.rankOf(request).toFixed(2)),
			});
		},
		ended(end, firstMs) {
			log.note({
				kind: 'request-ended',
				...subject,
				service: service.name,
				...end,
				sends: state().sends,
				firstMs: Math.round(firstMs),
				totalMs: Math.round(time.nowMs() - arrivedAtMs),
				goalMs: route.goalMs,
			});
		},
	};
};
