/**
 * Decides which requests of a service are refused when its upstreams in this region
 * cannot serve all of them in time: first those of less urgent ranks, then those that
 * need the most work, and any that could only be answered too late.
 */
import * as decayingRate from '@hawthornfront/decisions/common/decaying-rate.js';
import * as lruCache from 'lru-cache';
import type * as loadSettings from './load-settings.js';

/** A request and what its best upstream would make of it. */
export type SheddingRequest = {
	service: string;
	route: string;
	/** 0 is the most urgent. */
	rank: number;
	/** It was admitted before and needs a further send, so only its own limits refuse it. */
	isAdmitted: boolean;
	/** Whether upstreams process it before all work that is not urgent. */
	isUrgent: boolean;
	/** Expected time to the first event at its best upstream, and on the mean of all upstreams. */
	expectedMs: number;
	meanExpectedMs: number;
	/** Expected time from the first event to the last. */
	streamingMs: number;
	/** Part of the expected time in which the upstream reads the prompt of the request itself. */
	readMs: number;
	/** Time of an upstream that the request uses: reading, and its part of the time for output. */
	workMs: number;
	/** Target of the first event; infinite for work whose target sets no limit. */
	goalMs: number;
	/** Time limit of the route, and the time left until the deadline. */
	timeoutMs: number;
	remainingMs: number;
};

/** Load of all upstreams of the service in the region, by the requests of all daemons. */
export type ServiceLoad = {
	requests: number;
	slots: number;
	/** Time in which the upstreams would read all prompts that wait. */
	queuedMs: number;
};

/** `deadline`: too late for the caller; `goal`: too late for the target; `share`: other requests are worth more. */
export type SheddingCause = 'deadline' | 'goal' | 'share';

/** Inputs of a refusal, for the log. */
export type SheddingBasis = {
	cause: SheddingCause;
	/** Wait relative to what the target leaves for it, the highest of this kind and those that count before it. */
	pressure: number;
	/** Share of the kind that is admitted at this pressure. */
	admittedShare: number;
	workMs: number;
	queuedMs: number;
	requests: number;
	slots: number;
};

export type SheddingDecision =
	{kind: 'admit'} | {kind: 'refuse'; retryAfterMs: number; basis: SheddingBasis};

export type LoadShedding = {
	/** @param load computed only for a request that would be refused */
	decide(request: SheddingRequest, load: () => ServiceLoad): SheddingDecision;
	/** Kinds of requests that it keeps. */
	readonly size: number;
};

/** Share of callers that are served in the end, however often they return. */
type ServedShare = {
	noteArrival(nowMs: number): void;
	noteAdmitted(nowMs: number): void;
	value(nowMs: number): number;
};

/** Requests of a route with one rank. */
type Kind = {
	rank: number;
	isUrgent: boolean;
	goalMs: number;
	readMs: number;
	workMs: number;
	pressure: number;
	/** Mean share of its requests, with those of callers that return, that was admitted. */
	admittedShare: number;
	served: ServedShare;
	atMs: number;
};

type ServiceState = {kinds: lruCache.LRUCache<string, Kind>; served: ServedShare};

/** Weight of the newest request in the means of its kind. */
const learningRate = 0.1;
/** A kind without requests for this long does not compete; a daemon of many gets one of each in about a second. */
const kindMemoryMs = 3000;
/** Kinds of one service that are told apart, and services; callers cannot name either. */
const maxKinds = 32;
const maxServices = 1000;
/** Work of another kind of the same rank, relative to a kind's own, from which that kind counts before the other. */
const muchWorkFactor = 2;
/** Upstreams are not overloaded below this share of their slots if nothing is queued. */
const idleSlotShare = 0.5;
/** Retry delays spread from half of the time in which the queue drains to one and a half times that. */
const minRetryShare = 0.5;
/** Range of pressures over which a kind is shed if the settings leave none. */
const minWidth = 0.01;
/** Shortest time over which callers spread their retries; loads are reported as often. */
const minDrainMs = 250;

/** Time over which the served share of a kind is measured, and the rate of served requests that is assumed in addition. */
const servedWindowMs = 10_000;
const servedPriorPerS = 0.2;
/** A request with less of its time left is taken for one of a caller that returns. */
const firstTryShare = 0.95;

const createServedShare = (): ServedShare => {
	const arrivals = decayingRate.createDecayingRate(servedWindowMs);
	const admissions = decayingRate.createDecayingRate(servedWindowMs);
	return {
		noteArrival(nowMs) {
			arrivals.add(1, nowMs);
		},
		noteAdmitted(nowMs) {
			admissions.add(1, nowMs);
		},
		value: (nowMs) =>
			(admissions.perSecond(nowMs) + servedPriorPerS) /
			(arrivals.perSecond(nowMs) + servedPriorPerS),
	};
};

const mean = (old: number, sample: number) => old + learningRate * (sample - old);

const waitOf = ({meanExpectedMs, readMs}: SheddingRequest) => meanExpectedMs - readMs;

/** Wait relative to the time that the target leaves for it; prompts that take most of the target to read get half. */
const pressureAt = (waitMs: number, {readMs, goalMs}: Pick<Kind, 'readMs' | 'goalMs'>): number =>
	waitMs / Math.max(goalMs - readMs, goalMs / 2, 1);

