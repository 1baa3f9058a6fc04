/** Calls of owners and resolvers to witnesses, each limited in time and attempts. */
import type * as clock from '@hawthornfront/base/common/clock.js';
import type * as disposable from '@hawthornfront/base/common/disposable.js';
import * as onceMethods from '@hawthornfront/protocol/common/once-methods.js';
import type * as rpc from '@hawthornfront/protocol/common/rpc.js';
import type * as zod from 'zod';
import type * as key from './key.js';
import type * as settings from './settings.js';

export type IntentOutcome =
	| {kind: 'recorded'}
	| {kind: 'refused'; reason: onceMethods.Refusal}
	/** No answer; the intent may be recorded or may still arrive. */
	| {kind: 'lost'};

export type HandoffRecord = zod.infer<typeof onceMethods.complete.params>;

export type WitnessClientOptions = {
	clock: clock.Clock;
	rpcClient: rpc.RpcClient;
	settings: settings.OnceSettings;
};

/** Disposing the client aborts calls and retries in progress. */
export type WitnessClient = disposable.Disposable & {
	recordIntent(
		witness: key.Peer,
		params: zod.infer<typeof onceMethods.intent.params>,
	): Promise<IntentOutcome>;
	/** True when the witness holds the result. */
	sendCompletion(witness: key.Peer, params: HandoffRecord): Promise<boolean>;
	/** Number of records accepted; undefined when the peer did not answer. */
	handOff(peer: key.Peer, records: HandoffRecord[]): Promise<number | undefined>;
	/** Undefined when the peer did not answer. */
	resolve(
		peer: key.Peer,
		params: zod.infer<typeof onceMethods.resolve.params>,
	): Promise<onceMethods.WireResolution | undefined>;
};

const retryPauseMs = 50;

export const createWitnessClient = (options: WitnessClientOptions): WitnessClient => {
	const {clock, rpcClient, settings: limits} = options;
	// Each call has its own controller: a shared signal would accumulate listeners.
	const inProgress = new Set<AbortController>();
	let isDisposed = false;

	const trackController = (): AbortController => {
		const controller = new AbortController();
		inProgress.add(controller);
		return controller;
	};

	// The timeout of an HTTP client covers only the headers. This timeout covers the
	// whole call, so that it also ends when a peer stalls in the middle of a body.
	const callWithin = async <Params extends zod.ZodType, Result extends zod.ZodType>(
		peer: key.Peer,
		method: rpc.RpcMethod<Params, Result>,
		params: zod.infer<Params>,
		timeoutMs: number,
	): Promise<zod.infer<Result> | undefined> => {
		const ended = trackController();
		const timer = clock.setTimer(() => {
			ended.abort(new Error(`${method.name} took longer than ${timeoutMs} ms`));
		}, timeoutMs);
		const aborted = new Promise<undefined>((resolve) => {
			ended.signal.addEventListener('abort', () => {
				resolve(undefined);
			});
		});
		const call = async () => {
			try {
				const options = {timeoutMs, signal: ended.signal};
				return await rpcClient.call(peer.address, method, params, options);
			} catch {
				return undefined;
			}
		};

		try {
			return await Promise.race([call(), aborted]);
		} finally {
			timer.dispose();
			inProgress.delete(ended);
		}
	};

	const retry = async <Value>(
		attempts: number,
		call: () => Promise<Value | undefined>,
	): Promise<Value | undefined> => {
		for (let attempt = 1; attempt <= attempts; attempt++) {
			if (isDisposed) {
				return undefined;
			}

			const value = await call();
			if (value !== undefined) {
				return value;
			}

			if (attempt < attempts) {
				await waitBeforeRetry(attempt);
			}
		}

		return undefined;
	};

	const waitBeforeRetry = async (attempt: number) => {
		const ended = trackController();
		try {
			await clock.sleep(retryPauseMs * attempt, ended.signal);
		} catch {
			// The client was disposed, which also ends the retry loop.
		} finally {
			inProgress.delete(ended);
		}
	};

	return {
		async recordIntent(witness, params) {
			const result = await retry(limits.intentAttempts, async () =>
				callWithin(witness, onceMethods.intent, params, limits.intentTimeoutMs),
			);
			return result ?? {kind: 'lost'};
		},
		async sendCompletion(witness, params) {
			const result = await retry(limits.completionAttempts, async () =>
				callWithin(witness, onceMethods.complete, params, limits.completionTimeoutMs),
			);
			return result?.isStored ?? false;
		},
		async handOff(peer, records) {
			const result = await retry(limits.completionAttempts, async () =>
				callWithin(peer, onceMethods.handoff, {records}, limits.completionTimeoutMs),
			);
			return result?.accepted;
		},
		async resolve(peer, params) {
			return retry(limits.resolveAttempts, async () =>
				callWithin(peer, onceMethods.resolve, params, limits.resolveTimeoutMs),
			);
		},
		dispose() {
			isDisposed = true;
			for (const controller of inProgress) {
				controller.abort(new Error('the client was disposed'));
			}
		},
	};
};
