/**
 * Decides whether a request is within the quota of its team, which all daemons share. Each
 * daemon estimates the team's token bucket over all daemons from reported rates and its own
 * use, and admits that fraction of the requests that keeps the bucket from running dry. The
 * fraction of a daemon's demand is its share of the quota, so no message is needed when the
 * demand of all daemons grows alike.
 */
import type * as routeConfig from './route-config.js';
import * as teamUsage from './team-usage.js';

type Quota = routeConfig.Quota;
type TeamWithQuota = Pick<routeConfig.Team, 'name' | 'quota'>;

/** What all daemons may admit in any window: `(perS x windowS + burst) x (1 + excessShare) + slack`. */
export type QuotaBounds = {windowS: number; excessShare: number; slack: number};

export type QuotaDecision =
	| {
			kind: 'taken';
			/** Returns the amount of a request that ran nowhere. */
			giveBack(): void;
	  }
	| {kind: 'refused'; retryAfterMs: number};

/** Decision on a request without a quota. */
export const unlimited: QuotaDecision = {kind: 'taken', giveBack: () => undefined};

/** Refusals of a team since the last call of `takeRefusals`, with the last inputs. */
export type QuotaRefusals = {
	team: string;
	count: number;
	amount: number;
	/** Fraction of the requested amount that is admitted. */
	admitShare: number;
	/** Estimate of the team's bucket over all daemons. */
	level: number;
	requestedPerS: number;
	localPerS: number;
	admittedPerS: number;
	perS: number;
	silentShare: number;
	/** Age of the last report on all daemons; infinite without one. */
	reportAgeMs: number;
};

export type TeamQuota = {
	/** Decides on a request, and charges it if it is taken. */
	tryTake(team: TeamWithQuota, amount: number): QuotaDecision;
	/** Use at this daemon. */
	localUse(): teamUsage.TeamUse[];
	/** Applies the use over all daemons. */
	noteUse(report: teamUsage.UseReport): void;
	/** Drops teams without recent use; call it at regular intervals. */
	forget(): void;
	takeRefusals(): QuotaRefusals[];
	/** State for debugging. */
	dump(): Array<Omit<QuotaRefusals, 'count' | 'amount'>>;
	/** Teams whose use is kept. */
	held(): {quotaTeams: number};
};

export type TeamQuotaOptions = {
	nowMs(): number;
	random(): number;
	/** Undefined without quotas. */
	bounds(): QuotaBounds | undefined;
	/** Quota in force; undefined without one. */
	quotaOf(team: string): Quota | undefined;
	/** Daemons that share the quotas; infinite while that is not known. */
	sharers(): number;
};

/** Time constant of the demand on which the admitted fraction is based. */
const demandTimeMs = 300;
/** Time in which the level of the bucket is corrected; longer than reports take, so that it does not swing. */
const correctionTimeMs = 1000;
/** Part of the excess that is allowed in a window and used before requests are refused; the rest covers what reports show late. */
const usedExcess = 0.3;
/** A debt is extrapolated from no smaller share than this. */
const minShare = 0.05;
/** Own use is remembered in parts of this length, for as long as reports may take. */
const binMs = 100;
const binCount = 26;
/** Without a report on all daemons for this long, a daemon keeps to its last share. */
const staleAfterMs = teamUsage.silentAfterMs;
/** A team that the reports on all daemons have not listed for this long has no use elsewhere. */
const unlistedAfterMs = 1000;
/** A team without use for this long is dropped. */
const keptMs = 15_000;
/** Limit of the teams that are kept. */
const maxTeams = 16_384;
const minRetryAfterMs = 250;
const maxRetryAfterMs = 5000;
/** Requests count as so many units, so that rates of requests have the precision of rates of tokens. */
const unitsPerRequest = 1000;
/** Share of a quota until the daemons that share it are known; below one of the largest deployment. */
const unknownShare = 1 / 512;

/** Amounts of a quota that counts tokens or, scaled, requests. */
const scaled = ({perS, burst, unit}: Quota) =>
	unit === 'tokens'
		? {perS, burst}
		: {perS: perS * unitsPerRequest, burst: burst * unitsPerRequest};

/** Amount of a request in the unit of its team's quota. */
export const amountOf = (
	{unit, plainTokens}: Quota,
	facts: {promptTokens: number; maxOutputTokens: number},
): number =>
	unit === 'requests'
		? unitsPerRequest
		: Math.max(1, facts.promptTokens + facts.maxOutputTokens || plainTokens);

