/**
 * Compares ways to choose a runner, on a model of one region: requests arrive at
 * daemons of two failure domains, and runners are engine models. The project's own
 * dispatcher runs unchanged, one a daemon, with reports of load as late as
 * datagrams bring them.
 */
import * as manualClock from '@hawthornfront/base/common/manual-clock.js';
import * as percentiles from '@hawthornfront/base/common/percentile.js';
import * as random from '@hawthornfront/base/common/random.js';
import * as dispatcher from '@hawthornfront/gateway/common/dispatcher.js';
import * as fleetView from '@hawthornfront/gateway/common/fleet-view.js';
import * as loadSettings from '@hawthornfront/gateway/common/load-settings.js';
import type * as routeConfig from '@hawthornfront/gateway/common/route-config.js';
import * as upstreamPauses from '@hawthornfront/gateway/common/upstream-pauses.js';
import * as upstreamRateLimits from '@hawthornfront/gateway/common/upstream-rate-limits.js';
import * as upstreamRegistry from '@hawthornfront/gateway/common/upstream-registry.js';
import * as workEstimate from '@hawthornfront/gateway/common/work-estimate.js';
import * as engineModel from './engine-model.js';

export type Kind = {
	name: string;
	perS: number;
	route: routeConfig.Route;
	/** Tokens of the parts: common to all, of one topic, own. */
	tokens: {common: number; topic: number; own: number};
	topics: number;
	outputTokens: number;
	worth: number;
	lateWorth: number;
};

export type Scenario = {
	name: string;
	daemons: number;
	runners: number;
	engine: engineModel.EngineSettings;
	kinds: readonly Kind[];
	durationMs: number;
	/** Factor on the arrivals at a time. */
	loadAt(nowMs: number): number;
};

export type KindResult = {
	kind: string;
	asked: number;
	inAim: number;
	late: number;
	refused: number;
	failed: number;
	firstP50Ms: number;
	firstP99Ms: number;
};

export type ComparisonResult = {
	policy: string;
	/** Earned share of the worth of all requests. */
	worth: number;
	/** Prompt tokens read by all runners. */
	readTokens: number;
	kinds: KindResult[];
};

type Request = {
	kind: Kind;
	arrivedAtMs: number;
	parts: Array<{id: string; tokens: number}>;
	daemon: number;
};

/** Where a request goes; the account is told what happens to it. */
type Placement =
	| {kind: 'runner'; runner: number; account?: dispatcher.DispatchedRequest}
	| {kind: 'refuse'; retryAfterMs: number};

/** A way to choose a runner. */
export abstract class Policy {
	abstract readonly name: string;
	abstract place(request: Request): Placement;

	/** Called at regular intervals, when daemons exchange what they know. */
	exchange(): void {
		// Baselines know nothing of each other.
	}

	/** Called when a request has left its runner. */
	noteEnd(_daemon: number, _runner: number): void {
		// Only some policies count.
	}
}

export class RoundRobin extends Policy {
	override readonly name = 'round robin';
	readonly #runners: number;
	readonly #next: number[];

	constructor(runners: number, daemons: number) {
		super();
		this.#runners = runners;
		this.#next = Array.from({length: daemons}, (_, index) => index % runners);
	}

	override place({daemon}: Request): Placement {
		const runner = this.#next[daemon]!;
		this.#next[daemon] = (runner + 1) % this.#runners;
		return {kind: 'runner', runner};
	}
}

export class LeastInFlight extends Policy {
	override readonly name = 'least in flight';
	readonly #inFlight: number[][];

	constructor(runners: number, daemons: number) {
		super();
		this.#inFlight = Array.from({length: daemons}, () => Array.from({length: runners}, () => 0));
	}

	override place({daemon}: Request): Placement {
		const own = this.#inFlight[daemon]!;
		const fewest = Math.min(...own);
		// Daemons begin at different runners.
		const start = daemon % own.length;
		const runner = own.findIndex((_, offset) => own[(start + offset) % own.length] === fewest);
		const chosen = (start + runner) % own.length;
		own[chosen]!++;
		return {kind: 'runner', runner: chosen};
	}

	override noteEnd(daemon: number, runner: number): void {
		this.#inFlight[daemon]![runner]!--;
	}
}

const region = 'north';
const failureDomains = ['north-a', 'north-b'] as const;
const serviceName = 'model';

/** The dispatcher of the gateway, one a daemon. */
export class OwnDispatcher extends Policy {
	override readonly name = 'hawthornfront';
	readonly #service: routeConfig.Service;
	readonly #dispatchers: dispatcher.Dispatcher[];

