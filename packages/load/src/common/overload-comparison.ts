/**
 * Compares ways to shed load, on a model of one region: long and short prompts compete
 * for runners that many daemons share. The dispatcher runs unchanged, one a daemon, with
 * load reports that are a tick late; callers that are refused return within their time.
 */
import * as manualClock from '@hawthornfront/base/common/manual-clock.js';
import * as random from '@hawthornfront/base/common/random.js';
import * as dispatcher from '@hawthornfront/gateway/common/dispatcher.js';
import * as fleetView from '@hawthornfront/gateway/common/fleet-view.js';
import * as loadSettings from '@hawthornfront/gateway/common/load-settings.js';
import type * as loadShedding from '@hawthornfront/gateway/common/load-shedding.js';
import type * as routeConfig from '@hawthornfront/gateway/common/route-config.js';
import type * as upstreamLoad from '@hawthornfront/gateway/common/upstream-load.js';
import * as upstreamPauses from '@hawthornfront/gateway/common/upstream-pauses.js';
import * as upstreamRateLimits from '@hawthornfront/gateway/common/upstream-rate-limits.js';
import * as upstreamRegistry from '@hawthornfront/gateway/common/upstream-registry.js';
import * as workEstimate from '@hawthornfront/gateway/common/work-estimate.js';

export type OverloadKind = {
	name: string;
	rank: number;
	/** Mean; sizes vary from 0.4 to 1.6 times that. */
	promptTokens: number;
	outputTokens: number;
	goalMs: number;
	timeoutMs: number;
	/** Part of the offered prompt tokens. */
	share: number;
	/** Callers return this long after a refusal; undefined: after `Retry-After`. */
	returnMs?: number;
};

export type OverloadScenario = {
	daemons: number;
	runners: number;
	/** Offered prompt tokens relative to what the runners read. */
	load: number;
	kinds: readonly OverloadKind[];
	/** Settings of the daemons; their reading rate may differ from that of the runners. */
	settings: Partial<loadSettings.LoadSettings>;
};

/** A way to shed load; without `create`, that of the gateway. */
export type SheddingPolicy = {
	name: string;
	create?(
		nowMs: () => number,
		settings: loadSettings.LoadSettings,
		next: () => number,
	): loadShedding.LoadShedding;
	/** Settings of the daemons, as far as they differ. */
	settings?: Partial<loadSettings.LoadSettings>;
	/** Runners read the prompt with the earliest deadline first. */
	isByDeadline?: boolean;
};

export type OverloadResult = {
	kind: string;
	asked: number;
	/** Shares of all requests; the rest was never answered. */
	inTarget: number;
	late: number;
	/** Share of the largest tenth that was answered. */
	largest: number;
	/** Refusals for each request. */
	refusals: number;
};

export const slots = 64;
const tokensPerMs = 57;
const stepMs = 5;
const reportMs = 250;
const durationMs = 24_000;
const burst = {fromMs: 8000, untilMs: 11_000, factor: 1.7};
const outputMsPerToken = 6.5;
const baseMs = 55;
const largestFactor = 1.48;
const serviceName = 'model';

type Job = {
	kind: OverloadKind;
	promptTokens: number;
	size: number;
	deadlineMs: number;
	daemon: number;
	isAnswered: boolean;
};
type Run = {
	job: Job;
	sentAtMs: number;
	unreadTokens: number;
	endsAtMs: number;
	account: dispatcher.DispatchedRequest;
};

const routeOf = ({name, rank, goalMs, timeoutMs}: OverloadKind): routeConfig.Route => ({
	name,
	host: 'a.example',
	prefix: `/${name}/`,
	isPublic: false,
	work: 'stream',
	canResume: false,
	timeoutMs,
	goalMs,
	maxUpstreams: 1,
	rank,
	homeRegions: [],
	targets: [{service: serviceName, weight: 1}],
});

const service: routeConfig.Service = {
	name: serviceName,
	maxConnections: 1000,
	coldRatePerS: 0,
	engine: {slots, eventTokens: 7, memoryTokens: 10_000_000},
};

