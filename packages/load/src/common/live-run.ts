/** Open-loop load on live entry daemons. Latency counts from the intended arrival. */
import type * as clockModule from '@hawthornfront/base/common/clock.js';
import * as gatewayError from '@hawthornfront/base/common/gateway-error.js';
import * as httpClient from '@hawthornfront/base/common/http-client.js';
import * as randomModule from '@hawthornfront/base/common/random.js';
import * as openai from '@hawthornfront/standins/common/openai.js';
import * as answerCheck from './answer-check.js';
import * as measures from './measures.js';
import type * as workload from './workload.js';

/** One kind of live work. */
export type LiveWork = {
	name: string;
	/** Catalogue entry that is asked. */
	entry: string;
	ratePerSecond: number;
	timeoutMs: number;
} & (
	| {
			kind: 'model';
			sharedPromptTokens: number;
			ownPromptTokens: workload.Range;
			maxTokens: workload.Range;
	  }
	| {kind: 'service'; method: string; path: string; bodyBytes: number}
);

export type LiveOptions = {
	clock: clockModule.Clock;
	client: httpClient.HttpClient;
	seed: number;
	/** Entry daemons, `host:port`; requests go to them in turn. */
	entries: readonly string[];
	/** API key of the form `<team>.<secret>`. */
	apiKey: string;
	durationMs: number;
	work: readonly LiveWork[];
};

export type LiveResult = {
	classes: Record<string, measures.ClassSummary>;
	/** Answers that were not a success, by status; 0 when there was none. */
	failures: Record<string, number>;
};

const maxAnswerBytes = 16_777_216;
const okStatusLimit = 300;

type Call = {work: LiveWork; dueMs: number; peer: string; text: string; maxTokens: number};

type Outcome = {outcome: measures.Outcome; firstByteAtMs?: number; longestGapMs: number};

const buildRequest = (options: LiveOptions, call: Call): httpClient.HttpRequest => {
	const {work} = call;
	const headers = {
		authorization: `Bearer ${options.apiKey}`,
		'content-type': 'application/json',
		'hawthornfront-entry': work.entry,
		'request-timeout-ms': String(work.timeoutMs),
	};
	const common = {peer: call.peer, headers, timeoutMs: work.timeoutMs};
	if (work.kind === 'service') {
		const path = `/v1/services/${work.entry}/${work.path.replace(/^\//u, '')}`;
		const body = work.method === 'GET' ? undefined : JSON.stringify({text: call.text});
		return {...common, method: work.method, path, body};
	}

	const body = {
		model: work.entry,
		stream: true,
		max_tokens: call.maxTokens,
		messages: [{role: 'user', content: call.text}],
	};
	return {...common, method: 'POST', path: '/v1/chat/completions', body: JSON.stringify(body)};
};

/** Text of an answer to a request that failed; empty when it broke off. */
const readProblem = async (body: AsyncIterable<Uint8Array>): Promise<string> => {
	try {
		return await httpClient.readText(body, maxAnswerBytes);
	} catch {
		return '';
	}
};

/** What the caller was told about a request that failed. */
const outcomeOfProblem = (text: string): measures.Outcome => {
	try {
		const problem = gatewayError.problemSchema.safeParse(JSON.parse(text));
		return problem.success && problem.data.outcome === 'not-run' ? 'not-run' : 'unknown';
	} catch {
		return 'unknown';
	}
};

const readStream = async (
	clock: clockModule.Clock,
	body: AsyncIterable<Uint8Array>,
): Promise<Outcome> => {
	const check = answerCheck.createAnswerCheck();
	let firstByteAtMs: number | undefined;
	let lastAtMs: number | undefined;
	let longestGapMs = 0;
	try {
		for await (const bytes of body) {
			const before = check.parts;
			check.push(bytes);
			if (check.parts === before) {
				continue;
			}

			const nowMs = clock.nowMs();
			firstByteAtMs ??= nowMs;
			longestGapMs = Math.max(longestGapMs, nowMs - (lastAtMs ?? nowMs));
			lastAtMs = nowMs;
		}
	} catch {
		return {outcome: 'truncated', firstByteAtMs, longestGapMs};
	}

	const verdict = check.end();
	return {outcome: verdict === 'whole' ? 'answered' : verdict, firstByteAtMs, longestGapMs};
};

