/**
 * Registry of upstreams, from the entries that they register in the store. An entry
 * that is missing right after an outage of the store is kept for a grace period,
 * since upstreams may need that long to register again. After a restore of the store
 * from a copy, its entries may be older than what is known of their upstreams.
 */
import type * as clock from '@hawthornfront/base/common/clock.js';
import type * as disposable from '@hawthornfront/base/common/disposable.js';
import * as event from '@hawthornfront/base/common/event.js';
import * as lruCache from 'lru-cache';
import * as storePosition from './store-position.js';
import * as storeReachability from './store-reachability.js';
import type * as upstreamEntry from './upstream-entry.js';

export type Upstream = {
	readonly entry: upstreamEntry.UpstreamEntry;
	readonly region: string;
	/** Monotonic time until which it is cold. */
	readonly coldUntilMs: number;
	/** When its entry went missing during or right after an outage of the store. */
	readonly missingSinceMs?: number;
	/** It said in an answer that it leaves. */
	readonly hasSaidLeaving?: boolean;
	/** Store revision of the entry; undefined for one that a peer reported. */
	readonly revision?: number;
};

/** Source of a change that an answer of the upstream has shown. */
export const answerSource = 'answer';
/** Source of a change that the store has shown. */
export const storeSource = 'store';
const timeoutSource = 'timeout';

export type UpstreamChange = {
	/**
	 * `cold`: it became cold without a new start; `held-back`: a restored entry is not
	 * applied, since its upstream had left or restarted.
	 */
	kind: 'seen' | 'restarted' | 'cold' | 'draining' | 'gone' | 'missing' | 'back' | 'held-back';
	upstream: Upstream;
	/** Store revision of the change; 0 for a change by timeout or by an answer. */
	revision: number;
	/** `store`, {@link answerSource}, `timeout`, or the peer that reported it. */
	source: string;
};

export type UpstreamRegistry = {
	readonly onDidChange: event.Event<UpstreamChange>;
	/**
	 * Replaces all entries with a listing.
	 *
	 * @param listedAt position of the listing
	 * @param newestEntry position of the newest entry in the listing
	 * @param revisions store revision of each entry by its id
	 */
	replaceAll(
		entries: readonly upstreamEntry.UpstreamEntry[],
		listedAt: storePosition.StorePosition,
		newestEntry?: storePosition.StorePosition,
		revisions?: ReadonlyMap<string, number>,
	): void;
	/** Replaces all entries with those that a peer reports. A missing entry that is unknown here has been dropped before. */
	replaceFromPeer(
		reports: readonly upstreamEntry.ReportedUpstream[],
		at: storePosition.StorePosition,
		peer: string,
		changedAt?: storePosition.StorePosition,
	): void;
	/** Notes that an upstream said in an answer that it leaves; ignored for another start of it. */
	noteLeaving(upstream: Upstream): void;
	/** All entries, to be sent to a peer. */
	reportAll(): upstreamEntry.ReportedUpstream[];
	put(entry: upstreamEntry.UpstreamEntry, at: storePosition.StorePosition): void;
	remove(id: string, at: storePosition.StorePosition): void;
	get(id: string): Upstream | undefined;
	/** Upstreams of a service in a region that accept new work. */
	usable(service: string, region: string): readonly Upstream[];
	/** All upstreams, including draining and missing ones. */
	all(): readonly Upstream[];
	/** Position in the store up to which all changes are applied. */
	readonly position: storePosition.StorePosition;
	/** Position of the last change that is known; a listing does not tell when a key was removed. */
	readonly lastChange: storePosition.StorePosition;
	/** Whether a listing was ever applied. */
	readonly isLoaded: boolean;
};

/** A restored entry of an upstream that had left expires again within three check-ins of upstreams. */
const restoredEntryGraceMs = 6000;
/** Upstreams that left are remembered for this long, which exceeds the age of a copy. */
const leftMemoryMs = 60_000;
const maxLeftUpstreams = 1000;

/** Whether two entries of one id are from the same start; without start times, from one address. */
const isSameStart = (entry: upstreamEntry.UpstreamEntry, other: upstreamEntry.UpstreamEntry) =>
	entry.startedAtUnixMs === other.startedAtUnixMs && entry.address === other.address;

/** How an entry became known. */
type EntryOrigin = {
	isListed: boolean;
	/** Rest of the cold time by the clock of the peer that reports the entry. */
	coldLeftMs?: number;
	revision?: number;
	/** The first listing after a restore of the store. */
	isRestored?: boolean;
};

