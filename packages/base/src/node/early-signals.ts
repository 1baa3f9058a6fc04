/**
 * Ignores SIGHUP while the modules of a program load; import this module first.
 * Without a listener, the reload signal would end the process. Ignoring it is
 * safe, because the program reads its settings later.
 */
// A namespace import lacks the methods of EventEmitter.
import process from 'node:process';

process.on('SIGHUP', () => undefined);
