// Guards against example settings that no longer load, and against unclear messages for invalid settings.
import * as fs from 'node:fs';
import * as path from 'node:path';
import * as url from 'node:url';
import * as tap from 'tap';
import * as settings from '@hawthornfront/base/node/settings.js';
import * as entrySettings from '../node/settings.js';

const examples = url.fileURLToPath(new URL('../../examples', import.meta.url));

for (const customer of ['serrasoft', 'kaasik']) {
	tap.t.test(`${customer} has seven entry daemons whose settings load`, async (t) => {
		const files = fs.readdirSync(path.join(examples, customer));
		const loaded = files.map((file) =>
			settings.readSettings(path.join(examples, customer, file), entrySettings.entrySettingsSchema),
		);
		t.equal(loaded.length, 7);
		t.equal(new Set(loaded.map((item) => item.daemon.host)).size, 7);
		for (const {daemon, cluster, regions} of loaded) {
			t.equal(cluster.seeds.length, 3);
			t.notOk(cluster.seeds.includes(`${daemon.host}:${daemon.httpPort}`));
			t.notOk(daemon.region in regions.links);
			t.equal(Object.keys(regions.links).length, 2);
		}
	});
}

for (const [name, line, expected] of [
	['wrong port', 'httpPort = 99999', 'section [daemon], key "httpPort": expected a number'],
	[
		'misspelt key',
		'httpPort = 8080\nhttpPrt = 8080',
		'section [daemon], key "httpPrt": expected only',
	],
	['wrong host', 'host = entry.example', 'section [daemon], key "host": expected a numeric'],
] as const) {
	tap.t.test(`${name} is named with section and key`, async (t) => {
		const text = fs.readFileSync(path.join(examples, 'kaasik', 'ida-1.ini'), 'utf8');
		const [key] = line.split(' = ');
		const wrong = text.replace(new RegExp(`^${key} = .*$`, 'mu'), line);
		t.throws(() => settings.parseSettings(wrong, 'ida-1.ini', entrySettings.entrySettingsSchema), {
			message: new RegExp(`^ida-1.ini: ${expected.replaceAll(/[[\]]/gu, String.raw`\$&`)}`, 'u'),
		});
	});
}
