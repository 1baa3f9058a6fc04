/**
 * Sends orders until each runner is seen in its desired state. The comparison
 * never stops, so a stale order of an earlier holder that reached a runner which
 * ignores fencing numbers is corrected. Loads wait for a ticket of the weight
 * store and are staggered.
 */
import type * as clock from '@hawthornfront/base/common/clock.js';
import type * as platformServices from '@hawthornfront/platform/common/platform-services.js';
import * as placement from './placement.js';
import type * as runnerClient from './runner-client.js';

export type OrderSettings = {
	/** Time after which an order is repeated while its effect is not seen. */
	repeatMs: number;
	/** Loads of models in progress at once. */
	maxLoadsInProgress: number;
	/** Time after which a load that is not seen to end needs a new ticket and stops holding up others. */
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
	/** Orders what differs; stops as soon as the lease is nearly over. Never rejects. */
	step(runners: readonly OrderedRunner[], models: ReadonlySet<string>): Promise<void>;
	readonly counts: Readonly<OrderCounts>;
};

export type OrderedRunner = placement.RunnerState & {address: string; checksFencing: boolean};

export type OrderContext = {
	clock: clock.Clock;
	runners: runnerClient.RunnerClient;
	weightStore: platformServices.WeightStore;
	/** Asked right before each send. */
	fencing: () => number | undefined;
	settings: OrderSettings;
};

// A model of many runners is confirmed by the first that answers.
const maxConfirmations = 3;

type Progress = {sentAtMs?: number; sentOrder?: string; ticket?: {model: string; atMs: number}};

type Order = Omit<runnerClient.RunnerOrder, 'fencing'>;

/** Creates an orderer that has sent nothing. */
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
	/** Number of the last lease that each runner has heard of from here. */
	const announced = new Map<string, number>();
	let noTicketBeforeMs = 0;

	const progressOf = (name: string): Progress => {
		const known = progress.get(name) ?? {};
		progress.set(name, known);
		return known;
	};

	const hasTicket = (runner: OrderedRunner, model?: string): boolean => {
		const ticket = progress.get(runner.name)?.ticket;
		return (
			ticket !== undefined &&
			(model === undefined || ticket.model === model) &&
			timeSource.nowMs() - ticket.atMs < settings.loadTimeoutMs
		);
	};

	/** Whether this runner may load now; asks the weight store when it has no ticket. */
	const obtainTicket = async (runner: OrderedRunner, model: string): Promise<boolean> => {
		if (hasTicket(runner, model)) {
			return true;
		}

		if (timeSource.nowMs() < noTicketBeforeMs) {
			return false;
		}

		try {
			const ticket = await context.weightStore.requestTicket(model, runner.name);
			if (ticket.kind === 'limited') {
				counts.ticketsLimited++;
				noTicketBeforeMs = timeSource.nowMs() + ticket.retryAfterMs;
				return false;
			}

			counts.ticketsGranted++;
			progressOf(runner.name).ticket = {model, atMs: timeSource.nowMs()};
			return true;
		} catch {
			// The ticket may have been counted; asking again at once would use up another.
			counts.failed++;
			noTicketBeforeMs = timeSource.nowMs() + settings.repeatMs;
			return false;
		}
	};

	const send = async (runner: OrderedRunner, order: Order) => {
		const fencing = context.fencing();
		if (fencing === undefined) {
			return;
		}

		const known = progressOf(runner.name);
		known.sentAtMs = timeSource.nowMs();
		known.sentOrder = JSON.stringify(order);
		counts.sent++;
		try {
			const answer = await context.runners.order(runner.address, {...order, fencing});
			counts[answer]++;
			announced.set(runner.name, fencing);
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

	/** Asks the other runners of a model, because reports of settled runners are old. */
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

	/** Loads wait for each other, for another runner of the old model and for a ticket. */
	const mayLoad = async (
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

		const isWanted = models.has(observed.model) && runner.models.includes(observed.model);
		if (isWanted && !(await isStillServed(observed.model, runner, runners))) {
			return false;
		}

		return obtainTicket(runner, desired.model);
	};

	/**
	 * Repeats the state that a runner already has, once under each lease, so that
	 * it refuses late orders of earlier holders from then on.
	 */
	const announce = async (runner: OrderedRunner, desired: placement.Place) => {
		const order: Order = {order: 'change-role', ...desired};
		const isKnown = announced.get(runner.name) === context.fencing();
		if (runner.checksFencing && !isKnown && isDue(runner, order)) {
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

		if (placement.isInPlace(runner)) {
			await announce(runner, desired);
			return;
		}

		const isLoad = observed.model !== desired.model;
		const order: Order = {order: isLoad ? 'load' : 'change-role', ...desired};
		if (!isDue(runner, order) || context.fencing() === undefined) {
			return;
		}

		if (!isLoad || (await mayLoad(runner, runners, models))) {
			await send(runner, order);
		}
	};

	return {
		counts,
		async step(runners, models) {
			for (const runner of runners) {
				if (placement.isInPlace(runner) || !placement.isUsable(runner)) {
					delete progressOf(runner.name).ticket;
				}
			}

			for (const runner of runners) {
				await stepRunner(runner, runners, models);
			}
		},
	};
};
