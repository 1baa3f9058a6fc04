/**
 * What this daemon knows of the other daemons: who is alive, where to reach them,
 * and how loaded their regions are. Fed by datagrams from peers and by the list of
 * members in the store.
 */
import type * as clock from '@hawthornfront/base/common/clock.js';
import * as event from '@hawthornfront/base/common/event.js';
import type * as gossip from './gossip-message.js';

/** A member that was not heard of for this long counts as lost. */
export const memberLostAfterMs = 3500;
/** A member from the store that was never heard by datagram is believed this long. */
const storeMemberTrustMs = 4000;
/** A member that left is remembered while peers may still echo it. */
const leftMemberMemoryMs = 15_000;
/** A region of which no member was heard for this long may be cut off. */
const regionSilentAfterMs = 1500;
/** Expected waits of a region that are older say nothing. */
const outlookMaxAgeMs = 4000;

export type Member = gossip.MemberRecord & {
	/** Monotonic time at which it was last known to be alive. */
	readonly aliveAtMs: number;
};

export type MemberChange = {kind: 'joined' | 'restarted' | 'left' | 'lost'; member: Member};

export type RegionWaits = {urgentMs: number; otherMs: number; ageMs: number};

export type FleetView = {
	readonly onDidChange: event.Event<MemberChange>;
	/** Takes over what a peer says of a member, unless something newer is known. */
	noteMember(record: gossip.MemberRecord, ageMs: number): void;
	/** Takes over a member from the store, which may be dead already. */
	noteStoreMember(record: gossip.MemberRecord): void;
	noteRegionWaits(region: string, service: string, waits: RegionWaits): void;
	/** Members that are alive and stay, without this daemon. */
	alive(): readonly Member[];
	/** This daemon leaves: the others tell it nothing any more, so their silence proves nothing. */
	noteLocalStop(): void;
	aliveIn(region: string): readonly Member[];
	member(name: string): Member | undefined;
	/** Whether a member is in its planned stop, or alive in a region that was heard of a short time ago. */
	isReachable(name: string): boolean;
	/** Whether this daemon hears any other daemon at all. */
	hasLivePeers(): boolean;
	regionWaits(region: string, service: string): RegionWaits | undefined;
	/** All outlooks that are fresh. */
	allRegionWaits(): Array<{region: string; service: string; outlook: RegionWaits}>;
	/** Drops members that were not heard of; call it at regular intervals. */
	sweep(): void;
};

type Outlook = {urgentMs: number; otherMs: number; atMs: number};

/** Creates a view in which nobody else is known. */
export const createFleetView = (timeSource: clock.Clock, ownName: string): FleetView => {
	const members = new Map<string, Member>();
	const outlooks = new Map<string, Map<string, Outlook>>();
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

	/** Peers may still echo an older start, or what they heard before a member began to leave. */
	const isNews = (known: Member, record: gossip.MemberRecord, aliveAtMs: number): boolean => {
		if (known.startedAtUnixMs !== record.startedAtUnixMs) {
			return known.startedAtUnixMs < record.startedAtUnixMs;
		}

		return known.isLeaving ? false : record.isLeaving || known.aliveAtMs < aliveAtMs;
	};

	const outlookAge = (outlook: Outlook) => timeSource.nowMs() - outlook.atMs;

	const view: FleetView = {
		onDidChange: didChange.event,
		noteMember(record, ageMs) {
			const aliveAtMs = timeSource.nowMs() - ageMs;
			const known = members.get(record.name);
			if (record.name !== ownName && (!known || isNews(known, record, aliveAtMs))) {
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
			const ofRegion = outlooks.get(region) ?? new Map<string, Outlook>();
			const known = ofRegion.get(service);
			if (!known || known.atMs < atMs) {
				ofRegion.set(service, {urgentMs, otherMs, atMs});
				outlooks.set(region, ofRegion);
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
			// Nothing newer is taken over of a member that leaves; the end of its process ends its connections.
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
			const outlook = outlooks.get(region)?.get(service);
			if (!outlook || outlookAge(outlook) > outlookMaxAgeMs) {
				return undefined;
			}

			return {...outlook, ageMs: outlookAge(outlook)};
		},
		allRegionWaits: () =>
			[...outlooks].flatMap(([region, services]) =>
				[...services]
					.filter(([, outlook]) => outlookAge(outlook) <= outlookMaxAgeMs)
					.map(([service, outlook]) => ({
						region,
						service,
						outlook: {...outlook, ageMs: outlookAge(outlook)},
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
