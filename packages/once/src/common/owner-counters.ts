/** Counters of an owner; the entry daemon exposes them as metrics. */

/** Why an owner refused a request as `not-run`. */
export type NotRunReason =
	| 'bad-key'
	| 'reused'
	| 'expired'
	| 'stopping'
	| 'full'
	| 'witness-unreachable'
	| 'witness-refused'
	| 'refused-by-engine'
	| 'failed-before-sending'
	| 'refused-before';

export type OwnerCounters = {
	/** Executed and answered. */
	ran: number;
	/** Retries that joined an execution in progress. */
	joined: number;
	/** Retries that received the stored answer. */
	replayed: number;
	/** Retries of a completed request whose answer was not stored. */
	ranWithoutAnswer: number;
	/** Executions that ended after sending, without a known result. */
	unknown: number;
	/** Retries of such executions, and requests whose key expired more than `retentionMs` ago. */
	unknownRepeated: number;
	notRun: Record<NotRunReason, number>;
	attemptsRepeated: number;
	completionsAcknowledged: number;
	completionsGivenUp: number;
};

export const createOwnerCounters = (): OwnerCounters => ({
	ran: 0,
	joined: 0,
	replayed: 0,
	ranWithoutAnswer: 0,
	unknown: 0,
	unknownRepeated: 0,
	notRun: {
		'bad-key': 0,
		reused: 0,
		expired: 0,
		stopping: 0,
		full: 0,
		'witness-unreachable': 0,
		'witness-refused': 0,
		'refused-by-engine': 0,
		'failed-before-sending': 0,
		'refused-before': 0,
	},
	attemptsRepeated: 0,
	completionsAcknowledged: 0,
	completionsGivenUp: 0,
});

/** Share of executions whose outcome is unknown; 0 when there was none. */
export const unknownShare = (counters: Readonly<OwnerCounters>): number => {
	const executions = counters.ran + counters.unknown;
	return executions === 0 ? 0 : counters.unknown / executions;
};
