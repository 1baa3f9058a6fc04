/**
 * The project's own decisions as a policy: scheduler, hedges and the choice of
 * another region. The parts are given by their shape, as on the design page.
 */
import type * as clockModule from '@hawthornfront/base/common/clock.js';
import type * as randomModule from '@hawthornfront/base/common/random.js';
import type * as schema from '@hawthornfront/catalogue/common/schema.js';
import type * as runnerTypes from '@hawthornfront/standins/common/runner-types.js';
import * as policyModule from './policy.js';

/** The part of the scheduler that experiments use. */
export type SchedulerPart = {
	setUpstreams(upstreams: readonly schema.Upstream[]): void;
	report(upstream: string, load: runnerTypes.RunnerLoad): void;
	acquire(
		item: policyModule.PolicyItem,
		signal: AbortSignal,
	): Promise<policyModule.PolicyAssignment>;
	acquireNow(item: policyModule.PolicyItem): policyModule.PolicyAssignment | undefined;
	expectedWaitMs(workClass: schema.WorkClass, model: string): number;
	dispose(): void;
};

type HedgeCandidate = {workClass: schema.WorkClass; isIdempotent: boolean};

export type HedgePart = {
	noteRequest(candidate: HedgeCandidate): void;
	noteLatency(workClass: schema.WorkClass, durationMs: number): void;
	delayMs(candidate: HedgeCandidate): number | undefined;
	tryHedge(workClass: schema.WorkClass): boolean;
};

export type RegionSummary = {
	region: string;
	workClass: schema.WorkClass;
	model: string;
	expectedWaitMs: number;
	receivedAtMs: number;
};

export type RegionPart = {
	choose(question: {
		workClass: schema.WorkClass;
		model: string;
		isBound: boolean;
		crossings: number;
		localWaitMs: number;
		promptTokens: number;
		transferBytes: number;
		summaries: readonly RegionSummary[];
	}): {kind: 'local'} | {kind: 'remote'; region: string};
};

export type Parts = {scheduler: SchedulerPart; hedges: HedgePart; regions: RegionPart};

const bytesPerToken = 4;

// Summaries of other regions are gathered this often, as the relays do.
const summaryPeriodMs = 1000;

const workClasses = ['short', 'long'] as const;

/** Policy of one entry daemon on the project's decisions. */
export class SchedulerPolicy extends policyModule.Policy {
	readonly #context: policyModule.PolicyContext;
	readonly #parts: Parts;
	readonly #clock: clockModule.Clock;
	readonly #random: randomModule.Random;
	readonly #model: string;
	#summaries: RegionSummary[] = [];

	constructor(context: policyModule.PolicyContext, parts: Parts) {
		super();
		this.#context = context;
		this.#parts = parts;
		this.#clock = context.clock;
		this.#random = context.random;
		const local = context.upstreams.filter((upstream) => upstream.region === context.region);
		this.#model = local[0]?.models[0] ?? '';
		parts.scheduler.setUpstreams(local);
	}

	override async acquire(item: policyModule.PolicyItem, signal: AbortSignal) {
		const {scheduler, hedges} = this.#parts;
		if (item.isFirst) {
			hedges.noteRequest({workClass: item.workClass, isIdempotent: true});
		}

		const peer = item.isFirst ? this.#choosePeer(item) : undefined;
		return (peer ?? scheduler).acquire(item, signal);
	}

	override acquireHedge(item: policyModule.PolicyItem) {
		const {scheduler, hedges} = this.#parts;
		const assignment = scheduler.acquireNow(item);
		if (assignment && !hedges.tryHedge(item.workClass)) {
			assignment.release('cancelled');
			return undefined;
		}

		return assignment;
	}

	override hedgeDelayMs(item: policyModule.PolicyItem) {
		return this.#parts.hedges.delayMs({workClass: item.workClass, isIdempotent: true});
	}

	override noteFirstTokenLatency(workClass: schema.WorkClass, durationMs: number): void {
		this.#parts.hedges.noteLatency(workClass, durationMs);
	}

	override report(upstream: string, load: runnerTypes.RunnerLoad): void {
		this.#parts.scheduler.report(upstream, load);
		const newest = this.#summaries[0]?.receivedAtMs ?? Number.NEGATIVE_INFINITY;
		if (this.#clock.nowMs() - newest >= summaryPeriodMs) {
			this.#summaries = this.#gatherSummaries();
		}
	}

	override dispose(): void {
		this.#parts.scheduler.dispose();
	}

	/** Scheduler of this daemon alone, for work that another region sends here. */
	get scheduler(): SchedulerPart {
		return this.#parts.scheduler;
	}

	#peersOf(region: string): SchedulerPolicy[] {
		return this.#context.peers(region).filter((peer) => peer instanceof SchedulerPolicy);
	}

	#gatherSummaries(): RegionSummary[] {
		const names = new Set(this.#context.upstreams.map((upstream) => upstream.region));
		names.delete(this.#context.region);
		return [...names].flatMap((region) => {
			const peers = this.#peersOf(region);
			return workClasses.map((workClass) => {
				let totalMs = 0;
				for (const peer of peers) {
					totalMs += peer.scheduler.expectedWaitMs(workClass, this.#model);
				}

				return {
					region,
					workClass,
					model: this.#model,
					expectedWaitMs: totalMs / peers.length,
					receivedAtMs: this.#clock.nowMs(),
				};
			});
		});
	}

	/** Scheduler of another region when the work should cross. */
	#choosePeer(item: policyModule.PolicyItem): SchedulerPart | undefined {
		const choice = this.#parts.regions.choose({
			workClass: item.workClass,
			model: item.model,
			isBound: item.homeRegion !== undefined,
			crossings: 0,
			localWaitMs: this.#parts.scheduler.expectedWaitMs(item.workClass, item.model),
			promptTokens: item.promptTokens,
			transferBytes: item.estimatedTokens * bytesPerToken,
			summaries: this.#summaries,
		});
		return choice.kind === 'remote'
			? this.#random.pick(this.#peersOf(choice.region))?.scheduler
			: undefined;
	}
}

/** Factory of {@link SchedulerPolicy}; `createParts` is called for each entry daemon. */
export const createSchedulerPolicyFactory = (
	name: string,
	createParts: (context: policyModule.PolicyContext) => Parts,
): policyModule.PolicyFactory => ({
	name,
	isBaseline: false,
	priorityOf: policyModule.priorityByClass,
	create: (context) => new SchedulerPolicy(context, createParts(context)),
});
