/**
 * Daemons of two regions in front of runners that crash when they begin an answer to a
 * prompt with a harmful part or to a certain request, and that may name a rate limit.
 * Runs on a manual clock, without a network.
 */
import * as manualClock from '@hawthornfront/base/common/manual-clock.js';
import * as random from '@hawthornfront/base/common/random.js';
import * as crashDetector from '../common/crash-detector.js';
import * as dispatcher from '../common/dispatcher.js';
import type * as gatewayEvent from '../common/gateway-event.js';
import * as limitSharers from '../common/limit-sharers.js';
import type * as promptQuarantine from '../common/prompt-quarantine.js';
import type * as routeConfig from '../common/route-config.js';
import * as requestEngine from '../common/request-engine.js';
import * as sharedRetryBudget from '../common/shared-retry-budget.js';
import * as upstreamPauses from '../common/upstream-pauses.js';
import * as upstreamRegistry from '../common/upstream-registry.js';
import * as upstreamTransport from '../common/upstream-transport.js';
import type * as wireFormat from '../common/wire-format.js';
import * as fakeTransport from './fake-transport.js';
import * as fixtures from './fixtures.js';
import * as memoryFleet from './memory-fleet.js';

export const harmfulPart = 'harmful';

const prefillMs = 300;
/** From the head of an answer to the crash of the runner. */
const crashAfterMs = 60;
const eventIntervalMs = 50;
const eventsPerAnswer = 10;
/** Duration of a plain request. */
const plainMs = 85;
/** From a crash to the end of the runner's entry, and from there to that of its replacement. */
const entryExpiryMs = 3200;
const replacementMs = 400;

/** How runners crash on a harmful request, and how they come back. */
export type CrashWay = {
	/** Events before the crash; undefined if the runner sends no response head. */
	events?: number;
	/** From the head and its events, or from the arrival, to the crash. */
	workMs: number;
	/** Whether the port accepts connections and resets them while the runner is away. */
	isPortAccepting?: boolean;
	/** Time until the runner is back under the same entry; replaced by another one if omitted. */
	downMs?: number;
};

/** A fault of one runner that is not due to its requests. */
export type RunnerFault = {
	kind: 'reset' | 'truncate';
	/** Share of the requests that the runner fails. */
	share: number;
};

type Run = {
	attemptId: string;
	daemon: string;
	listener: upstreamTransport.TransportListener;
	isOver: boolean;
};

type Runner = {
	id: string;
	failureDomain: string;
	address: string;
	runs: Set<Run>;
	isUp: boolean;
	/** Returns under the same entry. */
	returns: number;
	fault?: RunnerFault;
	/** Requests that it has begun. */
	requests: number;
	/** Rate limit that it names in its answers. */
	requestsPerS?: number;
	/** When each daemon first got an answer with a limit. */
	toldAtMs: Map<string, number>;
};

/** A request that reached a runner. */
export type Arrival = {
	atMs: number;
	attemptId: string;
	isHarmful: boolean;
	runner: string;
	daemon: string;
};

type Prompt = {attemptId: string; parts: string[]; isDeadly: boolean; isPlain: boolean};

const encodePrompt = (prompt: Prompt): Uint8Array =>
	new TextEncoder().encode(JSON.stringify(prompt));

const decodePrompt = (bytes: Uint8Array): Prompt =>
	JSON.parse(new TextDecoder().decode(bytes)) as Prompt;

/** Runners of all regions; daemons reach them by address. */
class RunnerPool {
	readonly arrivals: Arrival[] = [];
	readonly crashedAtMs: number[] = [];
	/** Attempts whose answer has begun. */
	readonly begun = new Set<string>();
	onDidRegister: (runner: Runner) => void = () => undefined;
	onDidExpire: (runner: Runner) => void = () => undefined;
	readonly #clock: manualClock.ManualClock;
	readonly #way: CrashWay | undefined;
	readonly #runners = new Map<string, Runner>();
	#started = 0;

	/** @param way the runner crashes after the head of a stream, or in a plain request, and is replaced if omitted */
	constructor(clock: manualClock.ManualClock, way?: CrashWay) {
		this.#clock = clock;
		this.#way = way;
	}

