/** Reports why a process ends, also for an error that nothing handles. */
// A namespace import lacks the methods of EventEmitter.
import process from 'node:process';
import type * as disposable from '../common/disposable.js';

export type ProcessEnd =
	/** An error that nothing handles; the process ends after this report, at once or by its stop. */
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
/** A stop that follows an error may meet it again and again. */
const maxReportedErrors = 20;

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
	let errors = 0;
	const onError = (error: unknown, origin: NodeJS.UncaughtExceptionOrigin) => {
		errors++;
		if (errors > maxReportedErrors) {
			return;
		}

		report({kind: 'process-failed', origin, ...describe(error)});
	};

	const onExit = (code: number) => {
		const uptimeMs = Math.round(process.uptime() * 1000);
		report({kind: 'process-ended', code, uptimeMs});
	};

	// Unlike `uncaughtException`, the monitor does not change how the process ends.
	process.on('uncaughtExceptionMonitor', onError);
	process.on('exit', onExit);
	return {
		dispose() {
			process.off('uncaughtExceptionMonitor', onError);
			process.off('exit', onExit);
		},
	};
};
