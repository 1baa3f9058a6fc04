/** Settings of at-most-once execution. */

export type OnceSettings = {
	/** Time from the issue of a key until its owner no longer starts a request under it. */
	keyLifetimeMs: number;
	/** Time that records are kept after the expiry of their key, for late retries. */
	retentionMs: number;
	/** Timeout of one attempt to record an intent at the witness. */
	intentTimeoutMs: number;
	/** Attempts to record an intent before the request is refused. */
	intentAttempts: number;
	/** Longest time that an answer is delayed until the witness has stored the completion. */
	completionWaitMs: number;
	/** Timeout of one attempt to send a completion. */
	completionTimeoutMs: number;
	/** Attempts to send a completion. */
	completionAttempts: number;
	/** Time for which new keys exclude a witness that did not answer. */
	avoidWitnessMs: number;
	/** Attempts of a resolver to query one peer. */
	resolveAttempts: number;
	/** Timeout of one attempt of a resolver. */
	resolveTimeoutMs: number;
	/** Maximum number of records of an owner; when it is reached, requests are refused. */
	maxOwnerRecords: number;
	/** Maximum number of records of a witness; when it is reached, intents are refused. */
	maxWitnessRecords: number;
	/** Maximum number of owner incarnations that a witness tracks. */
	maxWitnessOwners: number;
	/** Maximum size of an answer that is stored with its key. */
	maxAnswerBytes: number;
	/** Maximum total size of the answers that an owner stores, and of those that a witness stores. */
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
	// 8192 records take about 8 MB at an owner and 5 MB at a witness. They suffice for
	// 45 requests per second, because a record is kept for 180 s.
	maxOwnerRecords: 8192,
	maxWitnessRecords: 8192,
	maxWitnessOwners: 16_384,
	maxAnswerBytes: 16_384,
	maxAnswersBytes: 4_194_304,
};

/** Maximum difference between the clock rates of two daemons, as a share. */
export const maxClockRateDifference = 0.01;
