// Guards against calls whose answer is given up although no other upstream can give one.
import * as tap from 'tap';
import * as gatewayError from '@hawthornfront/base/common/gateway-error.js';
import * as httpClient from '@hawthornfront/base/common/http-client.js';
import * as manualClock from '@hawthornfront/base/common/manual-clock.js';
import type * as types from '@hawthornfront/decisions/common/types.js';
import * as deadline from '../common/deadline.js';
import type * as engineServices from '../common/engine-services.js';
import type * as requestContext from '../common/request-context.js';
import * as serviceAttempts from '../common/service-attempts.js';

const timeoutMs = 1000;

/** What a service does with a call; 200 at once when nothing is said. */
type Script = {delayMs?: number; status?: number};

type Options = {
	scripts: Record<string, Script>;
	names?: string[];
	isIdempotent?: boolean;
	mayRetry?: boolean;
	hedgeDelayMs?: number;
	/** Wait for a slot after the first one. */
	placeAfterMs?: number;
};

const run = async (options: Options) => {
	const clock = new manualClock.ManualClock();
	const calls: string[] = [];
	const releases: string[] = [];
	const assign = (item: types.WorkItem): types.Assignment | undefined => {
		const name = (options.names ?? ['a', 'b']).find((candidate) => !item.excluded.has(candidate));
		return name === undefined
			? undefined
			: ({
					upstream: {name, address: name},
					noteFirstToken() {},
					release(result: string) {
						releases.push(`${name} ${result}`);
					},
				} as unknown as types.Assignment);
	};

	class Client extends httpClient.HttpClient {
		override async request({peer, signal}: httpClient.HttpRequest) {
			calls.push(peer);
			const {delayMs, status} = options.scripts[peer] ?? {};
			try {
				await clock.sleep(delayMs ?? 0, signal);
			} catch (error) {
				throw new httpClient.HttpClientError('aborted', peer, true, error);
			}

			const body = (async function* () {
				yield new TextEncoder().encode(peer);
			})();
			return {status: status ?? 200, headers: {}, body};
		}

		override async close() {
			// Nothing is open.
		}
	}

	const limit = deadline.createDeadlineSignal(clock, timeoutMs);
	const services = {
		clock,
		httpClient: new Client(),
		cdnLoopIdentifier: 'test',
		counters: {countHedge() {}},
		repetition: {
			hedgeDelayMs: () => options.hedgeDelayMs,
			tryHedge: () => true,
			tryRetry: () => options.mayRetry ?? true,
			noteLatency() {},
		},
		scheduler: {
			async acquire(item: types.WorkItem, signal: AbortSignal) {
				if (calls.length > 0) {
					await clock.sleep(options.placeAfterMs ?? 0, signal);
				}

				const assignment = assign(item);
				if (!assignment) {
					throw new gatewayError.GatewayException({
						kind: 'no-upstream',
						retryAfterMs: 1,
						step: 'queued',
						peer: '',
						outcome: 'not-run',
						detail: 'none',
					});
				}

				return assignment;
			},
			acquireNow: assign,
		},
	} as unknown as engineServices.EngineServices;
	const context = {
		entry: {idempotent: options.isIdempotent ?? true, workClass: 'service', oldSetupShare: 0},
		request: {method: 'GET', headers: {}, isForwarded: false},
	} as unknown as requestContext.EntryContext;
	const answering = serviceAttempts
		.runWithRetries({
			services,
			context,
			path: '/',
			body: new Uint8Array(),
			signal: limit.signal,
			item: {
				workClass: 'service',
				team: 't',
				model: 's',
				estimatedTokens: 1,
				deadlineAtMs: timeoutMs,
				canBePreempted: false,
				excluded: new Set(),
			},
		})
		.then(({status, body}) => `${status} ${new TextDecoder().decode(body as Uint8Array)}`)
		.catch((error: unknown) =>
			error instanceof gatewayError.GatewayException ? error.error.kind : String(error),
		);
	await clock.advance(2 * timeoutMs);
	const answer = await answering;
	limit.dispose();
	return {answer, calls, releases, pendingTimers: clock.pendingTimers};
};

for (const [name, options] of Object.entries<Partial<Options>>({
	'without another upstream': {names: ['a']},
	'when the retry budget is spent': {mayRetry: false},
	'when it may not be repeated': {isIdempotent: false},
	'while no slot is free': {placeAfterMs: 2000},
	'that answers before a slot is free': {placeAfterMs: 300},
})) {
	tap.t.test(`late call ${name} goes on`, async (t) => {
		const result = await run({scripts: {a: {delayMs: 700}}, ...options});
		t.equal(result.answer, '200 a');
		t.same(result.calls, ['a']);
		t.equal(result.releases[0], result.releases.length > 1 ? 'b cancelled' : 'a answered');
		t.equal(result.pendingTimers, 0);
	});
}

tap.t.test('late call is given to another upstream that has a slot', async (t) => {
	const result = await run({scripts: {a: {delayMs: 1e8}}});
	t.equal(result.answer, '200 b');
	t.same(result.calls, ['a', 'b']);
	t.same(result.releases, ['a failed', 'b answered']);
	t.equal(result.pendingTimers, 0);
});

tap.t.test('call that hangs everywhere ends at its deadline', async (t) => {
	const hangs = {delayMs: 1e8};
	const result = await run({scripts: {a: hangs, b: hangs}});
	t.equal(result.answer, 'upstream-failed');
	t.same(result.calls, ['a', 'b']);
	t.same(result.releases, ['a failed', 'b failed']);
	t.equal(result.pendingTimers, 0);
});

// Guards against a running call that is cancelled for a hedge which the upstream did not answer well.
for (const status of [429, 500, 503]) {
	tap.t.test(`hedge answered with ${status} does not end the first attempt`, async (t) => {
		const result = await run({
			hedgeDelayMs: 50,
			mayRetry: false,
			scripts: {a: {delayMs: 200}, b: {status}},
		});
		t.equal(result.answer, '200 a');
		t.same(result.calls, ['a', 'b']);
		t.ok(result.releases.includes('a answered'));
	});
}

tap.t.test('failure of one attempt and error of the other give the failure', async (t) => {
	const result = await run({
		hedgeDelayMs: 50,
		mayRetry: false,
		scripts: {a: {delayMs: 200, status: 503}, b: {status: 500}},
	});
	t.equal(result.answer, '500 b');
});

tap.t.test('faster hedge wins and cancels the first attempt', async (t) => {
	const result = await run({hedgeDelayMs: 50, scripts: {a: {delayMs: 400}}});
	t.equal(result.answer, '200 b');
	t.same(result.releases, ['b answered', 'a cancelled']);
});
