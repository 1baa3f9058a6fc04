// Guards against classes or teams that get more or less than their share of tokens.
import * as tap from 'tap';
import * as fastCheck from 'fast-check';
import type * as schema from '@hawthornfront/catalogue/common/schema.js';
import * as deficitRoundRobin from '../common/deficit-round-robin.js';
import * as workQueue from '../common/work-queue.js';

const quantum = 500;
const maximumCost = 8000;

tap.t.test('active flows share the cost by weight, whatever their items cost', async (t) => {
	const flow = fastCheck.record({
		weight: fastCheck.integer({min: 1, max: 5}),
		cost: fastCheck.integer({min: 1, max: maximumCost}),
	});
	fastCheck.assert(
		fastCheck.property(fastCheck.array(flow, {minLength: 2, maxLength: 6}), (flows) => {
			const turns = deficitRoundRobin.createDeficitRoundRobin<number>(quantum);
			const served = flows.map(() => 0);
			for (const [key, {weight}] of flows.entries()) {
				turns.activate(key, weight);
			}

			for (let count = 0; count < 500; count++) {
				const key = turns.select(() => true)!;
				turns.charge(key, flows[key]!.cost);
				served[key]! += flows[key]!.cost;
			}

			const perWeight = flows.map(({weight}, key) => served[key]! / weight);
			const spread = Math.max(...perWeight) - Math.min(...perWeight);
			return spread <= 2 * quantum + 2 * maximumCost;
		}),
		{seed: 1, numRuns: 100},
	);
	t.pass();
});

tap.t.test('a reactivated flow first refills its negative deficit', async (t) => {
	const turns = deficitRoundRobin.createDeficitRoundRobin<string>(quantum);
	turns.activate('small', 1);
	turns.activate('greedy', 1);
	turns.charge('greedy', 5000);
	turns.deactivate('greedy');
	turns.activate('greedy', 1);
	for (let count = 0; count < 9; count++) {
		t.equal(
			turns.select(() => true),
			'small',
		);
		turns.charge('small', quantum);
	}
});

tap.t.test('a flow that cannot be served accumulates no deficit', async (t) => {
	const turns = deficitRoundRobin.createDeficitRoundRobin<string>(quantum);
	turns.activate('blocked', 1);
	turns.activate('open', 1);
	for (let count = 0; count < 20; count++) {
		turns.charge(
			turns.select((key) => key === 'open')!,
			quantum,
		);
	}

	const order: Array<string | undefined> = [];
	for (let count = 0; count < 6; count++) {
		const key = turns.select(() => true)!;
		order.push(key);
		turns.charge(key, quantum);
	}

	t.equal(order.filter((key) => key === 'blocked').length, 3);
});

tap.t.test('the state of idle flows is dropped once their deficit is refilled', async (t) => {
	const turns = deficitRoundRobin.createDeficitRoundRobin<string>(quantum);
	turns.activate('stays', 1);
	for (let team = 0; team < 1000; team++) {
		turns.activate(`team-${team}`, 1);
		turns.charge(`team-${team}`, 600);
		turns.deactivate(`team-${team}`);
		turns.charge(
			turns.select(() => true)!,
			600,
		);
	}

	t.ok(turns.size() < 10);
});

tap.t.test('short work gets its weight against long work of many teams', async (t) => {
	const queue = workQueue.createWorkQueue({
		quantumTokens: quantum,
		classWeights: {short: 4, long: 1, service: 4},
		lookAhead: 8,
	});
	const push = (workClass: schema.WorkClass, team: string, cost: number) => {
		queue.push({workClass, team, weight: 1, cost}, false);
	};

	for (let count = 0; count < 400; count++) {
		push('short', 'a', 100);
		push('long', `team-${count % 20}`, 1000);
	}

	const taken = {short: 0, long: 0, service: 0};
	for (let count = 0; count < 380; count++) {
		const item = queue.take(() => true)!;
		taken[item.workClass] += item.cost;
	}

	t.ok(taken.short / taken.long > 2.5 && taken.short / taken.long < 5);
});
