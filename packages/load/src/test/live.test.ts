// Guards against a live run that counts a spoiled answer as whole or reads its settings wrongly.
import * as path from 'node:path';
import * as url from 'node:url';
import * as manualClock from '@hawthornfront/base/common/manual-clock.js';
import * as httpClient from '@hawthornfront/base/common/http-client.js';
import * as settings from '@hawthornfront/base/node/settings.js';
import * as tap from 'tap';
import * as answerCheck from '../common/answer-check.js';
import * as liveRun from '../common/live-run.js';
import * as loadSettings from '../node/settings.js';

const encoder = new TextEncoder();

const token = (index: number) =>
	`data: {"token_index":${index},"choices":[{"delta":{"content":" x"},"finish_reason":null}]}\n\n`;
const finish = 'data: {"choices":[{"delta":{},"finish_reason":"stop"}]}\n\n';
const done = 'data: [DONE]\n\n';

const verdict = (text: string) => {
	const check = answerCheck.createAnswerCheck();
	// Events may be split at any byte.
	for (const byte of encoder.encode(text)) {
		check.push(Uint8Array.of(byte));
	}

	return check.end();
};

tap.t.test('verdicts on streams', (t) => {
	t.equal(verdict(token(0) + token(1) + finish + done), 'whole');
	t.equal(verdict(token(0) + token(1) + finish), 'truncated');
	t.equal(verdict(token(0) + done), 'truncated');
	t.equal(verdict(token(0) + token(2) + finish + done), 'truncated');
	t.equal(verdict(token(0) + token(0) + finish + done), 'duplicated');
	t.end();
});

class FakeClient extends httpClient.HttpClient {
	readonly requests: httpClient.HttpRequest[] = [];
	readonly #clock: manualClock.ManualClock;

	constructor(clock: manualClock.ManualClock) {
		super();
		this.#clock = clock;
	}

	override async request(request: httpClient.HttpRequest): Promise<httpClient.HttpResponse> {
		const count = this.requests.push(request);
		await this.#clock.sleep(5000);
		if (count === 1) {
			throw new httpClient.HttpClientError('reset', request.peer, true);
		}

		const problem = {
			type: 't',
			title: 't',
			status: 503,
			detail: 'd',
			outcome: 'not-run',
			step: 'queued',
			peer: '',
		};
		const isRefused = count === 2;
		const text = isRefused ? JSON.stringify(problem) : token(0) + finish + done;
		return {status: isRefused ? 503 : 200, headers: {}, body: this.#stream(text)};
	}

	override async close() {
		this.requests.length = 0;
	}

	async *#stream(text: string) {
		yield encoder.encode(text);
	}
}

tap.t.test('arrivals do not wait for answers; outcomes are told apart', async (t) => {
	const clock = new manualClock.ManualClock();
	const client = new FakeClient(clock);
	const running = liveRun.runLive({
		clock,
		client,
		seed: 1,
		entries: ['10.0.0.1:1', '10.0.0.2:1'],
		apiKey: 'team.secret',
		durationMs: 4000,
		work: [
			{
				name: 'short',
				entry: 'questions',
				ratePerSecond: 5,
				timeoutMs: 30_000,
				kind: 'model',
				sharedPromptTokens: 10,
				ownPromptTokens: {minimum: 1, maximum: 5},
				maxTokens: {minimum: 1, maximum: 5},
			},
		],
	});
	await clock.advance(4500);
	const sentBeforeAnyAnswer = client.requests.length;
	t.ok(sentBeforeAnyAnswer > 10, `${sentBeforeAnyAnswer} requests`);
	t.equal(new Set(client.requests.map((item) => item.peer)).size, 2);
	await clock.advance(10_000);
	const {classes, failures} = await running;
	const {short} = classes;
	t.match(short?.outcomes, {unknown: 1, 'not-run': 1, answered: sentBeforeAnyAnswer - 2});
	t.ok(short!.latencyMs.p50 >= 5000);
	t.same(failures, {0: 1, 503: 1});
});

tap.t.test('the example of a live run loads', (t) => {
	const directory = path.dirname(url.fileURLToPath(import.meta.url));
	const file = path.join(directory, '../../examples/live.ini');
	const example = settings.readSettings(file, loadSettings.liveSchema);
	t.same(
		example.work.map((item) => item.name),
		['faults', 'contracts', 'availability'],
	);
	t.end();
});

tap.t.test('settings of a live run', (t) => {
	const parse = (text: string) => settings.parseSettings(text, 'f.ini', loadSettings.liveSchema);
	const target = '[target]\nentries = 127.0.0.1:1, 127.0.0.1:2\napiKey = a.b\n';
	const work = '[work-q]\nkind = model\nentry = q\nratePerSecond = 2\nmaxTokens = 5-9\n';
	t.match(parse(target + work), {
		target: {entries: ['127.0.0.1:1', '127.0.0.1:2']},
		work: [{name: 'q', maxTokens: {minimum: 5, maximum: 9}}],
	});
	t.throws(
		() => parse(target + work.replace('5-9', '9-5')),
		/\[work-q\], key "maxTokens": .*lower/u,
	);
	t.throws(() => parse(`${target}[works]\n`), /section \[works\]/u);
	t.throws(() => parse(work), /section \[target\]/u);
	t.end();
});
