/** Interface between the scheduler and the request engine of the entry daemon. */
import type * as disposable from '@hawthornfront/base/common/disposable.js';
import type * as event from '@hawthornfront/base/common/event.js';
import type * as schema from '@hawthornfront/catalogue/common/schema.js';
import type * as loadReport from '@hawthornfront/protocol/common/load-report.js';

/** Attributes of a request that scheduling needs; holds no content. */
export type WorkItem = {
	workClass: schema.WorkClass;
	team: string;
	/** Name of the model or of the plain service. */
	model: string;
	/** Tokens of the prompt and of the expected output. */
	estimatedTokens: number;
	/** Tokens of the prompt alone, which a resumed stream recomputes; 0 when absent. */
	promptTokens?: number;
	/** Hash of the start of the prompt, for cache affinity. */
	prefixHash?: string;
	/** On the monotonic clock of this process. */
	deadlineAtMs: number;
	/** Whether it may be stopped in favour of other work. */
	canBePreempted: boolean;
	/** Whether it may be migrated to another upstream when its own is slow; false when absent. */
	canBeMigrated?: boolean;
	/** Names of upstreams that already failed this request. */
	excluded: ReadonlySet<string>;
	/** Weight of the team in its class; 1 when absent. */
	weight?: number;
	/** How often this request was preempted before; 0 when absent. */
	preemptions?: number;
};

/** How an assignment ended. */
export type ReleaseResult = 'answered' | 'failed' | 'cancelled';

/** A slot of one upstream, held until it is released. */
export type Assignment = {
	readonly upstream: schema.Upstream;
	/** Fires at most once: cancel the stream and resume it later through a new `acquire`. */
	readonly onDidPreempt: event.Event<void>;
	noteFirstToken(): void;
	/** Counts generated tokens. */
	noteTokens(count: number): void;
	/** Releases the slot. Only the first call counts. */
	release(result: ReleaseResult): void;
};

/** Lagged load report of a runner. Its time is comparable only with other reports of the same upstream. */
export type LoadReport = loadReport.LoadReport;

/** Holds the queues and the state of the upstreams of one region. */
export type Scheduler = disposable.Disposable & {
	/** Sets the upstreams of a catalogue snapshot; upstreams that remain keep their state. */
	setUpstreams(upstreams: readonly schema.Upstream[]): void;
	report(upstream: string, load: LoadReport): void;
	/** Names of all upstreams that are leaving; replaces the previous set. */
	setLeaving(upstreams: ReadonlySet<string>): void;
	/**
	 * Waits for a slot.
	 * @throws GatewayException of kind `overloaded`, `no-upstream`, `deadline-exceeded` or `caller-gone`.
	 */
	acquire(item: WorkItem, signal: AbortSignal): Promise<Assignment>;
	/** Takes a free slot without waiting; for hedges. */
	acquireNow(item: WorkItem): Assignment | undefined;
	/** Expected time in the queue for a new item. Infinity when no upstream serves the model. */
	expectedWaitMs(workClass: schema.WorkClass, model: string): number;
	/** Number of assignments that are not released. */
	inFlight(): number;
	/** State for diagnostics, without content of requests. */
	dump(): unknown;
};
