/** What the rest of an entry daemon sees of the fleet. */
import type * as disposable from '@hawthornfront/base/common/disposable.js';
import type * as event from '@hawthornfront/base/common/event.js';
import type * as snapshots from '@hawthornfront/catalogue/common/snapshot.js';
import type * as datagram from '@hawthornfront/protocol/common/datagram.js';
import type * as identity from '@hawthornfront/protocol/common/identity.js';
import type * as loadReport from '@hawthornfront/protocol/common/load-report.js';
import type * as counters from './counters.js';
import type * as loadExchange from './load-exchange.js';
import type * as membership from './membership.js';
import type * as regionWaits from './region-waits.js';

export type Fleet = disposable.Disposable & {
	/** Name and incarnation of this daemon. */
	identity(): identity.Identity;
	/** Fires when a peer remembered a higher incarnation; keys of the old one are void. */
	readonly onDidChangeIdentity: event.Event<identity.Identity>;
	/** Members that are not removed, of all failure domains, this daemon included. */
	members(): readonly membership.Member[];
	readonly onDidChangeMembers: event.Event<readonly membership.Member[]>;
	snapshot(): snapshots.Snapshot;
	readonly onDidChangeSnapshot: event.Event<snapshots.Snapshot>;
	/**
	 * True once the first search for peers is over and a configuration is in force
	 * that is not lower than any that the heard peers hold; stays true from then on.
	 */
	isReady(): boolean;
	/** Names of the relays of the own failure domain. */
	relays(): readonly string[];
	/** Names of the daemons of the own failure domain that poll an upstream. */
	pollersOf(upstream: string): readonly string[];
	isPollerOf(upstream: string): boolean;
	/** Takes a report that this daemon polled and passes it on. */
	publishLoad(upstream: string, report: loadReport.LoadReport): void;
	/** Latest report of each upstream of the own failure domain, polled here or heard. */
	loadReports(): ReadonlyMap<string, loadReport.LoadReport>;
	readonly onDidReceiveLoad: event.Event<loadExchange.UpstreamLoad>;
	/** Expected waits at this daemon; summaries to other regions carry them. */
	publishWaits(waits: datagram.WaitEntry[]): void;
	/** Expected waits of other regions; regions that are silent are left out. */
	regionSummaries(): regionWaits.RegionSummary[];
	/** Tells all members that this daemon is about to stop; `dispose` then says it has left. */
	announceStopping(): void;
	counters(): counters.FleetCounters;
	dump(): unknown;
};
