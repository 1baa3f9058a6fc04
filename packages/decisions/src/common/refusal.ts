/** Errors of items that leave the queue without having been sent. */
import * as gatewayError from '@hawthornfront/base/common/gateway-error.js';

type RefusalKind = 'overloaded' | 'no-upstream' | 'deadline-exceeded' | 'caller-gone' | 'stopping';

const detailByKind: Record<RefusalKind, string> = {
	overloaded: 'the queue is full',
	'no-upstream': 'no upstream may serve the request',
	'deadline-exceeded': 'the deadline passed in the queue',
	'caller-gone': 'the request was cancelled in the queue',
	stopping: 'this daemon is stopping',
};

const minimumRetryAfterMs = 500;
const maximumRetryAfterMs = 30_000;

/** Bounds the retry delay that is reported to callers. */
export const boundRetryAfterMs = (waitMs: number): number =>
	Math.min(maximumRetryAfterMs, Math.max(minimumRetryAfterMs, Math.ceil(waitMs)));

/** The outcome is `not-run`, since no byte of the request was sent. */
export const createRefusal = (kind: RefusalKind, waitMs: number): gatewayError.GatewayException => {
	const base = {
		step: 'queued' as const,
		peer: '',
		outcome: 'not-run' as const,
		detail: detailByKind[kind],
	};
	if (kind === 'overloaded' || kind === 'no-upstream') {
		return new gatewayError.GatewayException({
			...base,
			kind,
			retryAfterMs: boundRetryAfterMs(waitMs),
		});
	}

	return new gatewayError.GatewayException(
		kind === 'stopping' ? {...base, kind, entries: []} : {...base, kind},
	);
};
