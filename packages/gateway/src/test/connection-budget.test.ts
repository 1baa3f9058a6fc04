// Guards against idle connections of callers that use up the descriptors of a daemon (issue 39).
import * as tap from 'tap';
import * as connectionBudget from '../node/connection-budget.js';

const create = (open: number, idle: number) => {
	const state = {open, idle};
	const budget = connectionBudget.createConnectionBudget({
		maxConnections: 100,
		openConnections: () => state.open,
		closeLongestIdle() {
			const hasIdle = state.idle > 0;
			state.idle -= hasIdle ? 1 : 0;
			return hasIdle;
		},
	});
	return {state, budget};
};

tap.t.test('below the limit, no connection is closed', async (t) => {
	const {state, budget} = create(100, 50);
	t.ok(budget.makeRoom());
	t.equal(state.idle, 50);
});

tap.t.test('above the limit, idle connections are closed', async (t) => {
	const {state, budget} = create(101, 50);
	t.ok(budget.makeRoom());
	t.equal(state.idle, 49);
	state.open = 150;
	t.ok(budget.makeRoom());
	t.equal(state.idle, 45);
});

tap.t.test('above the limit without idle connections, the new one is refused', async (t) => {
	t.notOk(create(101, 0).budget.makeRoom());
});

tap.t.test('the limit leaves descriptors for other uses', async (t) => {
	t.equal(connectionBudget.maxConnectionsFor(undefined), Number.POSITIVE_INFINITY);
	t.equal(connectionBudget.maxConnectionsFor(4100), 3690);
	t.equal(connectionBudget.maxConnectionsFor(200), 136);
	t.equal(connectionBudget.maxConnectionsFor(64), 32);
	t.equal(connectionBudget.maxEndpointConnections(3690), 184);
});
