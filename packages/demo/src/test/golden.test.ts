// Guards what callers, entry daemons and upstreams say to each other in whole sessions:
// a change of any message, order or time shows as a difference from the recorded file.
// UPDATE_GOLDEN=1 rewrites the files; the properties of the sessions are checked all the same.
import * as fs from 'node:fs/promises';
import process from 'node:process';
import * as tap from 'tap';
import * as sessions from './recording/sessions.js';

const directory = new URL('../../src/test/golden/', import.meta.url);

for (const item of sessions.sessions) {
	tap.t.test(item.name, async (t) => {
		const record = await sessions.play(t, item);
		t.equal(await sessions.play(t, item), record, 'a second run gives the same record');
		const file = new URL(`${item.name}.golden`, directory);
		if (process.env.UPDATE_GOLDEN === '1') {
			await fs.writeFile(file, record);
		}

		t.equal(record, await fs.readFile(file, 'utf8'), `${item.name}.golden holds this session`);
	});
}
