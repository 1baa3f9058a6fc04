/** Reports why a process ends, also for an error that nothing handles. */
// A namespace import lacks the methods of EventEmitter.
import process from 'node:process';
import type * as disposable from '../common/disposable.js';

export type ProcessEnd =
	/** An error that nothing handles; Node.js ends the process after this report. */
	| {
			kind: 'process-failed';
			origin: 'uncaughtException' | 'unhandledRejection';
			detail: string;
			/** Innermost calls, one a line. */
			stack: string;
	  }
	/** Not reported for a signal or the heap limit, which end a process at once. */
	| {kind: 'process-ended'; code: number; uptimeMs: number};

const maxDetailLength = 500;
const maxStackLength = 2000;

const describe = (error: unknown): {detail: string; stack: string} => {
	try {
		const {message, stack = ''} = error instanceof Error ? error : new Error(String(error));
		return {detail: message.slice(0, maxDetailLength), stack: stack.slice(0, maxStackLength)};
	} catch {
		return {detail: 'an error without a text', stack: ''};
	}
};

/**
 * Calls back before the process ends.
 *
 * @param report must finish its output synchronously, because the event loop does not run again
 */
export const reportProcessEnd = (report: (end: ProcessEnd) => void): disposable.Disposable => {
	const onError = (error: unknown, origin: NodeJS.UncaughtExceptionOrigin) => {
		report({kind: 'process-failed', origin, ...describe(error)});
	};

	const onExit = (code: number) => {
		const uptimeMs = Math.round(process.uptime() * 1000);
		report({kind: 'process-ended', code, uptimeMs});
	};

	// Unlike `uncaughtException`, the monitor leaves the end of the process to Node.js.
	process.on('uncaughtExceptionMonitor', onError);
	process.on('exit', onExit);
	return {
		dispose() {
			process.off('uncaughtExceptionMonitor', onError);
			process.off('exit', onExit);
		},
	};
};