/** Exponentially weighted rate of amounts. */
const createRate = (timeMs: number) => {
	let perS = 0;
	let atMs = 0;
	const value = (nowMs: number) => perS * Math.exp(-(nowMs - atMs) / timeMs);
	return {
		value,
		add(amount: number, nowMs: number) {
			perS = value(nowMs) + (amount * 1000) / timeMs;
			atMs = nowMs;
		},
	};
};

/** Amounts of the last seconds. */
const createRecent = () => {
	const bins = Array.from({length: binCount}, () => 0);
	let lastBin = 0;
	const moveTo = (nowMs: number) => {
		const bin = Math.floor(nowMs / binMs);
		for (let next = Math.max(lastBin + 1, bin - binCount + 1); next <= bin; next++) {
			bins[next % binCount] = 0;
		}

		lastBin = Math.max(lastBin, bin);
	};

	return {
		add(amount: number, nowMs: number) {
			moveTo(nowMs);
			bins[lastBin % binCount]! += amount;
		},
		/** Sum of the last `ageMs`. */
		sum(ageMs: number, nowMs: number) {
			moveTo(nowMs);
			const count = Math.min(binCount, Math.ceil(ageMs / binMs));
			let sum = 0;
			for (let index = 0; index < count; index++) {
				sum += bins[(lastBin - index + binCount) % binCount]!;
			}

			return sum;
		},
	};
};

/** Amount that was added to a sum of decaying rates between two reports. */
const addedBetween = (previousPerS: number, nextPerS: number, elapsedMs: number): number => {
	const decay = Math.exp(-elapsedMs / teamUsage.rateTimeMs);
	return ((nextPerS - previousPerS * decay) * elapsedMs) / 1000 / (1 - decay);
};

const round = (value: number, digits = 0): number => Number(value.toFixed(digits));

/** Last report on all daemons, whatever teams it lists. */
type Total = {atMs: number; receivedAtMs: number; unheardShare: number; sinceMs: number};

type Reported = {
	/** Time that it describes. */
	atMs: number;
	receivedAtMs: number;
	/** Rates as reported. */
	requestedPerS: number;
	admittedPerS: number;
	/** Rates of the last moments before that time. */
	demandPerS: number;
	usePerS: number;
	silentShare: number;
};

