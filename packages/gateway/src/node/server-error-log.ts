/** Logs errors of listening servers, such as an accept that fails, at most one line a second for each port. */
import type * as gatewayEvent from '../common/gateway-event.js';

const lineIntervalMs = 1000;

/** @returns a function that creates the error listener of one server from the name of its port */
export const createServerErrorLog =
	(log: gatewayEvent.EventLog, nowMs: () => number) =>
	(port: string): ((error: Error) => void) => {
		let errors = 0;
		let loggedAtMs = Number.NEGATIVE_INFINITY;
		return (error) => {
			errors++;
			if (nowMs() - loggedAtMs >= lineIntervalMs) {
				log.note({kind: 'server-error', port, detail: error.message, errors});
				errors = 0;
				loggedAtMs = nowMs();
			}
		};
	};
