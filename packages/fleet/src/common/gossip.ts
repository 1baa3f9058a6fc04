/**
 * Heartbeats inside the failure domain: sends those of each tick and handles
 * received ones.
 */
import type * as claim from '@hawthornfront/protocol/common/claim.js';
import type * as datagram from '@hawthornfront/protocol/common/datagram.js';
import * as failureDetector from './failure-detector.js';
import type * as fleetParts from './fleet-parts.js';
import type * as loadExchange from './load-exchange.js';
import type * as memberSync from './member-sync.js';
import type * as messenger from './messenger.js';
import type * as peerPull from './peer-pull.js';
import type * as regionWaits from './region-waits.js';

// A change reaches all members in about this many ticks; a member list repairs a longer mismatch.
const mismatchesBeforeRepair = 8;
// A helper answers the requester if the member sends a heartbeat within this many ticks.
const probeRequestTicks = 2;
// Sequences stay below this step between two incarnations, which count seconds.
const sequenceSpan = 2 ** 20;

export type GossipParts = fleetParts.FleetParts & {
	messenger: messenger.Messenger;
	sync: memberSync.MemberSync;
	pull: peerPull.PeerPull;
	loads: loadExchange.LoadExchange;
	regions: regionWaits.RegionWaitTable;
};

export type Gossip = {
	tick(): void;
	receive(item: datagram.Heartbeat, address: string): void;
	/** Sends a heartbeat to a few random peers without waiting for the tick, after an urgent change. */
	gossipNow(): void;
	/** Sends a heartbeat to all peers of the domain; only for rare and urgent changes. */
	broadcast(options: messenger.HeartbeatOptions): void;
	/** Sends a heartbeat to some removed members, in case they returned or never stopped. */
	reconnect(count: number): void;
	/** True when more members of the domain are removed than live, so the fault is likely local. */
	seemsIsolated(): boolean;
	/** Discards open probes after a pause of this process. */
	reset(): void;
};

type IndirectProbeRequest = {requester: string; ticksLeft: number};