/**
 * @param regionOf region of a failure domain; undefined for an unknown one, whose upstreams are not used
 * @param reachability decides whether a missing entry may return
 */
export const createUpstreamRegistry = (
	timeSource: clock.Clock,
	regionOf: (failureDomain: string) => string | undefined,
	reachability: Pick<storeReachability.StoreReachability, 'unsettledMs'>,
): UpstreamRegistry => {
	const upstreams = new Map<string, Upstream>();
	const didChange = event.createEmitter<UpstreamChange>();
	let groups: Map<string, Upstream[]> | undefined;
	let position = storePosition.start;
	let lastChange = storePosition.start;
	let isLoaded = false;
	/** Source of the changes that are being applied. */
	let source = storeSource;
	const left = new lruCache.LRUCache<string, {entry: upstreamEntry.UpstreamEntry; atMs: number}>({
		max: maxLeftUpstreams,
	});
	/** Restored entries of upstreams that had left or restarted, and the timers that apply them. */
	const heldBack = new Map<
		string,
		{entry: upstreamEntry.UpstreamEntry; timer: disposable.Disposable}
	>();

	const note = (
		kind: UpstreamChange['kind'],
		upstream: Upstream,
		at: storePosition.StorePosition,
	) => {
		groups = undefined;
		didChange.fire({kind, upstream, revision: storePosition.revisionOf(at), source});
	};

	const drop = (upstream: Upstream, at: storePosition.StorePosition) => {
		upstreams.delete(upstream.entry.id);
		left.set(upstream.entry.id, {entry: upstream.entry, atMs: timeSource.nowMs()});
		note('gone', upstream, at);
	};

	const scheduleDrop = (id: string) => {
		const delayMs = Math.min(reachability.unsettledMs(), storeReachability.missingEntryGraceMs);
		timeSource.setTimer(
			() => {
				source = timeoutSource;
				const upstream = upstreams.get(id);
				if (upstream?.missingSinceMs === undefined) {
					return;
				}

				if (reachability.unsettledMs() > 0) {
					scheduleDrop(id);
				} else {
					drop(upstream, storePosition.start);
				}
			},
			Math.max(1, delayMs),
		);
	};

	const markMissing = (upstream: Upstream, at: storePosition.StorePosition) => {
		const missing = {...upstream, missingSinceMs: timeSource.nowMs()};
		upstreams.set(upstream.entry.id, missing);
		note('missing', missing, at);
		scheduleDrop(upstream.entry.id);
	};

	const release = (id: string) => {
		heldBack.get(id)?.timer.dispose();
		heldBack.delete(id);
	};

	const removeEntry = (id: string, at: storePosition.StorePosition) => {
		release(id);
		const upstream = upstreams.get(id);
		if (!upstream) {
			return;
		}

		// A draining upstream is not expected to return.
		const isExpectedBack = !upstream.entry.isDraining && reachability.unsettledMs() > 0;
		if (!isExpectedBack) {
			drop(upstream, at);
		} else if (upstream.missingSinceMs === undefined) {
			markMissing(upstream, at);
		}
	};

	const changeOf = (
		current: Upstream | undefined,
		{entry, coldUntilMs}: Upstream,
		isRestart: boolean,
	): UpstreamChange['kind'] | undefined => {
		if (current === undefined) {
			return 'seen';
		}

		if (isRestart) {
			return 'restarted';
		}

		if (entry.isDraining && !current.entry.isDraining) {
			return 'draining';
		}

		if (current.missingSinceMs !== undefined) {
			return 'back';
		}

		const atMs = timeSource.nowMs();
		return coldUntilMs > atMs && current.coldUntilMs <= atMs ? 'cold' : undefined;
	};

	const coldUntil = (coldLeftMs: number) => (coldLeftMs > 0 ? timeSource.nowMs() + coldLeftMs : 0);

	const coldUntilOf = (
		entry: upstreamEntry.UpstreamEntry,
		current: Upstream | undefined,
		{isListed, coldLeftMs, revision, isRestored}: EntryOrigin,
	): number => {
		const readUntilMs = coldUntil(coldLeftMs ?? entry.coldLeftMs);
		if (!current || !isListed || !isSameStart(current.entry, entry)) {
			return readUntilMs;
		}

		// A listing may repeat an entry that was written long ago, so its cold time has partly passed.
		const isRepeated =
			revision === undefined || current.revision === undefined
				? current.entry.coldLeftMs === entry.coldLeftMs
				: current.revision === revision;
		const isPassed = coldLeftMs === undefined && isRepeated;
		const keptUntilMs = isPassed ? current.coldUntilMs : readUntilMs;
		return isRestored ? Math.max(keptUntilMs, current.coldUntilMs) : keptUntilMs;
	};

	/** Entry of an upstream that left recently. */
	const lastEntryOf = (id: string): upstreamEntry.UpstreamEntry | undefined => {
		const last = left.get(id);
		return last && timeSource.nowMs() - last.atMs < leftMemoryMs ? last.entry : undefined;
	};

	/** Without a start time, only the upstream's own word tells an older entry from a new start. */
	const isKnownToDrain = (listed: upstreamEntry.UpstreamEntry): boolean => {
		const current = upstreams.get(listed.id);
		const known = current?.entry ?? lastEntryOf(listed.id);
		return (
			known !== undefined &&
			known.isDraining &&
			isSameStart(known, listed) &&
			(listed.startedAtUnixMs !== undefined || current?.hasSaidLeaving === true)
		);
	};

	const put = (
		listed: upstreamEntry.UpstreamEntry,
		at: storePosition.StorePosition,
		origin: EntryOrigin,
	) => {
		const region = regionOf(listed.failureDomain);
		if (region === undefined) {
			return;
		}

		release(listed.id);
		const current = upstreams.get(listed.id);
		const isRestart = current !== undefined && !isSameStart(current.entry, listed);
		// An upstream drains until its end, so an entry that says otherwise is an older one.
		const entry = isKnownToDrain(listed) ? {...listed, isDraining: true} : listed;
		const upstream: Upstream = {
			entry,
			region,
			coldUntilMs: coldUntilOf(entry, current, origin),
			hasSaidLeaving: isRestart ? undefined : current?.hasSaidLeaving,
			revision: origin.revision,
		};
		upstreams.set(entry.id, upstream);
		groups = undefined;
		const kind = changeOf(current, upstream, isRestart);
		if (kind) {
			note(kind, upstream, at);
		}
	};

	const hasLeft = (entry: upstreamEntry.UpstreamEntry): boolean => {
		const last = lastEntryOf(entry.id);
		return last !== undefined && isSameStart(last, entry);
	};

	/** Whether a restored entry is older than what is known of its upstream. */
	const isOutdated = (entry: upstreamEntry.UpstreamEntry): boolean => {
		const current = upstreams.get(entry.id)?.entry;
		return current === undefined
			? hasLeft(entry)
			: (entry.startedAtUnixMs ?? 0) < (current.startedAtUnixMs ?? 0);
	};

	/** Applies an entry only if nothing replaces it in time. */
	const holdBack = (entry: upstreamEntry.UpstreamEntry, at: storePosition.StorePosition) => {
		const region = regionOf(entry.failureDomain);
		if (heldBack.has(entry.id) || region === undefined) {
			return;
		}

		note('held-back', {entry, region, coldUntilMs: 0}, at);
		const timer = timeSource.setTimer(() => {
			source = timeoutSource;
			put(entry, at, {isListed: true});
		}, restoredEntryGraceMs);
		heldBack.set(entry.id, {entry, timer});
	};

	/** Applies an entry of a listing, unless it is outdated. */
	const putListed = (
		entry: upstreamEntry.UpstreamEntry,
		at: storePosition.StorePosition,
		origin: EntryOrigin,
	) => {
		const isDoubtful = origin.isRestored === true || heldBack.has(entry.id);
		if (isDoubtful && isOutdated(entry)) {
			holdBack(entry, at);
		} else {
			put(entry, at, origin);
		}
	};

	const groupKey = (service: string, region: string) => `${service}\n${region}`;

	const buildGroups = () => {
		const next = new Map<string, Upstream[]>();
		for (const upstream of upstreams.values()) {
			if (!upstream.entry.isDraining) {
				const key = groupKey(upstream.entry.service, upstream.region);
				const group = next.get(key);
				if (group) {
					group.push(upstream);
				} else {
					next.set(key, [upstream]);
				}
			}
		}

		return next;
	};

	const releaseOthers = (ids: ReadonlySet<string>) => {
		for (const id of [...heldBack.keys()].filter((heldId) => !ids.has(heldId))) {
			release(id);
		}
	};

	/** Returns whether there were any. */
	const removeOthers = (ids: ReadonlySet<string>, at: storePosition.StorePosition): boolean => {
		const others = [...upstreams.keys()].filter((id) => !ids.has(id));
		for (const id of others) {
			removeEntry(id, at);
		}

		return others.length > 0;
	};

	const finishReplacement = (
		at: storePosition.StorePosition,
		changedAt: storePosition.StorePosition,
	) => {
		position = storePosition.latest(position, at);
		lastChange = storePosition.latest(lastChange, changedAt);
		isLoaded = true;
	};

	const noteChange = (at: storePosition.StorePosition) => {
		position = storePosition.latest(position, at);
		lastChange = storePosition.latest(lastChange, at);
	};

	return {
		onDidChange: didChange.event,
		replaceAll(entries, listedAt, newestEntry = listedAt, revisions = new Map<string, number>()) {
			source = storeSource;
			const isRestored = storePosition.isRestored(position, listedAt);
			const ids = new Set(entries.map((entry) => entry.id));
			releaseOthers(ids);
			const hasRemovals = removeOthers(ids, listedAt);
			const changedAt = hasRemovals ? listedAt : newestEntry;
			for (const entry of entries) {
				putListed(entry, changedAt, {
					isListed: true,
					isRestored,
					revision: revisions.get(entry.id),
				});
			}

			finishReplacement(listedAt, changedAt);
		},
		replaceFromPeer(reports, at, peer, changedAt = at) {
			source = peer;
			const isRestored = storePosition.isRestored(position, at);
			const held = reports.filter(({isHeldBack}) => isHeldBack);
			const listed = reports.filter(({isHeldBack}) => !isHeldBack);
			releaseOthers(new Set(reports.map(({entry}) => entry.id)));
			removeOthers(new Set(listed.map(({entry}) => entry.id)), at);
			for (const {entry} of held) {
				holdBack(entry, at);
			}

			for (const {entry, coldLeftMs, isMissing} of listed) {
				const before = upstreams.get(entry.id);
				const isDropped = before === undefined && isLoaded;
				if (isMissing && (isDropped || before?.missingSinceMs !== undefined)) {
					continue;
				}

				// Later reports of the peer include only entries that it has seen written again.
				const apply = isRestored ? putListed : put;
				apply(entry, at, {isListed: true, coldLeftMs, isRestored});
				const upstream = upstreams.get(entry.id);
				if (isMissing && upstream) {
					markMissing(upstream, at);
				}
			}

			finishReplacement(at, changedAt);
		},
		noteLeaving({entry}) {
			source = answerSource;
			const current = upstreams.get(entry.id);
			if (current && isSameStart(current.entry, entry)) {
				const leaving = {
					...current,
					entry: {...current.entry, isDraining: true},
					hasSaidLeaving: true,
				};
				upstreams.set(entry.id, leaving);
				if (!current.entry.isDraining) {
					note('draining', leaving, storePosition.start);
				}
			} else if (!current && hasLeft(entry)) {
				left.set(entry.id, {entry: {...entry, isDraining: true}, atMs: timeSource.nowMs()});
			}
		},
		reportAll: () => [
			...[...upstreams.values()].map((upstream) => ({
				entry: upstream.entry,
				coldLeftMs: Math.max(0, Math.round(upstream.coldUntilMs - timeSource.nowMs())),
				isMissing: upstream.missingSinceMs !== undefined,
			})),
			...[...heldBack.values()]
				.filter(({entry}) => !upstreams.has(entry.id))
				.map(({entry}) => ({entry, coldLeftMs: 0, isMissing: false, isHeldBack: true})),
		],
		put(entry, at) {
			source = storeSource;
			put(entry, at, {isListed: false, revision: storePosition.revisionOf(at)});
			noteChange(at);
		},
		remove(id, at) {
			source = storeSource;
			removeEntry(id, at);
			noteChange(at);
		},
		get: (id) => upstreams.get(id),
		usable(service, region) {
			groups ??= buildGroups();
			return groups.get(groupKey(service, region)) ?? [];
		},
		all: () => [...upstreams.values()],
		get position() {
			return position;
		},
		get lastChange() {
			return lastChange;
		},
		get isLoaded() {
			return isLoaded;
		},
	};
};
