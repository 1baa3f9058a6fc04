/**
 * Merges reports on the use of teams at a relay: what the daemons of its failure domain
 * report, and the sums of the other failure domains. A reporter that falls silent may be cut
 * off and still be serving, so its last share of each team's demand stays reserved for it.
 */

/** Use of a team, in amounts a second. */
export type TeamUse = {
	team: string;
	requestedPerS: number;
	admittedPerS: number;
	/** Share of the team's quota that is reserved for daemons that are not heard. */
	silentShare: number;
};

export type UseReport = {
	uses: TeamUse[];
	/** Mean age of what it contains. */
	ageMs: number;
	/** Share of the daemons that have not been heard yet; so much of each quota is reserved for them. */
	unheardShare: number;
};

export type TeamUsage = {
	/** Replaces the last report of another daemon of the local failure domain. */
	notePeer(peer: string, report: UseReport): void;
	/** Replaces the last sum of another failure domain. */
	noteDomain(failureDomain: string, report: UseReport): void;
	/** Use of the local failure domain. */
	domainUse(): UseReport;
	/** Use over all daemons. */
	totalUse(): UseReport;
	/** Drops all, since this daemon is no relay any more. */
	clear(): void;
	/** Reporters whose last report is kept. */
	readonly reporters: number;
};

export type TeamUsageOptions = {
	nowMs(): number;
	/** Use at this daemon. */
	localUse(): TeamUse[];
	/** Other daemons that may serve, also lost ones; undefined while they are not known. */
	members(): ReadonlyArray<{name: string; failureDomain: string}> | undefined;
	failureDomain: string;
};

/** Time constant of the rates that daemons report. */
export const rateTimeMs = 1000;
/** A reporter without a report for this long is silent; sums of other regions come each 500 ms and may be lost. */
export const silentAfterMs = 2500;
/** The share of a silent reporter stays reserved for this long, like that of a lost member for the retry budget. */
const reservedMs = 600_000;
/** Teams in one report, those with the highest use first. */
export const maxTeamsPerReport = 64;
/** Limit of the reporters, since anybody can send a datagram with a name. */
const maxReporters = 4096;

/** Time constant of the demand from which the share of a silent reporter follows; teams with few requests need seconds. */
export const usualTimeMs = 10_000;

/** Interval between updates of that demand, which visit all its teams. */
const usualEveryMs = 1000;

/** Mean demand of teams over some seconds. */
const createUsualDemand = (nowMs: () => number) => {
	const demand = new Map<string, number>();
	let updatedAtMs: number | undefined;
	return {
		note(uses: readonly TeamUse[]) {
			const elapsedMs =
				updatedAtMs === undefined ? Number.POSITIVE_INFINITY : nowMs() - updatedAtMs;
			if (elapsedMs < usualEveryMs) {
				return;
			}

			const decay = Math.exp(-elapsedMs / usualTimeMs);
			updatedAtMs = nowMs();
			for (const [team, perS] of demand) {
				if (perS * decay < 1) {
					demand.delete(team);
				} else {
					demand.set(team, perS * decay);
				}
			}

			for (const {team, requestedPerS} of uses) {
				demand.set(team, (demand.get(team) ?? 0) + (1 - decay) * requestedPerS);
			}
		},
		of: (team: string) => demand.get(team) ?? 0,
		teams: () => demand.keys(),
	};
};

type Reporter = {
	isPeer: boolean;
	/** Of the daemon or the failure domain. */
	name: string;
	usual: ReturnType<typeof createUsualDemand>;
	uses: TeamUse[];
	receivedAtMs: number;
	ageMs: number;
	unheardShare: number;
	/** Shares of the quota by team since it is silent. */
	reserved?: Map<string, number>;
};

type Sums = Map<string, TeamUse>;

/** Keeps the teams with the highest use. */
export const limitUses = (uses: TeamUse[]): TeamUse[] =>
	uses.length <= maxTeamsPerReport
		? uses
		: uses.sort((a, b) => b.requestedPerS - a.requestedPerS).slice(0, maxTeamsPerReport);

const addUse = (sums: Sums, use: TeamUse) => {
	const sum = sums.get(use.team);
	if (sum) {
		sum.requestedPerS += use.requestedPerS;
		sum.admittedPerS += use.admittedPerS;
		sum.silentShare += use.silentShare;
	} else {
		sums.set(use.team, {...use});
	}
};