	/** Runners that have not been replaced. */
	get ids(): string[] {
		return [...this.#runners.values()].filter(({isUp}) => isUp).map(({id}) => id);
	}

	/** Crashes a runner for a reason that no request has. */
	crash(id: string): void {
		this.#crash(this.runner(id));
	}

	runner(id: string): Runner {
		return [...this.#runners.values()].find((runner) => runner.id === id)!;
	}

	start(failureDomain: string): void {
		this.#started++;
		const runner: Runner = {
			id: `r${this.#started}`,
			failureDomain,
			address: `10.0.0.1:${4000 + this.#started}`,
			runs: new Set(),
			isUp: true,
			returns: 0,
			requests: 0,
			toldAtMs: new Map(),
		};
		this.#runners.set(runner.address, runner);
		this.onDidRegister(runner);
	}

	send(
		daemon: string,
		request: upstreamTransport.TransportRequest,
		listener: upstreamTransport.TransportListener,
	): upstreamTransport.Exchange {
		const runner = this.#runners.get(request.address);
		const prompt = decodePrompt(request.body!);
		const run: Run = {attemptId: prompt.attemptId, daemon, listener, isOver: false};
		if (runner?.isUp) {
			this.#begin(runner, run, prompt);
		} else if (runner && this.#way?.isPortAccepting) {
			listener.onSent();
			this.#after(1, run, () => {
				listener.onFailure({mayHaveBeenSent: true, detail: 'ECONNRESET'});
			});
		} else {
			this.#after(1, run, () => {
				listener.onFailure({mayHaveBeenSent: false, detail: 'ECONNREFUSED'});
			});
		}

		return {
			cancel() {
				run.isOver = true;
				runner?.runs.delete(run);
			},
			pause: () => undefined,
			resume: () => undefined,
		};
	}

	probe(address: string, callback: (result: upstreamTransport.ProbeResult) => void): void {
		const runner = this.#runners.get(address);
		const isOpen = runner?.isUp ?? false;
		this.#clock.setTimer(() => {
			// A connection that is accepted and reset at once counts as refused, too.
			callback(isOpen ? 'open' : 'refused');
		}, 1);
	}

	#after(delayMs: number, run: Run, callback: () => void): void {
		this.#clock.setTimer(() => {
			if (!run.isOver) {
				callback();
			}
		}, delayMs);
	}

	#begin(runner: Runner, run: Run, prompt: Prompt): void {
		const isHarmful = prompt.isDeadly || prompt.parts.includes(harmfulPart);
		runner.runs.add(run);
		this.arrivals.push({
			atMs: this.#clock.nowMs(),
			attemptId: run.attemptId,
			isHarmful,
			runner: runner.id,
			daemon: run.daemon,
		});
		run.listener.onSent();
		if (isHarmful && this.#way) {
			this.#crashIn(this.#way, runner, run);
			return;
		}

		if (this.#isFailing(runner)) {
			this.#fail(runner, run);
			return;
		}

		if (prompt.isPlain) {
			this.#runPlain(runner, run, isHarmful);
			return;
		}

		this.#after(prefillMs, run, () => {
			this.begun.add(run.attemptId);
			run.listener.onHead(200, this.#answerHeaders(runner, run));
			if (isHarmful) {
				this.#after(crashAfterMs, run, () => {
					this.#crash(runner);
				});
			} else {
				this.#writeEvent(runner, run, 1);
			}
		});
	}

	#crashIn({events, workMs}: CrashWay, runner: Runner, run: Run): void {
		const headAfterMs = events === undefined ? 0 : prefillMs;
		if (events !== undefined) {
			this.#after(prefillMs, run, () => {
				run.listener.onHead(200, this.#answerHeaders(runner, run));
				for (let id = 1; id <= events; id++) {
					run.listener.onData(new TextEncoder().encode(`id: ${id}\ndata: x\n\n`));
				}
			});
		}

		// The runner crashes also if the daemon has cancelled the request, but not on one of an earlier start.
		const {returns} = runner;
		this.#clock.setTimer(() => {
			if (runner.isUp && runner.returns === returns) {
				this.#crash(runner);
			}
		}, headAfterMs + workMs);
	}

	/** Spreads the failures of a faulty runner evenly over its requests. */
	#isFailing(runner: Runner): boolean {
		const index = runner.requests++;
		const share = runner.fault?.share ?? 0;
		return Math.floor((index + 1) * share) > Math.floor(index * share);
	}

	#fail(runner: Runner, run: Run): void {
		this.#after(plainMs, run, () => {
			if (runner.fault?.kind === 'truncate') {
				run.listener.onHead(200, this.#answerHeaders(runner, run));
				run.listener.onData(new TextEncoder().encode('id: 1\ndata: x\n\n'));
			}

			run.isOver = true;
			runner.runs.delete(run);
			run.listener.onFailure({mayHaveBeenSent: true, detail: 'UND_ERR_SOCKET'});
		});
	}

	#runPlain(runner: Runner, run: Run, isHarmful: boolean): void {
		this.#after(plainMs, run, () => {
			if (isHarmful) {
				this.#crash(runner);
				return;
			}

			this.begun.add(run.attemptId);
			run.isOver = true;
			runner.runs.delete(run);
			run.listener.onHead(200, this.#answerHeaders(runner, run));
			run.listener.onData(new TextEncoder().encode('done'));
			run.listener.onEnd();
		});
	}

	#answerHeaders({requestsPerS, toldAtMs}: Runner, {daemon}: Run): wireFormat.Headers {
		if (requestsPerS === undefined) {
			return {signed: '1'};
		}

		if (!toldAtMs.has(daemon)) {
			toldAtMs.set(daemon, this.#clock.nowMs());
		}

		return {signed: '1', limit: String(requestsPerS)};
	}

	#writeEvent(runner: Runner, run: Run, index: number): void {
		this.#after(eventIntervalMs, run, () => {
			run.listener.onData(new TextEncoder().encode(`id: ${index}\ndata: x\n\n`));
			if (index < eventsPerAnswer) {
				this.#writeEvent(runner, run, index + 1);
			} else {
				run.isOver = true;
				runner.runs.delete(run);
				run.listener.onEnd();
			}
		});
	}

	#crash(runner: Runner): void {
		runner.isUp = false;
		this.crashedAtMs.push(this.#clock.nowMs());
		for (const run of runner.runs) {
			run.isOver = true;
			run.listener.onFailure({mayHaveBeenSent: true, detail: 'UND_ERR_SOCKET'});
		}

		runner.runs.clear();
		if (this.#way?.downMs !== undefined) {
			this.#clock.setTimer(() => {
				runner.isUp = true;
				runner.returns++;
			}, this.#way.downMs);
			return;
		}

		this.#clock.setTimer(() => {
			this.onDidExpire(runner);
		}, entryExpiryMs);
		this.#clock.setTimer(() => {
			this.start(runner.failureDomain);
		}, entryExpiryMs + replacementMs);
	}
}

