/** Counts the connections that a server closes, and logs one line for each reason and interval. */
import type * as gatewayEvent from '../common/gateway-event.js';

export type CloseReason =
	/** No byte arrived for longer than the idle limit. */
	| 'idle-limit'
	/** The connection was idle at the end of a planned stop. */
	| 'stop'
	/** A request arrived after this side was closed; it was not run. */
	| 'crossed'
	/** The head took longer than its limit. */
	| 'slow-head'
	/** The caller sent bytes that are not a request, or the connection failed. */
	| 'client-error'
	/** Idle, and its descriptor was needed for a new connection. */
	| 'make-room'
	/** New, while all descriptors for connections were in use by requests. */
	| 'no-room'
	/** More requests than a connection may carry at once. */
	| 'pipelined'
	/** A request was in progress when the grace period was over. */
	| 'grace-over'
	/** The body of a request, which was not run, or an unfinished head gave way to others. */
	| 'no-memory'
	/** The time of a request passed before its body was complete. */
	| 'slow-body'
	/** The caller did not read the answer, which gave way to others. */
	| 'unread-answer';

export type CloseLog = {
	/** @param unanswered requests on the connection that receive no complete response of an upstream */
	note(reason: CloseReason, unanswered: number): void;
	/** Logs and clears the counts; call it at regular intervals and before the process ends. */
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
