/**
 * Holds back signals while the modules of a program load; import this module first.
 * Without a listener, a signal would end the process. A stop signal reaches the listeners
 * that the program registers before the event loop runs, and ignoring a reload is safe,
 * because the program reads its settings later.
 */
// A namespace import lacks the methods of EventEmitter.
import process from 'node:process';

for (const signal of ['SIGHUP', 'SIGINT', 'SIGTERM'] as const) {
	process.on(signal, () => undefined);
}
