/** Harness for tests of model answers. */
import * as gatewayError from '@hawthornfront/base/common/gateway-error.js';
import * as manualClock from '@hawthornfront/base/common/manual-clock.js';
import * as modelAnswer from '../common/model-answer.js';
import * as fakeRunner from './fake-runner.js';

/** Number of tokens in a complete answer. */
export const length = 6;

export type Options = {
	scripts?: Record<string, fakeRunner.Script[]>;
	names?: string[];
	hedgeDelayMs?: number;
	isIdempotent?: boolean;
	cannotResume?: string[];
	mayRetry?: boolean;
	/** Time until a slot after the first one is acquired. */
	slotDelayMs?: number;
	/** Time after which the first source is preempted. */
	preemptAfterMs?: number;
};

/** Reads one answer on a manual clock from scripted runners. */
export const run = async (options: Options) => {
	const clock = new manualClock.ManualClock();
	const runners = fakeRunner.createFakeRunners(clock, length, options.scripts ?? {});
	const names = options.names ?? ['a', 'b', 'c'];
	const sources: fakeRunner.FakeSource[] = [];
	const takeSource = (excluded: ReadonlySet<string>) => {
		const name = names.find((candidate) => !excluded.has(candidate));
		if (name === undefined) {
			throw new gatewayError.GatewayException({
				kind: 'no-upstream',
				retryAfterMs: 1,
				step: 'queued',
				peer: '',
				outcome: 'not-run',
				detail: 'none',
			});
		}

		const source = fakeRunner.createFakeSource(name);
		sources.push(source);
		return source;
	};

	const parts = modelAnswer.streamAnswer(
		{
			clock,
			client: runners.client,
			settings: {firstTokenTimeoutMs: 1000, stallTimeoutMs: 200},
		},
		{
			requestId: 'r',
			body: {},
			priority: 0,
			firstToken: 0,
			isIdempotent: options.isIdempotent ?? true,
			deadlineAtMs: 5000,
			signal: new AbortController().signal,
			async acquire(excluded) {
				if (sources.length > 0 && options.slotDelayMs !== undefined) {
					await clock.sleep(options.slotDelayMs);
				}

				return takeSource(excluded);
			},
			acquireHedge: (excluded) => takeSource(excluded),
			hedgeDelayMs: () => options.hedgeDelayMs,
			tryRetry: () => options.mayRetry ?? true,
			cannotResume: () => options.cannotResume ?? [],
			noteHedge() {},
			noteResume() {},
		},
	);
	const tokens: number[] = [];
	let error: gatewayError.GatewayError | undefined;
	let isComplete = false;
	const reading = (async () => {
		try {
			for await (const part of parts) {
				if (part.kind === 'token') {
					tokens.push(part.index);
				} else {
					isComplete = true;
				}
			}
		} catch (error_) {
			error = error_ instanceof gatewayError.GatewayException ? error_.error : undefined;
		}
	})();
	if (options.preemptAfterMs !== undefined) {
		await clock.advance(options.preemptAfterMs);
		sources[0]?.preempt();
	}

	await clock.advance(10_000);
	await reading;
	return {tokens, error, isComplete, sources, runners, pendingTimers: clock.pendingTimers};
};
