/** Counts the connections that a server of this daemon closed, for one line a reason and interval. */
import type * as gatewayEvent from '../common/gateway-event.js';

export type CloseReason =
	/** Nothing came for longer than the idle limit. */
	| 'idle-limit'
	/** Idle at the end of a stop. */
	| 'stop'
	/** A request came after the own side was closed; it was not run. */
	| 'crossed'
	/** The head took longer than its limit. */
	| 'slow-head'
	/** Bytes that are no request, or an error of the connection. */
	| 'client-error'
	/** Requests in progress when the grace was over. */
	| 'grace-over';

export type CloseLog = {
	/** @param unanswered requests on the connection that get no whole answer of an upstream */
	note(reason: CloseReason, unanswered: number): void;
	/** Writes and clears the counts; call it at regular intervals and at the end. */
	flush(): void;
};

/** @param port name of the server in the log */
export const createCloseLog = (log: gatewayEvent.EventLog, port: string): CloseLog => {
	const counts = new Map<CloseReason, {connections: number; unanswered: number}>();
	return {
		note(reason, unanswered) {
			const count = counts.get(reason) ?? {connections: 0, unanswered: 0};
			count.connections++;
			count.unanswered += unanswered;
			counts.set(reason, count);
		},
		flush() {
			for (const [reason, count] of counts) {
				log.note({kind: 'connections-closed', port, reason, ...count});
			}

			counts.clear();
		},
	};
};
