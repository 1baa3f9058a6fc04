// The signals that stop a program.
// A namespace import lacks the methods of EventEmitter.
import process from 'node:process';
import * as tap from 'tap';
import * as daemonProgram from '../node/daemon-program.js';

// A second SIGTERM ended the process in the middle of its stop.
tap.t.test('a further signal does not cut a stop short', async (t) => {
	const {argv} = process;
	process.argv = [...argv.slice(0, 2), '--config', 'test.ini'];
	const before = process.listeners('SIGTERM');
	let stops = 0;
	await daemonProgram.runDaemonProgram({
		name: 'test',
		description: 'test',
		async start() {
			return async () => {
				stops++;
			};
		},
	});
	process.argv = argv;
	const added = process.listeners('SIGTERM').filter((listener) => !before.includes(listener));
	t.teardown(() => {
		for (const listener of added) {
			process.off('SIGTERM', listener);
			process.off('SIGINT', listener);
		}
	});
	process.emit('SIGTERM', 'SIGTERM');
	process.emit('SIGTERM', 'SIGTERM');
	process.emit('SIGINT', 'SIGINT');
	t.equal(stops, 1);
	t.ok(process.listeners('SIGTERM').includes(added[0]!), 'the default action stays off');
});
