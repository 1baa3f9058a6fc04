/**
 * Model of many daemons that send requests of one service to runners, which refuse
 * work when they are full and ask for a pause. Compares what daemons make of the pauses,
 * in virtual time.
 */
import * as percentile from '@hawthornfront/base/common/percentile.js';
import type * as random from '@hawthornfront/base/common/random.js';
import * as randomNumbers from '@hawthornfront/base/common/random.js';
import * as upstreamPauses from '@hawthornfront/gateway/common/upstream-pauses.js';

export type PauseScenario = {
	daemons: number;
	runners: number;
	slots: number;
	/** Requests that wait at a runner. */
	queue: number;
	serviceMs: number;
	/** Offered load relative to the capacity, outside and inside the burst. */
	load: number;
	burstLoad: number;
	burstFromMs: number;
	burstUntilMs: number;
	durationMs: number;
	/** Pause that a full runner asks for. */
	pauseMs: number;
	/** Runners that one request may be sent to. */
	tries: number;
};

/** The planned size. */
export const plannedSize: PauseScenario = {
	daemons: 410,
	runners: 600,
	slots: 2,
	queue: 2,
	serviceMs: 380,
	load: 0.85,
	burstLoad: 1.4,
	burstFromMs: 4000,
	burstUntilMs: 8000,
	durationMs: 16_000,
	pauseMs: 1500,
	tries: 2,
};

/** A service with few runners, so that each daemon often sends to the same one. */
export const fewRunners: PauseScenario = {
	...plannedSize,
	daemons: 60,
	runners: 8,
	slots: 64,
	queue: 16,
};

/** `ignored`: pauses are not read; `exact`: all daemons resume at the end of a pause; `spread`: as the gateway does. */
export const pausePolicies = ['ignored', 'exact', 'spread'] as const;
export type PausePolicy = (typeof pausePolicies)[number];

export type PauseResult = {
	asked: number;
	refusedShare: number;
	/** From the arrival to the start at a runner. */
	waitP99Ms: number;
	/** Share of the slots in use. */
	utilisation: number;
	/** Refusals of runners for each request. */
	refusalsPerRequest: number;
	/** Requests that reached a runner in a pause, over two for each pause and daemon. */
	arrivalsInPauses: number;
	/** Standard deviation of the refusals in a quarter of a second, relative to their mean, after the first pauses. */
	swing: number;
};

const stepMs = 5;
const reportEveryMs = 250;
/** Runners that a daemon compares for one request. */
const compared = 4;
/** A pause binds this long after its answer. */
const bindsAfterMs = 500;
const allowedInPause = 2;

type Job = {arrivedAtMs: number; daemon: number; triesLeft: number};
type Runner = {endsAtMs: number[]; waiting: Job[]; serviceMs: number};
type NamedPause = {fromMs: number; untilMs: number; arrivals: number};

class ExactPauses {
	readonly #untilMs = new Map<string, number>();
	readonly #nowMs: () => number;

	constructor(nowMs: () => number) {
		this.#nowMs = nowMs;
	}

	note(upstreamId: string, {pauseMs}: {pauseMs: number}): void {
		this.#untilMs.set(upstreamId, this.#nowMs() + pauseMs);
	}

