// Guards against a program that ends before its stop has finished.
// A namespace import lacks the methods of EventEmitter.
import process from 'node:process';
import * as tap from 'tap';
import * as daemonProgram from '../node/daemon-program.js';

// Without a listener, a second SIGTERM ends the process during its stop.
tap.t.test('a second signal does not interrupt the stop', async (t) => {
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
	t.ok(
		process.listeners('SIGTERM').includes(added[0]!),
		'the default action of the signal stays disabled',
	);
});