/** Creates the gossip of a daemon. */
export const createGossip = (parts: GossipParts): Gossip => {
	const {membership, random, settings, clock} = parts;
	const detector = failureDetector.createFailureDetector(random, settings);
	const probeRequests = new Map<string, IndirectProbeRequest[]>();
	const localDomain = membership.self().member.failureDomain;
	let digestMismatches = 0;

	const addressOf = (name: string) => membership.claimOf(name)?.member.datagramAddress;

	const send = (name: string, options: messenger.HeartbeatOptions) => {
		const address = addressOf(name);
		if (address !== undefined) {
			parts.messenger.sendHeartbeat(address, options);
		}
	};

	const peers = (): Map<string, number> => {
		const found = new Map<string, number>();
		for (const member of membership.members()) {
			if (member.failureDomain === localDomain && !member.isSelf) {
				const {sequence} = membership.claimOf(member.name)!;
				found.set(member.name, member.incarnation * sequenceSpan + sequence);
			}
		}

		return found;
	};

	const pickRandom = <Item>(items: Item[], count: number): Item[] => {
		const picked: Item[] = [];
		while (picked.length < count && items.length > 0) {
			picked.push(...items.splice(random.integer(0, items.length - 1), 1));
		}

		return picked;
	};

	const expireProbeRequests = () => {
		for (const [name, requests] of probeRequests) {
			const open = requests.filter((request) => --request.ticksLeft > 0);
			if (open.length === 0) {
				probeRequests.delete(name);
			} else {
				probeRequests.set(name, open);
			}
		}
	};

	const sendPlan = (plan: failureDetector.Plan) => {
		const probesByHelper = new Map<string, string[]>();
		for (const {helper, member} of plan.indirect) {
			probesByHelper.set(helper, [...(probesByHelper.get(helper) ?? []), member]);
		}

		const targets = new Set([...plan.gossip, ...probesByHelper.keys()]);
		if (plan.probe !== undefined) {
			targets.add(plan.probe);
		}

		for (const name of targets) {
			send(name, {
				wantsAnswer: name === plan.probe,
				hasPendingUpdates: true,
				probes: probesByHelper.get(name),
			});
		}
	};

	const suspect = (name: string) => {
		membership.suspect(name, clock.nowMs());
		const suspectClaim = membership.claimOf(name);
		// The suspect gets the claim directly, so that it can refute it before the suspicion spreads.
		send(name, {wantsAnswer: true, claims: suspectClaim ? [suspectClaim] : []});
	};

	const comparePeer = (item: datagram.Heartbeat, known: claim.Claim) => {
		if (known.member.failureDomain === localDomain) {
			digestMismatches = item.digest === membership.digest() ? 0 : digestMismatches + 1;
			if (digestMismatches >= mismatchesBeforeRepair) {
				digestMismatches = 0;
				parts.sync.repair(known);
			}
		}

		parts.pull.offer({
			name: item.name,
			httpAddress: known.member.httpAddress,
			revision: item.revision,
			isNear: known.member.failureDomain === localDomain,
		});
	};

	const merge = (item: datagram.Heartbeat): boolean => {
		const nowMs = clock.nowMs();
		let isSuspected = false;
		for (const full of item.claims) {
			isSuspected = membership.apply(full, nowMs) === 'refute' || isSuspected;
		}

		for (const short of item.shortClaims) {
			isSuspected = membership.applyShort(short, nowMs) === 'refute' || isSuspected;
		}

		for (const load of item.loads) {
			parts.loads.receive(load, nowMs);
		}

		for (const region of item.regions) {
			parts.regions.applyRegionWaits(region, nowMs);
		}

		return isSuspected;
	};

	const handleIndirectProbes = (item: datagram.Heartbeat) => {
		for (const member of item.probes) {
			const requests = probeRequests.get(member) ?? [];
			probeRequests.set(member, [
				...requests,
				{requester: item.name, ticksLeft: probeRequestTicks},
			]);
			send(member, {wantsAnswer: true});
		}

		const requests = probeRequests.get(item.name);
		const memberClaim = membership.claimOf(item.name);
		if (requests && memberClaim) {
			probeRequests.delete(item.name);
			for (const {requester} of requests) {
				send(requester, {claims: [memberClaim]});
			}
		}
	};

	const answer = (item: datagram.Heartbeat, address: string, wantsStatus: boolean) => {
		const known = membership.claimOf(item.name);
		const isRemoved = known?.state === 'dead';
		if (item.wantsAnswer || item.wantsStatus || wantsStatus || isRemoved) {
			// A new sequence shows that the answer was sent after the request.
			membership.incrementSequence();
			parts.messenger.sendHeartbeat(address, {
				wantsStatus,
				hasStatus: item.wantsStatus || settings.sendsFullStatus,
				claims: isRemoved ? [known] : [],
			});
		}
	};

	const receive = (item: datagram.Heartbeat, address: string) => {
		const {name, incarnation, sequence, state, isWatching} = item;
		// The merged claims may add the sender to the view, which its short claim requires.
		const isSuspected = merge(item);
		const result = membership.applyShort(
			{name, incarnation, sequence, state, isWatching},
			clock.nowMs(),
		);
		const known = membership.claimOf(name);
		if (known && known.member.name !== membership.self().member.name && result !== 'unknown') {
			comparePeer(item, known);
		}

		handleIndirectProbes(item);
		answer(isSuspected ? {...item, wantsAnswer: true} : item, address, result === 'unknown');
	};

	return {
		tick() {
			expireProbeRequests();
			const plan = detector.plan(peers());
			for (const name of plan.suspects) {
				suspect(name);
			}

			sendPlan(plan);
		},
		receive,
		gossipNow() {
			for (const name of pickRandom([...peers().keys()], settings.gossipFanout + 1)) {
				send(name, {hasPendingUpdates: true});
			}
		},
		reconnect(count) {
			for (const removed of pickRandom(membership.removedInDomain(), count)) {
				const address = removed.member.datagramAddress;
				parts.messenger.sendHeartbeat(address, {wantsAnswer: true, claims: [removed]});
			}
		},
		seemsIsolated: () => membership.removedInDomain().length > peers().size,
		broadcast(options) {
			for (const name of peers().keys()) {
				send(name, options);
			}
		},
		reset() {
			detector.reset();
		},
	};
};
