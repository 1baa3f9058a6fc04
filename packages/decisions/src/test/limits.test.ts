// Guards against teams that exceed their limits and against capacity that is lost or never released.
import * as tap from 'tap';
import * as fastCheck from 'fast-check';
import * as manualClock from '@hawthornfront/base/common/manual-clock.js';
import * as schema from '@hawthornfront/catalogue/common/schema.js';
import * as limits from '../common/limits.js';
import * as limitShares from '../common/limit-shares.js';

const createTeam = (name = 'crew') =>
	schema.teamSchema.parse({
		kind: 'team',
		name,
		owner: 'o',
		keySha256: 'a'.repeat(64),
		requestsPerSecond: 10,
		tokensPerSecond: 1000,
	});
const createEntry = (fields: Partial<schema.Limits> = {}) =>
	schema.entrySchema.parse({
		kind: 'entry',
		name: 'questions',
		owner: 'o',
		workClass: 'short',
		target: {kind: 'model', model: 'm'},
		idempotent: true,
		limits: {requestsPerSecond: 1000, tokensPerSecond: 100_000, ...fields},
	});
const createTestLimiter = (settings: Record<string, unknown> = {}) => {
	const clock = new manualClock.ManualClock();
	const parsed = limits.limiterSettingsSchema.parse({burstMs: 1000, ...settings});
	return {clock, limiter: limits.createLimiter(clock, parsed)};
};

const admitted = (result: limits.Admission | limits.LimitRefusal): limits.Admission => {
	if (result.kind === 'refused') {
		throw new Error(`refused by ${result.limit}`);
	}

	return result;
};

tap.t.test('a refused request is admitted after its retry delay', async (t) => {
	const {clock, limiter} = createTestLimiter();
	for (let count = 0; count < 10; count++) {
		admitted(limiter.admit(createTeam(), createEntry(), 1));
	}

	const refusal = limiter.admit(createTeam(), createEntry(), 1);
	t.match(refusal, {kind: 'refused', limit: 'team', retryAfterMs: 100});
	await clock.advance(100);
	admitted(limiter.admit(createTeam(), createEntry(), 1));
});

tap.t.test('settling replaces the estimate once', async (t) => {
	const {clock, limiter} = createTestLimiter();
	const first = admitted(limiter.admit(createTeam(), createEntry(), 900));
	first.settle(100);
	first.settle(0);
	const second = admitted(limiter.admit(createTeam(), createEntry(), 900));
	second.settle(1900);
	await clock.advance(1000);
	t.match(limiter.admit(createTeam(), createEntry(), 1), {kind: 'refused', retryAfterMs: 1});
});

tap.t.test('the in-flight cap counts each release once', async (t) => {
	const {limiter} = createTestLimiter();
	const entry = createEntry({maxInFlight: 1});
	const first = admitted(limiter.admit(createTeam(), entry, 1));
	t.match(limiter.admit(createTeam(), entry, 1), {limit: 'in-flight'});
	first.release();
	first.release();
	t.equal(limiter.inFlight(), 0);
	admitted(limiter.admit(createTeam(), entry, 1));
});

tap.t.test('the limit of an entry applies to all teams together', async (t) => {
	const {limiter} = createTestLimiter();
	const entry = createEntry({requestsPerSecond: 2});
	admitted(limiter.admit(createTeam('x'), entry, 1));
	admitted(limiter.admit(createTeam('y'), entry, 1));
	t.match(limiter.admit(createTeam('z'), entry, 1), {kind: 'refused', limit: 'entry'});
});

tap.t.test('a daemon admits only its share of the limit', async (t) => {
	const {clock, limiter} = createTestLimiter();
	limiter.setDefaultShare(0.2);
	admitted(limiter.admit(createTeam(), createEntry(), 1));
	limiter.setShare('crew', 0.5);
	await clock.advance(60_000);
	let count = 0;
	for (let step = 0; step < 1000; step++) {
		count += limiter.admit(createTeam(), createEntry(), 1).kind === 'admitted' ? 1 : 0;
		await clock.advance(10);
	}

	t.ok(count >= 54 && count <= 56, `${count} of 10 s at 5 requests/s and a burst of 5`);
	t.equal(Math.round(limiter.demands()[0]!.demand), 6, 'refused requests count as demand');
});

