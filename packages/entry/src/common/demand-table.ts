/**
 * Demand of teams at other daemons and failure domains, and the share of each team's
 * limit that this daemon enforces. Only teams with local demand are kept, so that the
 * size depends on the number of teams that this daemon serves.
 */
import type * as clock from '@hawthornfront/base/common/clock.js';
import * as limitShares from '@hawthornfront/decisions/common/limit-shares.js';

/** A report expires when it is not renewed within this time. */
const reportTtlMs = 60_000;

export type Scope = 'daemon' | 'domain';

export type ShareView = {
	ownDaemon: string;
	ownDomain: string;
	/** Number of failure domains of the deployment, reachable or not. */
	domainCount: number;
	/** Failure domains with a live member. */
	liveDomains: readonly string[];
	/** Live daemons of the local failure domain that serve the team. */
	daemonsOf(team: string): readonly string[];
};

type DemandReport = {demand: number; atMs: number};
type ReportsByScope = Record<Scope, Map<string, DemandReport>>;

export type DemandTable = {
	/** Sets the demand of teams at this daemon; teams that are not listed are removed. */
	setLocalDemands(demands: ReadonlyMap<string, number>): void;
	/** Applies a report of another daemon or failure domain; teams without local demand are ignored. */
	applyReport(scope: Scope, name: string, team: string, demand: number): void;
	/** Demand of a team in the local failure domain. */
	domainDemand(team: string): number;
	/** Share of the team's limit for this daemon, from 0 to 1. */
	share(team: string, view: ShareView): number;
	teams(): Iterable<string>;
	size(): number;
};

/** Creates an empty table. `floorShare` is the part of each limit that is split evenly. */
export const createDemandTable = (time: clock.Clock, floorShare: number): DemandTable => {
	let localDemands: ReadonlyMap<string, number> = new Map();
	const others = new Map<string, ReportsByScope>();

	const validReports = (
		reports: Map<string, DemandReport> | undefined,
	): limitShares.NamedDemand[] => {
		const oldestAtMs = time.nowMs() - reportTtlMs;
		return [...(reports ?? [])]
			.filter(([, report]) => report.atMs >= oldestAtMs)
			.map(([name, {demand}]) => ({name, demand}));
	};

	const domainDemand = (team: string): number => {
		let total = localDemands.get(team) ?? 0;
		for (const {demand} of validReports(others.get(team)?.daemon)) {
			total += demand;
		}

		return total;
	};

	return {
		setLocalDemands(demands) {
			localDemands = demands;
			for (const team of others.keys()) {
				if (!localDemands.has(team)) {
					others.delete(team);
				}
			}
		},
		applyReport(scope, name, team, demand) {
			if (!localDemands.has(team)) {
				return;
			}

			const reports = others.get(team) ?? {daemon: new Map(), domain: new Map()};
			reports[scope].set(name, {demand, atMs: time.nowMs()});
			others.set(team, reports);
		},
		domainDemand,
		share(team, view) {
			const reports = others.get(team);
			const demandByDomain = new Map(
				validReports(reports?.domain).map(({name, demand}) => [name, demand] as const),
			);
			demandByDomain.set(view.ownDomain, domainDemand(team));
			const demandByDaemon = new Map(
				validReports(reports?.daemon).map(({name, demand}) => [name, demand] as const),
			);
			demandByDaemon.set(view.ownDaemon, localDemands.get(team) ?? 0);
			const daemonNames = new Set([
				...view.daemonsOf(team),
				view.ownDaemon,
				...demandByDaemon.keys(),
			]);
			return limitShares.daemonShare({
				floorShare,
				domainCount: view.domainCount,
				ownDomain: view.ownDomain,
				domains: view.liveDomains.map((name) => ({name, demand: demandByDomain.get(name) ?? 0})),
				ownDaemon: view.ownDaemon,
				daemons: [...daemonNames].map((name) => ({name, demand: demandByDaemon.get(name) ?? 0})),
			});
		},
		teams: () => localDemands.keys(),
		size: () => localDemands.size,
	};
};
