/** Lets callers go before the process ends: requests in progress end, new ones go elsewhere. */
import type * as clock from '@hawthornfront/base/common/clock.js';
import type * as callerServer from './caller-server.js';

/** Callers that learned of this daemon before the stop may still connect for this long. */
const stopAcceptingMs = 2200;
const closeIdleAfterMs = 1300;
/** Part of the grace that is kept for the end of the process. */
const marginMs = 250;
const stepMs = 100;

export type DrainOptions = {
	clock: clock.Clock;
	callers: callerServer.CallerServer;
	/** Requests in progress, those of other daemons too. */
	inFlight(): number;
	/** Time after which the process is killed. */
	graceMs: number;
};

/** Resolves when nothing is in progress, or shortly before the grace is over. */
export const drainCallers = async (options: DrainOptions): Promise<void> => {
	const {clock, callers, graceMs} = options;
	const startedAtMs = clock.nowMs();
	let hasStoppedListening = false;
	for (;;) {
		await clock.sleep(stepMs);
		const elapsedMs = clock.nowMs() - startedAtMs;
		if (elapsedMs > closeIdleAfterMs) {
			callers.closeIdle();
		}

		if (elapsedMs > stopAcceptingMs && !hasStoppedListening) {
			hasStoppedListening = true;
			callers.stopListening();
		}

		const isDone = hasStoppedListening && options.inFlight() === 0;
		if (isDone || elapsedMs > graceMs - marginMs) {
			return;
		}
	}
};
