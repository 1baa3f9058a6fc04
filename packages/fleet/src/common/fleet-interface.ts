/** Interface of the fleet for the rest of an entry daemon. */
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
	/** Fires when a peer holds a higher incarnation of this daemon; keys of the old one are void. */
	readonly onDidChangeIdentity: event.Event<identity.Identity>;
	/** Members of all failure domains that have not been removed, this daemon included. */
	members(): readonly membership.Member[];
	readonly onDidChangeMembers: event.Event<readonly membership.Member[]>;
	snapshot(): snapshots.Snapshot;
	readonly onDidChangeSnapshot: event.Event<snapshots.Snapshot>;
	/**
	 * True once this daemon has joined and has applied a configuration at least as
	 * new as those announced by the peers it has contact with. Never reverts to false.
	 */
	isReady(): boolean;
	/** Names of the relays of the local failure domain. */
	relays(): readonly string[];
	/** Names of the daemons of the local failure domain that poll an upstream. */
	pollersOf(upstream: string): readonly string[];
	isPollerOf(upstream: string): boolean;
	/** Stores a report that this daemon polled and shares it with peers. */
	publishLoad(upstream: string, report: loadReport.LoadReport): void;
	/** Latest report of each upstream of the local failure domain, polled or received from a peer. */
	loadReports(): ReadonlyMap<string, loadReport.LoadReport>;
	readonly onDidReceiveLoad: event.Event<loadExchange.UpstreamLoad>;
	/** Sets the expected waits at this daemon, which summaries carry to other regions. */
	publishWaits(waits: datagram.WaitEntry[]): void;
	/** Expected waits of other regions; regions without a recent summary are left out. */
	regionSummaries(): regionWaits.RegionSummary[];
	/** Announces that this daemon is stopping; `dispose` then announces that it has left. */
	announceStopping(): void;
	counters(): counters.FleetCounters;
	dump(): unknown;
};