	constructor(scenario: Scenario, clock: manualClock.ManualClock, numbers: random.Random) {
		super();
		const {slots, eventTokens, memoryTokens} = scenario.engine;
		this.#service = {
			name: serviceName,
			maxConnections: 1000,
			coldRatePerS: 0,
			engine: {slots, eventTokens, memoryTokens},
		};
		this.#dispatchers = Array.from({length: scenario.daemons}, (_, daemon) => {
			const registry = upstreamRegistry.createUpstreamRegistry(clock, () => region, {
				unsettledMs: () => 0,
			});
			for (let runner = 0; runner < scenario.runners; runner++) {
				registry.put(
					{
						id: String(runner),
						service: serviceName,
						address: `runner-${runner}:80`,
						failureDomain: failureDomains[runner % failureDomains.length]!,
						slots,
						isDraining: false,
						coldLeftMs: 0,
					},
					1,
				);
			}

			const name = `n${daemon}`;
			return dispatcher.createDispatcher({
				clock,
				settings: loadSettings.loadSettingsSchema.parse({}),
				daemonName: name,
				localRegion: region,
				localFailureDomain: domainOf(daemon),
				regions: [region],
				registry,
				fleet: fleetView.createFleetView(clock, name),
				rateLimits: upstreamRateLimits.createUpstreamRateLimits(clock),
				pauses: upstreamPauses.createUpstreamPauses(clock, numbers.fork().next),
				isEvacuated: () => false,
				limitSharers: {names: () => [name], areKnown: () => true},
				sender: {isSender: () => true},
				random: numbers.fork().next,
			});
		});
	}

	override place({kind, parts, daemon}: Request): Placement {
		const subject = this.#dispatchers[daemon]!;
		const promptTokens = parts.reduce((sum, part) => sum + part.tokens, 0);
		const facts = {
			attemptId: undefined,
			promptTokens,
			maxOutputTokens: kind.outputTokens,
			promptParts: parts,
		};
		const request: dispatcher.DispatchRequest = {
			route: kind.route,
			service: this.#service,
			work: workEstimate.estimateWork(facts, kind.route),
			rank: kind.route.rank,
			remainingMs: kind.route.timeoutMs,
			triedUpstreams: new Set(),
			failedUpstreams: new Set(),
			triedRegions: new Set(),
			mayRelay: false,
			wasAccepted: false,
		};
		const choice = subject.choose(request);
		if (choice.kind === 'refuse') {
			return {kind: 'refuse', retryAfterMs: choice.retryAfterMs};
		}

		if (choice.kind === 'region') {
			throw new Error('the model has one region');
		}

		return {
			kind: 'runner',
			runner: Number(choice.upstream.entry.id),
			account: subject.dispatch(choice, request),
		};
	}

	override exchange(): void {
		const chains = this.#dispatchers.map((subject) => subject.takeSentPromptPrefixes());
		const loads = this.#dispatchers.map((subject) => subject.localLoads());
		const sums = new Map(
			failureDomains.map((name, first) => [name, this.#dispatchers[first]?.domainLoads() ?? []]),
		);
		for (const [daemon, subject] of this.#dispatchers.entries()) {
			for (const [peer, told] of loads.entries()) {
				if (peer !== daemon) {
					subject.notePeerPromptPrefixes(chains[peer]!);
				}

				if (peer !== daemon && domainOf(peer) === domainOf(daemon)) {
					subject.notePeerLoads(`n${peer}`, told);
				}
			}

			for (const [name, told] of sums) {
				if (name !== domainOf(daemon)) {
					subject.noteDomainLoads(name, told);
				}
			}
		}
	}
}

const domainOf = (daemon: number) => failureDomains[daemon % failureDomains.length]!;

const exchangeEveryMs = 250;
const tickMs = 1;

type Tally = KindResult & {firsts: number[]};

export type CreatePolicy = (clock: manualClock.ManualClock, numbers: random.Random) => Policy;

/** Plays a scenario; the same seed brings the same requests to every policy. */
export const runComparison = (
	scenario: Scenario,
	createPolicy: CreatePolicy,
	seed: number,
): ComparisonResult => {
	const clock = new manualClock.ManualClock();
	const numbers = random.createRandom(seed);
	const arrivals = numbers.fork();
	const policy = createPolicy(clock, numbers.fork());
	const engines = Array.from({length: scenario.runners}, () =>
		engineModel.createEngine(scenario.engine),
	);
	const tallies = new Map<string, Tally>(
		scenario.kinds.map(({name}) => [
			name,
			{
				kind: name,
				asked: 0,
				inAim: 0,
				late: 0,
				refused: 0,
				failed: 0,
				firstP50Ms: 0,
				firstP99Ms: 0,
				firsts: [],
			},
		]),
	);
	const nextAtMs = new Map(scenario.kinds.map((kind) => [kind, 0]));
	const returns: Array<{atMs: number; request: Request}> = [];
	const deadlines: Array<{atMs: number; expire: () => void}> = [];
	let earned = 0;
	let owed = 0;

	const send = (
		request: Request,
		runner: number,
		account: dispatcher.DispatchedRequest | undefined,
	) => {
		const {kind, daemon} = request;
		const tally = tallies.get(kind.name)!;
		let firstMs: number | undefined;
		let lastEventMs = 0;
		let isSmooth = true;
		let isOver = false;
		const end = () => {
			isOver = true;
			account?.end();
			policy.noteEnd(daemon, runner);
		};

		const cancel = engines[runner]!.submit({
			parts: request.parts,
			outputTokens: kind.outputTokens,
			isUrgent: kind.route.rank === 0,
			onFirstToken(nowMs) {
				firstMs = nowMs - request.arrivedAtMs;
				lastEventMs = nowMs;
				account?.noteFirstEvent();
			},
			onEvent(nowMs) {
				isSmooth &&= nowMs - lastEventMs <= (kind.route.maxEventGapMs ?? Number.POSITIVE_INFINITY);
				lastEventMs = nowMs;
				account?.noteEvent();
			},
			onEnd() {
				end();
				account?.noteSuccess();
				tally.firsts.push(firstMs!);
				if (firstMs! <= kind.route.goalMs && isSmooth) {
					tally.inAim++;
					earned += kind.worth;
				} else {
					tally.late++;
					earned += kind.lateWorth;
				}
			},
		});
		deadlines.push({
			atMs: request.arrivedAtMs + kind.route.timeoutMs,
			expire() {
				if (!isOver) {
					cancel();
					end();
					tally.failed++;
				}
			},
		});
	};

	const ask = (request: Request, mayReturn: boolean) => {
		const placement = policy.place(request);
		if (placement.kind === 'runner') {
			send(request, placement.runner, placement.account);
		} else if (mayReturn) {
			returns.push({atMs: clock.nowMs() + placement.retryAfterMs, request});
		} else {
			tallies.get(request.kind.name)!.refused++;
		}
	};

	const arrive = (kind: Kind) => {
		const topic = Math.floor(arrivals.next() * kind.topics);
		tallies.get(kind.name)!.asked++;
		owed += kind.worth;
		const {common, topic: topicTokens, own} = kind.tokens;
		ask(
			{
				kind,
				arrivedAtMs: clock.nowMs(),
				daemon: arrivals.integer(0, scenario.daemons - 1),
				parts: [
					{id: kind.name, tokens: common},
					{id: `${kind.name}-${topic}`, tokens: topicTokens},
					{id: `own-${owed}`, tokens: own},
				],
			},
			true,
		);
	};

	const longestMs = Math.max(...scenario.kinds.map(({route}) => route.timeoutMs));
	for (let nowMs = 0; nowMs < scenario.durationMs + longestMs; nowMs += tickMs) {
		for (const kind of scenario.kinds) {
			while (nowMs < scenario.durationMs && nextAtMs.get(kind)! <= nowMs) {
				arrive(kind);
				const meanMs = 1000 / (kind.perS * scenario.loadAt(nowMs));
				nextAtMs.set(kind, nextAtMs.get(kind)! + arrivals.exponential(meanMs));
			}
		}

		for (const due of returns.filter(({atMs}) => atMs <= nowMs)) {
			returns.splice(returns.indexOf(due), 1);
			ask(due.request, false);
		}

		while (deadlines.length > 0 && deadlines[0]!.atMs <= nowMs) {
			deadlines.shift()!.expire();
		}

		for (const engine of engines) {
			engine.advance(nowMs);
		}

		if (nowMs % exchangeEveryMs === 0) {
			policy.exchange();
			deadlines.sort((a, b) => a.atMs - b.atMs);
		}

		clock.skip(tickMs);
	}

	return {
		policy: policy.name,
		worth: earned / owed,
		readTokens: engines.reduce((sum, engine) => sum + engine.readTokens, 0),
		kinds: [...tallies.values()].map(({firsts, ...tally}) => ({
			...tally,
			firstP50Ms: Math.round(percentiles.percentile(firsts, 0.5)),
			firstP99Ms: Math.round(percentiles.percentile(firsts, 0.99)),
		})),
	};
};