/** Creates the decision without any known kinds. */
export const createLoadShedding = (
	nowMs: () => number,
	settings: loadSettings.LoadSettings,
	random: () => number,
): LoadShedding => {
	const services = new lruCache.LRUCache<string, ServiceState>({max: maxServices});

	const stateOf = (service: string): ServiceState => {
		let state = services.get(service);
		if (!state) {
			state = {kinds: new lruCache.LRUCache({max: maxKinds}), served: createServedShare()};
			services.set(service, state);
		}

		return state;
	};

	/** Counts the request for its kind, whose mean work keeps large requests from being refused more often. */
	const noteKind = ({kinds, served}: ServiceState, request: SheddingRequest): Kind => {
		const {route, rank, isUrgent, goalMs, readMs, workMs} = request;
		const key = `${rank} ${route}`;
		const kind: Kind = kinds.get(key) ?? {
			rank,
			isUrgent,
			goalMs,
			readMs,
			workMs,
			pressure: 0,
			admittedShare: 1,
			served: createServedShare(),
			atMs: 0,
		};
		kind.isUrgent = isUrgent;
		kind.goalMs = goalMs;
		kind.readMs = mean(kind.readMs, readMs);
		kind.workMs = mean(kind.workMs, workMs);
		kind.pressure = pressureAt(waitOf(request), kind);
		kind.atMs = nowMs();
		kinds.set(key, kind);
		if (request.remainingMs >= request.timeoutMs * firstTryShare) {
			kind.served.noteArrival(nowMs());
			served.noteArrival(nowMs());
		}

		return kind;
	};

	const precedes = (first: Kind, second: Kind) =>
		first.rank === second.rank
			? first.workMs * muchWorkFactor <= second.workMs
			: first.rank < second.rank;

	/** Present pressure of a kind that precedes, by the wait that a request of another kind would have. */
	const pressureOf = (kind: Kind, waitMs: number, isUrgent: boolean) => {
		const atWait = pressureAt(waitMs, kind);
		// Urgent work waits less than other work, so its own last request tells more.
		return kind.isUrgent === isUrgent ? atWait : Math.min(kind.pressure, atWait);
	};

	/** Share of a kind that is admitted: kinds that others precede give way before those are refused. */
	const admittedShareOf = (
		{kinds, served}: ServiceState,
		own: Kind,
		request: SheddingRequest,
	): {pressure: number; admittedShare: number; isPastGoal: boolean} => {
		const waitMs = waitOf(request);
		const oldestMs = nowMs() - kindMemoryMs;
		const ownServed = own.served.value(nowMs());
		let {pressure} = own;
		let mostShare = 1;
		let before = 0;
		let after = 0;
		for (const kind of kinds.values()) {
			if (kind.atMs < oldestMs) {
				continue;
			}

			if (precedes(kind, own)) {
				before++;
				pressure = Math.max(pressure, pressureOf(kind, waitMs, own.isUrgent));
				if (kind.rank < own.rank && kind.served.value(nowMs()) <= ownServed) {
					mostShare = Math.min(mostShare, kind.admittedShare / 2);
				}
			} else if (precedes(own, kind)) {
				after++;
			}
		}

		const others = before + after;
		const range = settings.admissionGoalFactor - settings.sheddingStartShare;
		const width = Math.max(minWidth, others === 0 ? range : range / 2);
		const start =
			settings.sheddingStartShare + (others === 0 ? 0 : (after / others) * (range - width));
		// With the mean work of its kind, since large requests would be refused far more often otherwise.
		const isPastGoal = waitMs + own.readMs > own.goalMs * settings.admissionGoalFactor;
		const keptShare = isPastGoal ? 0 : Math.min(1, 1 - (pressure - start) / width);
		if (keptShare === 1) {
			return {pressure, admittedShare: 1, isPastGoal};
		}

		const leastServed = served.value(nowMs()) * settings.sheddingMinServedShare;
		const leastShare = ownServed < leastServed ? leastServed : 0;
		const admittedShare = Math.min(mostShare, Math.max(leastShare, keptShare));
		return {pressure, admittedShare, isPastGoal};
	};

	const isPastDeadline = ({expectedMs, streamingMs, remainingMs}: SheddingRequest) =>
		expectedMs > remainingMs * settings.admissionShare || expectedMs + streamingMs > remainingMs;

	const admit = (state: ServiceState, own: Kind): SheddingDecision => {
		own.served.noteAdmitted(nowMs());
		state.served.noteAdmitted(nowMs());
		return {kind: 'admit'};
	};

	return {
		decide(request, load) {
			const state = stateOf(request.service);
			const own = noteKind(state, request);
			const {pressure, admittedShare, isPastGoal} = admittedShareOf(state, own, request);
			let cause: SheddingCause | undefined;
			if (isPastDeadline(request)) {
				cause = 'deadline';
			} else {
				own.admittedShare = mean(own.admittedShare, admittedShare);
				const isShed = admittedShare < 1 && random() >= admittedShare;
				if (isPastGoal || !request.isAdmitted) {
					cause = isShed ? (isPastGoal ? 'goal' : 'share') : undefined;
				}
			}

			if (!cause) {
				return admit(state, own);
			}

			const {requests, slots, queuedMs} = load();
			const isIdle = requests < slots * idleSlotShare && queuedMs < settings.baseFirstEventMs;
			// A refusal without a queue would only repeat itself at the next try.
			if (isIdle && cause !== 'deadline') {
				return admit(state, own);
			}

			const lateMs = Math.max(
				request.meanExpectedMs - request.goalMs * settings.sheddingStartShare,
				request.expectedMs + request.streamingMs - request.remainingMs,
			);
			const drainMs = Math.max(minDrainMs, queuedMs, lateMs);
			return {
				kind: 'refuse',
				retryAfterMs: drainMs * (minRetryShare + random()),
				basis: {
					cause,
					pressure,
					admittedShare,
					workMs: request.workMs,
					queuedMs,
					requests,
					slots,
				},
			};
		},
		get size() {
			return [...services.values()].reduce((sum, {kinds}) => sum + kinds.size, 0);
		},
	};
};