const createDaemon = (
	name: string,
	{runners, settings: changed}: OverloadScenario,
	policy: SheddingPolicy,
	{clock, next}: {clock: manualClock.ManualClock; next: () => number},
) => {
	const settings = loadSettings.loadSettingsSchema.parse({...changed, ...policy.settings});
	const registry = upstreamRegistry.createUpstreamRegistry(clock, () => 'north', {
		unsettledMs: () => 0,
	});
	for (let runner = 0; runner < runners; runner++) {
		const id = String(runner);
		const address = `runner-${id}:80`;
		const entry = {id, service: serviceName, address, failureDomain: 'north-a', slots};
		registry.put({...entry, isDraining: false, coldLeftMs: 0}, 1);
	}

	return dispatcher.createDispatcher({
		clock,
		settings,
		daemonName: name,
		localRegion: 'north',
		localFailureDomain: 'north-a',
		regions: ['north'],
		registry,
		fleet: fleetView.createFleetView(clock, name),
		rateLimits: upstreamRateLimits.createUpstreamRateLimits(clock),
		pauses: upstreamPauses.createUpstreamPauses(clock, next),
		isEvacuated: () => false,
		limitSharers: {names: () => [name], areKnown: () => true},
		sender: {isSender: () => true},
		random: next,
		shedding: policy.create?.(() => clock.nowMs(), settings, next),
	});
};

const sumLoads = (reports: readonly upstreamLoad.LoadByUpstream[]) => {
	const sums = new Map<string, upstreamLoad.LoadByUpstream>();
	for (const {upstreamId, ...load} of reports) {
		const sum = sums.get(upstreamId);
		sums.set(upstreamId, {
			upstreamId,
			requests: (sum?.requests ?? 0) + load.requests,
			urgentReadTokens: (sum?.urgentReadTokens ?? 0) + load.urgentReadTokens,
			otherReadTokens: (sum?.otherReadTokens ?? 0) + load.otherReadTokens,
			memoryTokens: (sum?.memoryTokens ?? 0) + load.memoryTokens,
		});
	}

	return [...sums.values()];
};

