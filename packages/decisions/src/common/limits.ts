/**
 * Rate limits of teams and catalogue entries at one daemon. The daemon enforces only
 * its own share of each limit, which `limit-shares` computes.
 */
import type * as clock from '@hawthornfront/base/common/clock.js';
import type * as schema from '@hawthornfront/catalogue/common/schema.js';
import * as lruCache from 'lru-cache';
import * as zod from 'zod';
import * as decayingRate from './decaying-rate.js';
import * as setting from './setting.js';
import * as tokenBucket from './token-bucket.js';

export const limiterSettingsSchema = zod.object({
	/** Burst capacity of a bucket, as time at the full rate. */
	burstMs: setting.number(2000, 1, 3_600_000),
	/** Teams and entries for which state is kept. */
	maxTracked: setting.number(4096, 1, 1_000_000),
	/** State of a team or entry without requests for this time is dropped. */
	idleMs: setting.number(600_000, 1, 86_400_000),
	/** Window of the reported demand. */
	demandWindowMs: setting.number(10_000, 1, 3_600_000),
	/** Maximum `retryAfterMs` of a refusal. */
	maxRetryAfterMs: setting.number(60_000, 1, 3_600_000),
});
export type LimiterSettings = zod.infer<typeof limiterSettingsSchema>;

/** A request within the limits. */
export type Admission = {
	readonly kind: 'admitted';
	/** Replaces the estimate by the actual tokens; 0 when the request was not run. Only the first call counts. */
	settle(actualTokens: number): void;
	/** Ends the request. Without a `settle`, the estimate stays charged. */
	release(): void;
};

export type LimitName = 'in-flight' | 'team' | 'entry';

export type LimitRefusal = {
	readonly kind: 'refused';
	/** The limit with the longest wait. */
	readonly limit: LimitName;
	readonly retryAfterMs: number;
};

/** Demand of a team at this daemon as a multiple of the whole limit of the team. */
export type TeamDemand = {team: string; demand: number};

export type Limiter = {
	admit(team: schema.Team, entry: schema.Entry, estimatedTokens: number): Admission | LimitRefusal;
	/** Sets the share of the limit of a team that this daemon enforces, 0 to 1. */
	setShare(team: string, share: number): void;
	/** The same for a catalogue entry. */
	setEntryShare(entry: string, share: number): void;
	/** Sets the share for teams and entries without one of their own, such as the share of the floor. */
	setDefaultShare(share: number): void;
	/** Demand of recently active teams, refused requests included. */
	demands(): TeamDemand[];
	/** Teams and entries for which state is kept. */
	tracked(): number;
	inFlight(): number;
};

type Rates = {requestsPerSecond: number; tokensPerSecond: number};

type LimitState = {
	share: number | undefined;
	requests: tokenBucket.TokenBucket;
	tokens: tokenBucket.TokenBucket;
	/** Demand relative to the limit on tokens or requests, whichever is closer. */
	requestRate: decayingRate.DecayingRate;
	tokenRate: decayingRate.DecayingRate;
	rates: Rates;
};

const inFlightRetryAfterMs = 1000;

