// Guards against shares that sum to more than the limit, and against a partitioned domain that loses its floor share.
import * as tap from 'tap';
import * as manualClock from '@hawthornfront/base/common/manual-clock.js';
import * as demandTable from '../common/demand-table.js';

const createView = (daemonName: string, liveDomains: string[]): demandTable.ShareView => ({
	ownDaemon: daemonName,
	ownDomain: liveDomains[0]!,
	domainCount: 3,
	liveDomains,
	daemonsOf: () => ['a', 'b'],
});

const createTable = (localDemand: number) => {
	const clock = new manualClock.ManualClock();
	const table = demandTable.createDemandTable(clock, 0.3);
	table.setLocalDemands(new Map([['team', localDemand]]));
	return {clock, table};
};

tap.t.test('two daemons that exchanged their demand split the share by demand', async (t) => {
	const first = createTable(3).table;
	const second = createTable(1).table;
	first.applyReport('daemon', 'b', 'team', 1);
	second.applyReport('daemon', 'a', 'team', 3);
	const domains = ['x', 'y', 'z'];
	const firstShare = first.share('team', createView('a', domains));
	const secondShare = second.share('team', createView('b', domains));
	t.ok(firstShare > secondShare);
	t.ok(firstShare + secondShare <= 1);
	t.equal(first.domainDemand('team'), 4);
});

tap.t.test('partitioned domain keeps exactly its floor share', async (t) => {
	const {table} = createTable(5);
	const alone = table.share('team', {...createView('a', ['x']), daemonsOf: () => ['a']});
	t.ok(Math.abs(alone - 0.3 / 3) < 1e-9);
});

tap.t.test('reports that are not renewed expire', async (t) => {
	const {clock, table} = createTable(1);
	table.applyReport('daemon', 'b', 'team', 9);
	t.equal(table.domainDemand('team'), 10);
	await clock.advance(61_000);
	t.equal(table.domainDemand('team'), 1);
});

tap.t.test('only teams with local demand are kept', async (t) => {
	const {table} = createTable(1);
	table.applyReport('daemon', 'b', 'stranger', 9);
	table.setLocalDemands(new Map());
	t.equal(table.size(), 0);
	t.equal(table.domainDemand('team'), 0);
});
