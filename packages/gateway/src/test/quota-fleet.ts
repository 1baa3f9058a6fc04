/**
 * Daemons that share the quotas of teams, on a manual clock and without a network. The
 * decisions and the sums of the relays are those of the product; callers, datagrams and
 * restarts are models.
 */
import * as random from '@hawthornfront/base/common/random.js';
import * as relayElection from '../common/relay-election.js';
import type * as routeConfig from '../common/route-config.js';
import * as teamQuota from '../common/team-quota.js';
import * as teamUsage from '../common/team-usage.js';
import * as teamUseExchange from '../common/team-use-exchange.js';

const stepMs = 5;
const tickSteps = 50;
const betweenRegionsMs = 55;
const datagramMs = 3;
/** A member without a heartbeat for this long is no relay any more. */
const lostAfterMs = 3500;
/** Time until a daemon that starts knows the others. */
const membersKnownMs = 2000;

export const bounds: teamQuota.QuotaBounds = {windowS: 8, excessShare: 0.1, slack: 140_000};

/** Who decides; the others than `combined` are alternatives that were weighed. */
export type Policy = 'combined' | 'fixed-shares' | 'demand-shares';

export type FleetOptions = {
	daemons: number;
	seed: number;
	durationMs: number;
	policy?: Policy;
	/** Burst of a quota, in seconds of its rate. */
	burstS?: number;
	lossShare?: number;
	/** Demand of a team as a multiple of its usual one. */
	demandFactor?(team: number, nowMs: number): number;
	/** Mean time for which a caller stays in a failure domain; without it, callers stay. */
	stayMs?: number;
	/** All callers of a team go to one failure domain in this interval, to another one in the next. */
	gatherMs?: number;
	/** Teams whose requests all come from one caller, which uses one daemon at a time. */
	singleCallers?: boolean;
	/** Whether datagrams between regions are lost. */
	isCut?(nowMs: number): boolean;
	/** Daemons that are killed, by index, when the time comes. */
	kill?: {atMs: number; isKilled(index: number): boolean};
	/** Further teams with few requests each, so that a report cannot list all. */
	smallTeams?: number;
	/** Quota of a team as a multiple of its first one. */
	quotaFactor?(team: number, nowMs: number): number;
};

export type TeamResult = {
	team: string;
	perS: number;
	/** Greatest use in a window as a share of what is allowed. */
	worstWindow: number;
	/** End of that window. */
	worstAtMs: number;
	/** Share of the amount below the quota that was refused. */
	refusedBelow: number;
	belowAmount: number;
	refusedAmount: number;
};

type Team = {
	name: string;
	usualPerS: number;
	requestAmount: number;
	quota: routeConfig.Quota;
	callers: Array<{domain: number; daemon: number}>;
	events: Array<{atMs: number; amount: number; isTaken: boolean}>;
};

type Daemon = {
	name: string;
	index: number;
	domain: number;
	region: number;
	startedAtMs: number;
	isUp: boolean;
	downAtMs: number;
	phase: number;
	quota: teamQuota.TeamQuota;
	exchange: teamUseExchange.TeamUseExchange;
	take(team: Team, amount: number): boolean;
};

/** A large team has about a sixth of the demand of 2 million tokens a second, a small one a hundredth. */
const usualShares = [
	0.18, 0.17, 0.15, 0.08, 0.08, 0.07, 0.05, 0.05, 0.04, 0.04, 0.03, 0.02, 0.01, 0.01, 0.01, 0.01,
];
const totalPerS = 2_000_000;
/** 1,000 tokens a second: a request in 2.4 or 12 s. */
const smallTeamShare = 0.0005;
const quotaOverUsual = 1.8;
const largeRequest = 12_000;
const smallRequest = 2400;

/** Refusals count from here on; all daemons start at the beginning. */
const warmUpMs = 4000;

const shapeOf = (daemons: number) => {
	const domains = daemons >= 195 ? 10 : daemons >= 73 ? 6 : daemons >= 7 ? 3 : 2;
	return {domains, regions: daemons >= 73 ? 3 : 2};
};

/** A local token bucket that may go into debt by one request. */
const createBucket = (nowMs: () => number) => {
	let level = 0;
	let atMs = nowMs();
	return (amount: number, perS: number, burst: number) => {
		level = Math.min(burst, level + (perS * (nowMs() - atMs)) / 1000);
		atMs = nowMs();
		if (level <= 0) {
			return false;
		}

		level -= amount;
		return true;
	};
};

