// The retry budget of several daemons, against the bound on all of them, without network.
import * as tap from 'tap';
import type * as fleetView from '../common/fleet-view.js';
import * as budgetSharers from '../common/budget-sharers.js';
import * as sharedRetryBudget from '../common/shared-retry-budget.js';

const windowMs = 10_000;
const settings = {share: 0.2, extraPerWindow: 54, windowMs};
const service = 'desk';
const names = ['a', 'b', 'c', 'd', 'e', 'f', 'g'];

/** Daemons whose upstreams refuse all requests, so that each request is sent again while the budget lasts. */
const createFleet = () => {
	const state = {nowMs: 0};
	const nowMs = () => state.nowMs;
	const startDaemon = () => {
		const sharers = budgetSharers.createBudgetSharers(nowMs, () => windowMs);
		const budget = sharedRetryBudget.createSharedRetryBudget(nowMs, () => settings, sharers.count);
		return {sharers, budget};
	};

	const daemons = new Map(names.map((name) => [name, startDaemon()]));
	const requestsAtMs: number[] = [];
	const resendsAtMs: number[] = [];
	const retryAll = (budget: sharedRetryBudget.SharedRetryBudget) => {
		while (budget.tryRetry(service)) {
			resendsAtMs.push(state.nowMs);
		}
	};

	const countIn = (times: readonly number[], untilMs: number) =>
		times.filter((atMs) => atMs > untilMs - windowMs && atMs <= untilMs).length;

	return {
		state,
		daemons,
		restart(name: string) {
			daemons.set(name, startDaemon());
		},
		reachStore() {
			for (const {sharers} of daemons.values()) {
				sharers.noteStoreReached();
			}
		},
		noteAll(kind: fleetView.MemberChange['kind']) {
			for (const [name, {sharers}] of daemons) {
				for (const other of names.filter((item) => item !== name)) {
					sharers.noteMember({kind, member: {name: other, failureDomain: 'north-a'}});
				}
			}
		},
		/** Each daemon gets a request every 100 ms and repeats it as often as it may. */
		run(durationMs: number, relayTo?: string) {
			for (const endMs = state.nowMs + durationMs; state.nowMs < endMs; state.nowMs += 100) {
				for (const {budget} of daemons.values()) {
					requestsAtMs.push(state.nowMs);
					budget.noteRequest(service);
					const relayed = relayTo === undefined ? undefined : daemons.get(relayTo)!.budget;
					if (relayed && relayed !== budget) {
						budget.noteRelayed(service);
						relayed.noteRequest(service);
						retryAll(relayed);
					}

					retryAll(budget);
				}
			}
		},
		/** Largest number of resends in a window beyond what the bound allows. */
		excess() {
			return Math.max(
				...resendsAtMs.map(
					(atMs) =>
						countIn(resendsAtMs, atMs) -
						settings.extraPerWindow -
						settings.share *
							Math.max(
								countIn(requestsAtMs, atMs),
								countIn(requestsAtMs, atMs - windowMs / 2),
								countIn(requestsAtMs, atMs - windowMs),
							),
				),
			);
		},
	};
};

tap.t.test('daemons that know each other use most of the budget', (t) => {
	const fleet = createFleet();
	fleet.reachStore();
	fleet.noteAll('joined');
	fleet.run(30_000);
	const excess = fleet.excess();
	t.ok(excess <= 0, `${excess}`);
	t.ok(excess > -54, `${excess}`);
	t.end();
});

// Guards against repeats beyond the budget after a restart of all daemons, each of which took the whole fixed amount.
tap.t.test('daemons that have restarted and do not know each other keep the bound', (t) => {
	const fleet = createFleet();
	fleet.reachStore();
	fleet.noteAll('joined');
	fleet.run(20_000);
	for (const name of names) {
		fleet.restart(name);
	}

	fleet.run(1500);
	fleet.reachStore();
	fleet.noteAll('joined');
	fleet.run(15_000);
	t.ok(fleet.excess() <= 0, `${fleet.excess()}`);
	t.end();
});

// Guards against repeats beyond the budget during a cut, in which each daemon took itself for the only one.
tap.t.test('daemons that are cut off from each other keep the bound', (t) => {
	const fleet = createFleet();
	fleet.reachStore();
	fleet.noteAll('joined');
	fleet.run(20_000);
	fleet.noteAll('lost');
	fleet.run(30_000);
	t.ok(fleet.excess() <= 0, `${fleet.excess()}`);
	t.end();
});

// Guards against repeats beyond the budget when daemons are started in a cut, each of which took the whole fixed amount after its first window.
tap.t.test('daemons that are started while they are cut off keep the bound', (t) => {
	const fleet = createFleet();
	fleet.reachStore();
	fleet.noteAll('joined');
	fleet.run(20_000);
	fleet.noteAll('lost');
	for (const name of ['a', 'b', 'c']) {
		fleet.restart(name);
	}

	fleet.run(30_000);
	t.ok(fleet.excess() <= 0, `${fleet.excess()}`);
	fleet.reachStore();
	fleet.run(1500);
	fleet.noteAll('joined');
	fleet.run(15_000);
	t.ok(fleet.excess() <= 0, `after the cut ${fleet.excess()}`);
	t.end();
});

// Guards against repeats beyond the budget when a region is served by another one and its requests earned twice.
tap.t.test('relayed requests earn once', (t) => {
	const fleet = createFleet();
	fleet.reachStore();
	fleet.noteAll('joined');
	fleet.run(30_000, 'g');
	t.ok(fleet.excess() <= 0, `${fleet.excess()}`);
	t.end();
});

tap.t.test('a member that left counts for one window, a lost one for longer', (t) => {
	let nowMs = 0;
	const sharers = budgetSharers.createBudgetSharers(
		() => nowMs,
		() => windowMs,
	);
	t.equal(sharers.count(), Number.POSITIVE_INFINITY, 'unknown at the start');
	nowMs = windowMs;
	t.equal(sharers.count(), Number.POSITIVE_INFINITY, 'unknown until the store was reached');
	sharers.noteStoreReached();
	t.equal(sharers.count(), Number.POSITIVE_INFINITY, 'the members are not known yet');
	nowMs += 2000;
	sharers.noteStoreReached();
	t.equal(sharers.count(), 1);
	sharers.noteMember({kind: 'joined', member: {name: 'a', failureDomain: 'north-a'}});
	sharers.noteMember({kind: 'joined', member: {name: 'b', failureDomain: 'north-a'}});
	sharers.noteMember({kind: 'left', member: {name: 'a', failureDomain: 'north-a'}});
	sharers.noteMember({kind: 'lost', member: {name: 'b', failureDomain: 'north-a'}});
	t.equal(sharers.count(), 3);
	nowMs += windowMs;
	t.equal(sharers.count(), 2);
	sharers.noteMember({kind: 'joined', member: {name: 'a', failureDomain: 'north-a'}});
	nowMs += 600_000;
	t.equal(sharers.count(), 2);
	t.end();
});