/** The way of one daemon to the runners. */
class DaemonTransport extends upstreamTransport.UpstreamTransport {
	readonly #daemon: string;
	readonly #runners: RunnerPool;

	constructor(daemon: string, runners: RunnerPool) {
		super();
		this.#daemon = daemon;
		this.#runners = runners;
	}

	override send(
		request: upstreamTransport.TransportRequest,
		listener: upstreamTransport.TransportListener,
	): upstreamTransport.Exchange {
		return this.#runners.send(this.#daemon, request, listener);
	}

	override probe(address: string, callback: (result: upstreamTransport.ProbeResult) => void): void {
		this.#runners.probe(address, callback);
	}
}

type FleetDaemon = {
	registry: upstreamRegistry.UpstreamRegistry;
	engine: requestEngine.RequestEngine;
	events: gatewayEvent.GatewayEvent[];
	quarantine: promptQuarantine.PromptQuarantine;
	fleet: ReturnType<typeof memoryFleet.startNode>['fleet'];
	record: ReturnType<typeof fixtures.member>;
};

const startDaemon = (
	clock: manualClock.ManualClock,
	runners: RunnerPool,
	name: string,
	failureDomain: string,
	network: memoryFleet.Network,
): FleetDaemon => {
	const region = fixtures.regionByDomain[failureDomain]!;
	const transport = new DaemonTransport(name, runners);
	const events: gatewayEvent.GatewayEvent[] = [];
	const log: gatewayEvent.EventLog = {
		note(event) {
			events.push(event);
		},
	};
	const record = fixtures.member(name, {region, failureDomain});
	const {fleet, quarantine, rateLimits} = memoryFleet.startNode(clock, network, record, [
		'n1:90',
		's1:90',
	]);
	const registry = upstreamRegistry.createUpstreamRegistry(
		clock,
		(domain) => fixtures.regionByDomain[domain],
		{unsettledMs: () => 0},
	);
	const sharers = limitSharers.createLimitSharers({
		nowMs: () => clock.nowMs(),
		daemonName: name,
		region,
		alive: () => fleet.aliveIn(region).map((member) => member.name),
		hasLivePeers: fleet.hasLivePeers,
	});
	fleet.onDidChange(sharers.noteMember);
	const engine = requestEngine.createRequestEngine({
		clock,
		wire: new fakeTransport.FakeWire(),
		dispatcher: dispatcher.createDispatcher({
			clock,
			settings: fixtures.settings,
			daemonName: name,
			localRegion: region,
			localFailureDomain: failureDomain,
			regions: ['north', 'south'],
			registry,
			fleet,
			rateLimits,
			pauses: upstreamPauses.createUpstreamPauses(clock, () => 0.5),
			isEvacuated: () => false,
			limitSharers: sharers,
			sender: {isSender: () => true},
			random: random.createRandom(name.codePointAt(1)!).next,
		}),
		transport,
		budget: sharedRetryBudget.createSharedRetryBudget(
			() => clock.nowMs(),
			() => ({share: 0.2, extraPerWindow: 54, windowMs: 10_000}),
			() => 4,
		),
		quarantine,
		crashes: crashDetector.createCrashDetector({clock, transport, quarantine, log}),
		log,
		localRegion: region,
		isReachable: fleet.isReachable,
		onLaterConfig: () => undefined,
		versions: () => ({configVersion: 3, upstreamRevision: 1}),
	});
	return {registry, engine, events, quarantine, fleet, record};
};

