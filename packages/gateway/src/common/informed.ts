/**
 * Whether a daemon is told of changes. After a silence, also one that the daemon causes
 * itself because it does not run, it takes a moment to catch up.
 */

export type Informed = {
	isInformed(): boolean;
	/** Notes that the daemon runs; call it at each tick. */
	noteRunning(): void;
};

/** The first word after a silence comes before the changes that were missed. */
const catchUpMs = 1000;
/** A daemon whose last tick is older than this did not run. */
const maxTickGapMs = 1000;

/** @param hasNews whether the store or a peer that reaches it tells this daemon of changes now */
export const createInformed = (nowMs: () => number, hasNews: () => boolean): Informed => {
	let wasInformed = false;
	let uninformedAtMs = Number.NEGATIVE_INFINITY;
	let ranAtMs: number | undefined;

	const hasPaused = () => ranAtMs !== undefined && nowMs() - ranAtMs > maxTickGapMs;

	/** Before its first word a daemon has missed nothing: it lists the store. */
	const noteSilence = () => {
		if (wasInformed) {
			uninformedAtMs = nowMs();
		}
	};

	return {
		isInformed() {
			if (hasPaused() || !hasNews()) {
				noteSilence();
				return false;
			}

			wasInformed = true;
			return nowMs() - uninformedAtMs >= catchUpMs;
		},
		noteRunning() {
			if (hasPaused()) {
				noteSilence();
			}

			ranAtMs = nowMs();
		},
	};
};