tap.t.test('state is kept for a bounded number of recent teams', async (t) => {
	const {clock, limiter} = createTestLimiter({maxTracked: 10, idleMs: 1000});
	for (let index = 0; index < 50; index++) {
		limiter.admit(createTeam(`team-${index}`), createEntry(), 1);
	}

	t.equal(limiter.tracked(), 11);
	await clock.advance(2000);
	t.equal(limiter.tracked(), 0);
	t.equal(clock.pendingTimers, 0);
});

const clusterView = fastCheck.record({
	floorShare: fastCheck.double({min: 0, max: 1, noNaN: true}),
	demands: fastCheck.array(fastCheck.array(fastCheck.nat(1000), {minLength: 1, maxLength: 4}), {
		minLength: 1,
		maxLength: 6,
	}),
	islandOf: fastCheck.array(fastCheck.nat(2), {minLength: 6, maxLength: 6}),
	noise: fastCheck.array(fastCheck.nat(1000), {minLength: 24, maxLength: 24}),
});
type ClusterView = typeof clusterView extends fastCheck.Arbitrary<infer Value> ? Value : never;

/** Share of one daemon. With noise, the demand in its view differs from the views of other daemons. */
const daemonShareOf = (
	value: ClusterView,
	domain: number,
	own: number,
	isNoisy: boolean,
): number => {
	const {floorShare, demands, islandOf, noise} = value;
	const reportedDemand = (demand: number, index: number) =>
		isNoisy ? noise[(index * 7 + domain * 4 + own) % noise.length]! : demand;
	const reachableDomains = demands
		.map((list, index) => ({
			name: `d${index}`,
			demand: reportedDemand(
				list.reduce((a, b) => a + b, 0),
				index,
			),
		}))
		.filter((_, index) => islandOf[index] === islandOf[domain]);
	return limitShares.daemonShare({
		floorShare,
		domainCount: demands.length,
		ownDomain: `d${domain}`,
		domains: reachableDomains,
		ownDaemon: `v${own}`,
		daemons: demands[domain]!.map((demand, index) => ({
			name: `v${index}`,
			demand: reportedDemand(demand, index + 3),
		})),
	});
};

const sumOf = (value: ClusterView, isNoisy: boolean): number => {
	let sum = 0;
	for (const [domain, daemons] of value.demands.entries()) {
		for (const own of daemons.keys()) {
			sum += daemonShareOf(value, domain, own, isNoisy);
		}
	}

	return sum;
};

tap.t.test(
	'the sum of shares is at most the limit when views agree, also across a partition',
	async (t) => {
		fastCheck.assert(
			fastCheck.property(clusterView, (value) => sumOf(value, false) <= 1 + 1e-9),
			{seed: 7, numRuns: 500},
		);
		t.pass();
	},
);

tap.t.test('the overshoot is bounded when views disagree', async (t) => {
	fastCheck.assert(
		fastCheck.property(clusterView, (value) => {
			const daemons = Math.max(...value.demands.map(({length}) => length));
			const bound = limitShares.maximumOvershoot(value.floorShare, value.demands.length, daemons);
			return sumOf(value, true) <= bound + 1e-9;
		}),
		{seed: 8, numRuns: 500},
	);
	t.pass();
});

tap.t.test('a partitioned domain keeps its floor', async (t) => {
	const share = limitShares.domainShare({
		floorShare: 0.6,
		domainCount: 3,
		ownDomain: 'a',
		domains: [{name: 'a', demand: 5}],
		ownDaemon: 'v',
		daemons: [],
	});
	t.equal(Math.round(share * 1000), 200);
});
