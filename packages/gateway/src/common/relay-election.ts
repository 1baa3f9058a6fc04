/**
 * Elects the relays of a failure domain. Daemons report to the relays only, and the
 * relays distribute the sums, so that the messages of a daemon do not grow with the
 * number of daemons. All daemons elect the same relays while they know the same members.
 */
import * as hash from '@hawthornfront/decisions/common/hash.js';

/** Relays of a failure domain: two can be lost without a gap in its reports. */
export const relayCount = 3;

export type RelayCandidate = {
	name: string;
	/** Processor share; VMs with more of it are relays more often. */
	capacity: number;
};

/** Orders daemons of a failure domain by their preference as relays. */
export const orderCandidates = <Candidate extends RelayCandidate>(
	failureDomain: string,
	candidates: readonly Candidate[],
): Candidate[] =>
	hash
		.order(
			`relay ${failureDomain}`,
			candidates.map((candidate) => ({
				name: candidate.name,
				weight: candidate.capacity,
				candidate,
			})),
		)
		.map(({candidate}) => candidate);

/** Relays of a failure domain among the members that are known to be alive. */
export const electRelays = <
	Candidate extends RelayCandidate & {failureDomain: string; isLeaving: boolean},
>(
	failureDomain: string,
	members: readonly Candidate[],
): Candidate[] => {
	const candidates = members.filter(
		(member) => member.failureDomain === failureDomain && !member.isLeaving,
	);
	return orderCandidates(failureDomain, candidates).slice(0, relayCount);
};
