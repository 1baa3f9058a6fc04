/** Rate limits that upstreams name in their answers, each for all daemons together. */
import type * as clock from '@hawthornfront/base/common/clock.js';
import * as event from '@hawthornfront/base/common/event.js';

/** What a daemon knows of the limit of an upstream, as sent to other daemons. */
export type RateLimitReport = {
	upstreamId: string;
	/** Undefined when the upstream no longer names a limit. */
	requestsPerS: number | undefined;
	/** Time since the last answer that showed it. */
	ageMs: number;
};

/** Source of a change that an answer to this daemon has shown. */
export const ownSource = 'own';

export type RateLimitChange = {
	upstreamId: string;
	/** Undefined when the upstream no longer names a limit. */
	requestsPerS: number | undefined;
	/** {@link ownSource}, or the daemon that reported the change. */
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
	/** Applies the report of another daemon, unless a newer answer is known. */
	merge(report: RateLimitReport, source: string): void;
	/** Reports for the next message: limits that have just changed, and some of the others in turn. */
	takeReports(): RateLimitReport[];
	/** Drops the limit of an upstream that is gone or was restarted. */
	forget(upstreamId: string): void;
};

type Named = {
	requestsPerS: number | undefined;
	/** Time of the last answer that showed it. */
	atMs: number;
	changedAtMs: number;
};

const maxReports = 16;
/** A limit that has changed is reported in all messages for this time. */
const recentMs = 3000;

/** Creates limits without any. */
export const createUpstreamRateLimits = (
	timeSource: Pick<clock.Clock, 'nowMs'>,
): UpstreamRateLimits => {
	const namedById = new Map<string, Named>();
	const didChange = event.createEmitter<RateLimitChange>();
	let reportTurn = 0;

	const nowMs = () => timeSource.nowMs();

	const note = (
		upstreamId: string,
		requestsPerS: number | undefined,
		atMs: number,
		source: string,
	) => {
		const current = namedById.get(upstreamId);
		const isChange = current?.requestsPerS !== requestsPerS;
		namedById.set(upstreamId, {
			requestsPerS,
			atMs,
			changedAtMs: isChange ? nowMs() : (current?.changedAtMs ?? nowMs()),
		});
		if (isChange) {
			didChange.fire({upstreamId, requestsPerS, source});
		}
	};

	return {
		onDidChange: didChange.event,
		limitOf: (upstreamId) => namedById.get(upstreamId)?.requestsPerS,
		noteAnswer(upstreamId, requestsPerS, sentAtMs) {
			const current = namedById.get(upstreamId);
			if (requestsPerS !== undefined) {
				note(upstreamId, requestsPerS, nowMs(), ownSource);
			} else if (current?.requestsPerS !== undefined && sentAtMs > current.atMs) {
				// Answers may arrive out of order, so only that of a later request shows the end of a limit.
				note(upstreamId, undefined, nowMs(), ownSource);
			}
		},
		merge({upstreamId, requestsPerS, ageMs}, source) {
			const current = namedById.get(upstreamId);
			const atMs = nowMs() - ageMs;
			if (current ? current.atMs < atMs : requestsPerS !== undefined) {
				note(upstreamId, requestsPerS, atMs, source);
			}
		},
		takeReports() {
			const oldestMs = nowMs() - recentMs;
			const all = [...namedById];
			const recent = all
				.filter(([, {changedAtMs}]) => changedAtMs >= oldestMs)
				.slice(0, maxReports);
			const older = all.filter(
				([, {changedAtMs, requestsPerS}]) => changedAtMs < oldestMs && requestsPerS !== undefined,
			);
			const olderCount = Math.min(older.length, maxReports - recent.length);
			const chosen = recent;
			for (let count = 0; count < olderCount; count++) {
				chosen.push(older[reportTurn++ % older.length]!);
			}

			return chosen.map(([upstreamId, {requestsPerS, atMs}]) => ({
				upstreamId,
				requestsPerS,
				ageMs: nowMs() - atMs,
			}));
		},
		forget(upstreamId) {
			namedById.delete(upstreamId);
		},
	};
};
