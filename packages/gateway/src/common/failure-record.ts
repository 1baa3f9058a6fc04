/**
 * Recent failures of one upstream. The failure rate raises its cost; consecutive
 * failures suspend it for a time that doubles with each suspension.
 */

export type FailureRecord = {
	noteSuccess(nowMs: number): void;
	/** @param isHard whether the upstream was unreachable or broke the connection */
	noteFailure(nowMs: number, isHard: boolean): void;
	/** Another upstream now uses the address; suspends this one until a new entry can register. */
	noteReplaced(nowMs: number): void;
	/** Share of recent requests that failed; biased towards 0 while there are few. */
	rate(nowMs: number): number;
	isSuspended(nowMs: number): boolean;
};

const halfLifeMs = 3000;
/** Successes that are assumed in advance, so that a single failure does not dominate the rate. */
const assumedSuccesses = 3;
const failuresToSuspend = 3;
const firstSuspensionMs = 400;
const maxSuspensionMs = 3200;
/** Time in which a restarted upstream usually registers: a heartbeat and the delay of a watch. */
const replacedSuspensionMs = 2000;

/** Creates a record without failures. */
export const createFailureRecord = (): FailureRecord => {
	let failures = 0;
	let total = 0;
	let updatedAtMs = 0;
	let consecutiveHardFailures = 0;
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
			consecutiveHardFailures = 0;
			suspensions = 0;
		},
		noteFailure(nowMs, isHard) {
			decay(nowMs);
			total++;
			failures++;
			if (!isHard) {
				return;
			}

			consecutiveHardFailures++;
			if (consecutiveHardFailures >= failuresToSuspend && nowMs >= suspendedUntilMs) {
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
