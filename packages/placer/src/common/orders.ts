/**
 * Sends orders until each runner reports its desired state. States are compared in
 * every round, which also corrects a stale order of an earlier lease holder at a
 * runner that ignores fencing numbers. Loads are staggered, and each needs a ticket
 * of the weight store.
 */
import type * as clock from '@hawthornfront/base/common/clock.js';
import type * as platformServices from '@hawthornfront/platform/common/platform-services.js';
import * as placement from './placement.js';
import type * as runnerClient from './runner-client.js';

export type OrderSettings = {
	/** Time after which an order without a reported effect is repeated. */
	repeatMs: number;
	/** Maximum number of concurrent loads of models. */
	maxLoadsInProgress: number;
	/** Time after which an unfinished load needs a new ticket and no longer counts as in progress. */
	loadTimeoutMs: number;
};

export type OrderCounts = {
	sent: number;
	accepted: number;
	refused: number;
	failed: number;
	ticketsGranted: number;
	ticketsLimited: number;
};

export type Orderer = {
	/** Sends orders to runners that differ from their desired state, until the margin of the lease starts. Never rejects. */
	step(runners: readonly OrderedRunner[], models: ReadonlySet<string>): Promise<void>;
	readonly counts: Readonly<OrderCounts>;
};

export type OrderedRunner = placement.RunnerState & {address: string; checksFencing: boolean};

export type OrderContext = {
	clock: clock.Clock;
	runners: runnerClient.RunnerClient;
	weightStore: platformServices.WeightStore;
	/** Returns the current fencing number; read right before each send. */
	fencing: () => number | undefined;
	settings: OrderSettings;
};

// The first runner that confirms ends the check, so a few suffice for a model on many runners.
const maxConfirmations = 3;

type Progress = {sentAtMs?: number; sentOrder?: string; ticket?: {model: string; atMs: number}};

type Order = Omit<runnerClient.RunnerOrder, 'fencing'>;

/** Creates an orderer without orders in progress. */
export const createOrderer = (context: OrderContext): Orderer => {
	const {clock: timeSource, settings} = context;
	const progress = new Map<string, Progress>();
	const counts: OrderCounts = {
		sent: 0,
		accepted: 0,
		refused: 0,
		failed: 0,
		ticketsGranted: 0,
		ticketsLimited: 0,
	};
	/** Fencing number of the last order that each runner answered. */
	const answeredFencing = new Map<string, number>();
	let nextTicketRequestAtMs = 0;

	const progressOf = (name: string): Progress => {
		const runnerProgress = progress.get(name) ?? {};
		progress.set(name, runnerProgress);
		return runnerProgress;
	};

	const hasTicket = (runner: OrderedRunner, model?: string): boolean => {
		const ticket = progress.get(runner.name)?.ticket;
		return (
			ticket !== undefined &&
			(model === undefined || ticket.model === model) &&
			timeSource.nowMs() - ticket.atMs < settings.loadTimeoutMs
		);
	};

	/** Returns whether the runner has a ticket; requests one from the weight store if needed. */
	const obtainTicket = async (runner: OrderedRunner, model: string): Promise<boolean> => {
		if (hasTicket(runner, model)) {
			return true;
		}

		if (timeSource.nowMs() < nextTicketRequestAtMs) {
			return false;
		}

		try {
			const ticket = await context.weightStore.requestTicket(model, runner.name);
			if (ticket.kind === 'limited') {
				counts.ticketsLimited++;
				nextTicketRequestAtMs = timeSource.nowMs() + ticket.retryAfterMs;
				return false;
			}

			counts.ticketsGranted++;
			progressOf(runner.name).ticket = {model, atMs: timeSource.nowMs()};
			return true;
		} catch {
			// The weight store may have granted the ticket; an immediate retry could use up another.
			counts.failed++;
			nextTicketRequestAtMs = timeSource.nowMs() + settings.repeatMs;
			return false;
		}
	};

	const send = async (runner: OrderedRunner, order: Order) => {
		const fencing = context.fencing();
		if (fencing === undefined) {
			return;
		}

		const runnerProgress = progressOf(runner.name);
		runnerProgress.sentAtMs = timeSource.nowMs();
		runnerProgress.sentOrder = JSON.stringify(order);
		counts.sent++;
		try {
			const answer = await context.runners.order(runner.address, {...order, fencing});
			counts[answer]++;
			answeredFencing.set(runner.name, fencing);
		} catch {
			counts.failed++;
		}
	};

	const isDue = (runner: OrderedRunner, order: Order): boolean => {
		const {sentAtMs, sentOrder} = progressOf(runner.name);
		return (
			sentAtMs === undefined ||
			sentOrder !== JSON.stringify(order) ||
			timeSource.nowMs() - sentAtMs >= settings.repeatMs
		);
	};

	/** Reads other runners of the model again, because reports of settled runners can be outdated. */
	const isStillServed = async (
		model: string,
		except: OrderedRunner,
		runners: readonly OrderedRunner[],
	): Promise<boolean> => {
		const others = runners.filter((other) => other !== except && placement.isServing(other, model));
		for (const other of others.slice(0, maxConfirmations)) {
			try {
				const load = await context.runners.load(other.address);
				if (load.model === model && !load.leaving) {
					return true;
				}
			} catch {
				counts.failed++;
			}
		}

		return false;
	};

	/** A load needs a free place among the concurrent loads, another runner that still serves the old model, and a ticket. */
	const canLoad = async (
		runner: OrderedRunner,
		runners: readonly OrderedRunner[],
		models: ReadonlySet<string>,
	): Promise<boolean> => {
		const {observed, desired} = runner;
		if (!observed || !desired) {
			return false;
		}

		const loading = runners.filter((other) => other !== runner && hasTicket(other));
		if (loading.length >= settings.maxLoadsInProgress) {
			return false;
		}

		const isModelNeeded = models.has(observed.model) && runner.models.includes(observed.model);
		if (isModelNeeded && !(await isStillServed(observed.model, runner, runners))) {
			return false;
		}

		return obtainTicket(runner, desired.model);
	};

	/**
	 * Sends the current state of a runner once under each lease, so that the runner
	 * refuses late orders of earlier holders.
	 */
	const raiseFencing = async (runner: OrderedRunner, desired: placement.Place) => {
		const order: Order = {order: 'change-role', ...desired};
		const hasCurrentFencing = answeredFencing.get(runner.name) === context.fencing();
		if (runner.checksFencing && !hasCurrentFencing && isDue(runner, order)) {
			await send(runner, order);
		}
	};

	const stepRunner = async (
		runner: OrderedRunner,
		runners: readonly OrderedRunner[],
		models: ReadonlySet<string>,
	) => {
		const {desired, observed} = runner;
		if (!desired || !observed || !placement.isUsable(runner)) {
			return;
		}

		if (placement.isInDesiredState(runner)) {
			await raiseFencing(runner, desired);
			return;
		}

		const isLoad = observed.model !== desired.model;
		const order: Order = {order: isLoad ? 'load' : 'change-role', ...desired};
		if (!isDue(runner, order) || context.fencing() === undefined) {
			return;
		}

		if (!isLoad || (await canLoad(runner, runners, models))) {
			await send(runner, order);
		}
	};

	return {
		counts,
		async step(runners, models) {
			for (const runner of runners) {
				if (placement.isInDesiredState(runner) || !placement.isUsable(runner)) {
					delete progressOf(runner.name).ticket;
				}
			}

			for (const runner of runners) {
				await stepRunner(runner, runners, models);
			}
		},
	};
};