export const runQuotaFleet = (options: FleetOptions) => {
	const {policy = 'combined', burstS = 1, lossShare = 0.02, durationMs} = options;
	const rng = random.createRandom(options.seed);
	const {domains, regions} = shapeOf(options.daemons);
	let nowMs = 0;
	const queue = new Map<number, Array<() => void>>();
	const smallShares = Array.from({length: options.smallTeams ?? 0}, () => smallTeamShare);
	const teams: Team[] = [...usualShares, ...smallShares].map((share, index) => {
		const usualPerS = share * totalPerS;
		return {
			name: `t${index}`,
			usualPerS,
			requestAmount: index % 2 === 0 ? largeRequest : smallRequest,
			quota: {
				perS: usualPerS * quotaOverUsual,
				burst: usualPerS * quotaOverUsual * burstS,
				unit: 'tokens',
				plainTokens: smallRequest,
			},
			callers: Array.from({length: options.singleCallers ? 1 : 24}, () => ({
				domain: rng.integer(0, domains - 1),
				daemon: -1,
			})),
			events: [],
		};
	});
	const teamsByName = new Map(teams.map((team) => [team.name, team]));
	const quotaOf = (team: Team): routeConfig.Quota => {
		const factor = options.quotaFactor?.(Number(team.name.slice(1)), nowMs) ?? 1;
		return {...team.quota, perS: team.quota.perS * factor, burst: team.quota.burst * factor};
	};

	const daemons: Daemon[] = [];
	const others = (self: Daemon) =>
		daemons
			.filter((daemon) => daemon !== self)
			.map(({name, domain}) => ({name, failureDomain: `d${domain}`}));

	const start = (index: number): Daemon => {
		const startedAtMs = nowMs;
		const domain = index % domains;
		const isKnown = () => startedAtMs === 0 || nowMs - startedAtMs > membersKnownMs;
		const clock = () => nowMs;
		const quota = teamQuota.createTeamQuota({
			nowMs: clock,
			random: rng.next,
			bounds: () => bounds,
			quotaOf(name) {
				const team = teamsByName.get(name);
				return team && quotaOf(team);
			},
			sharers: () => (isKnown() ? options.daemons : Number.POSITIVE_INFINITY),
		});
		const usage = teamUsage.createTeamUsage({
			nowMs: clock,
			localUse: quota.localUse,
			members: () => (isKnown() ? others(daemon) : undefined),
			failureDomain: `d${domain}`,
		});
		const exchange = teamUseExchange.createTeamUseExchange({
			nowMs: clock,
			quota,
			usage,
			hasQuotas: () => true,
			isFleetKnown: isKnown,
			failureDomain: `d${domain}`,
		});
		const buckets = new Map<Team, ReturnType<typeof createBucket>>();
		const alternative = (team: Team, amount: number): boolean => {
			const bucket = buckets.get(team) ?? createBucket(clock);
			buckets.set(team, bucket);
			const {perS, burst} = quotaOf(team);
			// The decision of the product is only taken to keep its rates.
			quota.tryTake({name: team.name, quota: quotaOf(team)}, amount);
			const state = quota.dump().find((entry) => entry.team === team.name);
			const demandShare =
				state && Number.isFinite(state.reportAgeMs)
					? Math.min(1, state.localPerS / Math.max(1, state.requestedPerS))
					: 1 / options.daemons;
			const share = policy === 'fixed-shares' ? 1 / options.daemons : demandShare;
			return bucket(amount, perS * share, burst * share);
		};

		const daemon: Daemon = {
			name: `n${index}`,
			index,
			domain,
			region: domain % regions,
			startedAtMs,
			isUp: true,
			downAtMs: 0,
			phase: rng.integer(0, tickSteps - 1),
			quota,
			exchange,
			take: (team, amount) =>
				policy === 'combined'
					? quota.tryTake({name: team.name, quota: quotaOf(team)}, amount).kind === 'taken'
					: alternative(team, amount),
		};
		return daemon;
	};

	for (let index = 0; index < options.daemons; index++) {
		daemons.push(start(index));
	}

	const relaysOf = (domain: number) =>
		daemons
			.filter(
				(daemon) =>
					daemon.domain === domain && (daemon.isUp || nowMs - daemon.downAtMs < lostAfterMs),
			)
			.slice(0, relayElection.relayCount);

	const send = (
		from: Daemon,
		to: Daemon,
		teamUse: teamUsage.UseReport | undefined,
		isRelayed: boolean,
	) => {
		const isBetween = from.region !== to.region;
		const isLost = (isBetween && options.isCut?.(nowMs) === true) || rng.next() < lossShare;
		if (!teamUse || to === from || isLost) {
			return;
		}

		const delayMs = datagramMs + (isBetween ? betweenRegionsMs : 0);
		const step = Math.ceil((nowMs + delayMs) / stepMs);
		const due = queue.get(step) ?? [];
		queue.set(step, due);
		due.push(() => {
			const at = daemons[to.index]!;
			if (at.isUp) {
				const sender = {name: from.name, failureDomain: `d${from.domain}`};
				at.exchange.receive({sender, isRelayed, teamUse});
			}
		});
	};

	const tickDaemon = (daemon: Daemon, tick: number) => {
		const {exchange, domain} = daemon;
		const relays = relaysOf(domain);
		const turn = relays.indexOf(daemon);
		exchange.noteTick(turn !== -1);
		const own = exchange.localUse();
		for (const relay of relays) {
			send(daemon, relay, own, false);
		}

		daemon.quota.forget();
		if (tick % relays.length === turn) {
			const total = exchange.totalUse();
			for (const peer of daemons) {
				if (peer.domain === domain) {
					send(daemon, peer, total, true);
				}
			}
		}

		const sum = turn === -1 ? undefined : exchange.domainUse();
		for (let other = 0; other < domains; other++) {
			const target = other === domain ? undefined : rng.pick(relaysOf(other));
			if (target && (target.region === daemon.region || tick % 2 === 0)) {
				send(daemon, target, sum, false);
			}
		}
	};

	const pickDaemon = (team: Team): Daemon | undefined => {
		const caller = rng.pick(team.callers)!;
		const up = daemons.filter(({domain, isUp}) => domain === caller.domain && isUp);
		if (options.singleCallers) {
			const kept = up.find(({index}) => index === caller.daemon);
			const chosen = kept ?? rng.pick(up);
			caller.daemon = chosen?.index ?? -1;
			return chosen ?? rng.pick(daemons.filter(({isUp}) => isUp));
		}

		return rng.pick(up) ?? rng.pick(daemons.filter(({isUp}) => isUp));
	};

	const moveCallers = () => {
		for (const [number, team] of teams.entries()) {
			for (const caller of team.callers) {
				if (options.stayMs && rng.next() < stepMs / options.stayMs) {
					caller.domain = rng.integer(0, domains - 1);
					caller.daemon = -1;
				}

				// They all come within two seconds.
				if (options.gatherMs && rng.next() < stepMs / 1000) {
					caller.domain = (number + Math.floor(nowMs / options.gatherMs)) % domains;
				}
			}
		}
	};

	let hasKilled = false;
	const killAndRestart = () => {
		if (options.kill && !hasKilled && nowMs >= options.kill.atMs) {
			hasKilled = true;
			for (const daemon of daemons) {
				if (options.kill.isKilled(daemon.index)) {
					daemon.isUp = false;
					daemon.downAtMs = nowMs;
				}
			}
		}

		for (const daemon of daemons) {
			// They come back after 1 to 4 seconds.
			if (!daemon.isUp && nowMs - daemon.downAtMs > 1000 + (daemon.index % 31) * 100) {
				daemons[daemon.index] = start(daemon.index);
			}
		}
	};

	for (let step = 0; step * stepMs < durationMs; step++) {
		nowMs = step * stepMs;
		for (const deliver of queue.get(step) ?? []) {
			deliver();
		}

		queue.delete(step);
		killAndRestart();
		moveCallers();
		for (const daemon of daemons) {
			if (daemon.isUp && (step + daemon.phase) % tickSteps === 0) {
				tickDaemon(daemon, Math.floor((step + daemon.phase) / tickSteps));
			}
		}

		for (const [number, team] of teams.entries()) {
			const perS = team.usualPerS * (options.demandFactor?.(number, nowMs) ?? 1);
			let leftMs = stepMs - rng.exponential((1000 * team.requestAmount) / perS);
			while (leftMs > 0) {
				const daemon = pickDaemon(team);
				if (daemon) {
					const isTaken = daemon.take(team, team.requestAmount);
					team.events.push({atMs: nowMs, amount: team.requestAmount, isTaken});
				}

				leftMs -= rng.exponential((1000 * team.requestAmount) / perS);
			}
		}
	}

	return teams.map((team) => judgeTeam(team, options));
};

