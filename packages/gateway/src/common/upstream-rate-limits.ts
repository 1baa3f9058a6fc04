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
	/** Number of the message that named it last; 0 for none. */
	reportedTurn: number;
};

const maxReports = 16;
/** Reports of a message that are left to limits that have not just changed, for daemons that have just started. */
const minOlderReports = 4;
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
			reportedTurn: current?.reportedTurn ?? 0,
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
			const inTurn = [...namedById].sort(([, a], [, b]) => a.reportedTurn - b.reportedTurn);
			const recent = inTurn.filter(([, {changedAtMs}]) => changedAtMs >= oldestMs);
			const older = inTurn.filter(
				([, {changedAtMs, requestsPerS}]) => changedAtMs < oldestMs && requestsPerS !== undefined,
			);
			const reserved = Math.min(older.length, minOlderReports);
			const chosen = [...recent.slice(0, maxReports - reserved), ...older].slice(0, maxReports);
			reportTurn++;
			return chosen.map(([upstreamId, named]) => {
				named.reportedTurn = reportTurn;
				const {requestsPerS, atMs} = named;
				return {upstreamId, requestsPerS, ageMs: nowMs() - atMs};
			});
		},
		forget(upstreamId) {
			namedById.delete(upstreamId);
		},
	};
};