/** Creates the state of a relay that has heard no reports. */
export const createTeamUsage = (options: TeamUsageOptions): TeamUsage => {
	const {nowMs} = options;
	const reporters = new Map<string, Reporter>();
	const peerKey = (peer: string) => `peer ${peer}`;
	const domainKey = (failureDomain: string) => `domain ${failureDomain}`;
	const silenceMs = ({receivedAtMs}: Reporter) => nowMs() - receivedAtMs - silentAfterMs;

	const ownUsual = createUsualDemand(nowMs);

	const note = (name: string, isPeer: boolean, {uses, ageMs, unheardShare}: UseReport) => {
		const key = isPeer ? peerKey(name) : domainKey(name);
		const previous = reporters.get(key);
		if (previous !== undefined || reporters.size < maxReporters) {
			const usual = previous?.usual ?? createUsualDemand(nowMs);
			usual.note(uses);
			const receivedAtMs = nowMs();
			reporters.set(key, {isPeer, name, usual, uses, ageMs, unheardShare, receivedAtMs});
		}
	};

	/** Whether a silent reporter may still serve: a daemon that left as planned, or all of a failure domain, does not. */
	const mayServe = ({isPeer, name}: Reporter): boolean =>
		options.members()?.some((member) => (isPeer ? member.name : member.failureDomain) === name) ??
		true;

	/** Reserves the shares of reporters that have fallen silent, of the demand that was heard until then. */
	const reserveShares = () => {
		const fallen: Reporter[] = [];
		const reserved = new Map<string, number>();
		const reserve = (team: string, share: number) => {
			reserved.set(team, (reserved.get(team) ?? 0) + share);
		};

		for (const [key, reporter] of reporters) {
			if (silenceMs(reporter) > 0 && (silenceMs(reporter) > reservedMs || !mayServe(reporter))) {
				reporters.delete(key);
				continue;
			}

			if (!reporter.reserved && silenceMs(reporter) > 0) {
				fallen.push(reporter);
			}

			for (const [team, share] of reporter.reserved ?? []) {
				reserve(team, share);
			}

			for (const {team, silentShare} of reporter.reserved ? [] : reporter.uses) {
				reserve(team, silentShare);
			}
		}

		if (fallen.length === 0) {
			return;
		}

		const heard = [...reporters.values()].filter((reporter) => !reporter.reserved);
		const totalOf = (team: string) =>
			heard.reduce((sum, {usual}) => sum + usual.of(team), ownUsual.of(team));
		for (const reporter of fallen) {
			const {usual, uses} = reporter;
			const reservedThere = new Map(uses.map(({team, silentShare}) => [team, silentShare]));
			reporter.reserved = new Map(
				[...usual.teams()].map((team) => {
					const left = Math.max(0, 1 - (reserved.get(team) ?? 0));
					const part = usual.of(team) / totalOf(team);
					return [team, (reservedThere.get(team) ?? 0) + left * part];
				}),
			);
		}
	};

	/** Share of the members that have not been heard since this daemon started. */
	const unheardMembers = (isDomainOnly: boolean): number => {
		const members = options.members() ?? [];
		const unheard = members.filter(({name, failureDomain}) =>
			failureDomain === options.failureDomain
				? !reporters.has(peerKey(name))
				: !isDomainOnly && !reporters.has(domainKey(failureDomain)),
		);
		return unheard.length / (members.length + 1);
	};

	const sum = (isDomainOnly: boolean): UseReport => {
		const own = options.localUse();
		ownUsual.note(own);
		reserveShares();
		const sums: Sums = new Map();
		let weightedAge = 0;
		let weight = 0;
		let unheardShare = unheardMembers(isDomainOnly);
		for (const use of own) {
			addUse(sums, use);
			weight += use.requestedPerS;
		}

		for (const reporter of reporters.values()) {
			if (isDomainOnly && !reporter.isPeer) {
				continue;
			}

			const {uses, reserved, receivedAtMs, ageMs} = reporter;
			unheardShare += reporter.unheardShare;
			// Without a further request the rate would fall like this, so no use is counted or returned.
			const decay = reserved ? Math.exp(-silenceMs(reporter) / rateTimeMs) : 1;
			for (const use of uses) {
				if (reserved) {
					const admittedPerS = use.admittedPerS * decay;
					addUse(sums, {...use, requestedPerS: 0, admittedPerS, silentShare: 0});
				} else {
					addUse(sums, use);
					weight += use.requestedPerS;
					weightedAge += use.requestedPerS * (ageMs + nowMs() - receivedAtMs);
				}
			}

			for (const [team, silentShare] of reserved ?? []) {
				addUse(sums, {team, requestedPerS: 0, admittedPerS: 0, silentShare});
			}
		}

		const uses = limitUses([...sums.values()]).map((use) => ({
			...use,
			silentShare: Math.min(1, use.silentShare),
		}));
		const ageMs = weight > 0 ? weightedAge / weight : 0;
		return {uses, ageMs, unheardShare: Math.min(1, unheardShare)};
	};

	return {
		notePeer(peer, report) {
			note(peer, true, report);
		},
		noteDomain(failureDomain, report) {
			note(failureDomain, false, report);
		},
		domainUse: () => sum(true),
		totalUse: () => sum(false),
		clear() {
			reporters.clear();
		},
		get reporters() {
			return reporters.size;
		},
	};
};
