// Guards against commands that lose an operator's edit, hide a failure or end with a wrong exit code.
import * as fs from 'node:fs';
import * as path from 'node:path';
import * as url from 'node:url';
import * as httpClient from '@hawthornfront/base/common/http-client.js';
import * as manualClock from '@hawthornfront/base/common/manual-clock.js';
import * as random from '@hawthornfront/base/common/random.js';
import * as fakeHttpClient from '@hawthornfront/base/test/fake-http-client.js';
import * as fakeStore from '@hawthornfront/platform/test/fake-key-value-store.js';
import * as tap from 'tap';
import * as run from '../node/run.js';

const examples = path.resolve(url.fileURLToPath(import.meta.url), '../../../examples');
const example = (name: string): string => path.join(examples, name);

const createConsole = () => {
	const clock = new manualClock.ManualClock();
	const store = new fakeStore.FakeKeyValueStore(clock);
	const daemons = {revision: 0, unreachable: new Set<string>()};
	const http = new fakeHttpClient.FakeHttpClient(({peer}) => {
		if (daemons.unreachable.has(peer)) {
			throw new httpClient.HttpClientError('connection refused', peer, false);
		}

		return {revision: daemons.revision, demand: {}};
	});
	const output: string[] = [];
	const errors: string[] = [];
	let operations = 0;
	const context = {
		clock,
		random: random.createRandom(7),
		http,
		openStore: () => store,
		createOperationId: () => `operation-${++operations}`,
		print: (line: string) => output.push(line),
		printError: (line: string) => errors.push(line),
	};
	const call = async (...args: string[]) => {
		output.length = 0;
		errors.length = 0;
		const ended: {code?: number} = {};
		const running = (async () => {
			ended.code = await run.run(context, args);
		})();
		// Small steps, because promises settle only between clock steps.
		for (let step = 0; step < 1000 && ended.code === undefined; step++) {
			await clock.advance(100);
		}

		await running;
		return {code: ended.code, output: output.join('\n'), errors: errors.join('\n')};
	};

	return {clock, store, daemons, call};
};

type Records = Array<{name: string; [field: string]: unknown}>;

/** Writes a modified copy of an example to the test directory. */
const editExample = (
	directory: string,
	name: string,
	edit: (records: Records) => Records,
): string => {
	const records = JSON.parse(fs.readFileSync(example('kaasik-catalogue.json'), 'utf8')) as Records;
	const file = path.join(directory, name);
	fs.writeFileSync(file, JSON.stringify(edit(records)));
	return file;
};

const change = (records: Records, name: string, fields: Record<string, unknown>): Records =>
	records.map((record) => (record.name === name ? {...record, ...fields} : record));

