/** The upstreams of one region: selects the one for an item and tracks what runs on them. */
import type * as clock from '@hawthornfront/base/common/clock.js';
import * as event from '@hawthornfront/base/common/event.js';
import type * as random from '@hawthornfront/base/common/random.js';
import type * as schema from '@hawthornfront/catalogue/common/schema.js';
import * as assignment from './assignment.js';
import * as ejection from './ejection.js';
import * as slowStart from './slow-start.js';
import type * as schedulerSettings from './scheduler-settings.js';
import * as slots from './slots.js';
import type * as types from './types.js';
import * as upstreamChoice from './upstream-choice.js';
import * as upstreamState from './upstream-state.js';

export type UpstreamPoolOptions = {
	clock: clock.Clock;
	random: random.Random;
	settings: schedulerSettings.SchedulerSettings;
};

export type UpstreamPool = {
	/** Fires after a slot was released. */
	readonly onDidRelease: event.Event<upstreamState.Running>;
	setUpstreams(upstreams: readonly schema.Upstream[]): void;
	/** Returns whether the leaving mark changed. */
	report(name: string, load: types.LoadReport): boolean;
	setLeaving(names: ReadonlySet<string>): void;
	/** Records an arrival of short work for the model, which reserves slots for short work. */
	noteShort(model: string): void;
	/** Upstreams that serve the model and are not leaving. */
	candidates(model: string): readonly upstreamState.UpstreamState[];
	/** All upstreams. */
	all(): Iterable<upstreamState.UpstreamState>;
	/** Whether some upstream may serve the item, now or later. */
	isServable(item: types.WorkItem): boolean;
	/** Slots of an upstream that may be used now; fewer during slow start, 0 when ejected. */
	usableSlots(state: upstreamState.UpstreamState): number;
	hasFreeSlot(model: string, workClass: schema.WorkClass): boolean;
	/** Takes a slot of the best upstream; undefined when none is free. */
	assign(item: types.WorkItem, isStarved: boolean): types.Assignment | undefined;
	/** Whether the upstream is ejected or probing because its streams became many times slower. */
	isSuddenlySlow(state: upstreamState.UpstreamState): boolean;
	/** Updates the ejections from measured latencies; {@link assign} calls it too. */
	evaluate(): void;
	/** Whether {@link assign} would succeed. */
	canAssign(item: types.WorkItem, isStarved: boolean): boolean;
	inFlight(): number;
	dump(): unknown;
	dispose(): void;
};

const serves = (upstream: schema.Upstream, model: string): boolean =>
	upstream.type === 'runner' ? upstream.models.includes(model) : upstream.service === model;

const servedBy = (upstream: schema.Upstream): readonly string[] =>
	upstream.type === 'runner' ? upstream.models : [upstream.service ?? ''];

