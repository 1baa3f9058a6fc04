/** One attempt to execute a request, and the point after which it may have run. */
import * as gatewayError from '@hawthornfront/base/common/gateway-error.js';
import type * as answer from './answer.js';

/**
 * Must be called before the first byte of the request is sent. Throws when the
 * request may no longer run; the attempt must then send nothing. The returned
 * function revokes the call and may be called only when it is certain that no
 * byte was sent (a refused connection).
 */
export type MarkSent = () => () => void;

/**
 * Performs one attempt. All callers of the key share it, so the attempt must not
 * be cancelled when one of the callers disconnects.
 */
export type Execute = (markSent: MarkSent) => Promise<answer.Answer>;

/** How a request is run under its key. */
export type RunOptions = {
	/** Maximum number of attempts; a retry requires that nothing was sent. Default: 1. */
	maxAttempts?: number;
	/**
	 * Waits for the resources of the attempt, such as a slot, before the intent is
	 * recorded. If the owner crashes during this wait, the witness can still answer
	 * `not-run`. A rejection refuses the key.
	 */
	prepare?: () => Promise<void>;
};

export type AttemptResult =
	| {kind: 'answered'; answer: answer.Answer}
	| {kind: 'failed'; isSent: boolean; error: gatewayError.GatewayError};

/** Converts any thrown value to a gateway error. */
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
 * `onDidChangeSent` receives whether a byte may have been sent.
 */
export const runAttempt = async (
	execute: Execute,
	check: () => gatewayError.GatewayError | undefined,
	onDidChangeSent: (isSent: boolean) => void,
): Promise<AttemptResult> => {
	let isInProgress = true;
	let sentCount = 0;
	const markSent: MarkSent = () => {
		// An attempt must not send after it has ended: the caller may already have
		// received `not-run`.
		const error = isInProgress
			? check()
			: toGatewayError(new Error('markSent was called after the end of the attempt'));
		if (error) {
			throw new gatewayError.GatewayException(error);
		}

		sentCount++;
		onDidChangeSent(true);
		let isRevoked = false;
		return () => {
			if (isInProgress && !isRevoked) {
				isRevoked = true;
				sentCount--;
				onDidChangeSent(sentCount > 0);
			}
		};
	};

	try {
		return {kind: 'answered', answer: await execute(markSent)};
	} catch (error) {
		return {kind: 'failed', isSent: sentCount > 0, error: toGatewayError(error)};
	} finally {
		isInProgress = false;
	}
};
