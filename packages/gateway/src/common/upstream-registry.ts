/**
 * Registry of upstreams, from the entries that they register in the store. An entry
 * that is missing right after an outage of the store is kept for a grace period,
 * since upstreams may need that long to register again.
 */
import type * as clock from '@hawthornfront/base/common/clock.js';
import * as event from '@hawthornfront/base/common/event.js';
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
};

export type UpstreamChange = {
	kind: 'seen' | 'restarted' | 'draining' | 'gone' | 'missing' | 'back';
	upstream: Upstream;
	/** Store revision of the change; 0 for a change by timeout. */
	revision: number;
};

export type UpstreamRegistry = {
	readonly onDidChange: event.Event<UpstreamChange>;
	/**
	 * Replaces all entries with a listing.
	 *
	 * @param listedAt position of the listing, used when entries were removed
	 * @param lastChange position of the last change in the listing, used otherwise
	 */
	replaceAll(
		entries: readonly upstreamEntry.UpstreamEntry[],
		listedAt: storePosition.StorePosition,
		lastChange?: storePosition.StorePosition,
	): void;
	/** Replaces all entries with those that a peer reports. A missing entry that is unknown here has been dropped before. */
	replaceFromPeer(
		reports: readonly upstreamEntry.ReportedUpstream[],
		at: storePosition.StorePosition,
	): void;
	/** All entries, to be sent to a peer. */
	reportAll(): upstreamEntry.ReportedUpstream[];
	put(entry: upstreamEntry.UpstreamEntry, at: storePosition.StorePosition): void;
	remove(id: string, at: storePosition.StorePosition): void;
	get(id: string): Upstream | undefined;
	/** Upstreams of a service in a region that accept new work. */
	usable(service: string, region: string): readonly Upstream[];
	/** All upstreams, including draining and missing ones. */
	all(): readonly Upstream[];
	/** Position of the last change. */
	readonly position: storePosition.StorePosition;
	/** Whether a listing was ever applied. */
	readonly isLoaded: boolean;
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
	let isLoaded = false;

	const note = (
		kind: UpstreamChange['kind'],
		upstream: Upstream,
		at: storePosition.StorePosition,
	) => {
		groups = undefined;
		didChange.fire({kind, upstream, revision: storePosition.revisionOf(at)});
	};

	const drop = (upstream: Upstream, at: storePosition.StorePosition) => {
		upstreams.delete(upstream.entry.id);
		note('gone', upstream, at);
	};

	const scheduleDrop = (id: string) => {
		const delayMs = Math.min(reachability.unsettledMs(), storeReachability.missingEntryGraceMs);
		timeSource.setTimer(
			() => {
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

	const removeEntry = (id: string, at: storePosition.StorePosition) => {
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
		entry: upstreamEntry.UpstreamEntry,
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

		return current.missingSinceMs === undefined ? undefined : 'back';
	};

	const coldUntil = (coldLeftMs: number) => (coldLeftMs > 0 ? timeSource.nowMs() + coldLeftMs : 0);

	const put = (
		entry: upstreamEntry.UpstreamEntry,
		at: storePosition.StorePosition,
		source: {isListed: boolean; coldLeftMs?: number},
	) => {
		const region = regionOf(entry.failureDomain);
		if (region === undefined) {
			return;
		}

		const nowMs = timeSource.nowMs();
		const current = upstreams.get(entry.id);
		const isRestart =
			current !== undefined &&
			(current.entry.startedAtUnixMs !== entry.startedAtUnixMs ||
				current.entry.address !== entry.address);
		// A listing may repeat an entry that was written long ago, so its cold time has partly passed.
		const isRepeated =
			source.isListed && !isRestart && current?.entry.coldLeftMs === entry.coldLeftMs;
		const upstream: Upstream = {
			entry,
			region,
			coldUntilMs: isRepeated
				? current.coldUntilMs
				: coldUntil(source.coldLeftMs ?? entry.coldLeftMs),
		};
		upstreams.set(entry.id, upstream);
		groups = undefined;
		const kind = changeOf(current, entry, isRestart);
		if (kind) {
			note(kind, upstream, at);
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

	/** Returns whether there were any. */
	const removeOthers = (ids: ReadonlySet<string>, at: storePosition.StorePosition): boolean => {
		const others = [...upstreams.keys()].filter((id) => !ids.has(id));
		for (const id of others) {
			removeEntry(id, at);
		}

		return others.length > 0;
	};

	const finishReplacement = (at: storePosition.StorePosition) => {
		position = storePosition.latest(position, at);
		isLoaded = true;
	};

	return {
		onDidChange: didChange.event,
		replaceAll(entries, listedAt, lastChange = listedAt) {
			const hasRemovals = removeOthers(new Set(entries.map((entry) => entry.id)), listedAt);
			const at = hasRemovals ? listedAt : lastChange;
			for (const entry of entries) {
				put(entry, at, {isListed: true});
			}

			finishReplacement(at);
		},
		replaceFromPeer(reports, at) {
			removeOthers(new Set(reports.map(({entry}) => entry.id)), at);
			for (const {entry, coldLeftMs, isMissing} of reports) {
				const before = upstreams.get(entry.id);
				const isDropped = before === undefined && isLoaded;
				if (isMissing && (isDropped || before?.missingSinceMs !== undefined)) {
					continue;
				}

				put(entry, at, {isListed: true, coldLeftMs});
				const upstream = upstreams.get(entry.id);
				if (isMissing && upstream) {
					markMissing(upstream, at);
				}
			}

			finishReplacement(at);
		},
		reportAll: () =>
			[...upstreams.values()].map((upstream) => ({
				entry: upstream.entry,
				coldLeftMs: Math.max(0, Math.round(upstream.coldUntilMs - timeSource.nowMs())),
				isMissing: upstream.missingSinceMs !== undefined,
			})),
		put(entry, at) {
			put(entry, at, {isListed: false});
			position = storePosition.latest(position, at);
		},
		remove(id, at) {
			removeEntry(id, at);
			position = storePosition.latest(position, at);
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
		get isLoaded() {
			return isLoaded;
		},
	};
};
