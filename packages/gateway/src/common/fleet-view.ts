/**
 * Membership of the other daemons: which are alive, their addresses, and the expected
 * waits of their regions. Updated by gossip from peers and by the list of members in
 * the store.
 */
import type * as clock from '@hawthornfront/base/common/clock.js';
import * as event from '@hawthornfront/base/common/event.js';
import * as lruCache from 'lru-cache';
import * as gossip from './gossip-message.js';

/** A member without a heartbeat for this long counts as lost. */
export const memberLostAfterMs = 3500;
/** A member that only the store lists counts as alive for this long. */
const storeMemberAliveMs = 4000;
/** A member that left is kept for this long, since peers may still report it. */
const leftMemberRetentionMs = 15_000;
/** A lost member is remembered for this long, since heartbeats name members by their ids only. */
const lostMemberRetentionMs = 60_000;
const maxLostMembers = 1024;
/** The daemon listens at least once in this time unless it is short of processor time. */
const maxListenIntervalMs = 500;
/** A heartbeat of an unknown member counts for this long. */
const unknownMemberMs = 2000;
/** A member of which nobody has sent a record for this long does not exist. */
const maxUnknownMs = 10_000;
const maxUnknownMembers = 1024;
/** A region without a heartbeat from any member for this long may be partitioned. */
const regionSilentAfterMs = 1500;
/** Older expected waits of a region are ignored. */
const regionWaitsMaxAgeMs = 4000;
/** Limit of the members, since anybody can send a datagram with a name; deployments have some hundred. */
export const maxMembers = 4096;
/** Limit of the expected waits that are kept, by region and service. */
export const maxRegionWaits = 4096;

export type Member = gossip.MemberRecord & {
	/** Monotonic time at which it was last known to be alive. */
	readonly aliveAtMs: number;
	/** Only the store lists it, so its process may have ended. */
	readonly isUnconfirmed: boolean;
	/** Time for which this daemon had not listened until then, since its start. */
	readonly stalledBeforeMs: number;
};

export type MemberChange = {kind: 'joined' | 'restarted' | 'left' | 'lost'; member: Member};

export type RegionWaits = {urgentMs: number; otherMs: number; ageMs: number};

export type FleetView = {
	readonly onDidChange: event.Event<MemberChange>;
	/** Applies a peer's report on a member, unless a newer one is held. */
	noteMember(record: gossip.MemberRecord, ageMs: number): void;
	/** Applies a peer's report that known members are alive. */
	noteHeartbeats(heartbeats: readonly gossip.Heartbeat[]): void;
	/** Ids of members that peers say are alive and of which this daemon has no record. */
	unknownMembers(): number[];
	/** Known members by their ids. */
	membersById(ids: readonly number[]): Member[];
	/**
	 * Notes that this daemon reads datagrams now; call it at each tick. Time in which it did
	 * not, for lack of processor time, is no silence of its peers.
	 */
	noteListening(): void;
	/** Applies a member record of the store; the member may be dead already. */
	noteStoreMember(record: gossip.MemberRecord): void;
	noteRegionWaits(region: string, service: string, waits: RegionWaits): void;
	/** Members that are alive and not leaving, without this daemon. */
	alive(): readonly Member[];
	/** Members that are alive by a heartbeat, without those that only the store lists. */
	confirmed(): readonly Member[];
	/** Records that this daemon is stopping. Peers no longer send gossip to it, so missing heartbeats are ignored. */
	noteLocalStop(): void;
	aliveIn(region: string): readonly Member[];
	/** Members of a region that are alive, and those that are leaving or have left not long ago. */
	knownIn(region: string): readonly Member[];
	member(name: string): Member | undefined;
	/** Whether a member is in its planned stop, or alive in a region with a recent heartbeat. */
	isReachable(name: string): boolean;
	/** Whether any other daemon is alive. */
	hasLivePeers(): boolean;
	regionWaits(region: string, service: string): RegionWaits | undefined;
	/** Expected waits of all regions that are not outdated. */
	allRegionWaits(): Array<{region: string; service: string; waits: RegionWaits}>;
	/** Removes members that are lost or have left, and outdated waits; call it at regular intervals. */
	sweep(): void;
	/** Members that it keeps, also those that have left. */
	readonly size: number;
};

type ReceivedWaits = {urgentMs: number; otherMs: number; atMs: number};

