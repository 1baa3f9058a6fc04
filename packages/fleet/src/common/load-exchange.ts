/**
 * Load reports of upstreams, polled by this daemon or received from peers. A
 * report that is newer than the last shared one is sent in a few datagrams.
 */
import * as event from '@hawthornfront/base/common/event.js';
import type * as schema from '@hawthornfront/catalogue/common/schema.js';
import type * as datagram from '@hawthornfront/protocol/common/datagram.js';
import type * as loadReport from '@hawthornfront/protocol/common/load-report.js';
import type * as fleetSettings from './fleet-settings.js';
import * as hash from './hash.js';

/** A load report and the name of its upstream. */
export type UpstreamLoad = {upstream: string; report: loadReport.LoadReport};

// Copies of a report that arrive over different paths differ only by the link delays.
const duplicateToleranceMs = 200;
// At three datagrams per tick, a report reaches all but a few per cent of the daemons.
const transmissionCount = 3;
const significantShare = 0.1;
// A hash of two bytes instead of four saves a fifth of a report; names that collide are sent in full.
const hashSpan = 2 ** 16;

const keyOf = (upstream: string): number => hash.hash32(upstream) % hashSpan;

export type LoadExchange = {
	readonly onDidReceive: event.Event<UpstreamLoad>;
	reports(): ReadonlyMap<string, loadReport.LoadReport>;
	setUpstreams(upstreams: ReadonlyMap<string, schema.Upstream>): void;
	/** Stores a report that this daemon polled. @returns true when it must be broadcast at once. */
	publish(upstream: string, report: loadReport.LoadReport, nowMs: number): boolean;
	receive(delta: datagram.LoadDelta, nowMs: number): void;
	/** Takes the deltas for the next datagram. */
	takePending(limit: number, nowMs: number): datagram.LoadDelta[];
	/** Deltas of all reports that this daemon polled, for a full status. */
	polledDeltas(nowMs: number): datagram.LoadDelta[];
	toDelta(upstream: string, nowMs: number): datagram.LoadDelta | undefined;
};

const isSignificant = (before: loadReport.LoadReport, after: loadReport.LoadReport): boolean => {
	const step = Math.max(1, after.slots * significantShare);
	return (
		before.leaving !== after.leaving ||
		before.model !== after.model ||
		before.role !== after.role ||
		Math.abs(before.running - after.running) >= step ||
		Math.abs(before.waiting - after.waiting) >= step
	);
};

/** Creates an exchange without upstreams. */
export const createLoadExchange = (
	settings: Pick<fleetSettings.FleetSettings, 'loadPublishMs' | 'loadRefreshMs'>,
): LoadExchange => {
	const didReceive = event.createEmitter<UpstreamLoad>();
	const reports = new Map<string, loadReport.LoadReport>();
	// Last report of each upstream that was shared, by this daemon or by another poller.
	const sharedReports = new Map<string, loadReport.LoadReport>();
	const polledUpstreams = new Set<string>();
	const pending = new Map<string, number>();
	let upstreams: ReadonlyMap<string, schema.Upstream> = new Map();
	let nameByHash = new Map<number, string>();
	let ambiguous = new Set<number>();

	const storeReport = (upstream: string, report: loadReport.LoadReport) => {
		reports.set(upstream, report);
		didReceive.fire({upstream, report});
	};

	const share = (upstream: string, report: loadReport.LoadReport) => {
		sharedReports.set(upstream, report);
		pending.delete(upstream);
		pending.set(upstream, transmissionCount);
	};

	const toDelta = (upstream: string, nowMs: number): datagram.LoadDelta | undefined => {
		const report = sharedReports.get(upstream);
		if (!report) {
			return undefined;
		}

		const key = keyOf(upstream);
		const model = upstreams.get(upstream)?.models.indexOf(report.model) ?? -1;
		return {
			upstream: ambiguous.has(key) || !nameByHash.has(key) ? upstream : key,
			running: report.running,
			waiting: report.waiting,
			slots: report.slots,
			leaving: report.leaving,
			model: model === -1 ? report.model : model,
			role: report.role,
			ageMs: Math.max(0, Math.round(nowMs - report.observedAtMs)),
		};
	};

	const nameOf = (key: number | string): string | undefined => {
		if (typeof key === 'string') {
			return key;
		}

		return ambiguous.has(key) ? undefined : nameByHash.get(key);
	};

	return {
		onDidReceive: didReceive.event,
		reports: () => reports,
		setUpstreams(next) {
			upstreams = next;
			nameByHash = new Map();
			ambiguous = new Set();
			for (const name of next.keys()) {
				const key = keyOf(name);
				if (nameByHash.has(key)) {
					ambiguous.add(key);
				}

				nameByHash.set(key, name);
			}

			for (const name of reports.keys()) {
				if (!next.has(name)) {
					reports.delete(name);
					sharedReports.delete(name);
					polledUpstreams.delete(name);
					pending.delete(name);
				}
			}
		},
		publish(upstream, report, nowMs) {
			const known = sharedReports.get(upstream);
			const sinceSharedMs = known ? nowMs - known.observedAtMs : Number.POSITIVE_INFINITY;
			const isUrgent = known !== undefined && known.leaving !== report.leaving;
			const isDue =
				!known ||
				sinceSharedMs >= settings.loadRefreshMs ||
				(sinceSharedMs >= settings.loadPublishMs && isSignificant(known, report));
			polledUpstreams.add(upstream);
			storeReport(upstream, report);
			if (isUrgent || isDue) {
				share(upstream, report);
			}

			return isUrgent;
		},
		receive(delta, nowMs) {
			const upstream = nameOf(delta.upstream);
			const record = upstream === undefined ? undefined : upstreams.get(upstream);
			if (upstream === undefined || !record) {
				return;
			}

			const observedAtMs = nowMs - delta.ageMs;
			const known = sharedReports.get(upstream);
			if (known && observedAtMs <= known.observedAtMs + duplicateToleranceMs) {
				return;
			}

			const {running, waiting, slots, leaving, role} = delta;
			const model =
				typeof delta.model === 'string' ? delta.model : (record.models[delta.model] ?? '');
			const report = {running, waiting, slots, leaving, model, role, observedAtMs};
			share(upstream, report);
			if (observedAtMs > (reports.get(upstream)?.observedAtMs ?? Number.NEGATIVE_INFINITY)) {
				storeReport(upstream, report);
			}
		},
		takePending(limit, nowMs) {
			const taken: datagram.LoadDelta[] = [];
			for (const [upstream, remaining] of [...pending].slice(0, limit)) {
				pending.delete(upstream);
				if (remaining > 1) {
					pending.set(upstream, remaining - 1);
				}

				const delta = toDelta(upstream, nowMs);
				if (delta) {
					taken.push(delta);
				}
			}

			return taken;
		},
		polledDeltas: (nowMs) =>
			[...polledUpstreams]
				.map((upstream) => toDelta(upstream, nowMs))
				.filter((item) => item !== undefined),
		toDelta,
	};
};
