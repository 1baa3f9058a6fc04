/**
 * Load reports of upstreams: what this daemon polled and what it heard. A
 * report that is newer than the known one is passed on in a few datagrams.
 */
import * as event from '@hawthornfront/base/common/event.js';
import type * as schema from '@hawthornfront/catalogue/common/schema.js';
import type * as datagram from '@hawthornfront/protocol/common/datagram.js';
import type * as loadReport from '@hawthornfront/protocol/common/load-report.js';
import type * as fleetSettings from './fleet-settings.js';
import * as hash from './hash.js';

/** A report with the upstream that it belongs to. */
export type UpstreamLoad = {upstream: string; report: loadReport.LoadReport};

// A copy of a report that arrives by another way differs by the delay of the links only.
const sameReportMs = 200;
// With three datagrams a tick, a report reaches all but a few per cent of the daemons.
const transmissions = 3;
const significantShare = 0.1;
// Two bytes of hash instead of four save a fifth of a report; names that collide are sent in full.
const hashSpan = 2 ** 16;

const keyOf = (upstream: string): number => hash.hash32(upstream) % hashSpan;

export type LoadExchange = {
	readonly onDidReceive: event.Event<UpstreamLoad>;
	reports(): ReadonlyMap<string, loadReport.LoadReport>;
	setUpstreams(upstreams: ReadonlyMap<string, schema.Upstream>): void;
	/** Takes a report that this daemon polled. @returns true when all peers shall learn it at once. */
	publish(upstream: string, report: loadReport.LoadReport, nowMs: number): boolean;
	receive(delta: datagram.LoadDelta, nowMs: number): void;
	/** Deltas for the next datagram. */
	take(limit: number, nowMs: number): datagram.LoadDelta[];
	/** All polled reports, for a full status. */
	all(nowMs: number): datagram.LoadDelta[];
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
	// What the other daemons know, from this daemon or from another poller.
	const spread = new Map<string, loadReport.LoadReport>();
	const polled = new Set<string>();
	const pending = new Map<string, number>();
	let upstreams: ReadonlyMap<string, schema.Upstream> = new Map();
	let nameByHash = new Map<number, string>();
	let ambiguous = new Set<number>();

	const keep = (upstream: string, report: loadReport.LoadReport) => {
		reports.set(upstream, report);
		didReceive.fire({upstream, report});
	};

	const passOn = (upstream: string, report: loadReport.LoadReport) => {
		spread.set(upstream, report);
		pending.delete(upstream);
		pending.set(upstream, transmissions);
	};

	const toDelta = (upstream: string, nowMs: number): datagram.LoadDelta | undefined => {
		const report = spread.get(upstream);
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
					spread.delete(name);
					polled.delete(name);
					pending.delete(name);
				}
			}
		},
		publish(upstream, report, nowMs) {
			const known = spread.get(upstream);
			const quietMs = known ? nowMs - known.observedAtMs : Number.POSITIVE_INFINITY;
			const isUrgent = known !== undefined && known.leaving !== report.leaving;
			const isDue =
				!known ||
				quietMs >= settings.loadRefreshMs ||
				(quietMs >= settings.loadPublishMs && isSignificant(known, report));
			polled.add(upstream);
			keep(upstream, report);
			if (isUrgent || isDue) {
				passOn(upstream, report);
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
			const known = spread.get(upstream);
			if (known && observedAtMs <= known.observedAtMs + sameReportMs) {
				return;
			}

			const {running, waiting, slots, leaving, role} = delta;
			const model =
				typeof delta.model === 'string' ? delta.model : (record.models[delta.model] ?? '');
			const report = {running, waiting, slots, leaving, model, role, observedAtMs};
			passOn(upstream, report);
			if (observedAtMs > (reports.get(upstream)?.observedAtMs ?? Number.NEGATIVE_INFINITY)) {
				keep(upstream, report);
			}
		},
		take(limit, nowMs) {
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
		all: (nowMs) =>
			[...polled].map((upstream) => toDelta(upstream, nowMs)).filter((item) => item !== undefined),
		toDelta,
	};
};