/** Runs until every request has ended. */
export const runLive = async (options: LiveOptions): Promise<LiveResult> => {
	const {clock, client, entries} = options;
	const random = randomModule.createRandom(options.seed);
	const recorder = measures.createRecorder();
	const failures: Record<string, number> = {};
	const startedAtMs = clock.nowMs();
	let nextEntry = 0;

	const noteFailure = (status: number) => {
		failures[status] = (failures[status] ?? 0) + 1;
	};

	const exchange = async (call: Call): Promise<Outcome> => {
		let answer;
		try {
			answer = await client.request(buildRequest(options, call));
		} catch (error) {
			noteFailure(0);
			const wasSent = !(error instanceof httpClient.HttpClientError) || error.mayHaveBeenSent;
			return {outcome: wasSent ? 'unknown' : 'not-run', longestGapMs: 0};
		}

		if (answer.status >= okStatusLimit) {
			noteFailure(answer.status);
			const text = await readProblem(answer.body);
			return {outcome: outcomeOfProblem(text), longestGapMs: 0};
		}

		if (call.work.kind === 'model') {
			return readStream(clock, answer.body);
		}

		const firstByteAtMs = clock.nowMs();
		try {
			await httpClient.readText(answer.body, maxAnswerBytes);
			return {outcome: 'answered', firstByteAtMs, longestGapMs: 0};
		} catch {
			return {outcome: 'truncated', firstByteAtMs, longestGapMs: 0};
		}
	};

	const perform = async (call: Call): Promise<void> => {
		const result = await exchange(call);
		// A request without an answer counts with its whole time limit.
		const endedAtMs =
			result.outcome === 'answered' ? clock.nowMs() : call.dueMs + call.work.timeoutMs;
		recorder.record({
			workClass: call.work.name,
			outcome: result.outcome,
			waitMs: (result.firstByteAtMs ?? endedAtMs) - call.dueMs,
			latencyMs: endedAtMs - call.dueMs,
			longestGapMs: result.longestGapMs,
			stretch: 0,
		});
	};

	const drawCall = (work: LiveWork, dueMs: number): Call => {
		const peer = entries[nextEntry++ % entries.length]!;
		const own = random.integer(1, 2 ** 30);
		if (work.kind === 'service') {
			const text = openai.answerText(own, 0, Math.ceil(work.bodyBytes / 5));
			return {work, dueMs, peer, text, maxTokens: 0};
		}

		const {minimum, maximum} = work.ownPromptTokens;
		const shared = openai.answerText(0, 0, work.sharedPromptTokens);
		const text = shared + openai.answerText(own, 0, random.integer(minimum, maximum));
		const maxTokens = random.integer(work.maxTokens.minimum, work.maxTokens.maximum);
		return {work, dueMs, peer, text, maxTokens};
	};

	const offer = async (work: LiveWork): Promise<void> => {
		const calls: Array<Promise<void>> = [];
		const meanGapMs = 1000 / work.ratePerSecond;
		const endMs = startedAtMs + options.durationMs;
		let dueMs = startedAtMs + random.exponential(meanGapMs);
		while (dueMs < endMs) {
			await clock.sleep(Math.max(0, dueMs - clock.nowMs()));
			calls.push(perform(drawCall(work, dueMs)));
			dueMs += random.exponential(meanGapMs);
		}

		await Promise.all(calls);
	};

	await Promise.all(options.work.map(async (work) => offer(work)));
	return {classes: recorder.summary(), failures};
};
