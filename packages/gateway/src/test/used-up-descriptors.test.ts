// Guards against upstreams that are taken for unreachable while this process has no descriptor left (issue 39).
import * as childProcess from 'node:child_process';
import * as path from 'node:path';
import * as url from 'node:url';
import * as tap from 'tap';

const child = path.join(
	path.dirname(url.fileURLToPath(import.meta.url)),
	'used-up-descriptors-child.js',
);

tap.t.test('without a descriptor, nothing is known of an upstream', async (t) => {
	const {stdout, status} = childProcess.spawnSync(
		'sh',
		['-c', 'ulimit -n 100 && exec node "$0"', child],
		{encoding: 'utf8'},
	);
	t.equal(status, 0);
	t.strictSame(JSON.parse(stdout), {
		opened: true,
		probe: 'unknown',
		failure: {mayHaveBeenSent: false, detail: 'CONNECTION_NOT_OPENED', isLocal: true},
	});
});
