/**
 * Expected waits of the regions. Relays merge the summaries of the failure
 * domains of a region; the result spreads inside the own domain by heartbeats.
 */
import type * as datagram from '@hawthornfront/protocol/common/datagram.js';

/** Expected waits of one region. `observedAtMs` is on the monotonic clock of this daemon. */
export type RegionSummary = {
	region: string;
	observedAtMs: number;
	waits: datagram.WaitEntry[];
};

const transmissions = 3;
// Newer figures are passed on no more often than this; they stay well inside their life of 10 s.
const sameFiguresMs = 3500;

type DomainWaits = {region: string; observedAtMs: number; waits: datagram.WaitEntry[]};

export type RegionTable = {
	/** Takes the summary of another failure domain, as a relay. */
	noteDomain(failureDomain: string, item: DomainWaits): void;
	/** Takes merged figures that another daemon of the domain passes on. */
	noteRegion(item: datagram.RegionWaits, nowMs: number): void;
	/** Merges the summaries of all domains for the spread inside the own domain. */
	merge(nowMs: number, lifeMs: number): void;
	take(nowMs: number): datagram.RegionWaits[];
	current(nowMs: number, lifeMs: number): RegionSummary[];
};

const keyOf = (wait: datagram.WaitEntry) => `${wait.workClass}/${wait.model}`;

/** Mean over the domains that report an item; a domain without the model is left out. */
const mergeWaits = (lists: ReadonlyArray<readonly datagram.WaitEntry[]>): datagram.WaitEntry[] => {
	const groups = new Map<string, datagram.WaitEntry[]>();
	for (const wait of lists.flat()) {
		groups.set(keyOf(wait), [...(groups.get(keyOf(wait)) ?? []), wait]);
	}

	return [...groups.values()].map((group) => {
		const sumMs = group.reduce((sum, wait) => sum + wait.waitMs, 0);
		return {...group[0]!, waitMs: Math.round(sumMs / group.length)};
	});
};

/** Creates a table without figures. `ownRegion` is left out of it. */
export const createRegionTable = (ownRegion: string): RegionTable => {
	const domains = new Map<string, DomainWaits>();
	const regions = new Map<string, RegionSummary>();
	const pending = new Map<string, number>();

	const accept = (item: RegionSummary) => {
		const known = regions.get(item.region);
		if (item.region === ownRegion) {
			return;
		}

		if (!known || item.observedAtMs > known.observedAtMs + sameFiguresMs) {
			regions.set(item.region, item);
			pending.set(item.region, transmissions);
		}
	};

	return {
		noteDomain(failureDomain, item) {
			domains.set(failureDomain, item);
		},
		noteRegion({region, ageMs, waits}, nowMs) {
			accept({region, observedAtMs: nowMs - ageMs, waits});
		},
		merge(nowMs, lifeMs) {
			const groups = new Map<string, DomainWaits[]>();
			for (const [failureDomain, item] of domains) {
				if (nowMs - item.observedAtMs > lifeMs) {
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
		take(nowMs) {
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
		current: (nowMs, lifeMs) =>
			[...regions.values()].filter((item) => nowMs - item.observedAtMs <= lifeMs),
	};
};