/** Compares what was admitted with one token bucket, and with what is allowed in a window. */
const judgeTeam = (team: Team, options: FleetOptions): TeamResult => {
	const factorAt = (atMs: number) => options.quotaFactor?.(Number(team.name.slice(1)), atMs) ?? 1;
	const windowMs = bounds.windowS * 1000;
	let worstWindow = 0;
	let worstAtMs = 0;
	let first = 0;
	let used = 0;
	const taken = team.events.filter(({isTaken}) => isTaken);
	for (const {atMs, amount} of taken) {
		used += amount;
		while (taken[first]!.atMs <= atMs - windowMs) {
			used -= taken[first]!.amount;
			first++;
		}

		// A lower quota binds one window after it takes effect.
		const {perS, burst} = team.quota;
		const factor = Math.max(factorAt(atMs), factorAt(atMs - windowMs));
		const allowed =
			(perS * bounds.windowS + burst) * factor * (1 + bounds.excessShare) + bounds.slack;
		if (used / allowed > worstWindow) {
			worstWindow = used / allowed;
			worstAtMs = atMs;
		}
	}

	let level = team.quota.burst;
	let previousMs = 0;
	let belowAmount = 0;
	let takenAmount = 0;
	let offered = 0;
	for (const {atMs, amount, isTaken} of team.events) {
		const factor = factorAt(atMs);
		level = Math.min(
			team.quota.burst * factor,
			level + (team.quota.perS * factor * (atMs - previousMs)) / 1000,
		);
		previousMs = atMs;
		const isBelow = level > 0;
		level -= isBelow ? amount : 0;
		if (atMs >= warmUpMs) {
			offered += amount;
			belowAmount += isBelow ? amount : 0;
			takenAmount += isTaken ? amount : 0;
		}
	}

	return {
		team: team.name,
		perS: team.quota.perS,
		worstWindow,
		worstAtMs,
		refusedBelow: Math.max(0, belowAmount - takenAmount) / Math.max(1, belowAmount),
		belowAmount,
		refusedAmount: offered - takenAmount,
	};
};

