/**
 * Demand for each model in one region, summed over the entry daemons. The sum is
 * smoothed, because loading a model takes minutes and demand changes in seconds.
 */
import type * as clock from '@hawthornfront/base/common/clock.js';

export type DemandSettings = {
	/** Time after which half of a change in demand is reflected. */
	halfLifeMs: number;
	/** How long the last report of a daemon that no longer answers still counts. */
	staleMs: number;
};

export type DemandTracker = {
	/** Records the demand that one daemon reports, in tokens per second for each model. */
	report(daemon: string, demand: Readonly<Record<string, number>>): void;
	/** Updates the smoothed values with the latest reports. */
	update(): void;
	/** Smoothed demand; undefined without a recent report of any daemon. */
	current(): ReadonlyMap<string, number> | undefined;
};

/** Creates a tracker without any reports. */
export const createDemandTracker = (
	timeSource: clock.Clock,
	settings: DemandSettings,
): DemandTracker => {
	const reports = new Map<string, {atMs: number; demand: Readonly<Record<string, number>>}>();
	let smoothed = new Map<string, number>();
	let updatedAtMs: number | undefined;

	const dropStale = () => {
		for (const [daemon, report] of reports) {
			if (timeSource.nowMs() - report.atMs > settings.staleMs) {
				reports.delete(daemon);
			}
		}
	};

	const sum = (): Map<string, number> => {
		const total = new Map<string, number>();
		for (const {demand} of reports.values()) {
			for (const [model, tokensPerSecond] of Object.entries(demand)) {
				total.set(model, (total.get(model) ?? 0) + tokensPerSecond);
			}
		}

		return total;
	};

	return {
		report(daemon, demand) {
			reports.set(daemon, {atMs: timeSource.nowMs(), demand});
		},
		update() {
			dropStale();
			if (reports.size === 0) {
				return;
			}

			const nowMs = timeSource.nowMs();
			const total = sum();
			const weight =
				updatedAtMs === undefined ? 1 : 1 - 0.5 ** ((nowMs - updatedAtMs) / settings.halfLifeMs);
			const next = new Map<string, number>();
			for (const model of new Set([...smoothed.keys(), ...total.keys()])) {
				const before = smoothed.get(model) ?? 0;
				next.set(model, before + weight * ((total.get(model) ?? 0) - before));
			}

			smoothed = next;
			updatedAtMs = nowMs;
		},
		current() {
			dropStale();
			return reports.size === 0 ? undefined : smoothed;
		},
	};
};
