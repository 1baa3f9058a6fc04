/**
 * Pauses that upstreams ask this daemon for when they refuse a request. They are not
 * told to other daemons, which each get their own answer, so that a busy upstream does
 * not fall idle.
 */
import type * as clock from '@hawthornfront/base/common/clock.js';
import * as event from '@hawthornfront/base/common/event.js';

/** What an answer says on when the upstream wants work again. */
export type NamedPause =
	| {kind: 'pause'; pauseMs: number}
	/** It has a value that is no time. */
	| {kind: 'unusable'; text: string};

export type PauseChange = {
	upstreamId: string;
	/** Rest of the pause, with the time by which this daemon resumes later; undefined for an unusable value. */
	remainingMs?: number;
	/** What the upstream asked for. */
	named: NamedPause;
};

export type UpstreamPauses = {
	/** Fires when an upstream asks for a pause, also when that does not change the end of its pause. */
	readonly onDidPause: event.Event<PauseChange>;
	note(upstreamId: string, named: NamedPause): void;
	/** Time until the upstream may be sent to; 0 without a pause. */
	remainingMs(upstreamId: string): number;
	/** Drops the pause of an upstream that is gone or was restarted. */
	forget(upstreamId: string): void;
};

/** Longest pause, so that a wrong value does not take an upstream out of use for good. */
export const maxPauseMs = 300_000;
/** Daemons resume up to this share of the pause later, so that they do not resume together. */
const resumeSpread = 0.5;
const maxTextLength = 40;

/** Creates pauses without any. */
export const createUpstreamPauses = (
	timeSource: Pick<clock.Clock, 'nowMs'>,
	random: () => number,
): UpstreamPauses => {
	const endsAtMs = new Map<string, number>();
	const didPause = event.createEmitter<PauseChange>();

	const remainingMs = (upstreamId: string) =>
		Math.max(0, (endsAtMs.get(upstreamId) ?? 0) - timeSource.nowMs());

	return {
		onDidPause: didPause.event,
		note(upstreamId, named) {
			if (named.kind === 'unusable') {
				const text = named.text.slice(0, maxTextLength);
				didPause.fire({upstreamId, named: {kind: 'unusable', text}});
				return;
			}

			const pauseMs = Math.min(maxPauseMs, named.pauseMs);
			const ownMs = pauseMs * (1 + random() * resumeSpread);
			// A shorter pause does not end a longer one that the upstream has asked for before.
			const restMs = Math.max(remainingMs(upstreamId), ownMs);
			endsAtMs.set(upstreamId, timeSource.nowMs() + restMs);
			didPause.fire({upstreamId, remainingMs: restMs, named});
		},
		remainingMs(upstreamId) {
			const restMs = remainingMs(upstreamId);
			if (restMs === 0) {
				endsAtMs.delete(upstreamId);
			}

			return restMs;
		},
		forget(upstreamId) {
			endsAtMs.delete(upstreamId);
		},
	};
};