/** Largest share of a window, and the refused share over all teams. */
export const summarize = (teams: readonly TeamResult[]) => {
	const below = teams.reduce((sum, team) => sum + team.belowAmount, 0);
	const lost = teams.reduce((sum, team) => sum + team.refusedBelow * team.belowAmount, 0);
	return {
		worstWindow: Math.max(...teams.map((team) => team.worstWindow)),
		worstTeamRefused: Math.max(...teams.map((team) => team.refusedBelow)),
		refusedBelow: lost / below,
	};
};

/** Plays a scenario with several seeds; the worst of each figure. */
export const playScenario = (
	name: string,
	options: Pick<FleetOptions, 'daemons' | 'policy' | 'burstS'>,
	seeds: readonly number[],
) => {
	const durationMs = 25_000;
	const runs = seeds.map((seed) =>
		summarize(runQuotaFleet({...options, ...scenarios[name], seed, durationMs})),
	);
	return {
		worstWindow: Math.max(...runs.map((run) => run.worstWindow)),
		worstTeamRefused: Math.max(...runs.map((run) => run.worstTeamRefused)),
		refusedBelow: Math.max(...runs.map((run) => run.refusedBelow)),
	};
};

const hotTeam = (factor: number, atMs: number, forMs: number, hot: readonly number[]) => ({
	demandFactor: (team: number, nowMs: number) =>
		hot.includes(team) && nowMs >= atMs && nowMs < atMs + forMs ? factor : 1,
});

/** Loads and faults of the model. */
export const scenarios: Record<string, Partial<FleetOptions>> = {
	steady: {},
	'many-teams': {stayMs: 3000, smallTeams: 150},
	moving: {stayMs: 3000},
	gathering: {gatherMs: 5000},
	single: {singleCallers: true, stayMs: 4000},
	'hot-large': hotTeam(7.5, 10_000, 10_000, [0]),
	'hot-medium': hotTeam(7.5, 10_000, 8000, [4]),
	'hot-small': hotTeam(7.5, 10_000, 6000, [12, 13]),
	'hot-single': {...hotTeam(7.5, 10_000, 8000, [0, 4, 12]), singleCallers: true, stayMs: 4000},
	'hot-cut': {
		...hotTeam(7.5, 14_000, 8000, [0, 5, 12]),
		isCut: (nowMs) => nowMs > 10_000 && nowMs < 20_000,
	},
	cut: {isCut: (nowMs) => nowMs > 10_000 && nowMs < 20_000},
	'kill-third': {kill: {atMs: 10_000, isKilled: (index) => index % 3 === 0}},
	'kill-all': {kill: {atMs: 10_000, isKilled: () => true}},
	'hot-kill-all': {
		...hotTeam(7.5, 9000, 10_000, [0, 5, 12]),
		kill: {atMs: 11_000, isKilled: () => true},
	},
	lowered: {quotaFactor: (_, nowMs) => (nowMs < 10_000 ? 1 : 0.1)},
};
