// Guards against a process that ends because a measurement finds no free descriptor (issue 39).
import * as tap from 'tap';
import * as residentMemory from '../node/resident-memory.js';

tap.t.test('without a free descriptor, the last value counts', async (t) => {
	let isExhausted = false;
	const read = residentMemory.createResidentMemoryReader(() => {
		if (isExhausted) {
			throw Object.assign(new Error('too many open files'), {code: 'EMFILE'});
		}

		return 7;
	});
	t.equal(read(), 7);
	isExhausted = true;
	t.equal(read(), 7);
});

tap.t.test('the memory of this process is read', async (t) => {
	t.ok(residentMemory.createResidentMemoryReader()() > 1_048_576);
});
