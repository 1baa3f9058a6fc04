// Guards against a process that ends without a line that says why (issue 39).
import * as childProcess from 'node:child_process';
import * as path from 'node:path';
import * as url from 'node:url';
import * as tap from 'tap';

const child = path.join(path.dirname(url.fileURLToPath(import.meta.url)), 'process-end-child.js');

const run = (mode: string) => {
	const {stdout, status} = childProcess.spawnSync('node', [child, mode], {encoding: 'utf8'});
	const lines = stdout
		.trim()
		.split('\n')
		.map((line) => JSON.parse(line) as Record<string, unknown>);
	return {lines, status};
};

tap.t.test('an error that nothing catches is reported with its stack', async (t) => {
	const {lines, status} = run('throw');
	t.match(lines[0], {
		kind: 'process-failed',
		origin: 'uncaughtException',
		detail: 'broken timer',
		stack: /process-end-child/u,
	});
	t.match(lines[1], {kind: 'process-ended', code: 1});
	t.equal(status, 1, 'the process ends as without the report');
});

tap.t.test('a rejection that nothing handles is reported', async (t) => {
	const {lines, status} = run('reject');
	t.match(lines[0], {
		kind: 'process-failed',
		origin: 'unhandledRejection',
		detail: 'broken promise',
	});
	t.equal(status, 1);
});

tap.t.test('a reason without a text is reported', async (t) => {
	const {lines, status} = run('reject-without-error');
	t.match(lines[0], {kind: 'process-failed', origin: 'unhandledRejection'});
	t.equal(status, 1);
});

tap.t.test('an exit is reported with its code', async (t) => {
	const {lines, status} = run('exit');
	t.strictSame(lines.length, 1);
	t.match(lines[0], {kind: 'process-ended', code: 3});
	t.equal(status, 3);
});
