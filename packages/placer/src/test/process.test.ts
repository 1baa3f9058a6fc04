// Guards against misread settings and against calls that violate the protocols.
import * as fs from 'node:fs';
import * as path from 'node:path';
import * as url from 'node:url';
import * as httpClient from '@hawthornfront/base/common/http-client.js';
import * as manualClock from '@hawthornfront/base/common/manual-clock.js';
import * as random from '@hawthornfront/base/common/random.js';
import * as log from '@hawthornfront/base/node/log.js';
import * as settings from '@hawthornfront/base/node/settings.js';
import * as undiciHttpClient from '@hawthornfront/base/node/undici-http-client.js';
import * as fakeHttpClient from '@hawthornfront/base/test/fake-http-client.js';
import * as catalogueFile from '@hawthornfront/catalogue/common/catalogue-file.js';
import * as recordEdit from '@hawthornfront/catalogue/common/record-edit.js';
import * as catalogueStore from '@hawthornfront/catalogue/node/catalogue-store.js';
import * as fakeStore from '@hawthornfront/platform/test/fake-key-value-store.js';
import * as tap from 'tap';
import * as placerProcess from '../node/placer-process.js';
import * as placerSettings from '../node/settings.js';

const examples = path.resolve(url.fileURLToPath(import.meta.url), '../../../../ctl/examples');
const example = (name: string): string => path.join(examples, name);

tap.t.test('the examples of both customers load', async (t) => {
	const files = fs.readdirSync(examples).filter((name) => name.includes('-placer-'));
	t.equal(files.length, 6);
	for (const file of files) {
		const ini = settings.readSettings(example(file), placerSettings.placerSettingsSchema);
		t.match(placerSettings.toPlacerSettings(ini), {leaseMs: 15_000, orders: {repeatMs: 10_000}});
	}
});

tap.t.test('errors in settings name the section, the key and the expected value', async (t) => {
	const text = fs.readFileSync(example('kaasik-placer-saare.ini'), 'utf8');
	const cases: Array<[string, RegExp]> = [
		['\n[lease]\nmarginMs = 1500\n', /section \[lease\], key "marginMs": expected at least twice/u],
		['\n[lease]\nttlMs = 9000\n', /section \[lease\], key "ttlMs": expected at least marginMs/u],
		[
			'\n[placement]\nlowShare = 0.9\n',
			/section \[placement\], key "lowShare": expected less than/u,
		],
		['\n[orders]\nroundMs = soon\n', /section \[orders\], key "roundMs": expected a number/u],
	];
	for (const [addition, expected] of cases) {
		t.throws(
			() => settings.parseSettings(text + addition, 'x.ini', placerSettings.placerSettingsSchema),
			expected,
		);
	}
});

type Body = Record<'key' | 'value' | 'leaseId' | 'model' | 'order', string> &
	Record<'expectedRevision' | 'ttlMs' | 'fencing', number>;

/** A store, a weight store, an entry daemon and runners that apply orders at once. */
const createNetwork = (store: fakeStore.FakeKeyValueStore) => {
	const orders: string[] = [];
	const models = new Map<string, string>();
	const answer = async (request: httpClient.HttpRequest): Promise<unknown> => {
		const body = JSON.parse(String(request.body ?? '{}')) as Body;
		const {key, value, expectedRevision, leaseId, model} = body;
		const {peer} = request;
		const answers: Record<string, () => unknown> = {
			'/kv/get': async () => ({found: await store.get(key)}),
			'/kv/compare-and-swap': async () =>
				store.compareAndSwap(key, value, expectedRevision, {leaseId}),
			'/kv/grant-lease': async () => store.grantLease(body.ttlMs),
			'/kv/renew-lease': async () => ({renewed: await store.renewLease(leaseId)}),
			async '/kv/revoke-lease'() {
				await store.revokeLease(leaseId);
				return {};
			},
			'/weights/tickets': () => ({kind: 'granted', model}),
			'/load': () => ({leaving: false, model: models.get(peer) ?? 'report', role: 'mixed'}),
			'/orders'() {
				orders.push(`${peer} ${body.order} ${model} ${body.fencing}`);
				models.set(peer, model);
				return {accepted: true};
			},
			'/debug/state': () => ({revision: 1, demand: {report: 10, field: 900}}),
		};
		return answers[request.path]!();
	};

	return {orders, client: new fakeHttpClient.FakeHttpClient(answer)};
};

tap.t.test(
	'a placer process sends orders over HTTP and serves its operator endpoints',
	async (t) => {
		const clock = new manualClock.ManualClock();
		const store = new fakeStore.FakeKeyValueStore(clock);
		const network = createNetwork(store);
		const text = fs.readFileSync(example('kaasik-catalogue.json'), 'utf8');
		const applied = await catalogueStore.applyChanges(
			{store, clock, random: random.createRandom(1), author: 'test', operationId: 'op'},
			recordEdit.diffRecords([], catalogueFile.parseCatalogue(text).records),
		);
		const ini = settings.readSettings(
			example('kaasik-placer-saare.ini'),
			placerSettings.placerSettingsSchema,
		);
		const running = await placerProcess.startPlacer({
			clock,
			http: network.client,
			logger: log.createSilentLogger(),
			settings: {...ini, placer: {...ini.placer, host: '127.0.0.1', httpPort: 0}},
		});
		for (let step = 0; step < 200; step++) {
			await clock.advance(100);
		}

		t.same(network.orders, ['10.2.1.11:9000 load field 1']);
		const client = new undiciHttpClient.UndiciHttpClient();
		const read = async (page: string) => {
			const request = {peer: `127.0.0.1:${running.port}`, method: 'GET', path: page};
			const answer = await client.request(request);
			return httpClient.readText(answer.body, 1_000_000);
		};

		t.match(JSON.parse(await read('/debug/state')), {
			region: 'saare',
			fencing: 1,
			revision: applied.revision,
		});
		t.match(await read('/metrics'), /hawthornfront_placer_is_holder\S* 1/u);
		const stopping = running.stop();
		await clock.advance(100);
		await stopping;
		await client.close();
		t.notOk(store.peek('placer/saare/holder'));
	},
);
