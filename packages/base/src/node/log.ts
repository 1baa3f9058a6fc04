/** Logging on pino: one line for each change of state, to standard output. */
import * as pino from 'pino';

export type Logger = pino.Logger;
export type LogLevel = 'debug' | 'info' | 'warn' | 'error' | 'silent';

/** Creates the logger of one process; `fields` stand on every line. */
export const createLogger = (level: LogLevel, fields: Record<string, string>): Logger =>
	pino.pino({level, base: fields, timestamp: pino.stdTimeFunctions.isoTime});

/** A logger that writes nothing; for tests. */
export const createSilentLogger = (): Logger => pino.pino({level: 'silent'});
