/** Deadlines of requests, on the monotonic clock. */
import type * as clock from '@hawthornfront/base/common/clock.js';
import type * as disposable from '@hawthornfront/base/common/disposable.js';
import type * as schema from '@hawthornfront/catalogue/common/schema.js';
import * as gatewayError from '@hawthornfront/base/common/gateway-error.js';
import * as pauseTolerantTimer from '@hawthornfront/base/common/pause-tolerant-timer.js';

/** Returns the deadline from the `Request-Timeout-Ms` header, bounded by the limit of the entry. */
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

/** A signal that aborts at a deadline, or when `parent` aborts. */
export type DeadlineSignal = disposable.Disposable & {readonly signal: AbortSignal};

/** Creates a {@link DeadlineSignal}. Disposing it does not abort the signal. */
export const createDeadlineSignal = (
	time: clock.Clock,
	deadlineAtMs: number,
	parent?: AbortSignal,
): DeadlineSignal => {
	const controller = new AbortController();
	const onAbort = () => {
		controller.abort(parent?.reason);
	};

	parent?.addEventListener('abort', onAbort, {once: true});
	if (parent?.aborted) {
		onAbort();
	}

	// The pause-tolerant timer leaves time to read an answer that arrived before the deadline while the event loop was blocked.
	const onDeadline = () => {
		controller.abort(
			new gatewayError.GatewayException({
				kind: 'deadline-exceeded',
				step: 'mid-stream',
				peer: '',
				outcome: 'unknown',
				detail: 'the deadline of the request passed before its answer was whole',
			}),
		);
	};

	const timer = pauseTolerantTimer.setPauseTolerantTimer(
		time,
		onDeadline,
		deadlineAtMs - time.nowMs(),
	);
	return {
		signal: controller.signal,
		dispose() {
			timer.dispose();
			parent?.removeEventListener('abort', onAbort);
		},
	};
};
