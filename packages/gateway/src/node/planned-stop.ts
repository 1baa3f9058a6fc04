/** Lets callers go before the process ends: requests in progress end, new ones go elsewhere. */
import type * as clock from '@hawthornfront/base/common/clock.js';
import type * as callerServer from './caller-server.js';

/** Callers that learned of this daemon before the stop may still connect for this long. */
const stopAcceptingMs = 2200;
/** Part of the grace that is kept for the end of the process. */
const marginMs = 250;
/** Time for callers to close their side, and for requests of which a part has arrived. */
const lingerMs = 500;
const stepMs = 100;

/** How far a stop has come. */
export type StopProgress = {elapsedMs: number; graceMs: number};

/**
 * Whether a request that arrives now might be cut by the end of the stop. Before, while
 * callers may not know of the stop yet, a refusal would cost them more.
 *
 * @param limitMs longest time that the request may take
 */
export const canOutlastGrace = ({elapsedMs, graceMs}: StopProgress, limitMs: number): boolean =>
	elapsedMs > stopAcceptingMs && elapsedMs + limitMs > graceMs - marginMs;

export type DrainOptions = {
	clock: clock.Clock;
	/** The server of callers and that of other daemons. */
	servers: ReadonlyArray<
		Pick<
			callerServer.CallerServer,
			'startDraining' | 'stopListening' | 'closeIdle' | 'inFlight' | 'openConnections'
		>
	>;
	/** Time after which the process is killed. */
	graceMs: number;
};

/**
 * Resolves when nothing is in progress, or shortly before the grace is over.
 *
 * Idle connections are closed last, because a request that crosses the close gets
 * no answer: until then their callers learn of the stop from the directory, or
 * from the next answer.
 */
export const drainCallers = async (options: DrainOptions): Promise<void> => {
	const {clock, servers, graceMs} = options;
	const startedAtMs = clock.nowMs();
	let hasStoppedListening = false;
	let quietSinceMs: number | undefined;
	for (const server of servers) {
		server.startDraining();
	}

	for (;;) {
		await clock.sleep(stepMs);
		const nowMs = clock.nowMs();
		const elapsedMs = nowMs - startedAtMs;
		if (elapsedMs > graceMs - marginMs) {
			return;
		}

		if (elapsedMs <= stopAcceptingMs) {
			continue;
		}

		if (!hasStoppedListening) {
			hasStoppedListening = true;
			for (const server of servers) {
				server.stopListening();
			}
		}

		if (servers.some((server) => server.inFlight > 0)) {
			quietSinceMs = undefined;
			continue;
		}

		quietSinceMs ??= nowMs;
		for (const server of servers) {
			server.closeIdle();
		}

		const isEmpty = servers.every((server) => server.openConnections === 0);
		if (isEmpty || nowMs - quietSinceMs > lingerMs) {
			return;
		}
	}
};
