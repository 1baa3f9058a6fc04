/**
 * The configuration, evacuations and upstreams in force at this daemon. They come from
 * the store while this daemon watches it, otherwise from peers. Versions and positions in
 * the store never decrease.
 */
import * as util from 'node:util';
import type * as clock from '@hawthornfront/base/common/clock.js';
import * as disposable from '@hawthornfront/base/common/disposable.js';
import * as errorText from '@hawthornfront/base/common/error-text.js';
import * as listSchema from '@hawthornfront/base/common/list-schema.js';
import * as event from '@hawthornfront/base/common/event.js';
import * as zod from 'zod';
import type * as gatewayEvent from '../common/gateway-event.js';
import type * as prefixStore from '../common/prefix-store.js';
import * as routeConfig from '../common/route-config.js';
import * as storeFeed from '../common/store-feed.js';
import * as storePosition from '../common/store-position.js';
import * as storeReachability from '../common/store-reachability.js';
import * as upstreamEntry from '../common/upstream-entry.js';
import type * as upstreamRegistry from '../common/upstream-registry.js';
import type * as storeWatcherElection from '../common/store-watcher-election.js';
import * as feedLog from './feed-log.js';

/** Longest error text in an `entry-rejected` log line; schema errors are long. */
const maxEntryDetailLength = 300;

/** The whole cluster state as sent to a peer. */
export const snapshotSchema = zod.object({
	config: routeConfig.routeConfigSchema.optional(),
	evacuated: zod.array(zod.string()),
	/** Position up to which changes of the configuration and the evacuations are applied. */
	operatorRevision: storePosition.storePositionSchema,
	/** Position of the last known change of the configuration or the evacuations. */
	operatorLastChange: storePosition.storePositionSchema.optional(),
	upstreams: listSchema.listSchema(upstreamEntry.reportedUpstreamSchema),
	/** Position up to which changes of the upstreams are applied. */
	upstreamRevision: storePosition.storePositionSchema,
	/** Position of the last known change of the upstreams. */
	upstreamLastChange: storePosition.storePositionSchema.optional(),
});
export type Snapshot = zod.infer<typeof snapshotSchema>;

export type ClusterState = disposable.Disposable & {
	readonly onDidChangeConfig: event.Event<routeConfig.RouteTable>;
	/** Fires with the failure domain whose evacuation has ended. */
	readonly onDidEndEvacuation: event.Event<string>;
	/** Fires after a listing or a set of changes from the store was applied. */
	readonly onDidApplyStoreUpdate: event.Event<void>;
	readonly routeTable: routeConfig.RouteTable | undefined;
	readonly configVersion: number;
	readonly isComplete: boolean;
	/** Position up to which changes of the configuration and the evacuations are applied. */
	readonly operatorPosition: storePosition.StorePosition;
	/** Position of the last known change of the configuration or the evacuations. */
	readonly operatorLastChange: storePosition.StorePosition;
	readonly storeContact: storeWatcherElection.StoreContact;
	/** Time since the store last answered the feed of the upstreams; infinite if it never has. */
	upstreamResponseAgeMs(): number;
	/** Position up to which the store has answered the feed of the configuration and the evacuations. */
	readonly answeredOperatorPosition: storePosition.StorePosition;
	/** Position up to which the store has answered the feed of the upstreams. */
	readonly answeredUpstreamPosition: storePosition.StorePosition;
	/** Starts or stops watching the store. Without a watch, the state comes from the snapshots of peers. */
	setWatching(isWatching: boolean): void;
	/** Makes both feeds check the store again, because another store call failed. */
	suspectStore(): void;
	/** Makes both feeds list the store again, because a peer knows what they lack. */
	refresh(): void;
	isEvacuated(failureDomain: string): boolean;
	evacuatedDomains(): readonly string[];
	/** @param knownConfigVersion version that the requesting peer holds; a configuration that is not newer is omitted */
	snapshot(knownConfigVersion: number): Snapshot;
	/** Applies the parts of a peer's snapshot that are newer than the local state. */
	merge(snapshot: Snapshot, peer: string): void;
};

