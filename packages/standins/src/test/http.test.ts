// Guards against fault switches that do not act on the wire, and against examples that do not load.
import * as path from 'node:path';
import * as url from 'node:url';
import * as httpClient from '@hawthornfront/base/common/http-client.js';
import * as manualClock from '@hawthornfront/base/common/manual-clock.js';
import * as baseSettings from '@hawthornfront/base/node/settings.js';
import * as systemClock from '@hawthornfront/base/node/system-clock.js';
import * as undiciHttpClient from '@hawthornfront/base/node/undici-http-client.js';
import * as httpPlatformServices from '@hawthornfront/platform/node/http-platform-services.js';
import * as tap from 'tap';
import * as deployment from '../node/deployment.js';
import * as platformStandins from '../node/platform-standins.js';
import * as runnerStandin from '../node/runner-standin.js';
import * as serviceStandin from '../node/service-standin.js';
import * as settings from '../node/settings.js';

const examples = path.join(path.dirname(url.fileURLToPath(import.meta.url)), '../../examples');

const createClient = (t: tap.Test) => {
	const client = new undiciHttpClient.UndiciHttpClient();
	t.teardown(async () => client.close());
	const post = async (peer: string, target: string, body: unknown) => {
		const headers = {'idempotency-key': 'key-1'};
		const answer = await client.request({
			peer,
			method: 'POST',
			path: target,
			headers,
			body: JSON.stringify(body),
		});
		return {status: answer.status, text: await httpClient.readText(answer.body, 1_000_000)};
	};

	return {client, post};
};

const startRunner = async (t: tap.Test) => {
	// Fast times keep the test short; it judges no time.
	const standin = await runnerStandin.createRunnerStandin({
		clock: new systemClock.SystemClock(),
		seed: 1,
		settings: {prefillMsPerToken: 0, decodeMsPerToken: 0.1},
	});
	t.teardown(async () => standin.close());
	return standin;
};

const question = (change: Record<string, unknown> = {}) => ({
	model: 'model',
	messages: [{role: 'user', content: 'Where is the spare panel?'}],
	request_id: 'r1',
	stream: true,
	max_tokens: 8,
	...change,
});

type StreamItem = {token_index: number; choices: unknown[]; usage?: {completion_tokens: number}};

const itemsOf = (text: string) =>
	text
		.split('\n\n')
		.filter((part) => part.startsWith('data: {'))
		.map((part) => JSON.parse(part.slice('data: '.length)) as StreamItem);

const chatPath = '/v1/chat/completions';

tap.t.test('runner: stream, resume and whole answer agree', async (t) => {
	const runner = await startRunner(t);
	const {post} = createClient(t);
	const stream = await post(runner.address, chatPath, question());
	const items = itemsOf(stream.text);
	t.same(
		items.map((item) => item.token_index),
		[0, 1, 2, 3, 4, 5, 6, 7, 8],
	);
	t.equal(items.at(-1)?.usage?.completion_tokens, 8);
	t.ok(stream.text.endsWith('data: [DONE]\n\n'));
	const resumed = await post(runner.address, chatPath, question({resume_from_token: 5}));
	t.match(itemsOf(resumed.text)[0], {token_index: 5, choices: items[5]?.choices});
	const whole = await post(runner.address, chatPath, question({stream: false}));
	t.equal(
		(JSON.parse(whole.text) as {usage: {completion_tokens: number}}).usage.completion_tokens,
		8,
	);
	t.equal(runner.counts.executions.get('r1'), 3);
});

tap.t.test('runner: faults on the wire', async (t) => {
	const runner = await startRunner(t);
	const {post} = createClient(t);
	runner.faults.refuse = true;
	t.match(await post(runner.address, chatPath, question()), {status: 503});
	runner.faults.refuse = false;
	runner.faults.resetBeforeAnswer = true;
	await t.rejects(post(runner.address, chatPath, question()));
	runner.faults.resetBeforeAnswer = false;
	runner.faults.resetAfterTokens = 3;
	await t.rejects(post(runner.address, chatPath, question()), 'a broken stream is visible');
	runner.faults.resetAfterTokens = undefined;
	runner.faults.truncateAfterTokens = 3;
	const truncated = await post(runner.address, chatPath, question());
	t.equal(itemsOf(truncated.text).length, 3);
	t.notMatch(truncated.text, /DONE/u);
	runner.faults.truncateAfterTokens = undefined;
	runner.faults.duplicateProbability = 0.5;
	runner.faults.reorderProbability = 0.5;
	const mixedStream = await post(runner.address, chatPath, question());
	const mixed = itemsOf(mixedStream.text);
	const indices = mixed.map((item) => item.token_index);
	t.not(indices.join(','), '0,1,2,3,4,5,6,7,8');
	t.equal(new Set(indices).size, 9, 'every token arrives at least once');
	await runner.crash();
	// A fresh client has no connection that the crash closed without its notice yet.
	const refused: unknown = await createClient(t)
		.post(runner.address, chatPath, question())
		.catch((error: unknown) => error);
	t.match(refused, {mayHaveBeenSent: false});
	await runner.restart();
	t.match(await post(runner.address, chatPath, question()), {status: 200});
});

