/** Deadlines of requests, on the monotonic clock. */
import type * as schema from '@hawthornfront/catalogue/common/schema.js';
import * as gatewayError from '@hawthornfront/base/common/gateway-error.js';

/** Deadline from the `Request-Timeout-Ms` header, never later than the limit of the entry. */
export const deadlineOf = (
	entry: schema.Entry,
	header: string | undefined,
	nowMs: number,
): number => {
	if (header === undefined) {
		return nowMs + entry.limits.deadlineMs;
	}

	const timeoutMs = Number(header);
	if (!Number.isFinite(timeoutMs) || timeoutMs <= 0) {
		throw new gatewayError.GatewayException({
			kind: 'bad-request',
			step: 'before-admission',
			peer: '',
			outcome: 'not-run',
			detail: 'Request-Timeout-Ms must be a positive number of milliseconds',
		});
	}

	return nowMs + Math.min(timeoutMs, entry.limits.deadlineMs);
};
