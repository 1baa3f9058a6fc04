/**
 * How much of the new work a daemon without processor time refuses. While its event loop has no
 * idle time, requests wait unread and answers wait unsent, so each refusal, which costs a small
 * part of a served request, helps the others to be in time. The share rises while the loop is
 * busy and falls when it is idle again.
 */
import type * as gatewayEvent from './gateway-event.js';

export type ProcessorPressure = {
	/** Share of the new requests to refuse, 0 to 1. */
	readonly share: number;
	/** @param busyShare part of the time since the last call in which the event loop was busy */
	noteInterval(busyShare: number): void;
	/** @param rank from 0; the most urgent ones, below 1, are refused last */
	mustRefuse(rank: number): boolean;
};

/** The loop has no idle time but what a poll takes. */
const fullShare = 0.97;
/** The loop has time for more. */
const relaxedShare = 0.95;
/** The load has ended. */
const idleShare = 0.5;
/** Short bursts keep the loop busy for less than this number of intervals and are worked off. */
const fullIntervals = 4;
const riseStep = 0.1;
const fallStep = 0.05;
/** A smaller share is none. */
const minShare = 0.05;
/** Some requests are always served, since their answers show when the pressure ends. */
const maxShare = 0.9;

/** Creates the state of a daemon without pressure. */
export const createProcessorPressure = (options: {
	random(): number;
	log: gatewayEvent.EventLog;
}): ProcessorPressure => {
	let share = 0;
	let full = 0;
	let isLogged = false;

	return {
		get share() {
			return share;
		},
		noteInterval(busyShare) {
			full = busyShare >= fullShare ? full + 1 : 0;
			if (full >= fullIntervals) {
				share = Math.min(maxShare, share + riseStep);
			} else if (busyShare < relaxedShare) {
				const next = busyShare < idleShare ? share / 2 : share - fallStep;
				share = next < minShare ? 0 : next;
			}

			if (share > 0 !== isLogged) {
				isLogged = share > 0;
				options.log.note({
					kind: 'processor-pressure',
					isFull: isLogged,
					busyShare: Number(busyShare.toFixed(2)),
				});
			}
		},
		mustRefuse(rank) {
			const refused = rank < 1 ? 2 * share - 1 : 2 * share;
			return refused > 0 && options.random() < refused;
		},
	};
};
