/**
 * Orders the entry VMs for a team. Every daemon assigns a team the same few VMs per
 * failure domain. This keeps the limits and caches of the team in few places, and a
 * team that overloads its VMs does not affect most other VMs.
 */
import * as hash from './hash.js';

/** Fields of a member that the order depends on; other fields are passed through. */
export type EntryVm = {
	readonly name: string;
	readonly region: string;
	readonly failureDomain: string;
	/** Relative share of teams; 1 when absent. */
	readonly weight?: number;
	readonly isSuspect: boolean;
	readonly isLeaving: boolean;
};

export type Locality = {
	/** Failure domain and region whose VMs come first. */
	readonly region: string;
	readonly failureDomain: string;
};

/** The `perDomain` VMs of a domain that serve a team, and the suspects that would be among them. */
const chooseInDomain = <Member extends EntryVm>(
	team: string,
	members: readonly Member[],
	perDomain: number,
): {usable: Member[]; suspects: Member[]} => {
	const ordered = hash.order(team, members);
	return {
		usable: ordered.filter(({isSuspect}) => !isSuspect).slice(0, perDomain),
		suspects: ordered.slice(0, perDomain).filter(({isSuspect}) => isSuspect),
	};
};

/** Own domain, then the rest of the own region, then other regions. */
const distanceOf = (member: EntryVm, origin: Locality): number => {
	if (member.failureDomain === origin.failureDomain) {
		return 0;
	}

	return member.region === origin.region ? 1 : 2;
};

/**
 * Orders the entry VMs for a team: `perDomain` of each failure domain, near ones
 * first, suspects last, leaving ones absent. Domains of equal distance are in an
 * order that depends on the team, so that no single domain takes over all teams.
 */
export const orderEntryVms = <Member extends EntryVm>(
	team: string,
	members: readonly Member[],
	perDomain: number,
	locality?: Locality,
): Member[] => {
	const domains = new Map<string, Member[]>();
	for (const member of members) {
		if (!member.isLeaving) {
			const list = domains.get(member.failureDomain) ?? [];
			domains.set(member.failureDomain, [...list, member]);
		}
	}

	const ordered = hash
		.order(
			team,
			[...domains.keys()].map((name) => ({name})),
		)
		.map(({name}) => domains.get(name)!);
	if (locality) {
		ordered.sort((a, b) => distanceOf(a[0]!, locality) - distanceOf(b[0]!, locality));
	}

	const chosen = ordered.map((list) => chooseInDomain(team, list, perDomain));
	return [...chosen.flatMap(({usable}) => usable), ...chosen.flatMap(({suspects}) => suspects)];
};