const createTeamState = (
	{nowMs, random}: Pick<TeamQuotaOptions, 'nowMs' | 'random'>,
	quota: Quota,
) => {
	let {perS, burst} = scaled(quota);
	let lowestLevel = 0;
	const requested = createRate(teamUsage.rateTimeMs);
	const admitted = createRate(teamUsage.rateTimeMs);
	const demand = createRate(demandTimeMs);
	const recent = createRecent();
	/** Level of the bucket of all daemons at `levelAtMs`. */
	let level = 0;
	let levelAtMs = nowMs();
	let usedAtMs = nowMs();
	let reported: Reported | undefined;
	/** What the daemon may admit before it refuses, while it admits a fraction; negative: debt. */
	let credit: number | undefined;
	/** Own share of the quota since reports on all daemons ended. */
	let lastShare: number | undefined;
	/** Mean demand over some seconds at this daemon and at all, from which that share follows. */
	let usualLocalPerS = 0;
	let usualTotalPerS = 0;

	/** Level, rates and share of the quota that decide now. */
	const view = (initialShare: () => number) => {
		const atMs = nowMs();
		const localPerS = demand.value(atMs);
		const isStale = !reported || atMs - reported.receivedAtMs > staleAfterMs;
		if (!isStale) {
			lastShare = undefined;
			const share = 1 - reported!.silentShare;
			const sinceMs = Math.max(0, atMs - levelAtMs);
			const othersPerS = Math.max(0, reported!.usePerS - admitted.value(atMs));
			const used = recent.sum(sinceMs, atMs) + (othersPerS * sinceMs) / 1000;
			return {
				share,
				level: Math.min(burst * share, level + (perS * share * sinceMs) / 1000 - used),
				// The longer mean is steadier where requests are few, the shorter one sees growth.
				requestedPerS: Math.max(reported!.demandPerS, reported!.requestedPerS, localPerS),
				localPerS,
			};
		}

		if (lastShare === undefined) {
			lastShare =
				reported && usualTotalPerS > 0
					? Math.min(1, usualLocalPerS / usualTotalPerS) * (1 - reported.silentShare)
					: initialShare();
			level = Math.min(level, burst) * lastShare;
			levelAtMs = atMs;
		}

		const sinceMs = atMs - levelAtMs;
		level = Math.min(burst * lastShare, level + (perS * lastShare * sinceMs) / 1000);
		levelAtMs = atMs;
		return {share: lastShare, level, requestedPerS: requested.value(atMs), localPerS};
	};

	/** What all daemons that share the level may admit. */
	const allowedAt = (share: number, levelNow: number): number => {
		const target = lowestLevel * share * usedExcess;
		return Math.max(0, perS * share + ((levelNow - target) * 1000) / correctionTimeMs);
	};

	const charge = (amount: number) => {
		const atMs = nowMs();
		admitted.add(amount, atMs);
		recent.add(amount, atMs);
		if (lastShare !== undefined) {
			level -= amount;
		}
	};

	const note = (
		{requestedPerS, admittedPerS, silentShare: silent}: Omit<teamUsage.TeamUse, 'team'>,
		{atMs, unheardShare, sinceMs}: Total,
	) => {
		const receivedAtMs = nowMs();
		const silentShare = Math.min(1, silent + unheardShare);
		usedAtMs = requestedPerS > 0 ? receivedAtMs : usedAtMs;
		if (!reported || lastShare !== undefined) {
			reported = {
				atMs,
				receivedAtMs,
				requestedPerS,
				admittedPerS,
				demandPerS: requestedPerS,
				usePerS: admittedPerS,
				silentShare,
			};
			// A team that was not listed for so long has a full bucket.
			const isRested = lastShare === undefined && receivedAtMs - sinceMs > keptMs;
			level = isRested ? burst : Math.min(level, 0) / Math.max(minShare, lastShare ?? 1);
			levelAtMs = atMs;
			lastShare = undefined;
			return;
		}

		const elapsedMs = atMs - reported.atMs;
		if (elapsedMs <= 0) {
			reported.receivedAtMs = receivedAtMs;
			return;
		}

		const kept = Math.exp(-elapsedMs / teamUsage.usualTimeMs);
		usualLocalPerS = usualLocalPerS * kept + (1 - kept) * requested.value(receivedAtMs);
		usualTotalPerS = usualTotalPerS * kept + (1 - kept) * requestedPerS;
		const used = addedBetween(reported.admittedPerS, admittedPerS, elapsedMs);
		const asked = addedBetween(reported.requestedPerS, requestedPerS, elapsedMs);
		const decay = Math.exp(-elapsedMs / demandTimeMs);
		const renew = (perS: number, amount: number) =>
			Math.max(0, perS * decay + ((1 - decay) * amount * 1000) / elapsedMs);
		const share = 1 - silentShare;
		const ratio = share / Math.max(minShare, 1 - reported.silentShare);
		if (ratio < 1 || level < 0) {
			// Daemons that are not heard have a part of the level, and of the debt.
			level *= ratio;
		}

		const refilled = level + (perS * share * elapsedMs) / 1000 - used;
		level = Math.max(lowestLevel, Math.min(burst * share, refilled));
		levelAtMs = atMs;
		reported = {
			atMs,
			receivedAtMs,
			requestedPerS,
			admittedPerS,
			demandPerS: renew(reported.demandPerS, asked),
			usePerS: renew(reported.usePerS, used),
			silentShare,
		};
	};

	return {
		configure(next: Quota, bounds: QuotaBounds) {
			({perS, burst} = scaled(next));
			const slack = next.unit === 'tokens' ? bounds.slack : 0;
			lowestLevel = -(bounds.excessShare * (perS * bounds.windowS + burst) + slack);
			level = Math.max(lowestLevel, Math.min(level, burst));
		},
		take(amount: number, initialShare: () => number, total: Total | undefined) {
			const atMs = nowMs();
			usedAtMs = atMs;
			const isListed = reported && atMs - reported.receivedAtMs < unlistedAfterMs;
			if (total && !isListed && atMs - total.receivedAtMs < staleAfterMs) {
				note({requestedPerS: 0, admittedPerS: 0, silentShare: 0}, total);
			}

			// The demand without this request, which would seem large where requests are few.
			const {share, level: levelNow, requestedPerS} = view(initialShare);
			requested.add(amount, atMs);
			demand.add(amount, atMs);
			const allowedPerS = allowedAt(share, levelNow);
			// Without reports, the first request at each of many daemons would seem to be the only one.
			const demandPerS =
				lastShare === undefined
					? requestedPerS
					: (amount * 1000) / teamUsage.rateTimeMs + requestedPerS;
			const admitShare = allowedPerS === 0 ? 0 : allowedPerS / demandPerS;
			// Daemons that receive few requests must not all take their first one.
			credit ??= -random() * amount;
			if (admitShare < 1) {
				credit += admitShare * amount;
				if (credit <= 0) {
					const waitMs = 1000 * (1 / Math.max(admitShare, 0.1) - 1);
					const refillMs = (1000 * Math.max(0, -levelNow)) / Math.max(1, perS * share);
					return Math.min(maxRetryAfterMs, Math.max(minRetryAfterMs, waitMs + refillMs));
				}

				credit -= amount;
			}

			charge(amount);
			return undefined;
		},
		giveBack(amount: number) {
			charge(-amount);
			credit = Math.min(amount, (credit ?? 0) + amount);
		},
		note,
		localUse(atMs: number) {
			return {
				requestedPerS: requested.value(atMs),
				admittedPerS: admitted.value(atMs),
				silentShare: 0,
			};
		},
		isUnused: (atMs: number) => atMs - usedAtMs > keptMs,
		describe(initialShare: () => number) {
			const {share, level: levelNow, requestedPerS, localPerS} = view(initialShare);
			const admitShare = Math.min(1, allowedAt(share, levelNow) / Math.max(1, requestedPerS));
			return {
				admitShare: round(admitShare, 3),
				level: round(levelNow),
				requestedPerS: round(requestedPerS),
				localPerS: round(localPerS),
				admittedPerS: round(reported?.usePerS ?? admitted.value(nowMs())),
				perS,
				silentShare: round(1 - share, 3),
				reportAgeMs: reported ? round(nowMs() - reported.atMs) : Number.POSITIVE_INFINITY,
			};
		},
	};
};