/** Plays a scenario; the same seed brings the same requests to every policy. */
export const runOverload = (
	scenario: OverloadScenario,
	policy: SheddingPolicy,
	seed: number,
): OverloadResult[] => {
	const clock = new manualClock.ManualClock();
	const numbers = random.createRandom(seed);
	const arrivals = numbers.fork();
	const {next} = numbers.fork();
	const daemons = Array.from({length: scenario.daemons}, (_, index) =>
		createDaemon(`n${index}`, scenario, policy, {clock, next}),
	);
	const runners = Array.from({length: scenario.runners}, (): Run[] => []);
	const tallies = new Map(
		scenario.kinds.map((kind) => [
			kind,
			{asked: 0, inTarget: 0, late: 0, refusals: 0, large: 0, largeAnswered: 0},
		]),
	);
	const nextAtMs = new Map(scenario.kinds.map((kind) => [kind, 0]));
	let returns: Array<{atMs: number; job: Job}> = [];
	let lateReports: upstreamLoad.LoadByUpstream[] = [];

	const ask = (job: Job) => {
		const nowMs = clock.nowMs();
		const {kind, promptTokens} = job;
		const route = routeOf(kind);
		const facts = {promptTokens, maxOutputTokens: kind.outputTokens, promptParts: []};
		const request: dispatcher.DispatchRequest = {
			route,
			service,
			work: workEstimate.estimateWork({attemptId: undefined, ...facts}, route),
			rank: kind.rank,
			remainingMs: job.deadlineMs - nowMs,
			triedUpstreams: new Set(),
			failedUpstreams: new Set(),
			triedRegions: new Set(),
			mayRelay: false,
			wasAccepted: false,
		};
		const subject = daemons[job.daemon]!;
		const choice = subject.choose(request);
		if (choice.kind === 'upstream') {
			const account = subject.dispatch(choice, request);
			const endsAtMs = Number.POSITIVE_INFINITY;
			const run = {job, sentAtMs: nowMs, unreadTokens: promptTokens, endsAtMs, account};
			runners[Number(choice.upstream.entry.id)]!.push(run);
		} else if (choice.kind === 'refuse') {
			tallies.get(kind)!.refusals++;
			// As the request engine bounds it.
			const retryMs = Math.min(choice.retryAfterMs, request.remainingMs * 0.3);
			const atMs = nowMs + Math.max(50, kind.returnMs ?? retryMs);
			if (atMs < job.deadlineMs) {
				returns.push({atMs, job: {...job, daemon: arrivals.integer(0, scenario.daemons - 1)}});
			}
		}
	};

	const arrive = (kind: OverloadKind) => {
		const tally = tallies.get(kind)!;
		const size = 0.4 + 1.2 * arrivals.next();
		tally.asked++;
		tally.large += size > largestFactor ? 1 : 0;
		ask({
			kind,
			size,
			promptTokens: Math.round(kind.promptTokens * size),
			deadlineMs: clock.nowMs() + kind.timeoutMs,
			daemon: arrivals.integer(0, scenario.daemons - 1),
			isAnswered: false,
		});
	};

	const noteFirst = ({job, sentAtMs}: Run, nowMs: number) => {
		const tally = tallies.get(job.kind)!;
		tally[nowMs - sentAtMs <= job.kind.goalMs ? 'inTarget' : 'late']++;
		tally.largeAnswered += job.size > largestFactor ? 1 : 0;
	};

	/** Reads prompts by rank or deadline, then in order; the first requests have the slots. */
	const advance = (runs: Run[]): Run[] => {
		const nowMs = clock.nowMs();
		let left = stepMs * tokensPerMs;
		const running = runs.filter(({job}) => job.isAnswered).length;
		const unread = runs.filter(({job}) => !job.isAnswered);
		unread.sort((a, b) =>
			policy.isByDeadline
				? a.job.deadlineMs - b.job.deadlineMs
				: a.job.kind.rank - b.job.kind.rank || a.sentAtMs - b.sentAtMs,
		);
		for (const run of unread.slice(0, Math.max(0, slots - running))) {
			const tokens = Math.min(left, run.unreadTokens);
			run.unreadTokens -= tokens;
			left -= tokens;
			if (run.unreadTokens === 0) {
				run.job.isAnswered = true;
				run.endsAtMs = nowMs + baseMs + run.job.kind.outputTokens * outputMsPerToken;
				noteFirst(run, nowMs + baseMs);
				run.account.noteFirstEvent();
			}

			if (left === 0) {
				break;
			}
		}

		return runs.filter((run) => {
			const isOver = run.endsAtMs <= nowMs || (!run.job.isAnswered && run.job.deadlineMs <= nowMs);
			if (isOver) {
				run.account.end();
			}

			return !isOver;
		});
	};

	const arriveDue = (kind: OverloadKind, nowMs: number) => {
		const perMs = (scenario.load * kind.share * scenario.runners * tokensPerMs) / kind.promptTokens;
		const isBurst = nowMs >= burst.fromMs && nowMs < burst.untilMs;
		const meanMs = 1 / (perMs * (isBurst ? burst.factor : 1));
		let atMs = nextAtMs.get(kind)!;
		for (; atMs <= Math.min(nowMs, durationMs); atMs += arrivals.exponential(meanMs)) {
			arrive(kind);
		}

		nextAtMs.set(kind, atMs);
	};

	for (let nowMs = 0; nowMs < durationMs + 12_000; nowMs += stepMs) {
		for (const kind of scenario.kinds) {
			arriveDue(kind, nowMs);
		}

		const due = returns.filter(({atMs}) => atMs <= nowMs);
		returns = returns.filter(({atMs}) => atMs > nowMs);
		for (const {job} of due) {
			ask(job);
		}

		for (const [index, runs] of runners.entries()) {
			runners[index] = advance(runs);
		}

		if (nowMs % reportMs === 0) {
			for (const subject of daemons) {
				subject.noteRegionLoads(lateReports);
			}

			lateReports = sumLoads(daemons.flatMap((subject) => subject.localLoads()));
		}

		clock.skip(stepMs);
	}

	return [...tallies].map(([{name}, tally]) => ({
		kind: name,
		asked: tally.asked,
		inTarget: tally.inTarget / tally.asked,
		late: tally.late / tally.asked,
		largest: tally.largeAnswered / tally.large,
		refusals: tally.refusals / tally.asked,
	}));
};
