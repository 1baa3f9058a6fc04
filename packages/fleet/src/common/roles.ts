/** Assigns roles inside a failure domain by rendezvous hashing over its live members. */
import type * as membership from './membership.js';
import * as rendezvous from './rendezvous.js';

/** Members of a failure domain that may take a role; suspect and stopping members may not. */
const eligibleIn = (members: readonly membership.Member[], failureDomain: string): string[] =>
	members
		.filter((member) => member.failureDomain === failureDomain && member.state === 'alive')
		.map((member) => member.name);

/** Eligible members of a failure domain in their order as relays; the first ones are the relays. */
export const relayOrder = (
	members: readonly membership.Member[],
	failureDomain: string,
): string[] => rendezvous.orderFor(`relay/${failureDomain}`, eligibleIn(members, failureDomain));

/** Members that poll an upstream of their failure domain. */
export const pollersFor = (
	members: readonly membership.Member[],
	failureDomain: string,
	upstream: string,
	count: number,
): string[] => rendezvous.pickFor(`poller/${upstream}`, eligibleIn(members, failureDomain), count);
