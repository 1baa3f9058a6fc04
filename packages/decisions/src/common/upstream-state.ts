/** State of one upstream at one daemon: the work of this daemon there and the last load report. */
import type * as event from '@hawthornfront/base/common/event.js';
import type * as schema from '@hawthornfront/catalogue/common/schema.js';
import * as decayingEstimate from './decaying-estimate.js';
import type * as schedulerSettings from './scheduler-settings.js';
import type * as types from './types.js';

/** One assignment that is not released. */
export type Running = {
	readonly item: types.WorkItem;
	readonly startedAtMs: number;
	readonly preempt: event.Emitter<void>;
	firstTokenAtMs?: number;
	/** Tokens so far, and the point up to which their rate was sampled. */
	tokens: number;
	sampledTokens: number;
	sampledAtMs: number;
	isPreempted: boolean;
	/** When its first token was first detected as overdue. */
	stuckAtMs?: number;
};

type Ended = {startedAtMs: number; endedAtMs: number};

type Report = {
	receivedAtMs: number;
	observedAtMs: number;
	others: number;
	waiting: number;
	slots: number;
	model: string;
};

export type UpstreamState = {
	upstream: schema.Upstream;
	readonly running: Set<Running>;
	/** Start of its slow start; undefined when its caches are warm. */
	coldSinceMs: number | undefined;
	isReportedLeaving: boolean;
	readonly firstTokenMs: Readonly<Record<schema.WorkClass, decayingEstimate.DecayingEstimate>>;
	/** Time between two tokens of one stream. */
	readonly tokenMs: decayingEstimate.DecayingEstimate;
	/** Assignments made after the time that the last report describes. */
	sentSinceReport(nowMs: number): number;
	noteReport(report: types.LoadReport, nowMs: number): void;
	/** Records an item whose first token is overdue, which shows that the upstream has unreported work. */
	noteStuck(running: Running, nowMs: number): void;
	noteEnd(running: Running, nowMs: number): void;
	/** Requests of other daemons at this upstream, estimated from the last report and from stuck items. */
	others(nowMs: number): number;
	/** Reported queue length of the engine. */
	waiting(nowMs: number): number;
	slots(nowMs: number): number;
	/** Model that the runner reports as loaded; undefined when it is not known. */
	loadedModel(nowMs: number): string | undefined;
	/** Estimated tokens that the work of this daemon has yet to generate. */
	outstandingTokens(): number;
	/** Age of the oldest request without its first token; 0 when there is none. */
	unansweredMs(nowMs: number, workClass?: schema.WorkClass): number;
	hasUnanswered(): boolean;
	countOf(workClass: schema.WorkClass): number;
};

/** Creates the state of an upstream without work and reports. */
export const createUpstreamState = (
	upstream: schema.Upstream,
	settings: schedulerSettings.SchedulerSettings,
): UpstreamState => {
	const running = new Set<Running>();
	let ended: Ended[] = [];
	let report: Report | undefined;

	const createEstimate = (initial: number) =>
		decayingEstimate.createDecayingEstimate({
			initial,
			learningRate: settings.learningRate,
			halfLifeMs: settings.forgetHalfLifeMs,
		});

	const freshReport = (nowMs: number): Report | undefined =>
		report && nowMs - report.receivedAtMs <= settings.reportMaxAgeMs ? report : undefined;

	/** Own requests at the upstream at a time in the recent past. */
	const ownAt = (atMs: number): number => {
		let count = 0;
		for (const {startedAtMs} of running) {
			count += startedAtMs <= atMs ? 1 : 0;
		}

		for (const {startedAtMs, endedAtMs} of ended) {
			count += startedAtMs <= atMs && atMs < endedAtMs ? 1 : 0;
		}

		return count;
	};

	/** Requests of other daemons inferred from stuck items that the last report does not cover yet. */
	const hiddenOthers = (nowMs: number): number => {
		const describedMs =
			(freshReport(nowMs)?.receivedAtMs ?? Number.NEGATIVE_INFINITY) - settings.reportLagMs;
		let count = 0;
		for (const {firstTokenAtMs, stuckAtMs} of running) {
			const isStuck = firstTokenAtMs === undefined && stuckAtMs !== undefined;
			count += isStuck && stuckAtMs > describedMs ? 1 : 0;
		}

		return count;
	};

	const state: UpstreamState = {
		upstream,
		running,
		coldSinceMs: undefined,
		isReportedLeaving: false,
		firstTokenMs: {
			short: createEstimate(settings.initialFirstTokenMs),
			long: createEstimate(settings.initialFirstTokenMs),
			service: createEstimate(settings.initialFirstTokenMs),
		},
		tokenMs: createEstimate(settings.initialTokenMs),
		sentSinceReport(nowMs) {
			const describedMs = (freshReport(nowMs)?.receivedAtMs ?? nowMs) - settings.reportLagMs;
			let count = 0;
			for (const {startedAtMs} of running) {
				count += startedAtMs > describedMs ? 1 : 0;
			}

			return count;
		},
		noteReport(load, nowMs) {
			// Reports can arrive out of order. The clock of the reporter may restart with it,
			// so their order is checked only against a fresh report.
			if (load.observedAtMs < (freshReport(nowMs)?.observedAtMs ?? Number.NEGATIVE_INFINITY)) {
				return;
			}

			const own = ownAt(nowMs - settings.reportLagMs);
			report = {
				receivedAtMs: nowMs,
				observedAtMs: load.observedAtMs,
				others: Math.max(0, load.running + load.waiting - own),
				waiting: load.waiting,
				slots: load.slots,
				model: load.model,
			};
			state.isReportedLeaving = load.leaving;
		},
		noteStuck(item, nowMs) {
			item.stuckAtMs ??= nowMs;
		},
		noteEnd(item, nowMs) {
			running.delete(item);
			ended = ended.filter(({endedAtMs}) => nowMs - endedAtMs <= settings.reportLagMs);
			ended.push({startedAtMs: item.startedAtMs, endedAtMs: nowMs});
		},
		others: (nowMs) => (freshReport(nowMs)?.others ?? 0) + hiddenOthers(nowMs),
		waiting: (nowMs) => freshReport(nowMs)?.waiting ?? 0,
		slots(nowMs) {
			const reported = freshReport(nowMs)?.slots ?? 0;
			return reported > 0 ? Math.min(state.upstream.slots, reported) : state.upstream.slots;
		},
		loadedModel(nowMs) {
			const model = freshReport(nowMs)?.model;
			return model === '' ? undefined : model;
		},
		outstandingTokens() {
			let tokens = 0;
			for (const {item, tokens: generated} of running) {
				tokens += Math.max(1, item.estimatedTokens - generated);
			}

			return tokens;
		},
		unansweredMs(nowMs, workClass) {
			let ageMs = 0;
			for (const {item, startedAtMs, firstTokenAtMs} of running) {
				const counts = workClass === undefined || item.workClass === workClass;
				if (firstTokenAtMs === undefined && counts) {
					ageMs = Math.max(ageMs, nowMs - startedAtMs);
				}
			}

			return ageMs;
		},
		hasUnanswered: () => [...running].some(({firstTokenAtMs}) => firstTokenAtMs === undefined),
		countOf(workClass) {
			let count = 0;
			for (const {item} of running) {
				count += item.workClass === workClass ? 1 : 0;
			}

			return count;
		},
	};
	return state;
};