tap.t.test('runner: a closed connection cancels', async (t) => {
	const runner = await startRunner(t);
	const {client, post} = createClient(t);
	runner.faults.hang = true;
	const controller = new AbortController();
	const asking = client.request({
		peer: runner.address,
		method: 'POST',
		path: chatPath,
		body: JSON.stringify(question()),
		signal: controller.signal,
	});
	while (runner.counts.received === 0) {
		await new Promise(setImmediate);
	}

	controller.abort(new Error('caller gone'));
	await t.rejects(asking);
	while (runner.counts.cancelled === 0) {
		await new Promise(setImmediate);
	}

	const cancelled = await post(runner.address, '/v1/cancel', {request_id: 'r1'});
	t.same(JSON.parse(cancelled.text), {cancelled: false});
	const stale = {order: 'unload', fencing: 1};
	await post(runner.address, '/orders', {order: 'change-role', fencing: 2, role: 'long'});
	t.match(await post(runner.address, '/orders', stale), {status: 409});
});

tap.t.test('service: executions are recorded for every fault', async (t) => {
	const service = await serviceStandin.createServiceStandin({
		clock: new systemClock.SystemClock(),
		seed: 1,
		settings: {serviceMs: 0},
	});
	t.teardown(async () => service.close());
	const {post} = createClient(t);
	t.match(await post(service.address, '/book/7?x=1', {row: 1}), {status: 200});
	service.faults.resetAfterExecuting = true;
	await t.rejects(post(service.address, '/book/7', {row: 2}));
	service.faults.resetAfterExecuting = false;
	service.faults.resetBeforeExecuting = true;
	await t.rejects(post(service.address, '/book/7', {row: 3}));
	service.faults.resetBeforeExecuting = false;
	service.faults.refuse = true;
	t.match(await post(service.address, '/book/7', {row: 4}), {status: 503});
	t.match(service.executions, [
		{path: '/book/7?x=1', idempotencyKey: 'key-1'},
		{bodyDigest: serviceStandin.digestBody('{"row":2}')},
	]);
	t.equal(service.counts.executed, 2);
});

tap.t.test('VM list lags, directory publishes, weight store limits', async (t) => {
	const clock = new manualClock.ManualClock();
	const list = await platformStandins.createVmListStandin({clock, seed: 1, settings: {lagMs: 100}});
	const directory = await platformStandins.createDirectoryStandin({clock, seed: 1});
	const weights = await platformStandins.createWeightStoreStandin({clock, seed: 1});
	t.teardown(async () => Promise.all([list.close(), directory.close(), weights.close()]));
	const {client} = createClient(t);
	const vmList = new httpPlatformServices.HttpVmList(client, list.address);
	const place = {region: 'harju', failureDomain: 'harju-1', address: '127.0.0.1:1'};
	list.put({...place, name: 'vm-1', role: 'entry', state: 'live'});
	t.same(await vmList.list(), []);
	await clock.advance(100);
	t.match(await vmList.list(), [{name: 'vm-1', state: 'live'}]);
	list.faults.wrongStateProbability = 1;
	t.match(await vmList.list(), [{state: 'leaving'}]);
	const entries = new httpPlatformServices.HttpDirectory(client, directory.address);
	await entries.publish('harju-1', [{...place, weight: 1}]);
	t.match(await entries.read(), [{address: '127.0.0.1:1', weight: 1}]);
	const store = new httpPlatformServices.HttpWeightStore(client, weights.address);
	t.match(await store.requestTicket('m', 'r'), {kind: 'granted'});
	t.match(await store.requestTicket('m', 'r'), {kind: 'limited', retryAfterMs: 10_000});
});

for (const [file, runners] of [
	['serrasoft.ini', 12],
	['kaasik.ini', 6],
] as const) {
	tap.t.test(`example ${file} starts`, async (t) => {
		const sections = settings.readStandinSettings(path.join(examples, file));
		for (const section of sections) {
			section.settings.port = 0;
		}

		const running = await deployment.startDeployment(new manualClock.ManualClock(), sections);
		t.equal(running.standins.filter((standin) => standin.kind === 'runner').length, runners);
		t.equal(running.standins.filter((standin) => standin.kind === 'service').length, 3);
		await running.close();
	});
}

tap.t.test('a wrong setting is named', async (t) => {
	const parse = (text: string) => baseSettings.parseSettings(text, 'f.ini', settings.fileSchema);
	t.throws(() => parse('[disk]'), /section \[disk\].*expected a section name/u);
	t.throws(() => parse('[store]\nport = x'), /section \[store\], key "port": expected a number/u);
	t.throws(() => parse('[store]\nprot = 1'), /key "prot"/u);
});
