// The commands that the README names exist and work.
import * as childProcess from 'node:child_process';
import * as fs from 'node:fs';
import * as path from 'node:path';
import * as url from 'node:url';
import * as tap from 'tap';

const root = path.resolve(path.dirname(url.fileURLToPath(import.meta.url)), '../../../..');
const readme = fs.readFileSync(path.join(root, 'README.md'), 'utf8');

type Package = {scripts: Record<string, string>};

tap.t.test('each npm script of the README exists', async (t) => {
	const {scripts} = JSON.parse(fs.readFileSync(path.join(root, 'package.json'), 'utf8')) as Package;
	const names = [...readme.matchAll(/npm run ([a-z:]+)/gu)].map(([, name]) => name!);
	t.ok(names.includes('demo'));
	for (const name of names) {
		t.ok(name in scripts, name);
	}

	t.ok('test' in scripts);
});

tap.t.test('a deployment that is kept running answers and ends on a signal', async (t) => {
	const child = childProcess.spawn(
		'node',
		[path.join(root, 'packages/demo/dist/node/main.js'), '--serve'],
		{stdio: ['ignore', 'pipe', 'pipe']},
	);
	t.teardown(() => child.kill('SIGKILL'));
	const ended = new Promise<number | undefined>((resolve) => {
		child.on('exit', resolve);
	});
	let output = '';
	const curl = await new Promise<string>((resolve) => {
		child.stdout.on('data', (bytes: Uint8Array) => {
			output += new TextDecoder().decode(bytes);
			const line = /try: (?<command>curl .*)\n/u.exec(output)?.groups?.command;
			if (line) {
				resolve(line);
			}
		});
		void ended.then(() => {
			resolve('');
		});
	});
	const address = /http:\/\/(?<address>[\d.]+:\d+)\//u.exec(curl)?.groups?.address;
	const key = /authorization: (?<key>Bearer \S+?)'/u.exec(curl)?.groups?.key;
	t.ok(address, output);
	const entry = /hawthornfront-entry: (?<entry>\S+?)'/u.exec(curl)?.groups?.entry;
	const answer = await fetch(`http://${address}/v1/chat/completions`, {
		method: 'POST',
		headers: {
			authorization: key ?? '',
			'hawthornfront-entry': entry ?? '',
			'content-type': 'application/json',
		},
		body: JSON.stringify({
			model: 'fault-messages',
			stream: true,
			messages: [{role: 'user', content: 'hello'}],
		}),
	});
	t.equal(answer.status, 200);
	t.match(await answer.text(), '[DONE]');
	child.kill('SIGTERM');
	t.equal(await ended, 0);
});
