/**
 * Moves running streams off upstreams that became many times slower than their
 * peers. Milder outliers are not worth the second prefill. A stream that stays on
 * a slowed upstream takes many times as long, and no later choice helps it.
 */
import type * as clock from '@hawthornfront/base/common/clock.js';
import type * as disposable from '@hawthornfront/base/common/disposable.js';
import * as preemption from './preemption.js';
import type * as recomputeBudget from './recompute-budget.js';
import type * as schedulerSettings from './scheduler-settings.js';
import type * as upstreamPool from './upstream-pool.js';
import type * as upstreamState from './upstream-state.js';

export type StreamMigratorOptions = {
	clock: clock.Clock;
	pool: upstreamPool.UpstreamPool;
	settings: schedulerSettings.SchedulerSettings;
	budget: recomputeBudget.RecomputeBudget;
};

export type StreamMigrator = disposable.Disposable & {
	/** Looks at the upstreams from now on, until nothing runs. */
	start(): void;
	/** Streams moved since the start. */
	count(): number;
};

type Candidate = {state: upstreamState.UpstreamState; running: upstreamState.Running};

/** Creates a mover that waits for {@link StreamMigrator.start}. */
export const createStreamMigrator = ({
	clock,
	pool,
	settings,
	budget,
}: StreamMigratorOptions): StreamMigrator => {
	let count = 0;
	let timer: disposable.Disposable | undefined;

	const canMigrate = ({state, running}: Candidate) =>
		state.upstream.resumesStreams &&
		running.item.canBeMigrated === true &&
		!running.isPreempted &&
		preemption.recomputedTokens(running) <= settings.maxMovedTokens &&
		(running.item.preemptions ?? 0) < settings.maxMoves;

	/** A stream resumes only on an upstream that continues at a token. */
	const hasAlternative = ({state, running: {item}}: Candidate) => {
		const others = [...pool.all()].filter(({upstream}) => !upstream.resumesStreams);
		const names = [state, ...others].map(({upstream}) => upstream.name);
		const excluded = new Set([...item.excluded, ...names]);
		return pool.canAssign({...item, excluded, preemptions: 1}, false);
	};

	const findCandidates = (): Candidate[] =>
		[...pool.all()]
			.filter((state) => state.running.size > 0 && pool.isSuddenlySlow(state))
			.flatMap((state) => [...state.running].map((running) => ({state, running})))
			.filter((candidate) => canMigrate(candidate))
			.sort(
				(a, b) => preemption.recomputedTokens(a.running) - preemption.recomputedTokens(b.running),
			);

	const migrateStreams = () => {
		pool.evaluate();
		// Each move takes its slot before the next is planned, unless its owner is slow to ask.
		let left = settings.maxMovesAtOnce;
		for (const candidate of findCandidates()) {
			if (left === 0) {
				break;
			}

			const {running} = candidate;
			if (hasAlternative(candidate) && budget.tryTake(preemption.recomputedTokens(running))) {
				left--;
				count++;
				running.isPreempted = true;
				running.preempt.fire();
			}
		}
	};

	const start = () => {
		timer ??= clock.setTimer(() => {
			timer = undefined;
			migrateStreams();
			if (pool.inFlight() > 0) {
				start();
			}
		}, settings.moveEveryMs);
	};

	const subscription = pool.onDidRelease(() => {
		if (pool.inFlight() === 0) {
			timer?.dispose();
			timer = undefined;
		}
	});

	return {
		start,
		count: () => count,
		dispose() {
			subscription.dispose();
			timer?.dispose();
			timer = undefined;
		},
	};
};
