/**
 * Ejects slow upstreams for a limited time. An upstream is compared with the peers
 * that serve the same model, by latencies that this daemon measures itself, because
 * load reports show a slowdown too late. If all peers are equally slow, none is ejected.
 */
import type * as clock from '@hawthornfront/base/common/clock.js';
import type * as schema from '@hawthornfront/catalogue/common/schema.js';
import type * as ejectionSettings from './ejection-settings.js';
import * as slowStart from './slow-start.js';
import * as sampleWindow from './sample-window.js';

export type EjectionState = 'in-use' | 'ejected' | 'probing' | 'returning';

/** Detects slow and failing upstreams and tracks their ejection. */
export type EjectionTracker = {
	/** Names of the upstreams per model; the peers of an upstream are those of its models. */
	setGroups(groups: ReadonlyMap<string, ReadonlySet<string>>): void;
	noteFirstToken(name: string, workClass: schema.WorkClass, durationMs: number): void;
	noteTokenInterval(name: string, intervalMs: number): void;
	noteFailure(name: string): void;
	noteSuccess(name: string): void;
	/** Evaluates all upstreams; `unansweredMs` is the age of the oldest request without its first token. */
	evaluate(unansweredMs: (name: string, workClass: schema.WorkClass) => number): void;
	stateOf(name: string): EjectionState;
	/** Whether it is ejected or probing because its streams became many times slower than those of its peers. */
	isSuddenlySlow(name: string): boolean;
	/** Share of slots that may be used: 0 when ejected, 1 in normal use. */
	shareOf(name: string): number;
	/** Ejections since the start. */
	count(): number;
};

type UpstreamHealth = {
	state: EjectionState;
	untilMs: number;
	returnedAtMs: number;
	ejectionsInRow: number;
	consecutiveFailures: number;
	isSuddenlySlow: boolean;
	firstTokens: Record<schema.WorkClass, sampleWindow.SampleWindow>;
	tokenIntervals: sampleWindow.SampleWindow;
	/** The newest token intervals, which show a sudden slowdown before the median of all intervals does. */
	newestIntervals: sampleWindow.SampleWindow;
};

const classes: readonly schema.WorkClass[] = ['short', 'long', 'service'];

