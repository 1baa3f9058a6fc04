/** Loads of all upstreams of a region: requests of this daemon and those that other daemons report. */
import type * as decayingEstimate from '@hawthornfront/decisions/common/decaying-estimate.js';
import * as lruCache from 'lru-cache';
import type * as loadSettings from './load-settings.js';
import * as upstreamLoad from './upstream-load.js';
import type * as upstreamRegistry from './upstream-registry.js';

export type LoadTable = {
	/** Load of an upstream; created without requests on first use. */
	of(upstreamId: string): upstreamLoad.UpstreamLoad;
	/** Requests of this daemon by upstream, for the other daemons of its failure domain. */
	localLoads(): upstreamLoad.LoadByUpstream[];
	/** Requests of the local failure domain by upstream, for the other domains of the region. */
	domainLoads(): upstreamLoad.LoadByUpstream[];
	/** Requests of the region by upstream, for the daemons of the local failure domain. */
	regionLoads(): upstreamLoad.LoadByUpstream[];
	/** Replaces the last sum of the region, which includes the requests of this daemon. */
	noteRegionLoads(loads: readonly upstreamLoad.LoadByUpstream[]): void;
	/** Replaces the last report of another daemon of the local failure domain. */
	notePeerLoads(peer: string, loads: readonly upstreamLoad.LoadByUpstream[]): void;
	/** Replaces the last report on another failure domain of the region. */
	noteDomainLoads(failureDomain: string, loads: readonly upstreamLoad.LoadByUpstream[]): void;
	/** Drops the load of an upstream that is gone or was restarted. */
	forget(upstreamId: string): void;
	/** Upstreams with a load. */
	readonly size: number;
	/** Daemons and failure domains whose last report is kept. */
	readonly reporters: number;
};

/** Name of the sum of a region among the reports on failure domains. */
const regionSum = '*';

/** Services whose estimates are remembered, since configurations may name others all day. */
const maxServices = 1000;

/** What is learned over all runners of a service. */
type ServiceEstimates = {
	eventMs: decayingEstimate.DecayingEstimate;
	latencies: upstreamLoad.ServiceLatencies;
};

/** Upstreams that a report named. */
type Reported = {ids: ReadonlySet<string>; atMs: number};

type NoteShare = (load: upstreamLoad.UpstreamLoad, share: upstreamLoad.LoadShare) => void;

/** Creates an empty table. */
export const createLoadTable = (
	nowMs: () => number,
	settings: loadSettings.LoadSettings,
	registry: Pick<upstreamRegistry.UpstreamRegistry, 'get'>,
): LoadTable => {
	const loads = new Map<string, upstreamLoad.UpstreamLoad>();
	const services = new lruCache.LRUCache<string, ServiceEstimates>({max: maxServices});
	/** Last reports of daemons and on failure domains. */
	const reportedByPeer = new Map<string, Reported>();
	const reportedByDomain = new Map<string, Reported>();

	const estimatesOf = (service: string): ServiceEstimates => {
		let estimates = services.get(service);
		if (!estimates) {
			estimates = {
				eventMs: upstreamLoad.createServiceEventInterval(settings),
				latencies: upstreamLoad.createServiceLatencies(),
			};
			services.set(service, estimates);
		}

		return estimates;
	};

	const loadOf = (upstreamId: string): upstreamLoad.UpstreamLoad => {
		let load = loads.get(upstreamId);
		if (!load) {
			const {eventMs, latencies} = estimatesOf(registry.get(upstreamId)?.entry.service ?? '');
			load = upstreamLoad.createUpstreamLoad(nowMs, settings, eventMs, latencies);
			loads.set(upstreamId, load);
		}

		return load;
	};

	const list = (shareOf: (load: upstreamLoad.UpstreamLoad) => upstreamLoad.LoadShare) =>
		[...loads]
			.map(([upstreamId, load]) => ({upstreamId, ...shareOf(load)}))
			.filter(({requests}) => requests > 0);

	/** Forgets reports whose shares do not count any more, as those of daemons that are gone. */
	const forgetOld = (previous: Map<string, Reported>) => {
		const oldestMs = nowMs() - settings.peerLoadMaxAgeMs;
		for (const [reporter, {atMs}] of previous) {
			if (atMs < oldestMs) {
				previous.delete(reporter);
			}
		}
	};

	/** Applies a report; upstreams that only the previous report named have no requests any more. */
	const noteReport = (
		previous: Map<string, Reported>,
		reporter: string,
		reports: readonly upstreamLoad.LoadByUpstream[],
		note: NoteShare,
	) => {
		const known = reports.flatMap(({upstreamId, ...share}) => {
			const upstream = registry.get(upstreamId);
			return upstream ? [{id: upstream.entry.id, share}] : [];
		});
		const reported = new Set(known.map(({id}) => id));
		for (const id of previous.get(reporter)?.ids ?? []) {
			const load = reported.has(id) ? undefined : loads.get(id);
			if (load) {
				note(load, upstreamLoad.emptyShare());
			}
		}

		forgetOld(previous);
		previous.set(reporter, {ids: reported, atMs: nowMs()});
		for (const {id, share} of known) {
			note(loadOf(id), share);
		}
	};

	return {
		of: loadOf,
		localLoads: () => list((load) => load.local()),
		domainLoads: () => list((load) => load.ofLocalDomain()),
		regionLoads: () => list((load) => load.ofRegion()),
		noteRegionLoads(reports) {
			noteReport(reportedByDomain, regionSum, reports, (load, share) => {
				load.noteDomain(regionSum, upstreamLoad.subtractShare(share, load.local()));
			});
		},
		notePeerLoads(peer, reports) {
			noteReport(reportedByPeer, peer, reports, (load, share) => {
				load.notePeer(peer, share);
			});
		},
		noteDomainLoads(failureDomain, reports) {
			noteReport(reportedByDomain, failureDomain, reports, (load, share) => {
				load.noteDomain(failureDomain, share);
			});
		},
		forget(upstreamId) {
			loads.delete(upstreamId);
		},
		get size() {
			return loads.size;
		},
		get reporters() {
			return reportedByPeer.size + reportedByDomain.size;
		},
	};
};
