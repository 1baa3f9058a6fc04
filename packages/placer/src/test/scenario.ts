/** Scenario and checks shared by the placer tests. */
import type * as tap from 'tap';
import * as fakeRegion from './fake-region.js';

export const options = (checksFencing: boolean): fakeRegion.RegionOptions => ({
	models: ['a', 'b'],
	runners: ['a', 'a', 'a', 'a'],
	checksFencing,
});

type Region = ReturnType<typeof fakeRegion.createRegion>;

/** Demand that moves two runners to model b. */
export const setDemandForB = (region: Region) => {
	Object.assign(region.demand, {a: 100, b: 1200});
};

export const ordersOutsideLease = (region: Region) =>
	region.sent
		.filter((order) => !order.isLeaseAlive)
		.map((order) => `${order.placer} ordered ${order.runner} at ${order.atMs}`);

export const checkFinalState = (t: tap.Test, region: Region, label: string) => {
	t.same(ordersOutsideLease(region), [], `${label}: no order outside a lease`);
	t.same(region.differences(), [], `${label}: runners are as desired`);
	t.same(region.missing(), [], `${label}: every model has a runner`);
	const loads = region.runners.reduce((sum, runner) => sum + runner.loads, 0);
	t.ok(loads <= region.grantedAtMs.length, `${label}: no load without a ticket`);
};

/** Number of service calls of a placer without faults in its first 25 s; the fault matrix covers each. */
export const countCalls = async (): Promise<number> => {
	const region = fakeRegion.createRegion(options(true));
	setDemandForB(region);
	const one = region.startPlacer('one');
	await region.time.advance(25_000);
	one.placer.dispose();
	return one.countCalls();
};
