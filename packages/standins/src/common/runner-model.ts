/**
 * Continuous batching of a model runner on an injected clock. Benchmarks use
 * it in process on virtual time; the HTTP stand-in serves the same model.
 */
import type * as clockModule from '@hawthornfront/base/common/clock.js';
import * as disposable from '@hawthornfront/base/common/disposable.js';
import * as randomModule from '@hawthornfront/base/common/random.js';
import * as batchPlan from './batch-plan.js';
import * as chunkBuffer from './chunk-buffer.js';
import * as lagged from './lagged.js';
import * as prefixCache from './prefix-cache.js';
import * as runnerOrders from './runner-orders.js';
import * as runnerTypes from './runner-types.js';
import * as sequenceSet from './sequence-set.js';
import * as tokens from './tokens.js';

export type RunnerModel = disposable.Disposable & {
	readonly faults: runnerTypes.RunnerFaults;
	readonly counts: runnerTypes.RunnerCounts;
	readonly orders: runnerOrders.OrderBook;
	/**
	 * Starts a generation. A reader that stops early cancels it.
	 * @throws {@link chunkBuffer.GenerationError} when the runner does not accept it
	 */
	generate(
		request: runnerTypes.GenerationRequest,
		signal?: AbortSignal,
	): AsyncIterable<chunkBuffer.Chunk>;
	/** Ends a generation; false when there is none of this id. */
	cancel(requestId: string): boolean;
	load(): runnerTypes.RunnerLoad;
	cacheEvents(after: number): {events: lagged.CacheEvent[]; last: number};
	/** Loses every generation and the prefix cache; refuses work until {@link restart}. */
	crash(): void;
	restart(): void;
};

type Step = {
	plan: batchPlan.BatchPlan<sequenceSet.Sequence>;
	startedAtMs: number;
	iterationMs: number;
	timer: disposable.Disposable;
};