/** Creates a view without other members. */
export const createFleetView = (
	timeSource: clock.Clock,
	daemonName: string,
	ownStartedAtUnixMs = 0,
): FleetView => {
	const ownId = gossip.memberId({name: daemonName, startedAtUnixMs: ownStartedAtUnixMs});
	/** Members without a heartbeat, by id; a later heartbeat restores them. */
	const lost = new lruCache.LRUCache<number, {record: gossip.MemberRecord; atMs: number}>({
		max: maxLostMembers,
	});
	/** When peers first and last named members of which there is no record, by id. */
	const unknown = new lruCache.LRUCache<number, {firstAtMs: number; lastAtMs: number}>({
		max: maxUnknownMembers,
	});
	/** Ids of former starts of known members, which peers may still name. */
	const former = new lruCache.LRUCache<number, true>({max: maxLostMembers});
	let listenedAtMs: number | undefined;
	let stalledMs = 0;
	const members = new Map<string, Member>();
	const namesById = new Map<number, string>();
	const waitsByRegion = new Map<string, Map<string, ReceivedWaits>>();
	let waitsCount = 0;
	let isStopping = false;
	const didChange = event.createEmitter<MemberChange>();

	/** Time without listening since the last tick, beyond the usual interval. */
	const stalledSinceTickMs = () =>
		listenedAtMs === undefined
			? 0
			: Math.max(0, timeSource.nowMs() - listenedAtMs - maxListenIntervalMs);

	const totalStalledMs = () => stalledMs + stalledSinceTickMs();

	const silentMs = ({aliveAtMs, stalledBeforeMs}: Member) =>
		timeSource.nowMs() - aliveAtMs - (totalStalledMs() - stalledBeforeMs);

	const isAlive = (member: Member) => !member.isLeaving && silentMs(member) < memberLostAfterMs;

	const put = (record: gossip.MemberRecord, aliveAtMs: number, isUnconfirmed = false) => {
		const current = members.get(record.name);
		const member: Member = {...record, aliveAtMs, isUnconfirmed, stalledBeforeMs: totalStalledMs()};
		const id = gossip.memberId(record);
		lost.delete(id);
		unknown.delete(id);
		members.set(record.name, member);
		if (current?.startedAtUnixMs !== record.startedAtUnixMs) {
			if (current) {
				namesById.delete(gossip.memberId(current));
				former.set(gossip.memberId(current), true);
			}

			namesById.set(id, record.name);
		}

		if (!current || !isAlive(current)) {
			if (isAlive(member)) {
				didChange.fire({kind: current ? 'restarted' : 'joined', member});
			}
		} else if (record.isLeaving) {
			didChange.fire({kind: 'left', member});
		} else if (current.startedAtUnixMs !== record.startedAtUnixMs) {
			didChange.fire({kind: 'restarted', member});
		}
	};

	/** Detects outdated records: peers may still report an older start, or a member before it began to leave. */
	const isNewer = (current: Member, record: gossip.MemberRecord, aliveAtMs: number): boolean => {
		if (current.startedAtUnixMs !== record.startedAtUnixMs) {
			return current.startedAtUnixMs < record.startedAtUnixMs;
		}

		const isNews = current.isUnconfirmed || record.isLeaving || current.aliveAtMs < aliveAtMs;
		return !current.isLeaving && isNews;
	};

	const isFull = () => members.size >= maxMembers;

	/** Time of an event of some age; a negative age would keep what it belongs to for ever. */
	const timeOf = (ageMs: number) => timeSource.nowMs() - Math.max(0, ageMs);

	/** Applies a heartbeat of a member that is lost, or of which there never was a record. */
	const noteUnknown = (id: number, aliveAtMs: number) => {
		const known = lost.get(id);
		const isRecent = timeSource.nowMs() - aliveAtMs < unknownMemberMs;
		if (known && timeSource.nowMs() - known.atMs < lostMemberRetentionMs) {
			if (isRecent && !members.has(known.record.name) && !isFull()) {
				put(known.record, aliveAtMs);
			}
		} else if (isRecent && id !== ownId && !former.has(id)) {
			const firstAtMs = unknown.get(id)?.firstAtMs ?? timeSource.nowMs();
			unknown.set(id, {firstAtMs, lastAtMs: timeSource.nowMs()});
		}
	};

	const forgetOldWaits = () => {
		for (const [region, services] of waitsByRegion) {
			for (const [service, waits] of services) {
				if (waitsAgeMs(waits) > regionWaitsMaxAgeMs) {
					services.delete(service);
					waitsCount--;
				}
			}

			if (services.size === 0) {
				waitsByRegion.delete(region);
			}
		}
	};

	const waitsAgeMs = (waits: ReceivedWaits) => timeSource.nowMs() - waits.atMs;

	const view: FleetView = {
		onDidChange: didChange.event,
		noteMember(record, ageMs) {
			const aliveAtMs = timeOf(ageMs);
			const current = members.get(record.name);
			const isNews = current ? isNewer(current, record, aliveAtMs) : !isFull();
			if (record.name !== daemonName && isNews) {
				put(record, aliveAtMs);
			}
		},
		noteHeartbeats(heartbeats) {
			for (const {memberId, ageMs} of heartbeats) {
				const aliveAtMs = timeOf(ageMs);
				const name = namesById.get(memberId);
				if (name === undefined) {
					noteUnknown(memberId, aliveAtMs);
					continue;
				}

				const member = members.get(name);
				const isNews = member?.isUnconfirmed ?? false;
				if (member && !member.isLeaving && (isNews || member.aliveAtMs < aliveAtMs)) {
					put(member, aliveAtMs);
				}
			}
		},
		unknownMembers() {
			const atMs = timeSource.nowMs();
			return [...unknown]
				.filter(
					([, {firstAtMs, lastAtMs}]) =>
						atMs - lastAtMs <= unknownMemberMs && atMs - firstAtMs < maxUnknownMs,
				)
				.map(([id]) => id);
		},
		membersById: (ids) =>
			ids
				.map((id) => members.get(namesById.get(id) ?? ''))
				.filter((member) => member !== undefined),
		noteListening() {
			stalledMs += stalledSinceTickMs();
			listenedAtMs = timeSource.nowMs();
		},
		noteStoreMember(record) {
			const current = members.get(record.name);
			if (
				record.name === daemonName ||
				(current ? current.startedAtUnixMs >= record.startedAtUnixMs : isFull())
			) {
				return;
			}

			put(record, timeSource.nowMs() - memberLostAfterMs + storeMemberAliveMs, true);
		},
		noteRegionWaits(region, service, {urgentMs, otherMs, ageMs}) {
			const atMs = timeOf(ageMs);
			const waitsByService = waitsByRegion.get(region) ?? new Map<string, ReceivedWaits>();
			const current = waitsByService.get(service);
			if (current ? current.atMs < atMs : waitsCount < maxRegionWaits) {
				waitsCount += current ? 0 : 1;
				waitsByService.set(service, {urgentMs, otherMs, atMs});
				waitsByRegion.set(region, waitsByService);
			}
		},
		alive: () => [...members.values()].filter((member) => isAlive(member)),
		confirmed: () => view.alive().filter(({isUnconfirmed}) => !isUnconfirmed),
		noteLocalStop() {
			isStopping = true;
		},
		aliveIn: (region) => view.alive().filter((member) => member.region === region),
		knownIn: (region) =>
			[...members.values()].filter(
				(member) => member.region === region && (member.isLeaving || isAlive(member)),
			),
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
		hasLivePeers() {
			for (const member of members.values()) {
				if (isAlive(member)) {
					return true;
				}
			}

			return false;
		},
		regionWaits(region, service) {
			const waits = waitsByRegion.get(region)?.get(service);
			if (!waits || waitsAgeMs(waits) > regionWaitsMaxAgeMs) {
				return undefined;
			}

			return {...waits, ageMs: waitsAgeMs(waits)};
		},
		allRegionWaits: () =>
			[...waitsByRegion].flatMap(([region, services]) =>
				[...services]
					.filter(([, serviceWaits]) => waitsAgeMs(serviceWaits) <= regionWaitsMaxAgeMs)
					.map(([service, serviceWaits]) => ({
						region,
						service,
						waits: {...serviceWaits, ageMs: waitsAgeMs(serviceWaits)},
					})),
			),
		sweep() {
			const remove = (member: Member) => {
				members.delete(member.name);
				namesById.delete(gossip.memberId(member));
			};

			for (const member of members.values()) {
				if (!member.isLeaving && !isAlive(member)) {
					remove(member);
					lost.set(gossip.memberId(member), {record: member, atMs: timeSource.nowMs()});
					didChange.fire({kind: 'lost', member});
				} else if (member.isLeaving && silentMs(member) > leftMemberRetentionMs) {
					remove(member);
				}
			}

			forgetOldWaits();
		},
		get size() {
			return members.size;
		},
	};
	return view;
};
