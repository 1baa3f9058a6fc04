/** One attempt of a request at one runner of an experiment. */
import type * as clockModule from '@hawthornfront/base/common/clock.js';
import * as disposable from '@hawthornfront/base/common/disposable.js';
import type * as chunkBuffer from '@hawthornfront/standins/common/chunk-buffer.js';
import type * as runnerModel from '@hawthornfront/standins/common/runner-model.js';
import type * as runnerTypes from '@hawthornfront/standins/common/runner-types.js';
import type * as policyModule from './policy.js';

// One-way delays between an entry daemon and a runner (design page, section 1).
const hopInRegionMs = 0.5;
const hopBetweenRegionsMs = 50;

export type AttemptEnd = 'answered' | 'failed' | 'pre-empted' | 'lost-race' | 'stopped';

export type Attempt = {
	readonly upstream: string;
	readonly isRemote: boolean;
	readonly dispatchedAtMs: number;
	/** Resolves when the attempt is over and its assignment released. */
	readonly ended: Promise<AttemptEnd>;
	/** Ends the attempt because another one was first. */
	loseRace(): void;
};

export type AttemptOptions = {
	clock: clockModule.Clock;
	assignment: policyModule.PolicyAssignment;
	model: runnerModel.RunnerModel;
	generation: runnerTypes.GenerationRequest;
	/** Region of the caller. */
	region: string;
	/** Ends the attempt with the experiment. */
	signal: AbortSignal;
	/** Called before the first chunk of tokens; false when another attempt was first. */
	onFirstToken(attempt: Attempt): boolean;
	/** Takes tokens at the time at which the entry daemon has them. */
	onTokens(chunk: Extract<chunkBuffer.Chunk, {kind: 'tokens'}>, atMs: number): void;
	onEnd(atMs: number): void;
};

const releaseResults = {
	answered: 'answered',
	failed: 'failed',
	'pre-empted': 'cancelled',
	'lost-race': 'cancelled',
	stopped: 'cancelled',
} as const;

/** Starts an attempt. */
export const startAttempt = (options: AttemptOptions): Attempt => {
	const {clock, assignment, signal} = options;
	const owned = disposable.createDisposableStore();
	const cancelling = new AbortController();
	let end: AttemptEnd = 'failed';
	const cancel = (reason: AttemptEnd) => {
		if (!cancelling.signal.aborted) {
			end = reason;
			cancelling.abort(new Error(reason));
		}
	};

	const isRemote = assignment.upstream.region !== options.region;
	const hopMs = isRemote ? hopBetweenRegionsMs : hopInRegionMs;

	/** False when another attempt was first. */
	const readChunk = (chunk: chunkBuffer.Chunk, isFirst: boolean): boolean => {
		const atMs = clock.nowMs() + hopMs;
		if (chunk.kind === 'end') {
			options.onEnd(atMs);
			return true;
		}

		if (isFirst) {
			if (!options.onFirstToken(attempt)) {
				cancel('lost-race');
				return false;
			}

			assignment.noteFirstToken();
		}

		options.onTokens(chunk, atMs);
		assignment.noteTokens(chunk.count);
		return true;
	};

	const run = async (): Promise<AttemptEnd> => {
		try {
			await clock.sleep(hopMs, cancelling.signal);
			let isFirst = true;
			for await (const chunk of options.model.generate(options.generation, cancelling.signal)) {
				if (!readChunk(chunk, isFirst)) {
					break;
				}

				isFirst = false;
			}

			end = cancelling.signal.aborted ? end : 'answered';
		} catch {
			// The reason was noted when the attempt was cancelled; otherwise the runner failed.
		} finally {
			owned.dispose();
			assignment.release(releaseResults[end]);
		}

		return end;
	};

	const onStop = () => {
		cancel('stopped');
	};

	signal.addEventListener('abort', onStop);
	owned.add({
		dispose() {
			signal.removeEventListener('abort', onStop);
		},
	});
	owned.add(
		assignment.onDidPreempt(() => {
			cancel('pre-empted');
		}),
	);
	const attempt: Attempt = {
		upstream: assignment.upstream.name,
		isRemote,
		dispatchedAtMs: clock.nowMs(),
		loseRace() {
			cancel('lost-race');
		},
		ended: run(),
	};
	return attempt;
};
