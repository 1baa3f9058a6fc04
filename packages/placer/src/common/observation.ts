/** What the placer sees of the runners and of the demand. */
import type * as clock from '@hawthornfront/base/common/clock.js';
import type * as schema from '@hawthornfront/catalogue/common/schema.js';
import * as demand from './demand.js';
import type * as runnerClient from './runner-client.js';

export type ObservationContext = {
	clock: clock.Clock;
	runners: runnerClient.RunnerClient;
	demand: runnerClient.DemandClient;
	entryAddresses: readonly string[];
	/** A runner silent for this long is not counted on any more. */
	silentMs: number;
	demandSettings: demand.DemandSettings;
};

export type Observation = {
	/** Asks all runners and daemons once. Never rejects. */
	refresh(runners: readonly schema.Upstream[]): Promise<void>;
	/** Last report of a runner; undefined when it is too old. */
	loadOf(name: string): runnerClient.RunnerLoad | undefined;
	/** Smoothed demand; undefined while it is not known. */
	demand(): ReadonlyMap<string, number> | undefined;
	/** Forgets the reports of runners, for a new lease. */
	reset(): void;
};

/** Creates an observation that has seen nothing. */
export const createObservation = (context: ObservationContext): Observation => {
	const {clock: timeSource} = context;
	const tracker = demand.createDemandTracker(timeSource, context.demandSettings);
	const reports = new Map<string, {atMs: number; load: runnerClient.RunnerLoad}>();
	return {
		async refresh(runners) {
			const loads = runners.map(async ({name, address}) => {
				const atMs = timeSource.nowMs();
				try {
					reports.set(name, {atMs, load: await context.runners.load(address)});
				} catch {
					// The last report counts until the runner has been silent for too long.
				}
			});
			const demands = context.entryAddresses.map(async (address) => {
				try {
					tracker.report(address, await context.demand.read(address));
				} catch {
					// The last answer of a daemon counts until it is stale.
				}
			});
			await Promise.all([...loads, ...demands]);
			tracker.update();
		},
		loadOf(name) {
			const report = reports.get(name);
			return report && timeSource.nowMs() - report.atMs < context.silentMs
				? report.load
				: undefined;
		},
		demand: () => tracker.current(),
		reset() {
			reports.clear();
		},
	};
};