for (const customer of ['serrasoft', 'kaasik']) {
	tap.t.test(`the examples of ${customer} load, apply and are in force`, async (t) => {
		const {daemons, call} = createConsole();
		const config = ['--config', example(`${customer}-ctl.ini`)];
		const file = example(`${customer}-catalogue.json`);
		t.match(await call('validate', file), {code: 0});
		t.match(await call('diff', file, ...config), {code: 1, output: /\+ entry\//u});
		daemons.revision = 1000;
		const applied = await call('apply', file, '--wait', ...config);
		t.match(applied, {code: 0, output: /region \w+: revision \d+ in force/u});
		t.match(await call('diff', file, ...config), {code: 0});
		t.match(await call('status', ...config), {code: 0});
	});
}

tap.t.test('each rule violation names record, field and expected value', async (t) => {
	const directory = t.testdir({});
	const {call} = createConsole();
	const cases: Array<[string, Record<string, unknown>, RegExp]> = [
		['panel-question', {oldSetupShare: 1.5}, /entry\/panel-question, field "oldSetupShare": .*1/u],
		['panel-question', {owner: 'nobody'}, /field "owner": expected the owner of/u],
		[
			'panel-question',
			{homeRegion: 'mars'},
			/field "target": expected an upstream .* region mars/u,
		],
		['panel-question', {idempotent: false}, /field "nonIdempotentReason": expected a reason/u],
		['panel-question', {workClass: 'service'}, /field "workClass": expected work class/u],
		['village-note', {homeRegion: 'ida'}, /field "homeRegion": expected region saare/u],
		[
			'order-app',
			{name: 'field-hands'},
			/team\/field-hands, field "name": expected a name used once/u,
		],
		[
			'ida-runner-1',
			{address: 'ida:80'},
			/upstream\/ida-runner-1, field "address": expected host/u,
		],
		['ida-old-setup', {models: []}, /field "models": expected at least one model/u],
	];
	for (const [name, fields, expected] of cases) {
		const file = editExample(directory, 'broken.json', (records) => change(records, name, fields));
		t.match(await call('validate', file), {code: 3, errors: expected}, `${name} ${expected}`);
	}

	fs.writeFileSync(path.join(directory, 'text.json'), '[{');
	t.match(await call('validate', path.join(directory, 'text.json')), {code: 3, errors: /JSON/u});
});

tap.t.test('two operators, one base: both edits are kept, a conflict is reported', async (t) => {
	const directory = t.testdir({});
	const {store, call} = createConsole();
	const config = ['--config', example('kaasik-ctl.ini')];
	const base = example('kaasik-catalogue.json');
	await call('apply', base, ...config);
	const first = editExample(directory, 'first.json', (records) =>
		change(records, 'field-hands', {weight: 9}),
	);
	const second = editExample(directory, 'second.json', (records) =>
		change(records, 'crew-chiefs', {weight: 3}).filter((item) => item.name !== 'tank-level'),
	);
	const third = editExample(directory, 'third.json', (records) =>
		change(records, 'field-hands', {weight: 5}),
	);
	t.match(await call('apply', first, ...config), {code: 4, errors: /expected --base FILE/u});
	t.match(await call('apply', first, '--base', base, ...config), {code: 0});
	t.match(await call('apply', second, '--base', base, ...config), {code: 0});
	const clash = await call('apply', third, '--base', base, ...config);
	t.match(clash, {code: 4, errors: /team\/field-hands: weight is 9, you want 5/u});
	t.match(await call('show', 'team', 'field-hands', ...config), {output: /"weight":9/u});
	t.match(await call('show', 'team', 'crew-chiefs', ...config), {output: /"weight":3/u});
	t.match(await call('show', 'entry', 'tank-level', ...config), {code: 2});
	const {revision} = store.peek('catalogue/root')!;
	const pruned = await call('apply', base, '--revision', String(revision), '--prune', ...config);
	t.match(pruned, {code: 0});
	t.match(await call('diff', base, '--prune', ...config), {code: 0});
	t.match(await call('apply', base, '--revision', String(revision), ...config), {code: 4});
});

tap.t.test('exit codes distinguish not applied, unknown and not in force', async (t) => {
	const {store, daemons, call} = createConsole();
	const config = ['--config', example('kaasik-ctl.ini')];
	const file = example('kaasik-catalogue.json');
	store.chooseFault = () => 'refused';
	t.match(await call('apply', file, ...config), {code: 5});
	store.chooseFault = ({operation}) => (operation === 'get' ? 'none' : 'refused');
	t.match(await call('apply', file, ...config), {code: 5, errors: /was not applied/u});
	store.chooseFault = ({operation, key}) =>
		operation === 'compareAndSwap' && key === 'catalogue/root' ? 'dropped' : 'none';
	t.match(await call('apply', file, ...config), {code: 6, errors: /may have been applied/u});
	store.chooseFault = () => 'none';
	const late = await call('apply', file, '--wait', ...config);
	t.match(late, {code: 7, errors: /not in force in region harju: .* has revision 0/u});
	daemons.unreachable.add('10.2.0.11:8080');
	t.match(await call('status', ...config), {code: 5, output: /10\.2\.0\.11:8080: .*refused/u});
	t.match(await call('dump', '10.2.0.11:8080'), {code: 5});
	t.match(await call('dump', '10.1.0.11:8080'), {code: 0, output: /"revision": 0/u});
	t.match(await call('apply'), {code: 2, errors: /missing required args/u});
	t.match(await call('show', 'thing', ...config), {code: 2});
	t.match(await call('team-key', 'village'), {
		code: 0,
		output: /^key: village\.\S+\nkeySha256: [\da-f]{64}$/u,
	});
});
