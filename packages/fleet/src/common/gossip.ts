/**
 * Heartbeats inside the failure domain: what one tick sends and what a received
 * heartbeat causes.
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

// A change needs about this many ticks to reach all; a longer difference is repaired by a list.
const mismatchesBeforeRepair = 8;
// A helper answers its requester if the member is heard within this many ticks.
const helperTicks = 2;
// Keeps a sequence below the step between two incarnations, which are seconds.
const sequenceSpan = 2 ** 20;

export type GossipParts = fleetParts.FleetParts & {
	messenger: messenger.Messenger;
	sync: memberSync.MemberSync;
	pull: peerPull.PeerPull;
	loads: loadExchange.LoadExchange;
	regions: regionWaits.RegionTable;
};

export type Gossip = {
	tick(): void;
	receive(item: datagram.Heartbeat, address: string): void;
	/** Sends a heartbeat to a few random peers at once, after a change that shall spread fast. */
	spread(): void;
	/** Sends a heartbeat to all peers of the domain; only for rare and urgent changes. */
	broadcast(options: messenger.HeartbeatOptions): void;
	/** Sends a heartbeat to some removed members, in case they are back or were never gone. */
	reconnect(count: number): void;
	/** True when most of the domain seems lost, so that the fault is likely here. */
	seemsDeaf(): boolean;
	/** Forgets open probes after this daemon was paused. */
	reset(): void;
};

type HelpRequest = {requester: string; ticksLeft: number};

/** Creates the heartbeat side of a daemon. */
export const createGossip = (parts: GossipParts): Gossip => {
	const {membership, random, settings, clock} = parts;
	const detector = failureDetector.createFailureDetector(random, settings);
	const help = new Map<string, HelpRequest[]>();
	const ownDomain = membership.self().member.failureDomain;
	let mismatches = 0;

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
			if (member.failureDomain === ownDomain && !member.isSelf) {
				const {sequence} = membership.claimOf(member.name)!;
				found.set(member.name, member.incarnation * sequenceSpan + sequence);
			}
		}

		return found;
	};

	const pickSome = <Item>(items: Item[], count: number): Item[] => {
		const picked: Item[] = [];
		while (picked.length < count && items.length > 0) {
			picked.push(...items.splice(random.integer(0, items.length - 1), 1));
		}

		return picked;
	};

	const ageHelp = () => {
		for (const [name, requests] of help) {
			const open = requests.filter((request) => --request.ticksLeft > 0);
			if (open.length === 0) {
				help.delete(name);
			} else {
				help.set(name, open);
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
				hasNews: true,
				probes: probesByHelper.get(name),
			});
		}
	};

	const suspect = (name: string) => {
		membership.suspect(name, clock.nowMs());
		const accused = membership.claimOf(name);
		// The accused is told directly, so that it can refute before the rumour spreads.
		send(name, {wantsAnswer: true, claims: accused ? [accused] : []});
	};

	const notePeer = (item: datagram.Heartbeat, known: claim.Claim) => {
		if (known.member.failureDomain === ownDomain) {
			mismatches = item.digest === membership.digest() ? 0 : mismatches + 1;
			if (mismatches >= mismatchesBeforeRepair) {
				mismatches = 0;
				parts.sync.repair(known);
			}
		}

		parts.pull.offer({
			name: item.name,
			httpAddress: known.member.httpAddress,
			revision: item.revision,
			isNear: known.member.failureDomain === ownDomain,
		});
	};

	const merge = (item: datagram.Heartbeat): boolean => {
		const nowMs = clock.nowMs();
		let isAccused = false;
		for (const full of item.claims) {
			isAccused = membership.apply(full, nowMs) === 'refute' || isAccused;
		}

		for (const short of item.shortClaims) {
			isAccused = membership.applyShort(short, nowMs) === 'refute' || isAccused;
		}

		for (const load of item.loads) {
			parts.loads.receive(load, nowMs);
		}

		for (const region of item.regions) {
			parts.regions.noteRegion(region, nowMs);
		}

		return isAccused;
	};

	const helpOthers = (item: datagram.Heartbeat) => {
		for (const member of item.probes) {
			const requests = help.get(member) ?? [];
			help.set(member, [...requests, {requester: item.name, ticksLeft: helperTicks}]);
			send(member, {wantsAnswer: true});
		}

		const requests = help.get(item.name);
		const heard = membership.claimOf(item.name);
		if (requests && heard) {
			help.delete(item.name);
			for (const {requester} of requests) {
				send(requester, {claims: [heard]});
			}
		}
	};

	const answer = (item: datagram.Heartbeat, address: string, wantsStatus: boolean) => {
		const known = membership.claimOf(item.name);
		const isRemoved = known?.state === 'dead';
		if (item.wantsAnswer || item.wantsStatus || wantsStatus || isRemoved) {
			// A new sequence shows that the answer is younger than the question.
			membership.beat();
			parts.messenger.sendHeartbeat(address, {
				wantsStatus,
				hasStatus: item.wantsStatus || settings.sendsFullStatus,
				claims: isRemoved ? [known] : [],
			});
		}
	};

	const receive = (item: datagram.Heartbeat, address: string) => {
		const {name, incarnation, sequence, state, isWatching} = item;
		// The sender's own claim comes first, so that a status in it finds its place.
		const isAccused = merge(item);
		const result = membership.applyShort(
			{name, incarnation, sequence, state, isWatching},
			clock.nowMs(),
		);
		const known = membership.claimOf(name);
		if (known && known.member.name !== membership.self().member.name && result !== 'unknown') {
			notePeer(item, known);
		}

		helpOthers(item);
		answer(isAccused ? {...item, wantsAnswer: true} : item, address, result === 'unknown');
	};

	return {
		tick() {
			ageHelp();
			const plan = detector.plan(peers());
			for (const name of plan.suspects) {
				suspect(name);
			}

			sendPlan(plan);
		},
		receive,
		spread() {
			for (const name of pickSome([...peers().keys()], settings.gossipFanout + 1)) {
				send(name, {hasNews: true});
			}
		},
		reconnect(count) {
			for (const lost of pickSome(membership.lost(), count)) {
				const address = lost.member.datagramAddress;
				parts.messenger.sendHeartbeat(address, {wantsAnswer: true, claims: [lost]});
			}
		},
		seemsDeaf: () => membership.lost().length > peers().size,
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
