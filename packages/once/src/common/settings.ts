/** Settings of at-most-once execution. */

export type OnceSettings = {
	/** Time from the issue of a key until its owner no longer starts it. */
	keyLifetimeMs: number;
	/** Time that records are kept beyond the expiry of their key, for late repeats. */
	retentionMs: number;
	/** Time that the owner waits for the witness before one attempt at an intent ends. */
	intentTimeoutMs: number;
	/** Attempts at an intent before the request is refused. */
	intentAttempts: number;
	/** Longest time that an answer is held back until the witness has the completion. */
	completionWaitMs: number;
	/** Time after which one attempt to send a completion ends. */
	completionTimeoutMs: number;
	/** Attempts to send a completion. */
	completionAttempts: number;
	/** Time for which no key names a witness that did not answer. */
	avoidWitnessMs: number;
	/** Attempts of a resolver at the witness. */
	resolveAttempts: number;
	/** Time after which one attempt of a resolver ends. */
	resolveTimeoutMs: number;
	/** Records that an owner keeps; beyond them requests are refused. */
	maxOwnerRecords: number;
	/** Records that a witness keeps; beyond them intents are refused. */
	maxWitnessRecords: number;
	/** Owner incarnations that a witness keeps track of. */
	maxWitnessOwners: number;
	/** Longest body that is kept with its key. */
	maxAnswerBytes: number;
	/** Sum of the bodies that an owner keeps, and of those that a witness keeps. */
	maxAnswersBytes: number;
};

export const defaultSettings: OnceSettings = {
	keyLifetimeMs: 120_000,
	retentionMs: 60_000,
	intentTimeoutMs: 250,
	intentAttempts: 2,
	completionWaitMs: 10,
	completionTimeoutMs: 500,
	completionAttempts: 4,
	avoidWitnessMs: 5000,
	resolveAttempts: 2,
	resolveTimeoutMs: 500,
	// 8192 records take about 8 MB at an owner and 5 MB at a witness, and last for
	// 45 requests a second over the 180 s that a record is kept.
	maxOwnerRecords: 8192,
	maxWitnessRecords: 8192,
	maxWitnessOwners: 16_384,
	maxAnswerBytes: 16_384,
	maxAnswersBytes: 4_194_304,
};

/** Time for which clocks of two daemons may differ in rate, as a share. */
export const maxClockRateDifference = 0.01;
