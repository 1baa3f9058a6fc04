/**
 * Recent failures of one upstream. A share of failures makes it less attractive;
 * failures in a row suspend it for a time that doubles with each suspension.
 */

export type FailureRecord = {
	noteSuccess(nowMs: number): void;
	/** @param isHard whether the upstream was unreachable or broke the connection */
	noteFailure(nowMs: number, isHard: boolean): void;
	/** The upstream is another one now; suspends it until its entry tells more. */
	noteReplaced(nowMs: number): void;
	/** Share of recent requests that failed; drawn towards 0 while there are few. */
	rate(nowMs: number): number;
	isSuspended(nowMs: number): boolean;
};

const halfLifeMs = 3000;
/** Successes that are assumed beforehand, so that one failure is no verdict. */
const assumedSuccesses = 3;
const failuresToSuspend = 3;
const firstSuspensionMs = 400;
const maxSuspensionMs = 3200;
/** Time in which a new start usually registers; a heartbeat and the delay of a watch. */
const replacedSuspensionMs = 2000;

/** Creates a record without failures. */
export const createFailureRecord = (): FailureRecord => {
	let failures = 0;
	let total = 0;
	let updatedAtMs = 0;
	let hardInRow = 0;
	let suspensions = 0;
	let suspendedUntilMs = 0;

	const decay = (nowMs: number) => {
		const factor = 0.5 ** ((nowMs - updatedAtMs) / halfLifeMs);
		failures *= factor;
		total *= factor;
		updatedAtMs = nowMs;
	};

	return {
		noteSuccess(nowMs) {
			decay(nowMs);
			total++;
			hardInRow = 0;
			suspensions = 0;
		},
		noteFailure(nowMs, isHard) {
			decay(nowMs);
			total++;
			failures++;
			if (!isHard) {
				return;
			}

			hardInRow++;
			if (hardInRow >= failuresToSuspend && nowMs >= suspendedUntilMs) {
				const suspensionMs = Math.min(maxSuspensionMs, firstSuspensionMs * 2 ** suspensions);
				suspendedUntilMs = nowMs + suspensionMs;
				suspensions++;
			}
		},
		noteReplaced(nowMs) {
			suspendedUntilMs = Math.max(suspendedUntilMs, nowMs + replacedSuspensionMs);
		},
		rate(nowMs) {
			decay(nowMs);
			return failures / (total + assumedSuccesses);
		},
		isSuspended: (nowMs) => nowMs < suspendedUntilMs,
	};
};
