/** Drains a daemon before its process ends: requests in progress finish, and callers move to other daemons. */
import type * as clock from '@hawthornfront/base/common/clock.js';
import type * as callerServer from './caller-server.js';

/** Callers with a cached directory answer may still connect for this long after the stop begins. */
const stopAcceptingMs = 2200;
/** End of the grace period that is reserved for the last responses and the exit of the process. */
const maxExitMarginMs = 500;
/** Requests in progress may be cut in this last part of the grace period only. */
const maxExitMarginShare = 1 / 6;
/** Time for callers to close their side, and for partly received requests to arrive. */
const lingerMs = 500;
const stepMs = 100;
/** Time to deliver answers that arrived while the process was suspended or held up. */
const lateAnswersMs = 200;
const lateStepMs = 10;

/** Progress of a planned stop. */
export type StopProgress = {elapsedMs: number; graceMs: number};

/** Time after the start of the stop from which requests in progress are cut. */
const drainMs = (graceMs: number): number =>
	graceMs - Math.min(maxExitMarginMs, graceMs * maxExitMarginShare);

/**
 * Whether a request that arrives now might still run when the grace period is over. False
 * while callers may still use a cached directory answer: a refusal would cost them more
 * than the risk of an interrupted request.
 *
 * @param limitMs longest time that the request may take
 */
export const canOutlastGrace = ({elapsedMs, graceMs}: StopProgress, limitMs: number): boolean =>
	elapsedMs > stopAcceptingMs && elapsedMs + limitMs > drainMs(graceMs);

/** Rest of the grace period after a part of it, which began with the signal. */
export const remainingGraceMs = (graceMs: number, waitedMs: number): number =>
	Math.max(0, graceMs - Math.max(0, waitedMs));

export type DrainOptions = {
	clock: clock.Clock;
	/** The servers of the caller port and the peer port. */
	servers: ReadonlyArray<
		Pick<
			callerServer.CallerServer,
			| 'startDraining'
			| 'stopListening'
			| 'isListening'
			| 'closeIdle'
			| 'inFlight'
			| 'openConnections'
		>
	>;
	/** Time after which the process is killed. */
	graceMs: number;
};

/**
 * Resolves when no request is in progress, or shortly before the grace period is over.
 *
 * Idle connections are closed last, because a request that arrives during the close receives
 * no response. Until then, a new directory answer or the next response makes their callers
 * move to other daemons.
 */
export const drainCallers = async (options: DrainOptions): Promise<void> => {
	const {clock, servers, graceMs} = options;
	const startedAtMs = clock.nowMs();
	const endMs = startedAtMs + drainMs(graceMs);
	let hasStoppedListening = false;
	let idleSinceMs: number | undefined;
	const hasRequests = () => servers.some((server) => server.inFlight > 0);
	for (const server of servers) {
		server.startDraining();
	}

	for (;;) {
		await clock.sleep(Math.max(0, Math.min(stepMs, endMs - clock.nowMs())));
		const nowMs = clock.nowMs();
		if (nowMs >= endMs + stepMs) {
			// Timers run before the event loop reads what arrived meanwhile.
			while (hasRequests() && clock.nowMs() < nowMs + lateAnswersMs) {
				await clock.sleep(lateStepMs);
			}
		}

		if (nowMs >= endMs) {
			return;
		}

		if (nowMs - startedAtMs <= stopAcceptingMs) {
			continue;
		}

		if (!hasStoppedListening) {
			hasStoppedListening = true;
			for (const server of servers) {
				// A daemon with little processor time takes seconds to accept those that are pending.
				server.stopListening(endMs);
			}
		}

		if (hasRequests() || servers.some((server) => server.isListening)) {
			idleSinceMs = undefined;
			continue;
		}

		idleSinceMs ??= nowMs;
		for (const server of servers) {
			server.closeIdle();
		}

		const isEmpty = servers.every((server) => server.openConnections === 0);
		if (isEmpty || nowMs - idleSinceMs > lingerMs) {
			return;
		}
	}
};
