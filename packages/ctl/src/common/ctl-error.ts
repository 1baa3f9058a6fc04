/** Exit codes of `hawthornfront-ctl` and the error that holds one. */

/** Exit codes for scripts. */
export const exitCodes = {
	done: 0,
	/** `diff` found differences. */
	different: 1,
	/** Wrong arguments, settings or files that can't be read. */
	usage: 2,
	/** The catalogue breaks a rule of its schema or between its records. */
	invalid: 3,
	/** Another operator changed the same record differently; nothing was written. */
	conflict: 4,
	/** The store or a daemon did not answer; nothing was written. */
	unreachable: 5,
	/** The response to the write was lost, and its outcome could not be determined. */
	unknown: 6,
	/** The catalogue was written but is not yet in force everywhere. */
	notInForce: 7,
	/** Internal error. */
	internal: 70,
} as const;
export type ExitCode = (typeof exitCodes)[keyof typeof exitCodes];

/** Ends a command with an exit code and a one-line message. */
export class CtlError extends Error {
	readonly exitCode: ExitCode;

	constructor(exitCode: ExitCode, message: string) {
		super(message);
		this.name = 'CtlError';
		this.exitCode = exitCode;
	}
}
