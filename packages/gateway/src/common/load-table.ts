/**
 * Loads of all upstreams of a region: own requests, and what the other daemons of
 * the region report of theirs.
 */
import type * as decayingEstimate from '@hawthornfront/decisions/common/decaying-estimate.js';
import type * as loadSettings from './load-settings.js';
import * as upstreamLoad from './upstream-load.js';
import type * as upstreamRegistry from './upstream-registry.js';

export type LoadTable = {
	/** Load of an upstream, without requests if it was not asked for before. */
	of(upstreamId: string): upstreamLoad.UpstreamLoad;
	/** Own requests by upstream, for daemons of the own failure domain. */
	localLoads(): upstreamLoad.LoadByUpstream[];
	/** Requests of the own failure domain by upstream, for the others of the region. */
	domainLoads(): upstreamLoad.LoadByUpstream[];
	/** Replaces what a daemon of the own failure domain reported of its own requests. */
	notePeerLoads(peer: string, loads: readonly upstreamLoad.LoadByUpstream[]): void;
	/** Replaces what was reported of another failure domain of the region. */
	noteDomainLoads(failureDomain: string, loads: readonly upstreamLoad.LoadByUpstream[]): void;
	/** Drops the load of an upstream that is gone or started again. */
	forget(upstreamId: string): void;
};

type NoteShare = (load: upstreamLoad.UpstreamLoad, share: upstreamLoad.LoadShare) => void;

/** Creates a book without loads. */
export const createLoadTable = (
	nowMs: () => number,
	settings: loadSettings.LoadSettings,
	registry: Pick<upstreamRegistry.UpstreamRegistry, 'get'>,
): LoadTable => {
	const loads = new Map<string, upstreamLoad.UpstreamLoad>();
	const paces = new Map<string, decayingEstimate.DecayingEstimate>();
	/** Upstreams that the last report of a daemon or a failure domain named. */
	const reportedByPeer = new Map<string, ReadonlySet<string>>();
	const reportedByDomain = new Map<string, ReadonlySet<string>>();

	const paceOf = (service: string): decayingEstimate.DecayingEstimate => {
		let pace = paces.get(service);
		if (!pace) {
			pace = upstreamLoad.createServiceEventInterval(settings);
			paces.set(service, pace);
		}

		return pace;
	};

	const loadOf = (upstreamId: string): upstreamLoad.UpstreamLoad => {
		let load = loads.get(upstreamId);
		if (!load) {
			const pace = paceOf(registry.get(upstreamId)?.entry.service ?? '');
			load = upstreamLoad.createUpstreamLoad(nowMs, settings, pace);
			loads.set(upstreamId, load);
		}

		return load;
	};

	const list = (shareOf: (load: upstreamLoad.UpstreamLoad) => upstreamLoad.LoadShare) =>
		[...loads]
			.map(([upstreamId, load]) => ({upstreamId, ...shareOf(load)}))
			.filter(({requests}) => requests > 0);

	/** Takes over a report; upstreams that the one before named and this one does not have no requests. */
	const noteReport = (
		previous: Map<string, ReadonlySet<string>>,
		reporter: string,
		told: readonly upstreamLoad.LoadByUpstream[],
		note: NoteShare,
	) => {
		const reported = new Set(told.map(({upstreamId}) => upstreamId));
		for (const id of previous.get(reporter) ?? []) {
			const load = reported.has(id) ? undefined : loads.get(id);
			if (load) {
				note(load, upstreamLoad.emptyShare());
			}
		}

		previous.set(reporter, reported);
		for (const {upstreamId, ...share} of told) {
			if (registry.get(upstreamId)) {
				note(loadOf(upstreamId), share);
			}
		}
	};

	return {
		of: loadOf,
		localLoads: () => list((load) => load.local()),
		domainLoads: () => list((load) => load.ofLocalDomain()),
		notePeerLoads(peer, told) {
			noteReport(reportedByPeer, peer, told, (load, share) => {
				load.notePeer(peer, share);
			});
		},
		noteDomainLoads(failureDomain, told) {
			noteReport(reportedByDomain, failureDomain, told, (load, share) => {
				load.noteDomain(failureDomain, share);
			});
		},
		forget(upstreamId) {
			loads.delete(upstreamId);
		},
	};
};
