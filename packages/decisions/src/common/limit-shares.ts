/**
 * Splits the limit of a team among failure domains and, inside a domain, among
 * the daemons that serve the team. There is no shared counter: every daemon
 * computes its own share from its demand and the demand that others report.
 *
 * A part of the limit, the floor, is split evenly, so that a domain can keep serving
 * while it is partitioned off. The rest follows demand and is used only by domains that
 * are in contact with more than half of all domains. At most one side of a network
 * partition is, so the sum of the shares does not exceed the limit.
 */

/** Demand of one domain or daemon, in any unit that is the same for all of them. */
export type NamedDemand = {name: string; demand: number};

export type ShareOptions = {
	/** Part of the limit that is split evenly, 0 to 1. */
	floorShare: number;
	/** Failure domains that serve the team, reachable or not. */
	domainCount: number;
	ownDomain: string;
	/** Domains that are in contact now; the own domain always counts as one of them. */
	domains: readonly NamedDemand[];
	ownDaemon: string;
	/** Daemons of the own domain that serve the team; the own daemon always counts as one of them. */
	daemons: readonly NamedDemand[];
};

/** Share of one domain or daemon: an even part of the floor, and the rest in proportion to demand. */
const split = (
	floorShare: number,
	own: string,
	claims: readonly NamedDemand[],
	count: number,
): number => {
	let totalDemand = 0;
	let ownDemand = 0;
	for (const {name, demand} of claims) {
		totalDemand += demand;
		ownDemand += name === own ? demand : 0;
	}

	const demandPart = totalDemand > 0 ? ownDemand / totalDemand : 1 / count;
	return floorShare / count + (1 - floorShare) * demandPart;
};

const includeOwn = (own: string, claims: readonly NamedDemand[]): readonly NamedDemand[] =>
	claims.some(({name}) => name === own) ? claims : [...claims, {name: own, demand: 0}];

/** Share of the limit that the own domain may use, 0 to 1. */
export const domainShare = ({
	floorShare,
	domainCount,
	ownDomain,
	domains,
}: ShareOptions): number => {
	const claims = includeOwn(ownDomain, domains);
	const count = Math.max(domainCount, claims.length);
	return claims.length * 2 > count
		? split(floorShare, ownDomain, claims, count)
		: floorShare / count;
};

/** Share of the limit that the own daemon may use, 0 to 1; for `setShare` of the limiter. */
export const daemonShare = (options: ShareOptions): number => {
	const claims = includeOwn(options.ownDaemon, options.daemons);
	return domainShare(options) * split(options.floorShare, options.ownDaemon, claims, claims.length);
};

/**
 * Upper bound of the sum of all shares, as a multiple of the limit, while the
 * daemons disagree about demand or membership.
 */
export const maximumOvershoot = (
	floorShare: number,
	domainCount: number,
	daemonCount: number,
): number =>
	(floorShare + domainCount * (1 - floorShare)) * (floorShare + daemonCount * (1 - floorShare));
