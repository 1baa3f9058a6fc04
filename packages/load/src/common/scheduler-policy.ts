/**
 * The project's own decisions as a policy: scheduler, hedges and the choice of
 * another region.
 */
import type * as clockModule from '@hawthornfront/base/common/clock.js';
import type * as randomModule from '@hawthornfront/base/common/random.js';
import type * as schema from '@hawthornfront/catalogue/common/schema.js';
import type * as hedge from '@hawthornfront/decisions/common/hedge.js';
import type * as regionChooser from '@hawthornfront/decisions/common/region-chooser.js';
import type * as types from '@hawthornfront/decisions/common/types.js';
import type * as runnerTypes from '@hawthornfront/standins/common/runner-types.js';
import * as policyModule from './policy.js';

/** The decisions of one entry daemon, as far as experiments use them. */
export type SchedulerPart = Pick<
	types.Scheduler,
	'setUpstreams' | 'report' | 'acquire' | 'acquireNow' | 'expectedWaitMs' | 'dispose'
>;

export type HedgePart = Pick<
	hedge.HedgePolicy,
	'noteRequest' | 'noteLatency' | 'delayMs' | 'tryHedge'
>;

export type RegionPart = Pick<regionChooser.RegionChooser, 'choose'>;

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
	#summaries: regionChooser.RegionSummary[] = [];

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

	#gatherSummaries(): regionChooser.RegionSummary[] {
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