const usualDaemons = ['n1', 'n2', 'n3', 's1', 's2'];

/** Names of daemons that alternate between the regions. */
const namesOf = (count: number): string[] =>
	Array.from(
		{length: count},
		(_, index) => `${index % 2 === 0 ? 'n' : 's'}${1 + Math.floor(index / 2)}`,
	);

/**
 * Starts daemons and six runners of a service: `r1` to `r3` in the region north.
 *
 * @param options.daemons number of daemons, which alternate between the regions; five, three of them north, if omitted
 */
export const startRunnerFleet = (
	service: routeConfig.Service = fixtures.modelService,
	options: {daemons?: number; way?: CrashWay} = {},
) => {
	const clock = new manualClock.ManualClock();
	const runners = new RunnerPool(clock, options.way);
	const network = new memoryFleet.Network(clock);
	const names = options.daemons === undefined ? usualDaemons : namesOf(options.daemons);
	const daemons = names.map((name) =>
		startDaemon(clock, runners, name, name.startsWith('n') ? 'north-a' : 'south-a', network),
	);
	if (options.daemons !== undefined) {
		// The list in the store makes all members known at the start.
		for (const {fleet} of daemons) {
			for (const {record} of daemons) {
				fleet.noteStoreMember(record);
			}
		}
	}

	runners.onDidRegister = ({id, address, failureDomain}) => {
		for (const {registry} of daemons) {
			registry.put(
				fixtures.upstream(id, {
					service: service.name,
					address,
					failureDomain,
					startedAtUnixMs: 1,
				}),
				1,
			);
		}
	};

	runners.onDidExpire = ({id}) => {
		for (const {registry} of daemons) {
			registry.remove(id, 1);
		}
	};

	for (const failureDomain of ['north-a', 'north-a', 'north-a', 'south-a', 'south-a', 'south-a']) {
		runners.start(failureDomain);
	}

	let requests = 0;
	/**
	 * A caller sends a request to the next daemon.
	 *
	 * @param options.name names a request that comes again with the same path and body
	 * @param options.isDeadly each runner that runs the request crashes
	 */
	const send = (
		route: routeConfig.Route,
		sharedParts: string[],
		options: {name?: string; isDeadly?: boolean} = {},
	) => {
		requests++;
		const attemptId = `attempt-${requests}`;
		const reply = new fakeTransport.FakeReply();
		const name = options.name ?? `request-${requests}`;
		const parts = [...sharedParts, `own-${name}`];
		const isPlain = route.work !== 'stream';
		daemons[requests % daemons.length]!.engine.handle(
			{
				method: 'POST',
				path: `${route.prefix}x`,
				rawHeaders: [],
				digest: () => name,
				facts: fixtures.facts({
					attemptId,
					callerTimeoutMs: route.timeoutMs,
					...(isPlain ? {promptTokens: 0} : {}),
					promptParts: isPlain ? [] : parts.map((id) => ({id, tokens: 100})),
				}),
				body: encodePrompt({attemptId, parts, isDeadly: options.isDeadly ?? false, isPlain}),
				route,
				service,
				configVersion: 1,
				arrivedAtMs: clock.nowMs(),
				maxUpstreams: route.maxUpstreams,
			},
			reply,
			() => undefined,
		);
		return {attemptId, reply, atMs: clock.nowMs()};
	};

	return {clock, network, runners, daemons, send};
};
