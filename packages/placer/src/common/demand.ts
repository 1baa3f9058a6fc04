/**
 * Demand of each model in one region, from the entry daemons. The sum is
 * smoothed, because a load takes minutes and demand changes in seconds.
 */
import type * as clock from '@hawthornfront/base/common/clock.js';

export type DemandSettings = {
	/** Time after which half of a change of demand is seen. */
	halfLifeMs: number;
	/** How long the last answer of a silent daemon still counts. */
	staleMs: number;
};

export type DemandTracker = {
	/** Notes the answer of one daemon, in tokens per second for each model. */
	report(daemon: string, demand: Readonly<Record<string, number>>): void;
	/** Takes the reports of this round into the smoothed values. */
	update(): void;
	/** Smoothed demand; undefined while no daemon has answered lately. */
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
