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
	failureDomain: string;
	/** Processor share; VMs with more of it are relays more often. */
	capacity: number;
	isLeaving: boolean;
};

/** Relays of a failure domain among the members that are known to be alive. */
export const electRelays = <Candidate extends RelayCandidate>(
	failureDomain: string,
	members: readonly Candidate[],
): Candidate[] => {
	const candidates = members.filter(
		(member) => member.failureDomain === failureDomain && !member.isLeaving,
	);
	return hash
		.order(
			`relay ${failureDomain}`,
			candidates.map((member) => ({name: member.name, weight: member.capacity, member})),
		)
		.slice(0, relayCount)
		.map(({member}) => member);
};
