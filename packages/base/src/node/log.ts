/** Logging with pino to standard output, one line for each change of state. */
import * as pino from 'pino';

export type Logger = pino.Logger;
export type LogLevel = 'debug' | 'info' | 'warn' | 'error' | 'silent';

/** Creates the logger of a process; every line contains `fields`. */
export const createLogger = (level: LogLevel, fields: Record<string, string>): Logger =>
	pino.pino({level, base: fields, timestamp: pino.stdTimeFunctions.isoTime});

/** Creates a logger without output, for tests. */
export const createSilentLogger = (): Logger => pino.pino({level: 'silent'});
