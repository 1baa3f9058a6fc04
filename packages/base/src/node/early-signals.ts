/**
 * Import this first. A reload signal that arrives while the modules of a program
 * load would end the process; the program reads its settings afterwards anyway.
 */
// A namespace import lacks the methods of EventEmitter.
import process from 'node:process';

process.on('SIGHUP', () => undefined);