/** Creates a runner without transport. */
export const createRunnerModel = (options: {
	clock: clockModule.Clock;
	seed: number;
	settings?: Partial<runnerTypes.RunnerSettings>;
}): RunnerModel => {
	const {clock} = options;
	const settings = {...runnerTypes.defaultRunnerSettings, ...options.settings};
	const random = randomModule.createRandom(options.seed);
	let step: Step | undefined;
	let isCrashed = false;
	let isHanging = false;

	const faults: runnerTypes.RunnerFaults = {
		slowFactor: 1,
		get hang() {
			return isHanging;
		},
		set hang(value) {
			isHanging = value;
			schedule();
		},
		leaving: false,
		refuse: false,
		cacheEventLagMs: 0,
		cacheEventGapProbability: 0,
	};

	const counts: runnerTypes.RunnerCounts = {
		received: 0,
		receivedWhileLeaving: 0,
		refused: 0,
		executions: new Map(),
		answered: 0,
		cancelled: 0,
		tokensGenerated: 0,
		prefillTokensComputed: 0,
		prefillTokensCached: 0,
		get busySlotMs() {
			return sequences.busySlotMs;
		},
	};

	const cacheLog = lagged.createCacheEventLog(clock, random, faults, settings.maxCacheEvents);
	const cache = prefixCache.createPrefixCache(settings.cacheBlocks, cacheLog.append);
	const state = lagged.createLaggedValue(clock, {running: 0, waiting: 0}, settings.loadLagMs);
	const orders = runnerOrders.createOrderBook(clock, settings, () => {
		cache.clear();
	});

	const sequences = sequenceSet.createSequenceSet(clock, (running, waiting) => {
		state.set({running, waiting});
	});

	const admit = (sequence: sequenceSet.Sequence) => {
		const {request} = sequence;
		counts.executions.set(request.requestId, (counts.executions.get(request.requestId) ?? 0) + 1);
		const blocks = cache.match(request.prompt.prefixBlocks);
		// At least one token is computed, since its result gives the next one.
		const cacheableTokens = Math.max(0, request.prompt.tokens - 1);
		sequence.cachedTokens = Math.min(blocks * tokens.tokensPerBlock, cacheableTokens);
		const computed = request.prompt.tokens - sequence.cachedTokens;
		sequence.prefillLeft = computed + request.resumeFromToken;
		counts.prefillTokensCached += sequence.cachedTokens;
	};

	const emit = (sequence: sequenceSet.Sequence, count: number) => {
		sequence.buffer.push({kind: 'tokens', tokenIndex: sequence.nextToken, count});
		sequence.nextToken += count;
		sequence.decodeLeft -= count;
		counts.tokensGenerated += count;
	};

	const finishIfDone = (sequence: sequenceSet.Sequence) => {
		if (sequence.decodeLeft > 0 || !sequences.remove(sequence)) {
			return;
		}

		counts.answered++;
		const {request} = sequence;
		sequence.buffer.push({
			kind: 'end',
			finishReason: request.finishReason,
			usage: {
				promptTokens: request.prompt.tokens,
				cachedTokens: sequence.cachedTokens,
				completionTokens: request.outputTokens,
			},
		});
	};

	const completeStep = (plan: Step['plan']) => {
		step = undefined;
		const live = new Set(sequences.running);
		for (const {member, tokens: count} of plan.prefill) {
			if (!live.has(member)) {
				continue;
			}

			member.prefillLeft -= count;
			counts.prefillTokensComputed += count;
			if (member.prefillLeft === 0) {
				cache.store(member.request.prompt.prefixBlocks);
				if (member.decodeLeft > 0) {
					emit(member, 1);
				}

				finishIfDone(member);
			}
		}

		for (const member of plan.decode) {
			if (live.has(member)) {
				emit(member, plan.iterations);
				finishIfDone(member);
			}
		}

		schedule();
	};

	const startTimer = (current: Step) => {
		const endMs = current.startedAtMs + current.iterationMs * current.plan.iterations;
		current.timer = clock.setTimer(
			() => {
				completeStep(current.plan);
			},
			Math.max(0, endMs - clock.nowMs()),
		);
	};

	function schedule() {
		if (step !== undefined || isCrashed || isHanging) {
			return;
		}

		while (sequences.running.length < settings.slots && sequences.waiting.length > 0) {
			admit(sequences.startFirst());
		}

		for (const sequence of sequences.running) {
			sequence.room = settings.maxBufferedTokens - sequence.buffer.bufferedTokens;
		}

		const plan = batchPlan.planStep(sequences.running, settings);
		if (!plan) {
			return;
		}

		const iterationMs = plan.iterationMs * faults.slowFactor;
		step = {
			plan,
			startedAtMs: clock.nowMs(),
			iterationMs,
			timer: disposable.toDisposable(() => undefined),
		};
		startTimer(step);
	}

	/** Ends a step of several iterations at the next iteration, so that a change takes effect. */
	const interruptStep = () => {
		if (!step) {
			schedule();
			return;
		}

		const elapsed = (clock.nowMs() - step.startedAtMs) / step.iterationMs;
		const iterations = Math.max(1, Math.ceil(elapsed));
		if (iterations < step.plan.iterations) {
			step.plan.iterations = iterations;
			step.timer.dispose();
			startTimer(step);
		}
	};

	const cancelSequence = (sequence: sequenceSet.Sequence) => {
		if (sequences.remove(sequence)) {
			counts.cancelled++;
			sequence.buffer.fail(new chunkBuffer.GenerationError('cancelled'));
			interruptStep();
		}
	};

	const checkAcceptance = (request: runnerTypes.GenerationRequest) => {
		counts.received++;
		if (faults.leaving) {
			counts.receivedWhileLeaving++;
		}

		if (faults.refuse || isCrashed) {
			counts.refused++;
			throw new chunkBuffer.GenerationError('refused');
		}

		if (request.model !== orders.model) {
			counts.refused++;
			throw new chunkBuffer.GenerationError('not-loaded');
		}
	};

	const start = (request: runnerTypes.GenerationRequest, signal?: AbortSignal) => {
		const cancel = () => {
			cancelSequence(sequence);
		};

		const onDrain = () => {
			if (!step && sequence.room <= 0) {
				schedule();
			}
		};

		const sequence = sequences.add(
			request,
			chunkBuffer.createChunkBuffer(onDrain, cancel),
			settings.maxBufferedTokens,
		);
		if (signal) {
			signal.addEventListener('abort', cancel, {once: true});
			sequence.owned.add({
				dispose() {
					signal.removeEventListener('abort', cancel);
				},
			});
		}

		if (signal?.aborted) {
			cancel();
		}

		return sequence;
	};

	const crash = () => {
		isCrashed = true;
		step?.timer.dispose();
		step = undefined;
		for (const sequence of sequences.all()) {
			sequences.remove(sequence);
			sequence.buffer.fail(new chunkBuffer.GenerationError('crashed'));
		}

		cache.clear();
	};

	return {
		faults,
		counts,
		orders,
		generate(request, signal) {
			checkAcceptance(request);
			const sequence = start(request, signal);
			if (sequences.running.length < settings.slots) {
				interruptStep();
			}

			return sequence.buffer;
		},
		cancel(requestId) {
			const found = sequences.all().filter((item) => item.request.requestId === requestId);
			for (const sequence of found) {
				cancelSequence(sequence);
			}

			return found.length > 0;
		},
		load() {
			const {value, observedAtMs} = state.read(settings.loadLagMs);
			return {
				...value,
				slots: settings.slots,
				leaving: faults.leaving,
				model: orders.model,
				role: orders.role,
				observedAtMs,
			};
		},
		cacheEvents: cacheLog.read,
		crash,
		restart() {
			isCrashed = false;
			schedule();
		},
		dispose() {
			crash();
			orders.dispose();
		},
	};
};
