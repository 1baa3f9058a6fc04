/**
 * Membership of the other daemons: which are alive, their addresses, and the expected
 * waits of their regions. Updated by gossip from peers and by the list of members in
 * the store.
 */
import type * as clock from '@hawthornfront/base/common/clock.js';
import * as event from '@hawthornfront/base/common/event.js';
import type * as gossip from './gossip-message.js';

/** A member without a sign of life for this long counts as lost. */
export const memberLostAfterMs = 3500;
/** A member that only the store lists counts as alive for this long. */
const storeMemberTrustMs = 4000;
/** A member that left is kept for this long, since peers may still report it. */
const leftMemberMemoryMs = 15_000;
/** A region without a sign of life from any member for this long may be partitioned. */
const regionSilentAfterMs = 1500;
/** Older expected waits of a region are ignored. */
const regionWaitsMaxAgeMs = 4000;

export type Member = gossip.MemberRecord & {
	/** Monotonic time at which it was last known to be alive. */
	readonly aliveAtMs: number;
};

export type MemberChange = {kind: 'joined' | 'restarted' | 'left' | 'lost'; member: Member};

export type RegionWaits = {urgentMs: number; otherMs: number; ageMs: number};

export type FleetView = {
	readonly onDidChange: event.Event<MemberChange>;
	/** Applies a peer's report on a member, unless a newer one is held. */
	noteMember(record: gossip.MemberRecord, ageMs: number): void;
	/** Applies a member record of the store; the member may be dead already. */
	noteStoreMember(record: gossip.MemberRecord): void;
	noteRegionWaits(region: string, service: string, waits: RegionWaits): void;
	/** Members that are alive and not leaving, without this daemon. */
	alive(): readonly Member[];
	/** This daemon leaves; peers stop gossiping with it, so their silence is no sign of failure. */
	noteLocalStop(): void;
	aliveIn(region: string): readonly Member[];
	member(name: string): Member | undefined;
	/** Whether a member is in its planned stop, or alive in a region with a recent sign of life. */
	isReachable(name: string): boolean;
	/** Whether any other daemon is alive. */
	hasLivePeers(): boolean;
	regionWaits(region: string, service: string): RegionWaits | undefined;
	/** Expected waits of all regions that are not outdated. */
	allRegionWaits(): Array<{region: string; service: string; outlook: RegionWaits}>;
	/** Drops members that are lost or have left; call it at regular intervals. */
	sweep(): void;
};

type ReceivedWaits = {urgentMs: number; otherMs: number; atMs: number};

/** Creates a view without other members. */
export const createFleetView = (timeSource: clock.Clock, ownName: string): FleetView => {
	const members = new Map<string, Member>();
	const waitsByRegion = new Map<string, Map<string, ReceivedWaits>>();
	let isStopping = false;
	const didChange = event.createEmitter<MemberChange>();

	const isAlive = (member: Member) =>
		!member.isLeaving && timeSource.nowMs() - member.aliveAtMs < memberLostAfterMs;

	const put = (record: gossip.MemberRecord, aliveAtMs: number) => {
		const known = members.get(record.name);
		const member: Member = {...record, aliveAtMs};
		members.set(record.name, member);
		if (!known || !isAlive(known)) {
			if (isAlive(member)) {
				didChange.fire({kind: known ? 'restarted' : 'joined', member});
			}
		} else if (record.isLeaving) {
			didChange.fire({kind: 'left', member});
		} else if (known.startedAtUnixMs !== record.startedAtUnixMs) {
			didChange.fire({kind: 'restarted', member});
		}
	};

	/** Peers may still report an older start, or the state of a member before it began to leave. */
	const isNewer = (known: Member, record: gossip.MemberRecord, aliveAtMs: number): boolean => {
		if (known.startedAtUnixMs !== record.startedAtUnixMs) {
			return known.startedAtUnixMs < record.startedAtUnixMs;
		}

		return known.isLeaving ? false : record.isLeaving || known.aliveAtMs < aliveAtMs;
	};

	const waitsAgeMs = (outlook: ReceivedWaits) => timeSource.nowMs() - outlook.atMs;

	const view: FleetView = {
		onDidChange: didChange.event,
		noteMember(record, ageMs) {
			const aliveAtMs = timeSource.nowMs() - ageMs;
			const known = members.get(record.name);
			if (record.name !== ownName && (!known || isNewer(known, record, aliveAtMs))) {
				put(record, aliveAtMs);
			}
		},
		noteStoreMember(record) {
			const known = members.get(record.name);
			if (record.name === ownName || (known && known.startedAtUnixMs >= record.startedAtUnixMs)) {
				return;
			}

			put(record, timeSource.nowMs() - memberLostAfterMs + storeMemberTrustMs);
		},
		noteRegionWaits(region, service, {urgentMs, otherMs, ageMs}) {
			const atMs = timeSource.nowMs() - ageMs;
			const ofRegion = waitsByRegion.get(region) ?? new Map<string, ReceivedWaits>();
			const known = ofRegion.get(service);
			if (!known || known.atMs < atMs) {
				ofRegion.set(service, {urgentMs, otherMs, atMs});
				waitsByRegion.set(region, ofRegion);
			}
		},
		alive: () => [...members.values()].filter((member) => isAlive(member)),
		noteLocalStop() {
			isStopping = true;
		},
		aliveIn: (region) => view.alive().filter((member) => member.region === region),
		member: (name) => members.get(name),
		isReachable(name) {
			const member = members.get(name);
			// Reports on a leaving member are no longer applied; its connections end when its process ends.
			if (isStopping || member?.isLeaving) {
				return true;
			}

			const oldestMs = timeSource.nowMs() - regionSilentAfterMs;
			return (
				member !== undefined &&
				isAlive(member) &&
				[...members.values()].some(
					({region, aliveAtMs}) => region === member.region && aliveAtMs >= oldestMs,
				)
			);
		},
		hasLivePeers: () => view.alive().length > 0,
		regionWaits(region, service) {
			const outlook = waitsByRegion.get(region)?.get(service);
			if (!outlook || waitsAgeMs(outlook) > regionWaitsMaxAgeMs) {
				return undefined;
			}

			return {...outlook, ageMs: waitsAgeMs(outlook)};
		},
		allRegionWaits: () =>
			[...waitsByRegion].flatMap(([region, services]) =>
				[...services]
					.filter(([, outlook]) => waitsAgeMs(outlook) <= regionWaitsMaxAgeMs)
					.map(([service, outlook]) => ({
						region,
						service,
						outlook: {...outlook, ageMs: waitsAgeMs(outlook)},
					})),
			),
		sweep() {
			for (const [name, member] of members) {
				const silentMs = timeSource.nowMs() - member.aliveAtMs;
				if (!member.isLeaving && !isAlive(member)) {
					members.delete(name);
					didChange.fire({kind: 'lost', member});
				} else if (member.isLeaving && silentMs > leftMemberMemoryMs) {
					members.delete(name);
				}
			}
		},
	};
	return view;
};
