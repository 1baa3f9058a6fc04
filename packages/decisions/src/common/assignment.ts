/** Creates an {@link types.Assignment} for a slot of an upstream and records its latencies and result. */
import type * as clock from '@hawthornfront/base/common/clock.js';
import * as event from '@hawthornfront/base/common/event.js';
import type * as ejection from './ejection.js';
import type * as types from './types.js';
import type * as upstreamState from './upstream-state.js';

export type AssignmentOptions = {
	clock: clock.Clock;
	state: upstreamState.UpstreamState;
	item: types.WorkItem;
	ejection: ejection.EjectionTracker;
	onRelease(running: upstreamState.Running): void;
};

/** Minimum time per sample of the token rate, since tokens arrive in bursts. */
const rateSampleMs = 250;

/** Takes a slot, which the caller must have checked to be free. */
export const createAssignment = (options: AssignmentOptions): types.Assignment => {
	const {clock, state, item, ejection} = options;
	const {name} = state.upstream;
	const preempt = event.createEmitter<void>();
	const startedAtMs = clock.nowMs();
	const running: upstreamState.Running = {
		item,
		startedAtMs,
		preempt,
		tokens: 0,
		sampledTokens: 0,
		sampledAtMs: startedAtMs,
		isPreempted: false,
	};
	let isReleased = false;
	state.running.add(running);

	const observeFirstToken = (durationMs: number) => {
		state.firstTokenMs[item.workClass].add(durationMs, clock.nowMs());
		ejection.noteFirstToken(name, item.workClass, durationMs);
	};

	const noteFirstToken = () => {
		if (running.firstTokenAtMs !== undefined || isReleased) {
			return;
		}

		running.firstTokenAtMs = clock.nowMs();
		running.sampledAtMs = running.firstTokenAtMs;
		observeFirstToken(running.firstTokenAtMs - startedAtMs);
	};

	const sampleRate = () => {
		const durationMs = clock.nowMs() - running.sampledAtMs;
		const tokens = running.tokens - running.sampledTokens;
		if (durationMs < rateSampleMs || tokens === 0) {
			return;
		}

		state.tokenMs.add(durationMs / tokens, clock.nowMs());
		ejection.noteTokenInterval(name, durationMs / tokens);
		running.sampledAtMs = clock.nowMs();
		running.sampledTokens = running.tokens;
	};

	const observeEnd = (result: types.ReleaseResult) => {
		const ageMs = clock.nowMs() - startedAtMs;
		const isUnanswered = running.firstTokenAtMs === undefined;
		if (result === 'failed') {
			ejection.noteFailure(name);
		} else if (result === 'answered') {
			ejection.noteSuccess(name);
		}

		// A request that is cancelled late counts as a latency sample; its age is a lower bound.
		// Otherwise an upstream that loses every hedged request would never be detected as slow.
		const expectedMs = state.firstTokenMs[item.workClass].value(clock.nowMs());
		const isLateCancel = result === 'cancelled' && ageMs > expectedMs;
		if (isUnanswered && (result === 'answered' || isLateCancel)) {
			observeFirstToken(ageMs);
		}
	};

	return {
		upstream: state.upstream,
		onDidPreempt: preempt.event,
		noteFirstToken,
		noteTokens(count) {
			if (isReleased) {
				return;
			}

			noteFirstToken();
			running.tokens += count;
			sampleRate();
		},
		release(result) {
			if (isReleased) {
				return;
			}

			observeEnd(result);
			isReleased = true;
			preempt.dispose();
			state.noteEnd(running, clock.nowMs());
			options.onRelease(running);
		},
	};
};
