/** Reports of runners and demand, polled by the placer. */
import type * as clock from '@hawthornfront/base/common/clock.js';
import type * as schema from '@hawthornfront/catalogue/common/schema.js';
import * as demand from './demand.js';
import type * as runnerClient from './runner-client.js';

export type ObservationContext = {
	clock: clock.Clock;
	runners: runnerClient.RunnerClient;
	demand: runnerClient.DemandClient;
	entryAddresses: readonly string[];
	settings: ObservationSettings;
};

export type ObservationSettings = {
	/**
	 * Time between two reads of a runner that is in its desired state. Reading 430
	 * runners of a region every second would take 20 times the network budget.
	 */
	settledMs: number;
	/** Age from which the last report of a runner is ignored. */
	silentMs: number;
	/** Time between two reads of the demand of one entry daemon. */
	demandMs: number;
	demand: demand.DemandSettings;
};

export type Observation = {
	/**
	 * Polls the runners and daemons that are due. A runner that is not settled is
	 * always due. Never rejects.
	 */
	refresh(
		runners: readonly schema.Upstream[],
		isSettled: (runner: schema.Upstream) => boolean,
	): Promise<void>;
	/** Last report of a runner; undefined when it is too old. */
	loadOf(name: string): runnerClient.RunnerLoad | undefined;
	/** Smoothed demand; undefined without a recent report. */
	demand(): ReadonlyMap<string, number> | undefined;
	/** Deletes the reports of runners, for a new lease. */
	reset(): void;
};

/** Creates an observation without any reports. */
export const createObservation = (context: ObservationContext): Observation => {
	const {clock: timeSource} = context;
	const {settings} = context;
	const tracker = demand.createDemandTracker(timeSource, settings.demand);
	const reports = new Map<string, {atMs: number; load: runnerClient.RunnerLoad}>();
	const demandReadAtMs = new Map<string, number>();

	const isOlder = (atMs: number | undefined, ageMs: number): boolean =>
		atMs === undefined || timeSource.nowMs() - atMs >= ageMs;

	const readLoad = async ({name, address}: schema.Upstream) => {
		const atMs = timeSource.nowMs();
		try {
			reports.set(name, {atMs, load: await context.runners.load(address)});
		} catch {
			// The last report counts until it is older than silentMs.
		}
	};

	const readDemand = async (address: string) => {
		const atMs = timeSource.nowMs();
		try {
			tracker.report(address, await context.demand.read(address));
			demandReadAtMs.set(address, atMs);
		} catch {
			// The last report of a daemon counts until it is stale.
		}
	};

	return {
		async refresh(runners, isSettled) {
			const dueRunners = runners.filter(
				(runner) =>
					!isSettled(runner) || isOlder(reports.get(runner.name)?.atMs, settings.settledMs),
			);
			const dueAddresses = context.entryAddresses.filter((address) =>
				isOlder(demandReadAtMs.get(address), settings.demandMs),
			);
			await Promise.all([
				...dueRunners.map(async (runner) => readLoad(runner)),
				...dueAddresses.map(async (address) => readDemand(address)),
			]);
			tracker.update();
		},
		loadOf(name) {
			const report = reports.get(name);
			return report && !isOlder(report.atMs, settings.silentMs) ? report.load : undefined;
		},
		demand: () => tracker.current(),
		reset() {
			reports.clear();
		},
	};
};
