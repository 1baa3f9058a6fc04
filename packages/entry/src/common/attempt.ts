/** One attempt of a request: a stream from one peer, with stall detection and cancellation. */
import type * as clock from '@hawthornfront/base/common/clock.js';
import * as disposable from '@hawthornfront/base/common/disposable.js';
import * as event from '@hawthornfront/base/common/event.js';
import * as httpClient from '@hawthornfront/base/common/http-client.js';
import type * as runnerClient from './runner-client.js';
import * as stallDetector from './stall-detector.js';

/** Peer of an attempt: an upstream of this region, or a daemon of another region. */
export type AttemptSource = {
	/** Name of the upstream or region. */
	name: string;
	/** `host:port`. */
	address: string;
	path: string;
	headers: Record<string, string>;
	/** Members that replace members of the request body. */
	bodyMembers?: Record<string, unknown>;
	onDidPreempt: event.Event<void>;
	noteFirstToken(): void;
	noteTokens(count: number): void;
	/** Called exactly once. */
	release(result: 'answered' | 'failed' | 'cancelled'): void;
};

/** Reason for which the daemon ended an attempt. */
export class AttemptInterrupted extends Error {
	readonly reason: 'preempted' | 'stalled' | 'lost-race' | 'caller';

	constructor(reason: AttemptInterrupted['reason'], detail: string) {
		super(detail);
		this.name = 'AttemptInterrupted';
		this.reason = reason;
	}
}

export type AttemptSettings = {
	/** Time without a first token after which the search for another upstream starts. */
	firstTokenTimeoutMs: number;
	/** Gap between tokens after which the search for another upstream starts. */
	stallTimeoutMs: number;
};

/** Time that a stream has to end after its terminal marker. */
const endTimeoutMs = 1000;

export type Attempt = {
	readonly source: AttemptSource;
	/** False only while no byte can have been sent to the peer. */
	readonly mayHaveRun: boolean;
	/** True while no part has arrived for longer than the stall limit. */
	readonly isStalled: boolean;
	readonly hasEnded: boolean;
	/** Fires each time the stall limit passes without a part. The attempt continues, because a late answer is better than none. */
	readonly onDidStall: event.Event<void>;
	/** Fires when a part arrives after a stall. */
	readonly onDidRecover: event.Event<void>;
	/** Next part, or undefined after the end of the stream. @throws when the attempt failed or was interrupted. */
	next(): Promise<runnerClient.StreamPart | undefined>;
	/** Ends the attempt and releases its slot. Later calls have no effect. */
	end(result: 'answered' | 'failed' | 'cancelled', reason?: AttemptInterrupted): void;
};

export type AttemptServices = {
	clock: clock.Clock;
	client: runnerClient.RunnerClient;
	settings: AttemptSettings;
};

/** Starts an attempt. The stream is opened immediately and read only on demand. */
export const startAttempt = (
	services: AttemptServices,
	source: AttemptSource,
	limits: AttemptSettings,
	request: Omit<runnerClient.RunnerRequest, 'address' | 'path' | 'headers' | 'signal' | 'onSent'>,
	callerSignal: AbortSignal,
): Attempt => {
	const {clock, client} = services;
	const controller = new AbortController();
	const resources = disposable.createDisposableStore();
	const didStall = resources.add(event.createEmitter<void>());
	const didRecover = resources.add(event.createEmitter<void>());
	let hasEnded = false;
	let isStalled = false;
	let hasFirstToken = false;
	let mayHaveRun = false;
	let endReason: Error | undefined;
	let parts: AsyncIterator<runnerClient.StreamPart> | undefined;
	let rejectPending: ((reason: Error) => void) | undefined;

	const end: Attempt['end'] = (result, reason) => {
		if (hasEnded) {
			return;
		}

		hasEnded = true;
		resources.dispose();
		// A stalled upstream counts as failed, whatever ended the attempt.
		source.release(result === 'cancelled' && isStalled ? 'failed' : result);
		if (result === 'answered') {
			void readToEnd();
		} else {
			endReason = reason ?? new AttemptInterrupted('lost-race', 'the attempt was ended');
			controller.abort(endReason);
			rejectPending?.(endReason);
		}
	};

	const onCallerAbort = () => {
		end('cancelled', new AttemptInterrupted('caller', 'the caller has gone'));
	};

	callerSignal.addEventListener('abort', onCallerAbort, {once: true});
	resources.add(
		disposable.toDisposable(() => {
			callerSignal.removeEventListener('abort', onCallerAbort);
		}),
	);
	resources.add(
		source.onDidPreempt(() => {
			const reason = new AttemptInterrupted('preempted', `${source.name} pre-empted the stream`);
			end('cancelled', reason);
		}),
	);
	const detector = resources.add(
		stallDetector.createStallDetector(clock, () => {
			isStalled = true;
			didStall.fire();
		}),
	);

	const opened = client.open({
		...request,
		body: {...request.body, ...source.bodyMembers},
		address: source.address,
		path: source.path,
		headers: source.headers,
		signal: controller.signal,
		onSent() {
			mayHaveRun = true;
		},
	});
	const iterator = opened.then((parts) => parts[Symbol.asyncIterator]());
	iterator.catch((error: unknown) => {
		if (error instanceof httpClient.HttpClientError && !error.mayHaveBeenSent) {
			mayHaveRun = false;
		}
	});

	/**
	 * Reads the stream to its end after the terminal marker, so that the connection can
	 * be reused and a daemon of another region detects that its stream was read in full.
	 */
	const readToEnd = async (): Promise<void> => {
		const limit = clock.setTimer(() => {
			controller.abort(new AttemptInterrupted('stalled', 'the stream has no end'));
		}, endTimeoutMs);
		try {
			const rest = await iterator;
			let result = await rest.next();
			while (!result.done) {
				result = await rest.next();
			}
		} catch {
			// The answer is already complete.
		} finally {
			limit.dispose();
		}
	};

	const read = async (): Promise<IteratorResult<runnerClient.StreamPart>> => {
		parts ??= await iterator;
		return parts.next();
	};

	/** Reads one part; rejects immediately when the attempt ends in the meantime. */
	const readUnlessEnded = async (): Promise<IteratorResult<runnerClient.StreamPart>> =>
		new Promise((resolve, reject) => {
			if (endReason) {
				reject(endReason);
				return;
			}

			rejectPending = reject;
			read().then(resolve, reject);
		});

	if (callerSignal.aborted) {
		onCallerAbort();
	}

	return {
		source,
		get mayHaveRun() {
			return mayHaveRun;
		},
		get isStalled() {
			return isStalled;
		},
		get hasEnded() {
			return hasEnded;
		},
		onDidStall: didStall.event,
		onDidRecover: didRecover.event,
		async next() {
			detector.begin(hasFirstToken ? limits.stallTimeoutMs : limits.firstTokenTimeoutMs);
			const result = await readUnlessEnded();
			detector.end();
			if (isStalled) {
				isStalled = false;
				didRecover.fire();
			}

			if (result.done) {
				return undefined;
			}

			const part = result.value;
			if (part.kind === 'token') {
				if (!hasFirstToken) {
					hasFirstToken = true;
					source.noteFirstToken();
				}

				source.noteTokens(1);
			}

			return part;
		},
		end,
	};
};
