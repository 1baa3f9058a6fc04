/**
 * What this daemon knows of the demand of teams elsewhere. It computes the part
 * of each team's limit that this daemon enforces. Only teams with demand here
 * are kept, so its size grows with the teams that the daemon serves.
 */
import type * as clock from '@hawthornfront/base/common/clock.js';
import * as limitShares from '@hawthornfront/decisions/common/limit-shares.js';

/** A report that was not renewed for this time no longer counts. */
const claimLifeMs = 60_000;

export type Scope = 'daemon' | 'domain';

export type ShareView = {
	ownDaemon: string;
	ownDomain: string;
	/** Failure domains of the deployment, reachable or not. */
	domainCount: number;
	/** Failure domains with a live member. */
	liveDomains: readonly string[];
	/** Live daemons of the own domain that serve the team. */
	daemonsOf(team: string): readonly string[];
};

type Claim = {demand: number; atMs: number};
type Claims = Record<Scope, Map<string, Claim>>;

export type DemandLedger = {
	/** Sets the own demand of the teams seen here; teams that are missing are dropped. */
	setOwn(demands: ReadonlyMap<string, number>): void;
	/** Takes a report of another daemon or failure domain; unknown teams are ignored. */
	note(scope: Scope, name: string, team: string, demand: number): void;
	/** Demand of the own failure domain for a team. */
	domainDemand(team: string): number;
	/** Part of the team's limit for this daemon, 0 to 1. */
	share(team: string, view: ShareView): number;
	teams(): Iterable<string>;
	size(): number;
};

/** Creates an empty ledger. `floorShare` is the part of each limit that is split evenly. */
export const createDemandLedger = (time: clock.Clock, floorShare: number): DemandLedger => {
	let own: ReadonlyMap<string, number> = new Map();
	const others = new Map<string, Claims>();

	const current = (claims: Map<string, Claim> | undefined): limitShares.NamedDemand[] => {
		const limitMs = time.nowMs() - claimLifeMs;
		return [...(claims ?? [])]
			.filter(([, claim]) => claim.atMs >= limitMs)
			.map(([name, {demand}]) => ({name, demand}));
	};

	const domainDemand = (team: string): number => {
		let total = own.get(team) ?? 0;
		for (const {demand} of current(others.get(team)?.daemon)) {
			total += demand;
		}

		return total;
	};

	return {
		setOwn(demands) {
			own = demands;
			for (const team of others.keys()) {
				if (!own.has(team)) {
					others.delete(team);
				}
			}
		},
		note(scope, name, team, demand) {
			if (!own.has(team)) {
				return;
			}

			const claims = others.get(team) ?? {daemon: new Map(), domain: new Map()};
			claims[scope].set(name, {demand, atMs: time.nowMs()});
			others.set(team, claims);
		},
		domainDemand,
		share(team, view) {
			const claims = others.get(team);
			const domainClaims = new Map(
				current(claims?.domain).map(({name, demand}) => [name, demand] as const),
			);
			domainClaims.set(view.ownDomain, domainDemand(team));
			const daemonClaims = new Map(
				current(claims?.daemon).map(({name, demand}) => [name, demand] as const),
			);
			daemonClaims.set(view.ownDaemon, own.get(team) ?? 0);
			const daemonNames = new Set([
				...view.daemonsOf(team),
				view.ownDaemon,
				...daemonClaims.keys(),
			]);
			return limitShares.daemonShare({
				floorShare,
				domainCount: view.domainCount,
				ownDomain: view.ownDomain,
				domains: view.liveDomains.map((name) => ({name, demand: domainClaims.get(name) ?? 0})),
				ownDaemon: view.ownDaemon,
				daemons: [...daemonNames].map((name) => ({name, demand: daemonClaims.get(name) ?? 0})),
			});
		},
		teams: () => own.keys(),
		size: () => own.size,
	};
};
