/**
 * Selects the long streams to preempt for overdue short items, which wait either in
 * the queue of this daemon or, without a first token, in the queue of an engine.
 * At most one stream is preempted per overdue item, and only if it can be resumed.
 */
import type * as schedulerSettings from './scheduler-settings.js';
import type * as types from './types.js';
import type * as upstreamState from './upstream-state.js';

export type WaitingShort = {item: types.WorkItem; enqueuedAtMs: number};

export type PreemptionPlan = {
	victims: upstreamState.Running[];
	/** Time of the next planning; undefined when only a release or an arrival can change the plan. */
	nextAtMs: number | undefined;
};

export type PreemptionOptions = {
	/** Short items in the queue of one model, oldest first. */
	waiting: readonly WaitingShort[];
	/** Upstreams that a short item of the model may use. */
	upstreams: readonly upstreamState.UpstreamState[];
	/** Slots of an upstream that this daemon may use now. */
	usableSlots(state: upstreamState.UpstreamState): number;
	nowMs: number;
	settings: schedulerSettings.SchedulerSettings;
};

/** Whether a stream may be preempted, regardless of its minimum run time. */
export const canPreempt = (
	running: upstreamState.Running,
	state: upstreamState.UpstreamState,
	maxPreemptions: number,
): boolean =>
	state.upstream.resumesStreams &&
	running.item.workClass === 'long' &&
	running.item.canBePreempted &&
	!running.isPreempted &&
	(running.item.preemptions ?? 0) < maxPreemptions;

/** Tokens that are recomputed when the stream resumes on an upstream without its KV cache. */
export const recomputedTokens = ({item, tokens}: upstreamState.Running): number =>
	(item.promptTokens ?? 0) + tokens;

type PreemptibleStream = {state: upstreamState.UpstreamState; running: upstreamState.Running};

/** Streams of an upstream that may be preempted; none if preempting all of them would not free a slot. */
const preemptibleOn = (
	state: upstreamState.UpstreamState,
	{usableSlots, nowMs, settings}: PreemptionOptions,
): PreemptibleStream[] => {
	const stoppable = [...state.running].filter((running) =>
		canPreempt(running, state, settings.maxPreemptions),
	);
	const stopping = [...state.running].filter(({isPreempted}) => isPreempted).length;
	const excess = state.running.size + state.others(nowMs) + 1 - usableSlots(state);
	return stoppable.length + stopping >= excess
		? stoppable.map((running) => ({state, running}))
		: [];
};

const countStopping = (upstreams: readonly upstreamState.UpstreamState[]): number => {
	let count = 0;
	for (const {running} of upstreams) {
		for (const {isPreempted} of running) {
			count += isPreempted ? 1 : 0;
		}
	}

	return count;
};

/** Plans for the queued short items of one model, for which no slot is free. */
export const planPreemptions = (options: PreemptionOptions): PreemptionPlan => {
	const {waiting, upstreams, nowMs, settings} = options;
	let pending = countStopping(upstreams);
	const stoppable = upstreams.flatMap((state) => preemptibleOn(state, options));
	stoppable.sort((a, b) => recomputedTokens(a.running) - recomputedTokens(b.running));
	const victims: upstreamState.Running[] = [];
	let nextAtMs: number | undefined;
	for (const {item, enqueuedAtMs} of waiting) {
		const dueAtMs = enqueuedAtMs + settings.preemptAfterMs;
		if (dueAtMs > nowMs) {
			nextAtMs = Math.min(nextAtMs ?? dueAtMs, dueAtMs);
			continue;
		}

		// The slot of a stream that is already being preempted goes to the oldest item.
		if (pending > 0) {
			pending--;
			continue;
		}

		if (stoppable.length === 0) {
			continue;
		}

		const usable = stoppable.filter(({state}) => !item.excluded.has(state.upstream.name));
		const victim = usable.find(({running}) => running.startedAtMs + settings.minimumRunMs <= nowMs);
		if (victim) {
			stoppable.splice(stoppable.indexOf(victim), 1);
			victims.push(victim.running);
			continue;
		}

		for (const {running} of usable) {
			const atMs = running.startedAtMs + settings.minimumRunMs;
			nextAtMs = Math.min(nextAtMs ?? atMs, atMs);
		}
	}

	return {victims, nextAtMs};
};

export type StuckPreemptionOptions = Omit<PreemptionOptions, 'waiting' | 'upstreams'> & {
	upstreams: Iterable<upstreamState.UpstreamState>;
};

type StuckItem = {running: upstreamState.Running; dueAtMs: number};

const unansweredShort = (
	state: upstreamState.UpstreamState,
	{nowMs, settings}: StuckPreemptionOptions,
): StuckItem[] => {
	const expectedMs = state.firstTokenMs.short.value(nowMs);
	return [...state.running]
		.filter(({item, firstTokenAtMs}) => item.workClass === 'short' && firstTokenAtMs === undefined)
		.map((running) => ({
			running,
			dueAtMs: running.startedAtMs + settings.preemptAfterMs + expectedMs,
		}));
};

/** Plans for one upstream, on behalf of {@link planStuckPreemptions}. */
const planStuckOnUpstream = (
	state: upstreamState.UpstreamState,
	options: StuckPreemptionOptions,
): PreemptionPlan => {
	const {nowMs, settings} = options;
	const stoppable = [...state.running]
		.filter((running) => canPreempt(running, state, settings.maxPreemptions))
		.sort((a, b) => recomputedTokens(a) - recomputedTokens(b));
	const stuck = unansweredShort(state, options);
	const overdue = stuck.filter(({dueAtMs}) => dueAtMs <= nowMs);
	for (const {running} of overdue) {
		state.noteStuck(running, nowMs);
	}

	const isFull = state.running.size + state.others(nowMs) >= options.usableSlots(state);
	if (stoppable.length === 0 || stuck.length === 0) {
		return {victims: [], nextAtMs: undefined};
	}

	const wanted = isFull ? overdue.length - countStopping([state]) : 0;
	const isDue = ({startedAtMs}: upstreamState.Running) =>
		startedAtMs + settings.minimumRunMs <= nowMs;
	const victims = stoppable.filter((running) => isDue(running)).slice(0, Math.max(0, wanted));
	const times = stuck.map(({dueAtMs}) => dueAtMs).filter((dueAtMs) => dueAtMs > nowMs);
	if (victims.length < wanted) {
		for (const {startedAtMs} of stoppable.filter((running) => !isDue(running))) {
			times.push(startedAtMs + settings.minimumRunMs);
		}
	}

	return {victims, nextAtMs: times.length > 0 ? Math.min(...times) : undefined};
};

/**
 * Plans for short items that were sent but received no first token in time. Load
 * reports lag, so several daemons may fill the same free slots. The engine then
 * queues short items behind streams that no report has shown yet.
 */
export const planStuckPreemptions = (options: StuckPreemptionOptions): PreemptionPlan => {
	const victims: upstreamState.Running[] = [];
	let nextAtMs: number | undefined;
	for (const state of options.upstreams) {
		if (!state.hasUnanswered()) {
			continue;
		}

		const plan = planStuckOnUpstream(state, options);
		victims.push(...plan.victims);
		nextAtMs = Math.min(
			nextAtMs ?? Number.POSITIVE_INFINITY,
			plan.nextAtMs ?? Number.POSITIVE_INFINITY,
		);
	}

	return {victims, nextAtMs: Number.isFinite(nextAtMs) ? nextAtMs : undefined};
};
