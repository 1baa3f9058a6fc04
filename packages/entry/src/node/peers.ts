/** Selects members of the fleet for the request engine and at-most-once execution. */
import type * as fleetInterface from '@hawthornfront/fleet/common/fleet-interface.js';
import type * as membership from '@hawthornfront/fleet/common/membership.js';
import type * as keys from '@hawthornfront/once/common/key.js';

const toPeer = (member: membership.Member): keys.Peer => ({
	name: member.name,
	incarnation: member.incarnation,
	address: member.httpAddress,
});

const others = (fleet: fleetInterface.Fleet): membership.Member[] =>
	fleet.members().filter((member) => !member.isSelf);

/** Other members in a region. Suspect members are included, because they may still answer. */
export const regionPeers = (fleet: fleetInterface.Fleet, region: string): keys.Peer[] =>
	others(fleet)
		.filter((member) => member.region === region)
		.map((member) => toPeer(member));

/** Other daemons of a failure domain that accept new work. */
export const domainPeers = (fleet: fleetInterface.Fleet, failureDomain: string): keys.Peer[] =>
	others(fleet)
		.filter((member) => member.failureDomain === failureDomain && member.state === 'alive')
		.map((member) => toPeer(member));

/** HTTP addresses of the live entry VMs of a region. */
export const entryVmsOf = (fleet: fleetInterface.Fleet, region: string): string[] =>
	fleet
		.members()
		.filter((member) => member.region === region && member.state === 'alive')
		.map((member) => member.httpAddress);
