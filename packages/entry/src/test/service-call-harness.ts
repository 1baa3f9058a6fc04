/** Harness for tests of plain service calls. */
import * as gatewayError from '@hawthornfront/base/common/gateway-error.js';
import * as httpClient from '@hawthornfront/base/common/http-client.js';
import * as manualClock from '@hawthornfront/base/common/manual-clock.js';
import type * as types from '@hawthornfront/decisions/common/types.js';
import * as deadline from '../common/deadline.js';
import type * as engineServices from '../common/engine-services.js';
import type * as requestContext from '../common/request-context.js';
import * as serviceAttempts from '../common/service-attempts.js';

/** Timeout of the call. */
export const timeoutMs = 1000;

/** Behaviour of a service; by default it answers 200 immediately. */
export type Script = {delayMs?: number; status?: number};

export type Options = {
	scripts: Record<string, Script>;
	names?: string[];
	isIdempotent?: boolean;
	mayRetry?: boolean;
	hedgeDelayMs?: number;
	/** Time until a slot after the first one is acquired. */
	slotDelayMs?: number;
};

/** Runs one call on a manual clock against scripted services. */
export const run = async (options: Options) => {
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
			// The client holds no connections.
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
					await clock.sleep(options.slotDelayMs ?? 0, signal);
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
