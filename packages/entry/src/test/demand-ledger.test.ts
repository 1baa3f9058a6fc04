// Guards against limits that add up to more than the whole, and against a cut-off domain without its floor.
import * as tap from 'tap';
import * as manualClock from '@hawthornfront/base/common/manual-clock.js';
import * as demandLedger from '../common/demand-ledger.js';

const createView = (ownDaemon: string, liveDomains: string[]): demandLedger.ShareView => ({
	ownDaemon,
	ownDomain: liveDomains[0]!,
	domainCount: 3,
	liveDomains,
	daemonsOf: () => ['a', 'b'],
});

const createLedger = (own: number) => {
	const clock = new manualClock.ManualClock();
	const ledger = demandLedger.createDemandLedger(clock, 0.3);
	ledger.setOwn(new Map([['team', own]]));
	return {clock, ledger};
};

tap.t.test('two daemons with exchanged demand share their part by demand', async (t) => {
	const first = createLedger(3).ledger;
	const second = createLedger(1).ledger;
	first.note('daemon', 'b', 'team', 1);
	second.note('daemon', 'a', 'team', 3);
	const domains = ['x', 'y', 'z'];
	const firstShare = first.share('team', createView('a', domains));
	const secondShare = second.share('team', createView('b', domains));
	t.ok(firstShare > secondShare);
	t.ok(firstShare + secondShare <= 1);
	t.equal(first.domainDemand('team'), 4);
});

tap.t.test('domain that is cut off keeps the floor and no more', async (t) => {
	const {ledger} = createLedger(5);
	const alone = ledger.share('team', {...createView('a', ['x']), daemonsOf: () => ['a']});
	t.ok(Math.abs(alone - 0.3 / 3) < 1e-9);
});

tap.t.test('reports that are not renewed stop counting', async (t) => {
	const {clock, ledger} = createLedger(1);
	ledger.note('daemon', 'b', 'team', 9);
	t.equal(ledger.domainDemand('team'), 10);
	await clock.advance(61_000);
	t.equal(ledger.domainDemand('team'), 1);
});

tap.t.test('only teams with demand here are kept', async (t) => {
	const {ledger} = createLedger(1);
	ledger.note('daemon', 'b', 'stranger', 9);
	ledger.setOwn(new Map());
	t.equal(ledger.size(), 0);
	t.equal(ledger.domainDemand('team'), 0);
});