export const createLimiter = (clock: clock.Clock, settings: LimiterSettings): Limiter => {
	const createCache = () =>
		new lruCache.LRUCache<string, LimitState>({
			max: settings.maxTracked,
			ttl: settings.idleMs,
			updateAgeOnGet: true,
			// A resolution of 0 keeps the cache from setting timers. The clock starts at 1, since
			// the cache treats a start time of 0 as unset.
			ttlResolution: 0,
			perf: {now: () => clock.nowMs() + 1},
		});
	const teams = createCache();
	const entries = createCache();
	const inFlight = new Map<string, number>();
	let defaultShare = 1;
	let totalInFlight = 0;

	const capacityOf = (ratePerSecond: number) => (ratePerSecond * settings.burstMs) / 1000;

	const configure = (subject: LimitState) => {
		const share = subject.share ?? defaultShare;
		const {requestsPerSecond, tokensPerSecond} = subject.rates;
		const nowMs = clock.nowMs();
		// A capacity of at least 1 lets single requests pass even with a small share.
		const requests = Math.max(1, capacityOf(requestsPerSecond * share));
		subject.requests.configure(requestsPerSecond * share, requests, nowMs);
		subject.tokens.configure(tokensPerSecond * share, capacityOf(tokensPerSecond * share), nowMs);
	};

	const createLimitState = (rates: Rates): LimitState => ({
		share: undefined,
		requests: tokenBucket.createTokenBucket(0, 0, clock.nowMs()),
		tokens: tokenBucket.createTokenBucket(0, 0, clock.nowMs()),
		requestRate: decayingRate.createDecayingRate(settings.demandWindowMs),
		tokenRate: decayingRate.createDecayingRate(settings.demandWindowMs),
		rates,
	});

	const limitStateOf = (
		cache: lruCache.LRUCache<string, LimitState>,
		name: string,
		rates: Rates,
	): LimitState => {
		const known = cache.get(name);
		const subject = known ?? createLimitState(rates);
		subject.rates = rates;
		configure(subject);
		if (!known) {
			cache.set(name, subject);
		}

		return subject;
	};

	const setShareIn = (
		cache: lruCache.LRUCache<string, LimitState>,
		name: string,
		share: number,
	) => {
		// A share for a team without requests here would only use memory.
		const subject = cache.peek(name);
		if (subject) {
			subject.share = Math.min(1, Math.max(0, share));
			configure(subject);
		}
	};

	const waitOf = (subject: LimitState, tokens: number) => {
		const nowMs = clock.nowMs();
		return Math.max(subject.requests.waitMs(1, nowMs), subject.tokens.waitMs(tokens, nowMs));
	};

	const take = (subject: LimitState, tokens: number) => {
		subject.requests.take(1, clock.nowMs());
		subject.tokens.take(tokens, clock.nowMs());
	};

	const refuse = (limit: LimitName, waitMs: number): LimitRefusal => ({
		kind: 'refused',
		limit,
		retryAfterMs: Math.min(settings.maxRetryAfterMs, Math.ceil(waitMs)),
	});

	const countInFlight = (key: string, change: number) => {
		totalInFlight += change;
		const count = (inFlight.get(key) ?? 0) + change;
		if (count === 0) {
			inFlight.delete(key);
		} else {
			inFlight.set(key, count);
		}
	};

	const createAdmission = (
		key: string,
		subjects: readonly LimitState[],
		estimatedTokens: number,
	): Admission => {
		let isSettled = false;
		let isReleased = false;
		return {
			kind: 'admitted',
			settle(actualTokens) {
				if (isSettled) {
					return;
				}

				isSettled = true;
				for (const {tokens} of subjects) {
					tokens.take(actualTokens - estimatedTokens, clock.nowMs());
				}
			},
			release() {
				if (!isReleased) {
					isReleased = true;
					countInFlight(key, -1);
				}
			},
		};
	};

	return {
		admit(team, entry, estimatedTokens) {
			const ofTeam = limitStateOf(teams, team.name, team);
			const ofEntry = limitStateOf(entries, entry.name, entry.limits);
			ofTeam.requestRate.add(1, clock.nowMs());
			ofTeam.tokenRate.add(estimatedTokens, clock.nowMs());
			const key = `${team.name}/${entry.name}`;
			if ((inFlight.get(key) ?? 0) >= entry.limits.maxInFlight) {
				return refuse('in-flight', inFlightRetryAfterMs);
			}

			const teamWaitMs = waitOf(ofTeam, estimatedTokens);
			const entryWaitMs = waitOf(ofEntry, estimatedTokens);
			if (teamWaitMs > 0 || entryWaitMs > 0) {
				return teamWaitMs >= entryWaitMs
					? refuse('team', teamWaitMs)
					: refuse('entry', entryWaitMs);
			}

			take(ofTeam, estimatedTokens);
			take(ofEntry, estimatedTokens);
			countInFlight(key, 1);
			return createAdmission(key, [ofTeam, ofEntry], estimatedTokens);
		},
		setShare(team, share) {
			setShareIn(teams, team, share);
		},
		setEntryShare(entry, share) {
			setShareIn(entries, entry, share);
		},
		setDefaultShare(share) {
			defaultShare = Math.min(1, Math.max(0, share));
		},
		demands() {
			const nowMs = clock.nowMs();
			teams.purgeStale();
			return [...teams.entries()].map(([team, {requestRate, tokenRate, rates}]) => ({
				team,
				demand: Math.max(
					requestRate.perSecond(nowMs) / rates.requestsPerSecond,
					tokenRate.perSecond(nowMs) / rates.tokensPerSecond,
				),
			}));
		},
		tracked() {
			teams.purgeStale();
			entries.purgeStale();
			return teams.size + entries.size;
		},
		inFlight: () => totalInFlight,
	};
};
