/**
 * Migrates running streams away from upstreams that became many times slower than
 * their peers. A stream that stays there takes many times as long, because upstream
 * choice only affects new work. For milder outliers the second prefill costs too much.
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
	/** Checks the upstreams periodically until no request is in flight. */
	start(): void;
	/** Streams migrated since the start. */
	count(): number;
};

type Candidate = {state: upstreamState.UpstreamState; running: upstreamState.Running};

/** Creates a migrator that is idle until {@link StreamMigrator.start}. */
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

	/** Whether another upstream that can resume streams has a free slot. */
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
		// Usually the owner of a migrated stream takes its new slot before the next one is checked.
		// The limit covers owners that acquire later.
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
