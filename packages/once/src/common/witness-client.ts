/** The owner's and the resolver's calls to witnesses, each bounded in time and attempts. */
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

/** Disposing it ends calls and retries in progress. */
export type WitnessClient = disposable.Disposable & {
	recordIntent(
		witness: key.Peer,
		params: zod.infer<typeof onceMethods.intent.params>,
	): Promise<IntentOutcome>;
	/** True when the witness holds the result. */
	sendCompletion(witness: key.Peer, params: HandoffRecord): Promise<boolean>;
	/** Number of records taken; undefined when the peer did not answer. */
	handOff(peer: key.Peer, records: HandoffRecord[]): Promise<number | undefined>;
	/** Undefined when the peer did not answer. */
	resolve(
		peer: key.Peer,
		params: zod.infer<typeof onceMethods.resolve.params>,
	): Promise<onceMethods.WireResolution | undefined>;
};

const retryPauseMs = 50;

/** Creates a client. */
export const createWitnessClient = (options: WitnessClientOptions): WitnessClient => {
	const {clock, rpcClient, settings: limits} = options;
	// One signal for all calls would collect a listener for each call in progress.
	const inProgress = new Set<AbortController>();
	let isDisposed = false;

	const open = (): AbortController => {
		const controller = new AbortController();
		inProgress.add(controller);
		return controller;
	};

	// The limit of an HTTP client ends with the headers, so a peer that stops in
	// the middle of a body needs this limit on the whole call.
	const callWithin = async <Params extends zod.ZodType, Result extends zod.ZodType>(
		peer: key.Peer,
		method: rpc.RpcMethod<Params, Result>,
		params: zod.infer<Params>,
		timeoutMs: number,
	): Promise<zod.infer<Result> | undefined> => {
		const ended = open();
		const timer = clock.setTimer(() => {
			ended.abort(new Error(`${method.name} took longer than ${timeoutMs} ms`));
		}, timeoutMs);
		const endedFirst = new Promise<undefined>((resolve) => {
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
			return await Promise.race([call(), endedFirst]);
		} finally {
			timer.dispose();
			inProgress.delete(ended);
		}
	};

	const repeat = async <Value>(
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
				await pause(attempt);
			}
		}

		return undefined;
	};

	const pause = async (attempt: number) => {
		const ended = open();
		try {
			await clock.sleep(retryPauseMs * attempt, ended.signal);
		} catch {
			// The client was disposed, which ends the loop too.
		} finally {
			inProgress.delete(ended);
		}
	};

	return {
		async recordIntent(witness, params) {
			const result = await repeat(limits.intentAttempts, async () =>
				callWithin(witness, onceMethods.intent, params, limits.intentTimeoutMs),
			);
			return result ?? {kind: 'lost'};
		},
		async sendCompletion(witness, params) {
			const result = await repeat(limits.completionAttempts, async () =>
				callWithin(witness, onceMethods.complete, params, limits.completionTimeoutMs),
			);
			return result?.isStored ?? false;
		},
		async handOff(peer, records) {
			const result = await repeat(limits.completionAttempts, async () =>
				callWithin(peer, onceMethods.handoff, {records}, limits.completionTimeoutMs),
			);
			return result?.accepted;
		},
		async resolve(peer, params) {
			return repeat(limits.resolveAttempts, async () =>
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
