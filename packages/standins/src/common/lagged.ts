/** Reports of a runner that others see late: load reports and cache events. */
import type * as clockModule from '@hawthornfront/base/common/clock.js';
import type * as randomModule from '@hawthornfront/base/common/random.js';
import type * as prefixCache from './prefix-cache.js';

/** A value as it was some time ago. */
export type LaggedValue<T> = {
	set(value: T): void;
	/** The value of `lagMs` ago and the time at which it was observed. */
	read(lagMs: number): {value: T; observedAtMs: number};
};

/** Creates a lagged value that remembers at least `historyMs`. */
export const createLaggedValue = <T>(
	clock: clockModule.Clock,
	initial: T,
	historyMs: number,
): LaggedValue<T> => {
	let history = [{atMs: clock.nowMs(), value: initial}];
	const compactionLength = 256;
	return {
		set(value) {
			const nowMs = clock.nowMs();
			const last = history.at(-1);
			if (last?.atMs === nowMs) {
				last.value = value;
				return;
			}

			history.push({atMs: nowMs, value});
			if (history.length > compactionLength) {
				const first = history.findLastIndex((item) => item.atMs <= nowMs - historyMs);
				history = history.slice(Math.max(0, first));
			}
		},
		read(lagMs) {
			const atMs = clock.nowMs() - lagMs;
			const seen = history.findLast((item) => item.atMs <= atMs) ?? history[0]!;
			return {value: seen.value, observedAtMs: Math.max(atMs, seen.atMs)};
		},
	};
};

export type CacheEvent = prefixCache.CacheChange & {
	/** Position in the log; a missing number is a gap. */
	sequence: number;
};

export type CacheEventLog = {
	append(change: prefixCache.CacheChange): void;
	/** Published events after `sequence`, and the last number that was published. */
	read(after: number): {events: CacheEvent[]; last: number};
};

export type CacheEventFaults = {
	/** An event is published this long after the change. */
	cacheEventLagMs: number;
	/** Probability that an event is never published. */
	cacheEventGapProbability: number;
};

/** Creates the log of cache events of one runner; it keeps the last `maxEvents`. */
export const createCacheEventLog = (
	clock: clockModule.Clock,
	random: randomModule.Random,
	faults: CacheEventFaults,
	maxEvents: number,
): CacheEventLog => {
	let events: Array<{atMs: number; isLost: boolean; event: CacheEvent}> = [];
	let sequence = 0;
	return {
		append(change) {
			sequence++;
			if (maxEvents === 0) {
				return;
			}

			const isLost =
				faults.cacheEventGapProbability > 0 && random.next() < faults.cacheEventGapProbability;
			events.push({atMs: clock.nowMs(), isLost, event: {...change, sequence}});
			if (events.length > maxEvents * 2) {
				events = events.slice(-maxEvents);
			}
		},
		read(after) {
			const visible = events.filter((item) => item.atMs <= clock.nowMs() - faults.cacheEventLagMs);
			const last = visible.at(-1)?.event.sequence ?? 0;
			const published = visible.filter((item) => !item.isLost && item.event.sequence > after);
			return {events: published.map((item) => item.event), last};
		},
	};
};