export type ClusterStateOptions = {
	clock: clock.Clock;
	store: prefixStore.PrefixStore;
	layout: prefixStore.StoreLayout;
	registry: upstreamRegistry.UpstreamRegistry;
	reachability: storeReachability.StoreReachability;
	log: gatewayEvent.EventLog;
	/** Longest wait of the next watch. */
	watchWaitMs(): number;
	/** How soon the upstreams are watched again after changes; `sparing` by default. */
	upstreamPace?(): storeFeed.FeedPace;
	random(): number;
};

/** Starts the operator feed (configuration and evacuations) and the upstream feed. */
export const startClusterState = (options: ClusterStateOptions): ClusterState => {
	const {clock, store, layout, registry, reachability, log} = options;
	const disposables = disposable.createDisposableStore();
	const didChangeConfig = event.createEmitter<routeConfig.RouteTable>();
	const didEndEvacuation = event.createEmitter<string>();
	const didApplyStoreUpdate = event.createEmitter<void>();
	const evacuated = new Set<string>();
	let table: routeConfig.RouteTable | undefined;
	let operatorPosition = storePosition.start;
	let operatorLastChange = storePosition.start;
	/** Evacuations that a restored store lacks, until the operator has written them again or the time is over. */
	const keptEvacuations = new Map<string, disposable.Disposable>();

	const applyConfig = (config: routeConfig.RouteConfig, source: string) => {
		const current = table?.config.version ?? 0;
		if (config.version <= current) {
			if (config.version < current) {
				log.note({kind: 'config-ignored', version: config.version, current, source});
			}

			return;
		}

		const previousLimits = table?.config.limits;
		table = routeConfig.createRouteTable(config);
		log.note({
			kind: 'config-in-force',
			version: config.version,
			previous: current,
			source,
			routes: config.routes.length,
			teams: config.teams.length,
		});
		if (!previousLimits || !util.isDeepStrictEqual(previousLimits, config.limits)) {
			log.note({kind: 'limits-changed', version: config.version, ...config.limits});
		}

		didChangeConfig.fire(table);
	};

	const setEvacuated = (failureDomain: string, isEvacuated: boolean, revision: number) => {
		keptEvacuations.get(failureDomain)?.dispose();
		keptEvacuations.delete(failureDomain);
		if (evacuated.has(failureDomain) === isEvacuated) {
			return;
		}

		if (isEvacuated) {
			evacuated.add(failureDomain);
		} else {
			evacuated.delete(failureDomain);
		}

		log.note({kind: 'evacuation', failureDomain, isEvacuated, revision});
		if (!isEvacuated) {
			didEndEvacuation.fire(failureDomain);
		}
	};

	/** Ends an evacuation that a listing or a snapshot lacks, after a restore only if it is not written again. */
	const noteMissingEvacuation = (failureDomain: string, revision: number, isRestored: boolean) => {
		if (keptEvacuations.has(failureDomain)) {
			return;
		}

		if (!isRestored) {
			setEvacuated(failureDomain, false, revision);
			return;
		}

		const timer = clock.setTimer(() => {
			setEvacuated(failureDomain, false, revision);
		}, storeReachability.missingEntryGraceMs);
		keptEvacuations.set(failureDomain, timer);
		log.note({kind: 'evacuation-kept', failureDomain, revision});
	};

	const rejectEntry = (key: string, revision: number, error: unknown) => {
		const detail = errorText.errorText(error, maxEntryDetailLength);
		log.note({kind: 'entry-rejected', key, revision, detail});
	};

	const applyOperatorItem = (key: string, value: Uint8Array, revision: number) => {
		try {
			const item = layout.decodeOperatorItem(key, value);
			if (item?.kind === 'config') {
				applyConfig(item.config, 'store');
			} else if (item) {
				setEvacuated(item.failureDomain, true, revision);
			}
		} catch (error) {
			rejectEntry(key, revision, error);
		}
	};

	const operatorFeed = storeFeed.startStoreFeed({
		clock,
		store,
		prefix: layout.configPrefix,
		watchWaitMs: options.watchWaitMs,
		random: options.random,
		handler: {
			onListing({items, revision, era}) {
				const listedAt = storePosition.create(era, revision);
				const isRestored = storePosition.isRestored(operatorPosition, listedAt);
				const listed = new Set<string>();
				let hasRemovals = false;
				for (const item of items) {
					applyOperatorItem(item.key, item.value, item.revision);
					const failureDomain = layout.evacuatedDomainOf(item.key);
					if (failureDomain !== undefined) {
						listed.add(failureDomain);
					}
				}

				for (const failureDomain of evacuated) {
					if (!listed.has(failureDomain)) {
						hasRemovals = true;
						noteMissingEvacuation(failureDomain, revision, isRestored);
					}
				}

				const changedAt = hasRemovals ? revision : lastRevisionOf(items);
				operatorPosition = storePosition.latest(operatorPosition, listedAt);
				operatorLastChange = storePosition.latest(
					operatorLastChange,
					storePosition.create(era, changedAt),
				);
				didApplyStoreUpdate.fire();
			},
			onEvents(events, position) {
				const changedAt = storePosition.create(
					storePosition.eraOf(position),
					lastRevisionOf(events),
				);
				operatorPosition = storePosition.latest(operatorPosition, changedAt);
				operatorLastChange = storePosition.latest(operatorLastChange, changedAt);
				for (const {key, revision, value} of events) {
					if (value) {
						applyOperatorItem(key, value, revision);
						continue;
					}

					const failureDomain = layout.evacuatedDomainOf(key);
					if (failureDomain !== undefined) {
						setEvacuated(failureDomain, false, revision);
					}
				}

				didApplyStoreUpdate.fire();
			},
			...feedLog.createFeedLog(log, 'operator'),
			onDidChangeContact: () => undefined,
		},
	});

	const decodeUpstream = (key: string, value: Uint8Array, revision: number) => {
		try {
			return layout.decodeUpstream(key, value);
		} catch (error) {
			rejectEntry(key, revision, error);
			return undefined;
		}
	};

	const noteUpstreamsAt = (position: storePosition.StorePosition) => {
		if (storePosition.isRestored(registry.position, position)) {
			reachability.noteRestore();
		}
	};

	const upstreamFeed = storeFeed.startStoreFeed({
		clock,
		store,
		prefix: layout.upstreamPrefix,
		watchWaitMs: options.watchWaitMs,
		pace: options.upstreamPace,
		random: options.random,
		handler: {
			onListing({items, revision, era}) {
				const entries = items
					.map((item) => decodeUpstream(item.key, item.value, item.revision))
					.filter((entry) => entry !== undefined);
				const listedAt = storePosition.create(era, revision);
				noteUpstreamsAt(listedAt);
				const newestEntry = storePosition.create(era, lastRevisionOf(items));
				const revisions = new Map(
					items.map((item) => [layout.upstreamIdOf(item.key), item.revision]),
				);
				registry.replaceAll(entries, listedAt, newestEntry, revisions);
				didApplyStoreUpdate.fire();
			},
			onEvents(events, position) {
				const era = storePosition.eraOf(position);
				for (const {key, revision, value} of events) {
					const changedAt = storePosition.create(era, revision);
					const entry = value && decodeUpstream(key, value, revision);
					if (entry) {
						registry.put(entry, changedAt);
					} else if (!value) {
						registry.remove(layout.upstreamIdOf(key), changedAt);
					}
				}

				didApplyStoreUpdate.fire();
			},
			...feedLog.createFeedLog(log, 'upstreams'),
			// Entries expire in the store that this feed reads, so its contact decides on missing ones.
			onDidChangeContact: reachability.setOwnContact,
		},
	});
	const feeds = [operatorFeed, upstreamFeed];

	disposables.add(operatorFeed);
	disposables.add(upstreamFeed);
	return {
		onDidChangeConfig: didChangeConfig.event,
		onDidEndEvacuation: didEndEvacuation.event,
		onDidApplyStoreUpdate: didApplyStoreUpdate.event,
		get routeTable() {
			return table;
		},
		get configVersion() {
			return table?.config.version ?? 0;
		},
		get isComplete() {
			return table !== undefined && registry.isLoaded;
		},
		get operatorPosition() {
			return operatorPosition;
		},
		get operatorLastChange() {
			return operatorLastChange;
		},
		get answeredOperatorPosition() {
			return operatorFeed.answered;
		},
		get answeredUpstreamPosition() {
			return upstreamFeed.answered;
		},
		upstreamResponseAgeMs: upstreamFeed.responseAgeMs,
		get storeContact() {
			if (feeds.some((feed) => feed.contact === 'lost')) {
				return 'lost';
			}

			return feeds.every((feed) => feed.contact === 'reached') ? 'reached' : 'none';
		},
		setWatching(isWatching) {
			for (const feed of feeds) {
				feed.setFollowing(isWatching);
			}
		},
		suspectStore() {
			for (const feed of feeds) {
				feed.suspect();
			}
		},
		refresh() {
			for (const feed of feeds) {
				feed.refresh();
			}
		},
		isEvacuated: (failureDomain) => evacuated.has(failureDomain),
		evacuatedDomains: () => [...evacuated],
		snapshot: (knownConfigVersion) => ({
			config: table && table.config.version > knownConfigVersion ? table.config : undefined,
			evacuated: [...evacuated].filter((name) => !keptEvacuations.has(name)),
			operatorRevision: operatorPosition,
			operatorLastChange,
			upstreams: registry.reportAll(),
			upstreamRevision: registry.position,
			upstreamLastChange: registry.lastChange,
		}),
		merge(snapshot, peer) {
			if (snapshot.config) {
				applyConfig(snapshot.config, peer);
			}

			// While the store is watched and responds, it is more current than any snapshot.
			const hasNewerUpstreams = storePosition.isAfter(snapshot.upstreamRevision, registry.position);
			if (upstreamFeed.contact !== 'reached' && hasNewerUpstreams) {
				noteUpstreamsAt(snapshot.upstreamRevision);
				const {upstreamRevision, upstreamLastChange} = snapshot;
				registry.replaceFromPeer(snapshot.upstreams, upstreamRevision, peer, upstreamLastChange);
			}

			const {operatorRevision} = snapshot;
			const hasNewerKeys = storePosition.isAfter(operatorRevision, operatorPosition);
			if (operatorFeed.contact !== 'reached' && hasNewerKeys) {
				const isRestored = storePosition.isRestored(operatorPosition, operatorRevision);
				operatorPosition = storePosition.latest(operatorPosition, operatorRevision);
				operatorLastChange = storePosition.latest(
					operatorLastChange,
					snapshot.operatorLastChange ?? operatorRevision,
				);
				const revision = storePosition.revisionOf(operatorPosition);
				for (const failureDomain of snapshot.evacuated) {
					setEvacuated(failureDomain, true, revision);
				}

				for (const failureDomain of evacuated) {
					if (!snapshot.evacuated.includes(failureDomain)) {
						noteMissingEvacuation(failureDomain, revision, isRestored);
					}
				}
			}
		},
		dispose() {
			for (const timer of keptEvacuations.values()) {
				timer.dispose();
			}

			disposables.dispose();
		},
	};
};

/** Revision of the newest of the changes. Removals that a listing no longer shows are not part of it. */
const lastRevisionOf = (changes: ReadonlyArray<{revision: number}>): number =>
	Math.max(0, ...changes.map(({revision}) => revision));
