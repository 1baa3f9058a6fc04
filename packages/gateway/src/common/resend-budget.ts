/**
 * Pattern: a failing service is hit again by every request. All daemons share one
 * budget a service for arrivals beyond the first of a request; each uses only what
 * its own requests earn and its part of the fixed amount, so nothing is exchanged.
 */

export type ResendBudgetSettings = {
	/** Arrivals beyond the first that a request earns. */
	share: number;
	/** Arrivals beyond the first in one window that need no requests, over all daemons. */
	extraPerWindow: number;
	windowMs: number;
};

export type ResendBudget = {
	noteRequest(service: string): void;
	/** Whether a further arrival could be taken now. */
	canResend(service: string): boolean;
	/** Takes one further arrival; false when the budget is spent. */
	tryResend(service: string): boolean;
	/** Whether an arrival beside a run that goes on could be taken now. */
	canHedge(service: string): boolean;
	/** Takes one arrival beside a run that goes on; leaves a part of the budget to runs that failed. */
	tryHedge(service: string): boolean;
};

/** Part of the budget that is used; the rest covers windows that overlap differently. */
const usedShare = 0.8;
/** Part of what is used that arrivals beside a run may take. */
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

	/** @param part of the budget that may be taken */
	const hasRoom = (use: Use, part: number): boolean => {
		const {share, extraPerWindow} = settings();
		const earned = share * use.requestsAtMs.length + extraPerWindow / Math.max(1, daemonCount());
		return use.resendsAtMs.length + 1 <= part * usedShare * earned;
	};

	/** Also daemons with few requests may try once, when nothing was sent again lately. */
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
