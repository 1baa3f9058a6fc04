/** Relay role: exchanges summaries with the other failure domains. */
import type * as claim from '@hawthornfront/protocol/common/claim.js';
import type * as datagram from '@hawthornfront/protocol/common/datagram.js';
import type * as fleetParts from './fleet-parts.js';
import type * as memberSync from './member-sync.js';
import type * as membership from './membership.js';
import type * as messenger from './messenger.js';
import type * as peerPull from './peer-pull.js';
import type * as regionWaits from './region-waits.js';
import * as roles from './roles.js';

// A change in another domain takes a few summaries to reach both sides.
const mismatchesBeforeRepair = 4;

export type RelayParts = fleetParts.FleetParts & {
	messenger: messenger.Messenger;
	sync: memberSync.MemberSync;
	pull: peerPull.PeerPull;
	regions: regionWaits.RegionWaitTable;
	/** Expected waits of the local failure domain. */
	waits: () => datagram.WaitEntry[];
};

export type Relay = {
	/** Called in each tick; sends summaries only on a relay. */
	tick(isRelay: boolean): void;
	receive(item: datagram.Summary, address: string, isRelay: boolean): void;
};

/** Creates the relay side of a daemon. */
export const createRelay = (parts: RelayParts): Relay => {
	const {membership: view, settings, clock, random} = parts;
	const self = view.self().member;
	const mismatches = new Map<string, number>();
	const lastSummaryAtMs = new Map<string, number>();
	let nextSummaryMs = 0;
	let round = 0;

	const remoteDomains = (): Map<string, membership.Member[]> => {
		const domains = new Map<string, membership.Member[]>();
		for (const member of view.members()) {
			if (member.failureDomain !== self.failureDomain) {
				domains.set(member.failureDomain, [...(domains.get(member.failureDomain) ?? []), member]);
			}
		}

		return domains;
	};

	/** First relay of the domain; every other round a random member, in case both relays failed. */
	const targetIn = (failureDomain: string, members: membership.Member[]) => {
		const [first] = roles.relayOrder(members, failureDomain);
		const isRelayTurn = round % 2 === 0;
		return isRelayTurn
			? (members.find((member) => member.name === first) ?? random.pick(members))
			: random.pick(members);
	};

	const anyClaimIn = (failureDomain: string) => {
		const member = random.pick(
			view.members().filter((item) => item.failureDomain === failureDomain),
		);
		return member && view.claimOf(member.name);
	};

	/** Two domains can agree on each other but differ on a third whose members send no summaries. */
	const compareFullDigests = (item: datagram.Summary, known: claim.Claim) => {
		const isEqual = item.fullDigest === view.digest();
		const count = isEqual ? 0 : (mismatches.get(item.failureDomain) ?? 0) + 1;
		mismatches.set(item.failureDomain, count);
		if (count >= mismatchesBeforeRepair) {
			mismatches.delete(item.failureDomain);
			parts.sync.repair(known);
		}
	};

	const removeSilentDomain = (
		failureDomain: string,
		members: membership.Member[],
		nowMs: number,
	) => {
		const lastMs = lastSummaryAtMs.get(failureDomain) ?? nowMs;
		lastSummaryAtMs.set(failureDomain, lastMs);
		if (nowMs - lastMs >= settings.forgetDomainMs) {
			for (const member of members) {
				view.remove(member.name, nowMs);
			}

			lastSummaryAtMs.delete(failureDomain);
		}
	};

	return {
		tick(isRelay) {
			const nowMs = clock.nowMs();
			if (!isRelay) {
				// A daemon that becomes a relay restarts the silence timeout of each domain.
				lastSummaryAtMs.clear();
				return;
			}

			if (nowMs < nextSummaryMs) {
				return;
			}

			nextSummaryMs = nowMs + settings.summaryMs - settings.tickMs / 2;
			round++;
			parts.regions.merge(nowMs, settings.regionSummaryLifeMs);
			const waits = parts.waits();
			for (const [failureDomain, members] of remoteDomains()) {
				const target = targetIn(failureDomain, members);
				if (target) {
					parts.messenger.sendSummary(target.datagramAddress, waits);
				}

				removeSilentDomain(failureDomain, members, nowMs);
			}
		},
		receive(item, address, isRelay) {
			const nowMs = clock.nowMs();
			const {name, incarnation, sequence, state, isWatching, failureDomain} = item;
			if (failureDomain === self.failureDomain) {
				return;
			}

			view.applyShort({name, incarnation, sequence, state, isWatching}, nowMs);
			lastSummaryAtMs.set(failureDomain, nowMs);
			parts.regions.applyDomainWaits(failureDomain, {
				region: item.region,
				observedAtMs: nowMs,
				waits: item.waits,
			});
			if (!isRelay) {
				parts.regions.merge(nowMs, settings.regionSummaryLifeMs);
			}

			const known = view.claimOf(name) ?? anyClaimIn(failureDomain);
			if (!known) {
				// No member of the domain is known, so the sender is asked for its full claim.
				parts.messenger.sendHeartbeat(address, {wantsStatus: true});
				return;
			}

			if (item.digest !== view.digest(failureDomain)) {
				parts.sync.repair(known, failureDomain);
			} else if (isRelay) {
				compareFullDigests(item, known);
			}

			parts.pull.offer({
				name: known.member.name,
				httpAddress: known.member.httpAddress,
				revision: item.revision,
				isNear: false,
			});
		},
	};
};
