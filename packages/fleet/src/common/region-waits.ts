/**
 * Expected waits of the regions. Relays merge the summaries of the failure
 * domains of a region; heartbeats spread the result inside the local domain.
 */
import type * as datagram from '@hawthornfront/protocol/common/datagram.js';

/** Expected waits of one region. `observedAtMs` is on the monotonic clock of this daemon. */
export type RegionSummary = {
	region: string;
	observedAtMs: number;
	waits: datagram.WaitEntry[];
};

const transmissionCount = 3;
// Shortest time between two updates of a region; well below the maximum age of 10 s.
const minUpdateMs = 3500;

type DomainWaits = {region: string; observedAtMs: number; waits: datagram.WaitEntry[]};

export type RegionWaitTable = {
	/** Stores the waits in a summary of another failure domain. */
	applyDomainWaits(failureDomain: string, item: DomainWaits): void;
	/** Applies merged waits received from another daemon of the local domain. */
	applyRegionWaits(item: datagram.RegionWaits, nowMs: number): void;
	/** Merges the waits of all domains by region, to spread them inside the local domain. */
	merge(nowMs: number, maxAgeMs: number): void;
	takePending(nowMs: number): datagram.RegionWaits[];
	current(nowMs: number, maxAgeMs: number): RegionSummary[];
};

const waitKey = (wait: datagram.WaitEntry) => `${wait.workClass}/${wait.model}`;

/** Mean wait of each class and model over the domains that report it. */
const mergeWaits = (lists: ReadonlyArray<readonly datagram.WaitEntry[]>): datagram.WaitEntry[] => {
	const groups = new Map<string, datagram.WaitEntry[]>();
	for (const wait of lists.flat()) {
		groups.set(waitKey(wait), [...(groups.get(waitKey(wait)) ?? []), wait]);
	}

	return [...groups.values()].map((group) => {
		const sumMs = group.reduce((sum, wait) => sum + wait.waitMs, 0);
		return {...group[0]!, waitMs: Math.round(sumMs / group.length)};
	});
};

/** Creates an empty table. It never contains `localRegion`. */
export const createRegionWaitTable = (localRegion: string): RegionWaitTable => {
	const domains = new Map<string, DomainWaits>();
	const regions = new Map<string, RegionSummary>();
	const pending = new Map<string, number>();

	const accept = (item: RegionSummary) => {
		const known = regions.get(item.region);
		if (item.region === localRegion) {
			return;
		}

		if (!known || item.observedAtMs > known.observedAtMs + minUpdateMs) {
			regions.set(item.region, item);
			pending.set(item.region, transmissionCount);
		}
	};

	return {
		applyDomainWaits(failureDomain, item) {
			domains.set(failureDomain, item);
		},
		applyRegionWaits({region, ageMs, waits}, nowMs) {
			accept({region, observedAtMs: nowMs - ageMs, waits});
		},
		merge(nowMs, maxAgeMs) {
			const groups = new Map<string, DomainWaits[]>();
			for (const [failureDomain, item] of domains) {
				if (nowMs - item.observedAtMs > maxAgeMs) {
					domains.delete(failureDomain);
				} else {
					groups.set(item.region, [...(groups.get(item.region) ?? []), item]);
				}
			}

			for (const [region, items] of groups) {
				const observedAtMs = Math.max(...items.map((item) => item.observedAtMs));
				accept({region, observedAtMs, waits: mergeWaits(items.map((item) => item.waits))});
			}
		},
		takePending(nowMs) {
			const taken: datagram.RegionWaits[] = [];
			for (const [region, remaining] of pending) {
				const item = regions.get(region)!;
				taken.push({
					region,
					ageMs: Math.max(0, Math.round(nowMs - item.observedAtMs)),
					waits: item.waits,
				});
				if (remaining > 1) {
					pending.set(region, remaining - 1);
				} else {
					pending.delete(region);
				}
			}

			return taken;
		},
		current: (nowMs, maxAgeMs) =>
			[...regions.values()].filter((item) => nowMs - item.observedAtMs <= maxAgeMs),
	};
};
