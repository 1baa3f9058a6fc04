/** One attempt to execute a request, and the point after which it may have run. */
import * as gatewayError from '@hawthornfront/base/common/gateway-error.js';
import type * as answer from './answer.js';

/**
 * Must be called before the first byte of the request may leave. It throws when
 * the request may no longer run; the attempt must then send nothing. The
 * returned function takes the call back, and may be called only when it is
 * proven that no byte left (a refused connection).
 */
export type MarkSent = () => () => void;

/**
 * Performs one attempt. It is shared by all callers of the key, so it must not
 * end because one of them went away.
 */
export type Execute = (markSent: MarkSent) => Promise<answer.Answer>;

/** How a request is run under its key. */
export type RunOptions = {
	/** Attempts while none has called `markSent`; 1 by default. */
	maxAttempts?: number;
	/**
	 * Waits for what the attempt needs, such as a slot, before the intent is
	 * recorded. When the owner crashes during this wait, the witness can still
	 * tell that the request was not run. A rejection refuses the key.
	 */
	prepare?: () => Promise<void>;
};

export type AttemptResult =
	| {kind: 'answered'; answer: answer.Answer}
	| {kind: 'failed'; isSent: boolean; error: gatewayError.GatewayError};

/** Turns anything thrown into an error of the gateway. */
export const toGatewayError = (error: unknown): gatewayError.GatewayError =>
	error instanceof gatewayError.GatewayException
		? error.error
		: {
				kind: 'internal',
				step: 'before-dispatch',
				peer: '',
				outcome: 'unknown',
				detail: 'The attempt failed with an unexpected error.',
			};

/**
 * Runs one attempt. `check` returns an error when the request may not be sent;
 * `onDidChangeSent` tells whether a byte may have left.
 */
export const runAttempt = async (
	execute: Execute,
	check: () => gatewayError.GatewayError | undefined,
	onDidChangeSent: (isSent: boolean) => void,
): Promise<AttemptResult> => {
	let isOpen = true;
	let sent = 0;
	const markSent: MarkSent = () => {
		// An attempt that was given up must not send afterwards: the caller may
		// have been told that the request did not run.
		const error = isOpen
			? check()
			: toGatewayError(new Error('markSent was called after the end of the attempt'));
		if (error) {
			throw new gatewayError.GatewayException(error);
		}

		sent++;
		onDidChangeSent(true);
		let isTakenBack = false;
		return () => {
			if (isOpen && !isTakenBack) {
				isTakenBack = true;
				sent--;
				onDidChangeSent(sent > 0);
			}
		};
	};

	try {
		return {kind: 'answered', answer: await execute(markSent)};
	} catch (error) {
		return {kind: 'failed', isSent: sent > 0, error: toGatewayError(error)};
	} finally {
		isOpen = false;
	}
};