type TeamState = ReturnType<typeof createTeamState>;

/** Creates the quotas of a daemon that starts now: empty buckets. */
export const createTeamQuota = (options: TeamQuotaOptions): TeamQuota => {
	const {nowMs} = options;
	const teams = new Map<string, TeamState>();
	/** Teams with requests at this daemon, until their rates have decayed. */
	const active = new Map<string, number>();
	let total: Total | undefined;
	const refused = new Map<string, {count: number; amount: number}>();
	const initialShare = () => {
		const sharers = options.sharers();
		return Number.isFinite(sharers) ? 1 / sharers : unknownShare;
	};

	/** State of a team with its quota in force; undefined without one. */
	const stateOf = (name: string, quota: Quota | undefined): TeamState | undefined => {
		const bounds = options.bounds();
		if (!quota || !bounds || quota.perS <= 0) {
			return undefined;
		}

		let state = teams.get(name);
		if (!state && teams.size < maxTeams) {
			state = createTeamState(options, quota);
			teams.set(name, state);
		}

		state?.configure(quota, bounds);
		return state;
	};

	return {
		tryTake({name, quota}, amount) {
			const state = stateOf(name, quota);
			if (!state) {
				return unlimited;
			}

			active.set(name, nowMs());
			const retryAfterMs = state.take(amount, initialShare, total);
			if (retryAfterMs !== undefined) {
				const {count, amount: sum} = refused.get(name) ?? {count: 0, amount: 0};
				refused.set(name, {count: count + 1, amount: sum + amount});
				return {kind: 'refused', retryAfterMs};
			}

			return {
				kind: 'taken',
				giveBack() {
					state.giveBack(amount);
				},
			};
		},
		localUse() {
			const atMs = nowMs();
			const uses: teamUsage.TeamUse[] = [];
			for (const [team, activeAtMs] of active) {
				const state = teams.get(team);
				// After so many time constants nothing is left of the rates.
				if (!state || atMs - activeAtMs > 10 * teamUsage.rateTimeMs) {
					active.delete(team);
				} else {
					uses.push({team, ...state.localUse(atMs)});
				}
			}

			return teamUsage.limitUses(uses);
		},
		noteUse({uses, ageMs, unheardShare}) {
			const receivedAtMs = nowMs();
			const isFirst = !total || receivedAtMs - total.receivedAtMs > staleAfterMs;
			const sinceMs = isFirst ? receivedAtMs : total!.sinceMs;
			total = {atMs: receivedAtMs - ageMs, receivedAtMs, unheardShare, sinceMs};
			for (const use of uses) {
				stateOf(use.team, options.quotaOf(use.team))?.note(use, total);
			}
		},
		forget() {
			const atMs = nowMs();
			for (const [team, state] of teams) {
				if (state.isUnused(atMs)) {
					teams.delete(team);
				}
			}
		},
		takeRefusals() {
			const taken = [...refused].flatMap(([team, counts]) => {
				const state = teams.get(team);
				return state ? [{team, ...counts, ...state.describe(initialShare)}] : [];
			});
			refused.clear();
			return taken;
		},
		dump: () => [...teams].map(([team, state]) => ({team, ...state.describe(initialShare)})),
		held: () => ({quotaTeams: teams.size}),
	};
};
