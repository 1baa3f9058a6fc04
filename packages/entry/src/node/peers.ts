/** Views of the membership that the engine and at-most-once execution use. */
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

/** Other daemons of a region that are listed; suspects are included, since they may still answer. */
export const regionPeers = (fleet: fleetInterface.Fleet, region: string): keys.Peer[] =>
	others(fleet)
		.filter((member) => member.region === region)
		.map((member) => toPeer(member));

/** Other daemons of a failure domain that take new work. */
export const domainPeers = (fleet: fleetInterface.Fleet, failureDomain: string): keys.Peer[] =>
	others(fleet)
		.filter((member) => member.failureDomain === failureDomain && member.state === 'alive')
		.map((member) => toPeer(member));

/** HTTP addresses of the entry VMs of a region. */
export const entryVmsOf = (fleet: fleetInterface.Fleet, region: string): string[] =>
	fleet
		.members()
		.filter((member) => member.region === region && member.state === 'alive')
		.map((member) => member.httpAddress);
