/**
 * Decides which requests of a service are refused when its upstreams in this region
 * cannot serve all of them in time: first those of less urgent ranks, then those that
 * need the most work, and any that could only be answered too late.
 */
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
	/** Time left until the deadline. */
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

/** Requests of a route with one rank. */
type Kind = {
	rank: number;
	isUrgent: boolean;
	goalMs: number;
	readMs: number;
	workMs: number;
	pressure: number;
	/** Mean share that was admitted. */
	admittedShare: number;
	atMs: number;
};

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
	const services = new lruCache.LRUCache<string, lruCache.LRUCache<string, Kind>>({
		max: maxServices,
	});

	const kindsOf = (service: string) => {
		let kinds = services.get(service);
		if (!kinds) {
			kinds = new lruCache.LRUCache({max: maxKinds});
			services.set(service, kinds);
		}

		return kinds;
	};

	/** Counts the request for its kind, whose mean work keeps large requests from being refused more often. */
	const noteKind = (kinds: lruCache.LRUCache<string, Kind>, request: SheddingRequest): Kind => {
		const {route, rank, isUrgent, goalMs} = request;
		const key = `${rank} ${route}`;
		const known = kinds.get(key);
		const readMs = mean(known?.readMs ?? request.readMs, request.readMs);
		const kind: Kind = {
			rank,
			isUrgent,
			goalMs,
			readMs,
			workMs: mean(known?.workMs ?? request.workMs, request.workMs),
			pressure: pressureAt(waitOf(request), {readMs, goalMs}),
			admittedShare: known?.admittedShare ?? 1,
			atMs: nowMs(),
		};
		kinds.set(key, kind);
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
		kinds: lruCache.LRUCache<string, Kind>,
		own: Kind,
		waitMs: number,
	): {pressure: number; admittedShare: number} => {
		const oldestMs = nowMs() - kindMemoryMs;
		let {pressure} = own;
		let mostAdmitted = 1;
		let before = 0;
		let after = 0;
		for (const kind of kinds.values()) {
			if (kind.atMs < oldestMs) {
				continue;
			}

			if (precedes(kind, own)) {
				before++;
				pressure = Math.max(pressure, pressureOf(kind, waitMs, own.isUrgent));
				if (kind.rank < own.rank) {
					mostAdmitted = Math.min(mostAdmitted, kind.admittedShare);
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
		const refusedShare = Math.max(0, Math.min(1, (pressure - start) / width));
		const share = 1 - refusedShare * (1 - settings.sheddingMinAdmittedShare);
		return {pressure, admittedShare: Math.min(share, mostAdmitted)};
	};

	const causeOf = (
		request: SheddingRequest,
		own: Kind,
		admittedShare: number,
	): SheddingCause | undefined => {
		const {isAdmitted, expectedMs, streamingMs, goalMs, remainingMs} = request;
		const isLate = expectedMs > remainingMs * settings.admissionShare;
		if (isLate || expectedMs + streamingMs > remainingMs) {
			return 'deadline';
		}

		// With the mean work of its kind, since large requests would be refused far more often otherwise.
		const isPastGoal = waitOf(request) + own.readMs > goalMs * settings.admissionGoalFactor;
		own.admittedShare = mean(own.admittedShare, isPastGoal ? 0 : admittedShare);
		if (isPastGoal) {
			return 'goal';
		}

		const isShed = !isAdmitted && admittedShare < 1 && random() >= admittedShare;
		return isShed ? 'share' : undefined;
	};

	return {
		decide(request, load) {
			const kinds = kindsOf(request.service);
			const own = noteKind(kinds, request);
			const waitMs = waitOf(request);
			const {pressure, admittedShare} = admittedShareOf(kinds, own, waitMs);
			const cause = causeOf(request, own, admittedShare);
			if (!cause) {
				return {kind: 'admit'};
			}

			const {requests, slots, queuedMs} = load();
			const isIdle = requests < slots * idleSlotShare && queuedMs < settings.baseFirstEventMs;
			// A refusal without a queue would only repeat itself at the next try.
			if (isIdle && cause !== 'deadline') {
				return {kind: 'admit'};
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
			return [...services.values()].reduce((sum, kinds) => sum + kinds.size, 0);
		},
	};
};
