/** Running and waiting sequences of a runner, and the time for which slots are held. */
import type * as clockModule from '@hawthornfront/base/common/clock.js';
import * as disposable from '@hawthornfront/base/common/disposable.js';
import type * as batchPlan from './batch-plan.js';
import type * as chunkBuffer from './chunk-buffer.js';
import type * as runnerTypes from './runner-types.js';

/** One generation. */
export type Sequence = batchPlan.BatchMember & {
	readonly request: runnerTypes.GenerationRequest;
	readonly arrival: number;
	readonly buffer: chunkBuffer.ChunkBuffer;
	nextToken: number;
	cachedTokens: number;
	readonly owned: disposable.DisposableStore;
};

export type SequenceSet = {
	readonly running: readonly Sequence[];
	readonly waiting: readonly Sequence[];
	readonly busySlotMs: number;
	all(): Sequence[];
	/** Adds a generation to the waiting ones. */
	add(
		request: runnerTypes.GenerationRequest,
		buffer: chunkBuffer.ChunkBuffer,
		room: number,
	): Sequence;
	/** Moves the first of the waiting sequences, by priority then arrival, to the running ones. */
	startFirst(): Sequence;
	/** False when the sequence has already ended. */
	remove(sequence: Sequence): boolean;
};

const isBefore = (a: Sequence, b: Sequence): boolean =>
	a.request.priority < b.request.priority ||
	(a.request.priority === b.request.priority && a.arrival < b.arrival);

/** Creates an empty set. `onChange` gets the new numbers of running and waiting sequences. */
export const createSequenceSet = (
	clock: clockModule.Clock,
	onChange: (running: number, waiting: number) => void,
): SequenceSet => {
	const running: Sequence[] = [];
	const waiting: Sequence[] = [];
	let arrivals = 0;
	let busySlotMs = 0;
	let accountedAtMs = clock.nowMs();

	// Must run before every change of the number of running sequences.
	const account = () => {
		const nowMs = clock.nowMs();
		busySlotMs += running.length * (nowMs - accountedAtMs);
		accountedAtMs = nowMs;
	};

	const notify = () => {
		onChange(running.length, waiting.length);
	};

	return {
		running,
		waiting,
		get busySlotMs() {
			account();
			return busySlotMs;
		},
		all: () => [...running, ...waiting],
		add(request, buffer, room) {
			const sequence: Sequence = {
				request,
				arrival: arrivals++,
				buffer,
				nextToken: request.resumeFromToken,
				cachedTokens: 0,
				prefillLeft: 0,
				decodeLeft: Math.max(0, request.outputTokens - request.resumeFromToken),
				room,
				owned: disposable.createDisposableStore(),
			};
			waiting.push(sequence);
			notify();
			return sequence;
		},
		startFirst() {
			let first = waiting[0]!;
			for (const sequence of waiting) {
				if (isBefore(sequence, first)) {
					first = sequence;
				}
			}

			account();
			waiting.splice(waiting.indexOf(first), 1);
			running.push(first);
			notify();
			return first;
		},
		remove(sequence) {
			const list = [running, waiting].find((items) => items.includes(sequence));
			if (!list) {
				return false;
			}

			account();
			list.splice(list.indexOf(sequence), 1);
			sequence.owned.dispose();
			notify();
			return true;
		},
	};
};
