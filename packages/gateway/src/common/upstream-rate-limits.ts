/** Rate limits that upstreams name in their answers, each for all daemons together. */
import type * as clock from '@hawthornfront/base/common/clock.js';
import * as event from '@hawthornfront/base/common/event.js';

export type RateLimitChange = {
	upstreamId: string;
	/** Undefined when the upstream no longer names a limit. */
	requestsPerS: number | undefined;
	/** `own`, or the daemon that reported the change. */
	source: string;
};

export type UpstreamRateLimits = {
	readonly onDidChange: event.Event<RateLimitChange>;
	/** Limit of an upstream; undefined without one. */
	limitOf(upstreamId: string): number | undefined;
	/**
	 * Applies the head of an answer.
	 *
	 * @param requestsPerS the limit that it names; undefined if it names none
	 * @param sentAtMs when its request was sent
	 */
	noteAnswer(upstreamId: string, requestsPerS: number | undefined, sentAtMs: number): void;
	/** Drops the limit of an upstream that is gone or was restarted. */
	forget(upstreamId: string): void;
};

type Named = {
	requestsPerS: number | undefined;
	/** When the upstream was last known to name it. */
	atMs: number;
};

const ownSource = 'own';

/** Creates limits without any. */
export const createUpstreamRateLimits = (
	timeSource: Pick<clock.Clock, 'nowMs'>,
): UpstreamRateLimits => {
	const namedById = new Map<string, Named>();
	const didChange = event.createEmitter<RateLimitChange>();

	const note = (upstreamId: string, next: Named, source: string) => {
		const current = namedById.get(upstreamId);
		namedById.set(upstreamId, next);
		if (current?.requestsPerS !== next.requestsPerS) {
			didChange.fire({upstreamId, requestsPerS: next.requestsPerS, source});
		}
	};

	return {
		onDidChange: didChange.event,
		limitOf: (upstreamId) => namedById.get(upstreamId)?.requestsPerS,
		noteAnswer(upstreamId, requestsPerS, sentAtMs) {
			const current = namedById.get(upstreamId);
			// Answers may arrive out of order, so one without a limit counts only for a later request.
			const isCurrent = requestsPerS !== undefined || (current && sentAtMs > current.atMs);
			if (isCurrent && (requestsPerS !== undefined || current?.requestsPerS !== undefined)) {
				note(upstreamId, {requestsPerS, atMs: timeSource.nowMs()}, ownSource);
			}
		},
		forget(upstreamId) {
			namedById.delete(upstreamId);
		},
	};
};