	remainingMs(upstreamId: string): number {
		return Math.max(0, (this.#untilMs.get(upstreamId) ?? 0) - this.#nowMs());
	}
}

const standardDeviation = (values: readonly number[], mean: number): number =>
	Math.sqrt(values.reduce((sum, value) => sum + (value - mean) ** 2, 0) / values.length);

/** Plays a scenario. */
export const runPauseComparison = (
	scenario: PauseScenario,
	policy: PausePolicy,
	seed: number,
): PauseResult => {
	const numbers: random.Random = randomNumbers.createRandom(seed);
	// Arrivals and speeds are the same for all policies.
	const arrivals = numbers.fork();
	const speeds = numbers.fork();
	const choices = numbers.fork();
	const spreads = numbers.fork();
	let nowMs = 0;
	const runners: Runner[] = Array.from({length: scenario.runners}, () => ({
		endsAtMs: [],
		waiting: [],
		serviceMs: scenario.serviceMs * (0.7 + 0.6 * speeds.next()),
	}));
	const pauses = Array.from({length: scenario.daemons}, () =>
		policy === 'spread'
			? upstreamPauses.createUpstreamPauses({nowMs: () => nowMs}, spreads.next)
			: new ExactPauses(() => nowMs),
	);
	const named = new Map<string, NamedPause>();
	let reported = runners.map(() => 0);
	const sentSince = runners.map(() => 0);
	const waitsMs: number[] = [];
	const refusalsPerReport: number[] = [];
	let [asked, refused, refusals, busyMs, arrivalsInPauses, refusalsSince] = [0, 0, 0, 0, 0, 0];

	const loadOf = (runner: number) => reported[runner]! + sentSince[runner]! / scenario.daemons;

	const chooseRunner = (daemon: number, tried: ReadonlySet<number>): number | undefined => {
		let best: number | undefined;
		for (let count = 0; count < compared; count++) {
			const runner = choices.integer(0, scenario.runners - 1);
			const isPaused = policy !== 'ignored' && pauses[daemon]!.remainingMs(String(runner)) > 0;
			if (tried.has(runner) || isPaused) {
				continue;
			}

			if (best === undefined || loadOf(runner) < loadOf(best)) {
				best = runner;
			}
		}

		return best;
	};

	const start = (runner: Runner, job: Job) => {
		const durationMs = choices.exponential(runner.serviceMs);
		runner.endsAtMs.push(nowMs + durationMs);
		busyMs += Math.min(durationMs, scenario.durationMs - nowMs);
		waitsMs.push(nowMs - job.arrivedAtMs);
	};

	const noteArrival = (pauseKey: string) => {
		const pause = named.get(pauseKey);
		if (pause && nowMs >= pause.fromMs && nowMs < pause.untilMs) {
			pause.arrivals++;
			arrivalsInPauses += pause.arrivals > allowedInPause ? 1 : 0;
		}
	};

	/** Returns whether the runner took the request. */
	const offer = (index: number, job: Job): boolean => {
		const runner = runners[index]!;
		const key = `${job.daemon} ${index}`;
		sentSince[index]!++;
		noteArrival(key);
		if (runner.endsAtMs.length < scenario.slots) {
			start(runner, job);
			return true;
		}

		if (runner.waiting.length < scenario.queue) {
			runner.waiting.push(job);
			return true;
		}

		refusals++;
		refusalsSince++;
		const {pauseMs} = scenario;
		pauses[job.daemon]!.note(String(index), {kind: 'pause', pauseMs});
		named.set(key, {fromMs: nowMs + bindsAfterMs, untilMs: nowMs + pauseMs, arrivals: 0});
		return false;
	};

	const send = (job: Job) => {
		const tried = new Set<number>();
		for (let tries = 0; tries < job.triesLeft; tries++) {
			const index = chooseRunner(job.daemon, tried);
			if (index === undefined) {
				break;
			}

			if (offer(index, job)) {
				return;
			}

			tried.add(index);
		}

		refused++;
	};

	const endRuns = (runner: Runner) => {
		runner.endsAtMs = runner.endsAtMs.filter((endMs) => endMs > nowMs);
	};

	const capacityPerMs = (scenario.runners * scenario.slots) / scenario.serviceMs;
	let nextArrivalMs = 0;
	for (; nowMs < scenario.durationMs; nowMs += stepMs) {
		for (const runner of runners) {
			endRuns(runner);
			while (runner.endsAtMs.length < scenario.slots && runner.waiting.length > 0) {
				start(runner, runner.waiting.shift()!);
			}
		}

		if (nowMs % reportEveryMs === 0) {
			reported = runners.map(({endsAtMs, waiting}) => endsAtMs.length + waiting.length);
			sentSince.fill(0);
			if (nowMs > scenario.burstFromMs + scenario.pauseMs) {
				refusalsPerReport.push(refusalsSince);
			}

			refusalsSince = 0;
		}

		const isBurst = nowMs >= scenario.burstFromMs && nowMs < scenario.burstUntilMs;
		const load = isBurst ? scenario.burstLoad : scenario.load;
		while (nextArrivalMs <= nowMs) {
			asked++;
			const daemon = arrivals.integer(0, scenario.daemons - 1);
			send({arrivedAtMs: nextArrivalMs, daemon, triesLeft: scenario.tries});
			nextArrivalMs += arrivals.exponential(1 / (capacityPerMs * load));
		}
	}

	const meanRefusals =
		refusalsPerReport.reduce((sum, count) => sum + count, 0) / refusalsPerReport.length;
	return {
		asked,
		refusedShare: refused / asked,
		waitP99Ms: percentile.percentile(waitsMs, 0.99),
		utilisation: busyMs / (scenario.durationMs * scenario.runners * scenario.slots),
		refusalsPerRequest: refusals / asked,
		arrivalsInPauses,
		swing:
			meanRefusals === 0 ? 0 : standardDeviation(refusalsPerReport, meanRefusals) / meanRefusals,
	};
};