/** Creates a pool without upstreams. */
export const createUpstreamPool = ({
	clock,
	random,
	settings,
}: UpstreamPoolOptions): UpstreamPool => {
	const states = new Map<string, upstreamState.UpstreamState>();
	const ejectionTracker = ejection.createEjectionTracker(clock, settings.ejection);
	const releaseEmitter = event.createEmitter<upstreamState.Running>();
	const shortSeenAtMs = new Map<string, number>();
	/** Cleared whenever upstreams or leaving marks change. */
	const candidatesByModel = new Map<string, readonly upstreamState.UpstreamState[]>();
	let leaving: ReadonlySet<string> = new Set();
	let inFlight = 0;

	const isLeaving = (state: upstreamState.UpstreamState) =>
		state.isReportedLeaving || leaving.has(state.upstream.name);

	const markCold = (state: upstreamState.UpstreamState) => {
		if (state.upstream.type === 'runner') {
			state.coldSinceMs = clock.nowMs();
		}
	};

	const updateGroups = () => {
		candidatesByModel.clear();
		const groups = new Map<string, Set<string>>();
		for (const state of states.values()) {
			if (isLeaving(state)) {
				continue;
			}

			for (const model of servedBy(state.upstream)) {
				const group = groups.get(model) ?? new Set();
				groups.set(model, group.add(state.upstream.name));
			}
		}

		ejectionTracker.setGroups(groups);
	};

	/** Applies a change of leaving marks; an upstream that is no longer leaving enters slow start. */
	const changeLeaving = (change: () => void) => {
		const before = new Set([...states.values()].filter((state) => isLeaving(state)));
		change();
		for (const state of before) {
			if (!isLeaving(state)) {
				markCold(state);
			}
		}

		updateGroups();
	};

	const slowStartShareOf = (state: upstreamState.UpstreamState): number => {
		if (state.coldSinceMs === undefined) {
			return 1;
		}

		const ageMs = clock.nowMs() - state.coldSinceMs;
		return slowStart.slowStartShare(ageMs, settings.rampMs, settings.rampInitialShare);
	};

	const shareOf = (state: upstreamState.UpstreamState) =>
		Math.min(ejectionTracker.shareOf(state.upstream.name), slowStartShareOf(state));

	const candidates = (model: string) => {
		const known = candidatesByModel.get(model);
		if (known) {
			return known;
		}

		const found = [...states.values()].filter(
			(state) => serves(state.upstream, model) && !isLeaving(state),
		);
		// Callers may request models that do not exist; caching those would use memory without bound.
		if (found.length > 0) {
			candidatesByModel.set(model, found);
		}

		return found;
	};

	const isShortActive = (model: string) =>
		clock.nowMs() - (shortSeenAtMs.get(model) ?? Number.NEGATIVE_INFINITY) <= settings.reserveForMs;

	const isFree = (
		state: upstreamState.UpstreamState,
		item: Pick<types.WorkItem, 'workClass' | 'model' | 'preemptions'>,
		isStarved: boolean,
	) => {
		const isProbing = ejectionTracker.stateOf(state.upstream.name) === 'probing';
		// A preempted or migrated stream must not serve as the probe of a slow upstream.
		if (isProbing && (item.preemptions ?? 0) > 0) {
			return false;
		}

		const query: slots.SlotQuery = {
			state,
			workClass: item.workClass,
			nowMs: clock.nowMs(),
			share: shareOf(state),
			isProbing,
			isShortActive: isShortActive(item.model),
			isStarved,
		};
		return slots.hasFreeSlot(query, settings);
	};

	const evaluate = () => {
		ejectionTracker.evaluate(
			(name, workClass) => states.get(name)?.unansweredMs(clock.nowMs(), workClass) ?? 0,
		);
	};

	const freeFor = (item: types.WorkItem, isStarved: boolean) => {
		evaluate();
		return candidates(item.model).filter(
			(state) => !item.excluded.has(state.upstream.name) && isFree(state, item, isStarved),
		);
	};

	const take = (state: upstreamState.UpstreamState, item: types.WorkItem) => {
		inFlight++;
		return assignment.createAssignment({
			clock,
			state,
			item,
			ejection: ejectionTracker,
			onRelease(running) {
				inFlight--;
				releaseEmitter.fire(running);
			},
		});
	};

	return {
		onDidRelease: releaseEmitter.event,
		setUpstreams(upstreams) {
			const isFirst = states.size === 0;
			const names = new Set(upstreams.map(({name}) => name));
			for (const name of states.keys()) {
				if (!names.has(name)) {
					states.delete(name);
				}
			}

			for (const upstream of upstreams) {
				const known = states.get(upstream.name);
				if (known) {
					known.upstream = upstream;
					continue;
				}

				const state = upstreamState.createUpstreamState(upstream, settings);
				states.set(upstream.name, state);
				// When the daemon starts, the caches of existing upstreams are assumed to be warm.
				if (!isFirst) {
					markCold(state);
				}
			}

			updateGroups();
		},
		report(name, load) {
			const state = states.get(name);
			const wasLeaving = state?.isReportedLeaving;
			state?.noteReport(load, clock.nowMs());
			if (!state || state.isReportedLeaving === wasLeaving) {
				return false;
			}

			if (!isLeaving(state)) {
				markCold(state);
			}

			updateGroups();
			return true;
		},
		setLeaving(names) {
			changeLeaving(() => {
				leaving = new Set(names);
			});
		},
		noteShort(model) {
			shortSeenAtMs.set(model, clock.nowMs());
		},
		candidates,
		all: () => states.values(),
		isServable: (item) =>
			candidates(item.model).some((state) => !item.excluded.has(state.upstream.name)),
		usableSlots: (state) => slots.usableSlots({state, nowMs: clock.nowMs(), share: shareOf(state)}),
		hasFreeSlot: (model, workClass) =>
			candidates(model).some((state) => isFree(state, {model, workClass}, false)),
		isSuddenlySlow: (state) => ejectionTracker.isSuddenlySlow(state.upstream.name),
		evaluate,
		canAssign: (item, isStarved) => freeFor(item, isStarved).length > 0,
		assign(item, isStarved) {
			const free = freeFor(item, isStarved);
			if (free.length === 0) {
				return undefined;
			}

			const owners = candidates(item.model).filter(
				(state) => ejectionTracker.shareOf(state.upstream.name) > 0,
			);
			const options = {item, free, candidates: owners, nowMs: clock.nowMs()};
			const state = upstreamChoice.chooseUpstream(options, random, settings);
			return state && take(state, item);
		},
		inFlight: () => inFlight,
		dump: () => ({
			ejections: ejectionTracker.count(),
			upstreams: [...states.values()].map((state) => ({
				name: state.upstream.name,
				state: isLeaving(state) ? 'leaving' : ejectionTracker.stateOf(state.upstream.name),
				share: shareOf(state),
				own: state.running.size,
				ownLong: state.countOf('long'),
				others: state.others(clock.nowMs()),
				slots: state.slots(clock.nowMs()),
				outstandingTokens: state.outstandingTokens(),
				unansweredMs: state.unansweredMs(clock.nowMs()),
				firstTokenShortMs: state.firstTokenMs.short.value(clock.nowMs()),
				tokenMs: state.tokenMs.value(clock.nowMs()),
			})),
		}),
		dispose() {
			releaseEmitter.dispose();
		},
	};
};
