/**
 * Retry budget that keeps retries from overloading a failing service. All daemons share
 * one budget per service for sends of a request beyond the first. Each daemon uses only
 * what its requests earn and its part of the fixed amount, so no coordination is needed.
 */

export type SharedRetryBudgetSettings = {
	/** Sends beyond the first that each request earns. */
	share: number;
	/** Fixed amount of sends beyond the first in one window, over all daemons. */
	extraPerWindow: number;
	windowMs: number;
};

export type SharedRetryBudget = {
	/** A request arrived, from a caller or by a relay; it earns a share of a resend. */
	noteRequest(service: string): void;
	/** A request was relayed, so the other daemon earns its share. */
	noteRelayed(service: string): void;
	/** Whether the budget has room for a further send. */
	canRetry(service: string): boolean;
	/** Takes one further send; false when the budget is spent. */
	tryRetry(service: string): boolean;
	/** Whether the budget has room for a hedged request. */
	canHedge(service: string): boolean;
	/** Takes one hedged request; leaves a share of the budget to retries of failed runs. */
	tryHedge(service: string): boolean;
};

/** Share of the budget that is used; the rest covers windows that are not aligned. */
const usedShare = 0.8;
/** Share of the used budget that hedges may take. */
const hedgeShare = 0.5;

type ServiceUsage = {requestsAtMs: number[]; resendsAtMs: number[]};

const dropOlder = (timesMs: number[], oldestMs: number): void => {
	const keepFrom = timesMs.findIndex((atMs) => atMs >= oldestMs);
	timesMs.splice(0, keepFrom === -1 ? timesMs.length : keepFrom);
};

/** @param daemonCount daemons that share the fixed amount; infinite while that is not known */
export const createSharedRetryBudget = (
	nowMs: () => number,
	settings: () => SharedRetryBudgetSettings,
	daemonCount: () => number,
): SharedRetryBudget => {
	const usageByService = new Map<string, ServiceUsage>();
	const oldestOf = () => nowMs() - settings().windowMs;

	/** Configurations may name other services all day. */
	const forgetUnused = () => {
		for (const [service, {requestsAtMs, resendsAtMs}] of usageByService) {
			const lastMs = Math.max(requestsAtMs.at(-1) ?? 0, resendsAtMs.at(-1) ?? 0);
			if (lastMs < oldestOf()) {
				usageByService.delete(service);
			}
		}
	};

	const usageOf = (service: string): ServiceUsage => {
		let usage = usageByService.get(service);
		if (!usage) {
			forgetUnused();
			usage = {requestsAtMs: [], resendsAtMs: []};
			usageByService.set(service, usage);
		}

		const oldestMs = oldestOf();
		dropOlder(usage.requestsAtMs, oldestMs);
		dropOlder(usage.resendsAtMs, oldestMs);
		return usage;
	};

	/** @param part share of the used budget that may be taken */
	const hasRoom = (usage: ServiceUsage, part: number): boolean => {
		const {share, extraPerWindow} = settings();
		const earned = share * usage.requestsAtMs.length + extraPerWindow / Math.max(1, daemonCount());
		return usage.resendsAtMs.length + 1 <= part * usedShare * earned;
	};

	/** A first resend in the window is not limited to the hedges' share, so that a daemon with few requests can hedge. */
	const hasRoomForHedge = (usage: ServiceUsage): boolean =>
		hasRoom(usage, usage.resendsAtMs.length === 0 ? 1 : hedgeShare);

	const tryTake = (service: string, hasRoomFor: (usage: ServiceUsage) => boolean): boolean => {
		const usage = usageOf(service);
		const isTaken = hasRoomFor(usage);
		if (isTaken) {
			usage.resendsAtMs.push(nowMs());
		}

		return isTaken;
	};

	return {
		noteRequest(service) {
			usageOf(service).requestsAtMs.push(nowMs());
		},
		noteRelayed(service) {
			usageOf(service).requestsAtMs.pop();
		},
		canRetry: (service) => hasRoom(usageOf(service), 1),
		tryRetry: (service) => tryTake(service, (usage) => hasRoom(usage, 1)),
		canHedge: (service) => hasRoomForHedge(usageOf(service)),
		tryHedge: (service) => tryTake(service, hasRoomForHedge),
	};
};
