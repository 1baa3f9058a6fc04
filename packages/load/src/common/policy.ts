/** Scheduling policies under comparison, behind one abstract class. */
import type * as clockModule from '@hawthornfront/base/common/clock.js';
import * as event from '@hawthornfront/base/common/event.js';
import type * as randomModule from '@hawthornfront/base/common/random.js';
import type * as schema from '@hawthornfront/catalogue/common/schema.js';
import type * as runnerTypes from '@hawthornfront/standins/common/runner-types.js';

/** A request as far as a policy may know it. */
export type PolicyItem = {
	workClass: schema.WorkClass;
	team: string;
	model: string;
	estimatedTokens: number;
	promptTokens: number;
	prefixHash?: string;
	deadlineAtMs: number;
	canBePreempted: boolean;
	canBeMigrated?: boolean;
	excluded: ReadonlySet<string>;
	preemptions?: number;
	/** Set when the work may not leave the region of its caller. */
	homeRegion?: string;
	/** True until a token was received or an upstream has failed. */
	isFirst: boolean;
};

/** A place at one upstream until it is released. */
export type PolicyAssignment = {
	readonly upstream: schema.Upstream;
	/** Asks to cancel the stream and to resume it through a new `acquire`. */
	readonly onDidPreempt: event.Event<void>;
	noteFirstToken(): void;
	noteTokens(count: number): void;
	release(result: 'answered' | 'failed' | 'cancelled'): void;
};

/** Chooses upstreams for one entry daemon. */
export abstract class Policy {
	/** Waits until the request may start. Rejects when it is refused. */
	abstract acquire(item: PolicyItem, signal: AbortSignal): Promise<PolicyAssignment>;

	/** Place for a second attempt without waiting; undefined when there is none. */
	acquireHedge(_item: PolicyItem): PolicyAssignment | undefined {
		return undefined;
	}

	/** Time without a first token after which a second attempt is tried; undefined for never. */
	hedgeDelayMs(_item: PolicyItem): number | undefined {
		return undefined;
	}

	/** Hears of the time from the dispatch of an attempt to its first token. */
	noteFirstTokenLatency(_workClass: schema.WorkClass, _durationMs: number): void {
		// Policies without hedges do not learn it.
	}

	/** Takes a lagged load report of an upstream. */
	abstract report(upstream: string, load: runnerTypes.RunnerLoad): void;

	abstract dispose(): void;
}

export type PolicyContext = {
	clock: clockModule.Clock;
	random: randomModule.Random;
	/** Region of the entry daemon. */
	region: string;
	/** Upstreams of all regions. */
	upstreams: readonly schema.Upstream[];
	/** Policies of the entry daemons of a region, for work that is sent there. */
	peers(region: string): readonly Policy[];
};

export type PolicyFactory = {
	readonly name: string;
	/** Whether results are judged against this policy. */
	readonly isBaseline: boolean;
	/** Priority sent to the runner, lower first. */
	readonly priorityOf: (workClass: schema.WorkClass) => number;
	create(context: PolicyContext): Policy;
};

/** A policy that dispatches at once and leaves queueing to the runners. */
abstract class ImmediatePolicy extends Policy {
	readonly #inFlight = new Map<string, number>();
	readonly #upstreams: readonly schema.Upstream[];

	protected abstract choose(candidates: readonly schema.Upstream[]): schema.Upstream;

	protected inFlightOf(upstream: schema.Upstream): number {
		return this.#inFlight.get(upstream.name) ?? 0;
	}

	protected constructor(upstreams: readonly schema.Upstream[]) {
		super();
		this.#upstreams = upstreams;
	}

	override async acquire(item: PolicyItem): Promise<PolicyAssignment> {
		const {homeRegion} = item;
		const allowed = homeRegion
			? this.#upstreams.filter((upstream) => upstream.region === homeRegion)
			: this.#upstreams;
		const upstream = this.choose(allowed);
		const change = (difference: number) => {
			this.#inFlight.set(upstream.name, this.inFlightOf(upstream) + difference);
		};

		change(1);
		let isReleased = false;
		return {
			upstream,
			onDidPreempt: event.createEmitter<void>().event,
			noteFirstToken: () => undefined,
			noteTokens: () => undefined,
			release() {
				if (!isReleased) {
					isReleased = true;
					change(-1);
				}
			},
		};
	}

	override report(): void {
		// These baselines know their own work only.
	}

	override dispose(): void {
		this.#inFlight.clear();
	}
}

class RoundRobinPolicy extends ImmediatePolicy {
	#next: number;

	constructor(context: PolicyContext, upstreams: readonly schema.Upstream[]) {
		super(upstreams);
		// Daemons that start at the same upstream would keep step.
		this.#next = context.random.integer(0, upstreams.length - 1);
	}

	protected override choose(candidates: readonly schema.Upstream[]): schema.Upstream {
		const upstream = candidates[this.#next % candidates.length]!;
		this.#next++;
		return upstream;
	}
}

class LeastInFlightPolicy extends ImmediatePolicy {
	readonly #random: randomModule.Random;

	constructor(context: PolicyContext, upstreams: readonly schema.Upstream[]) {
		super(upstreams);
		this.#random = context.random;
	}

	protected override choose(candidates: readonly schema.Upstream[]): schema.Upstream {
		const lowest = Math.min(...candidates.map((upstream) => this.inFlightOf(upstream)));
		const least = candidates.filter((upstream) => this.inFlightOf(upstream) === lowest);
		return this.#random.pick(least)!;
	}
}

const localUpstreams = (context: PolicyContext): schema.Upstream[] =>
	context.upstreams.filter((upstream) => upstream.region === context.region);

const noPriority = () => 0;

/** Priority that lets short work pass long work in the queue of a runner. */
export const priorityByClass = (workClass: schema.WorkClass): number =>
	workClass === 'long' ? 10 : 0;

export const roundRobin: PolicyFactory = {
	name: 'round robin',
	isBaseline: true,
	priorityOf: noPriority,
	create: (context) => new RoundRobinPolicy(context, localUpstreams(context)),
};

export const leastInFlight: PolicyFactory = {
	name: 'least in-flight',
	isBaseline: true,
	priorityOf: noPriority,
	create: (context) => new LeastInFlightPolicy(context, localUpstreams(context)),
};

/** Shows how much of a gain comes from the priorities of the runners alone. */
export const leastInFlightWithPriority: PolicyFactory = {
	name: 'least in-flight with priority',
	isBaseline: false,
	priorityOf: priorityByClass,
	create: (context) => new LeastInFlightPolicy(context, localUpstreams(context)),
};

/** Uses all regions alike; the share of work sent to another region is compared with it. */
export const roundRobinEverywhere: PolicyFactory = {
	name: 'round robin, all regions',
	isBaseline: true,
	priorityOf: noPriority,
	create: (context) => new RoundRobinPolicy(context, context.upstreams),
};

/** Uses all regions alike; it evens out peaks that fall at different hours. */
export const leastInFlightEverywhere: PolicyFactory = {
	name: 'least in-flight, all regions',
	isBaseline: true,
	priorityOf: noPriority,
	create: (context) => new LeastInFlightPolicy(context, context.upstreams),
};