export const createEjectionTracker = (
	clock: clock.Clock,
	settings: ejectionSettings.EjectionSettings,
): EjectionTracker => {
	const healthByName = new Map<string, UpstreamHealth>();
	let groups: ReadonlyMap<string, ReadonlySet<string>> = new Map();
	let evaluatedAtMs = Number.NEGATIVE_INFINITY;
	let ejections = 0;

	const createWindow = () =>
		sampleWindow.createSampleWindow(settings.windowSamples, settings.windowMs);
	const createHealth = (): UpstreamHealth => ({
		state: 'in-use',
		untilMs: 0,
		returnedAtMs: 0,
		ejectionsInRow: 0,
		consecutiveFailures: 0,
		isSuddenlySlow: false,
		firstTokens: {short: createWindow(), long: createWindow(), service: createWindow()},
		tokenIntervals: createWindow(),
		newestIntervals: sampleWindow.createSampleWindow(
			settings.minimumSamples,
			settings.suddenWindowMs,
		),
	});

	/** Applies the state transitions that depend on time alone. */
	const update = (item: UpstreamHealth) => {
		const nowMs = clock.nowMs();
		if (item.state === 'ejected' && nowMs >= item.untilMs) {
			item.state = 'probing';
		}

		// If no request arrives to probe with, the gradual return starts without a probe.
		if (item.state === 'probing' && nowMs >= item.untilMs + settings.maxProbeWaitMs) {
			item.state = 'returning';
			item.returnedAtMs = nowMs;
		}

		if (item.state === 'returning' && nowMs - item.returnedAtMs >= settings.returnMs) {
			item.state = 'in-use';
			item.ejectionsInRow = 0;
		}

		return item;
	};

	const stateOf = (name: string): EjectionState => {
		const item = healthByName.get(name);
		return item ? update(item).state : 'in-use';
	};

	const isOutOfUse = (name: string) => {
		const state = stateOf(name);
		return state === 'ejected' || state === 'probing';
	};

	/** Applies the cap to every group and keeps one upstream of every group in use. */
	const canEject = (name: string, isSudden: boolean) => {
		for (const names of groups.values()) {
			if (!names.has(name)) {
				continue;
			}

			const out = [...names].filter((other) => other !== name && isOutOfUse(other)).length + 1;
			// In a small group the share is below one upstream; only a sudden slowdown may then eject one.
			const share = names.size * settings.maxEjectedShare;
			const limit = isSudden ? Math.max(1, share) : share;
			if (out > limit || out >= names.size) {
				return false;
			}
		}

		return true;
	};

	const eject = (name: string, isSudden = false) => {
		const item = healthByName.get(name)!;
		if (item.state === 'ejected' || (!isOutOfUse(name) && !canEject(name, isSudden))) {
			return;
		}

		const factor = 2 ** Math.min(item.ejectionsInRow, 16);
		item.state = 'ejected';
		item.untilMs = clock.nowMs() + Math.min(settings.maxBackOffMs, settings.backOffMs * factor);
		item.isSuddenlySlow = isSudden;
		item.ejectionsInRow++;
		item.consecutiveFailures = 0;
		for (const window of [
			...Object.values(item.firstTokens),
			item.tokenIntervals,
			item.newestIntervals,
		]) {
			window.clear();
		}

		ejections++;
	};

	const peersOf = (name: string): Set<string> => {
		const peers = new Set<string>();
		for (const names of groups.values()) {
			if (names.has(name)) {
				for (const peer of names) {
					peers.add(peer);
				}
			}
		}

		peers.delete(name);
		return peers;
	};

	/** Median of the medians of the peers that are in use. */
	const peerMedian = (
		name: string,
		windowOf: (item: UpstreamHealth) => sampleWindow.SampleWindow,
	): number | undefined => {
		const medians: number[] = [];
		for (const peer of peersOf(name)) {
			const item = healthByName.get(peer);
			const value =
				item && !isOutOfUse(peer)
					? windowOf(item).median(clock.nowMs(), settings.minimumSamples)
					: undefined;
			if (value !== undefined) {
				medians.push(value);
			}
		}

		return sampleWindow.median(medians);
	};

	const isAbove = (value: number, peers: number, excessMs: number) =>
		value > peers * settings.outlierRatio && value - peers > excessMs;

	const isOutlier = (
		name: string,
		item: UpstreamHealth,
		unansweredMs: (name: string, workClass: schema.WorkClass) => number,
	): boolean => {
		const nowMs = clock.nowMs();
		for (const workClass of classes) {
			const windowOf = (other: UpstreamHealth) => other.firstTokens[workClass];
			const own = windowOf(item).median(nowMs, settings.minimumSamples) ?? 0;
			const value = Math.max(own, unansweredMs(name, workClass));
			const peers = value > 0 ? peerMedian(name, windowOf) : undefined;
			if (peers !== undefined && isAbove(value, peers, settings.minimumExcessMs)) {
				return true;
			}
		}

		const interval = item.tokenIntervals.median(nowMs, settings.minimumSamples);
		if (interval === undefined) {
			return false;
		}

		const peers = peerMedian(name, (other) => other.tokenIntervals);
		return peers !== undefined && isAbove(interval, peers, settings.minimumTokenExcessMs);
	};

	/** Compares only the newest token intervals, which suffice to detect a slowdown by a large factor. */
	const isSevereOutlier = (name: string, item: UpstreamHealth): boolean => {
		const newest = item.newestIntervals.median(clock.nowMs(), settings.minimumSamples);
		const peers =
			newest === undefined ? undefined : peerMedian(name, (other) => other.tokenIntervals);
		return newest !== undefined && peers !== undefined && newest > peers * settings.suddenRatio;
	};

	const finishProbe = (item: UpstreamHealth) => {
		item.state = 'returning';
		item.returnedAtMs = clock.nowMs();
	};

	return {
		setGroups(next) {
			groups = next;
			const names = new Set([...next.values()].flatMap((group) => [...group]));
			for (const name of healthByName.keys()) {
				if (!names.has(name)) {
					healthByName.delete(name);
				}
			}

			for (const name of names) {
				if (!healthByName.has(name)) {
					healthByName.set(name, createHealth());
				}
			}
		},
		noteFirstToken(name, workClass, durationMs) {
			const item = healthByName.get(name);
			if (!item) {
				return;
			}

			const state = stateOf(name);
			// Answers of an ejected upstream belong to requests that were sent before the ejection.
			if (state === 'ejected') {
				return;
			}

			if (state !== 'probing') {
				item.firstTokens[workClass].add(durationMs, clock.nowMs());
				return;
			}

			const peers = peerMedian(name, (other) => other.firstTokens[workClass]);
			if (peers !== undefined && isAbove(durationMs, peers, settings.minimumExcessMs)) {
				eject(name);
			} else {
				finishProbe(item);
			}
		},
		noteTokenInterval(name, intervalMs) {
			if (!isOutOfUse(name)) {
				const item = healthByName.get(name);
				item?.tokenIntervals.add(intervalMs, clock.nowMs());
				item?.newestIntervals.add(intervalMs, clock.nowMs());
			}
		},
		noteFailure(name) {
			const item = healthByName.get(name);
			if (!item) {
				return;
			}

			item.consecutiveFailures++;
			if (
				stateOf(name) === 'probing' ||
				item.consecutiveFailures >= settings.maxConsecutiveFailures
			) {
				eject(name);
			}
		},
		noteSuccess(name) {
			const item = healthByName.get(name);
			if (item) {
				item.consecutiveFailures = 0;
			}
		},
		evaluate(unansweredMs) {
			const nowMs = clock.nowMs();
			if (nowMs - evaluatedAtMs < settings.evaluateEveryMs) {
				return;
			}

			evaluatedAtMs = nowMs;
			for (const [name, item] of healthByName) {
				if (update(item).state === 'ejected') {
					continue;
				}

				const isSudden = isSevereOutlier(name, item);
				if (isSudden || isOutlier(name, item, unansweredMs)) {
					eject(name, isSudden);
				}
			}
		},
		stateOf,
		isSuddenlySlow: (name) => isOutOfUse(name) && healthByName.get(name)?.isSuddenlySlow === true,
		shareOf(name) {
			const state = stateOf(name);
			if (state === 'returning') {
				const ageMs = clock.nowMs() - healthByName.get(name)!.returnedAtMs;
				return slowStart.slowStartShare(ageMs, settings.returnMs, settings.returnShare);
			}

			return state === 'in-use' ? 1 : 0;
		},
		count: () => ejections,
	};
};
