// Guards every promise to callers under every fault at every step of a request of this kind.
import * as tap from 'tap';
import * as cell from './matrix/cell.js';
import * as faults from './matrix/faults.js';
import * as matrix from './matrix/matrix.js';

matrix.defineMatrix(tap.t, 'order');

tap.t.test('an order queued at a daemon that crashes is known not to have run', async (t) => {
	const result = await cell.runCell('order', faults.faultNamed('entry daemon crashes'), 'queued');
	t.match(result.laterVerdicts.at(-1), {kind: 'problem', problem: {outcome: 'not-run'}});
	t.equal(result.executions, 0);
});
