/**
 * Retry budget that keeps retries from overloading a failing service. All daemons share
 * one budget per service for sends of a request beyond the first. Each daemon uses only
 * what its requests earn and its part of the fixed amount, so no coordination is needed.
 */

export type ResendBudgetSettings = {
	/** Sends beyond the first that each request earns. */
	share: number;
	/** Fixed amount of sends beyond the first in one window, over all daemons. */
	extraPerWindow: number;
	windowMs: number;
};

export type ResendBudget = {
	noteRequest(service: string): void;
	/** Whether the budget has room for a further send. */
	canResend(service: string): boolean;
	/** Takes one further send; false when the budget is spent. */
	tryResend(service: string): boolean;
	/** Whether the budget has room for a send beside a run that continues. */
	canHedge(service: string): boolean;
	/** Takes one send beside a run that continues; leaves a share of the budget to failed runs. */
	tryHedge(service: string): boolean;
};

/** Share of the budget that is used; the rest covers windows that are not aligned. */
const usedShare = 0.8;
/** Share of the used budget that hedges may take. */
const besideShare = 0.5;

type Use = {requestsAtMs: number[]; resendsAtMs: number[]};

const dropOlder = (timesMs: number[], oldestMs: number): void => {
	const keepFrom = timesMs.findIndex((atMs) => atMs >= oldestMs);
	timesMs.splice(0, keepFrom === -1 ? timesMs.length : keepFrom);
};

/** @param daemonCount daemons that share the fixed amount */
export const createResendBudget = (
	nowMs: () => number,
	settings: () => ResendBudgetSettings,
	daemonCount: () => number,
): ResendBudget => {
	const uses = new Map<string, Use>();
	const useOf = (service: string): Use => {
		let use = uses.get(service);
		if (!use) {
			use = {requestsAtMs: [], resendsAtMs: []};
			uses.set(service, use);
		}

		const oldestMs = nowMs() - settings().windowMs;
		dropOlder(use.requestsAtMs, oldestMs);
		dropOlder(use.resendsAtMs, oldestMs);
		return use;
	};

	/** @param part share of the used budget that may be taken */
	const hasRoom = (use: Use, part: number): boolean => {
		const {share, extraPerWindow} = settings();
		const earned = share * use.requestsAtMs.length + extraPerWindow / Math.max(1, daemonCount());
		return use.resendsAtMs.length + 1 <= part * usedShare * earned;
	};

	/** A daemon with few requests may also hedge once if it has not resent any request in the window. */
	const hasRoomBeside = (use: Use): boolean =>
		hasRoom(use, use.resendsAtMs.length === 0 ? 1 : besideShare);

	const tryTake = (service: string, hasRoomFor: (use: Use) => boolean): boolean => {
		const use = useOf(service);
		const isTaken = hasRoomFor(use);
		if (isTaken) {
			use.resendsAtMs.push(nowMs());
		}

		return isTaken;
	};

	return {
		noteRequest(service) {
			useOf(service).requestsAtMs.push(nowMs());
		},
		canResend: (service) => hasRoom(useOf(service), 1),
		tryResend: (service) => tryTake(service, (use) => hasRoom(use, 1)),
		canHedge: (service) => hasRoomBeside(useOf(service)),
		tryHedge: (service) => tryTake(service, hasRoomBeside),
	};
};
