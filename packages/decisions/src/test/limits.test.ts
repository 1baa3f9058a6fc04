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
const create = (settings: Record<string, unknown> = {}) => {
	const clock = new manualClock.ManualClock();
	const parsed = limits.limiterSettingsSchema.parse({burstMs: 1000, ...settings});
	return {clock, subject: limits.createLimiter(clock, parsed)};
};

const admitted = (result: limits.Admission | limits.LimitRefusal): limits.Admission => {
	if (result.kind === 'refused') {
		throw new Error(`refused by ${result.limit}`);
	}

	return result;
};

tap.t.test('a refused request is admitted after its retry delay', async (t) => {
	const {clock, subject} = create();
	for (let count = 0; count < 10; count++) {
		admitted(subject.admit(createTeam(), createEntry(), 1));
	}

	const refusal = subject.admit(createTeam(), createEntry(), 1);
	t.match(refusal, {kind: 'refused', limit: 'team', retryAfterMs: 100});
	await clock.advance(100);
	admitted(subject.admit(createTeam(), createEntry(), 1));
});

tap.t.test('settling replaces the estimate once', async (t) => {
	const {clock, subject} = create();
	const first = admitted(subject.admit(createTeam(), createEntry(), 900));
	first.settle(100);
	first.settle(0);
	const second = admitted(subject.admit(createTeam(), createEntry(), 900));
	second.settle(1900);
	await clock.advance(1000);
	t.match(subject.admit(createTeam(), createEntry(), 1), {kind: 'refused', retryAfterMs: 1});
});

tap.t.test('the in-flight cap counts each release once', async (t) => {
	const {subject} = create();
	const entry = createEntry({maxInFlight: 1});
	const first = admitted(subject.admit(createTeam(), entry, 1));
	t.match(subject.admit(createTeam(), entry, 1), {limit: 'in-flight'});
	first.release();
	first.release();
	t.equal(subject.inFlight(), 0);
	admitted(subject.admit(createTeam(), entry, 1));
});

tap.t.test('the limit of an entry applies to all teams together', async (t) => {
	const {subject} = create();
	const entry = createEntry({requestsPerSecond: 2});
	admitted(subject.admit(createTeam('x'), entry, 1));
	admitted(subject.admit(createTeam('y'), entry, 1));
	t.match(subject.admit(createTeam('z'), entry, 1), {kind: 'refused', limit: 'entry'});
});

tap.t.test('a daemon admits only its own share of the limit', async (t) => {
	const {clock, subject} = create();
	subject.setDefaultShare(0.2);
	admitted(subject.admit(createTeam(), createEntry(), 1));
	subject.setShare('crew', 0.5);
	await clock.advance(60_000);
	let count = 0;
	for (let step = 0; step < 1000; step++) {
		count += subject.admit(createTeam(), createEntry(), 1).kind === 'admitted' ? 1 : 0;
		await clock.advance(10);
	}

	t.ok(count >= 54 && count <= 56, `${count} of 10 s at 5 requests/s and a burst of 5`);
	t.equal(Math.round(subject.demands()[0]!.demand), 6, 'refused requests count as demand');
});

tap.t.test('state is kept for a bounded number of recent teams', async (t) => {
	const {clock, subject} = create({maxTracked: 10, idleMs: 1000});
	for (let index = 0; index < 50; index++) {
		subject.admit(createTeam(`team-${index}`), createEntry(), 1);
	}

	t.equal(subject.tracked(), 11);
	await clock.advance(2000);
	t.equal(subject.tracked(), 0);
	t.equal(clock.pendingTimers, 0);
});

const view = fastCheck.record({
	floorShare: fastCheck.double({min: 0, max: 1, noNaN: true}),
	demands: fastCheck.array(fastCheck.array(fastCheck.nat(1000), {minLength: 1, maxLength: 4}), {
		minLength: 1,
		maxLength: 6,
	}),
	islandOf: fastCheck.array(fastCheck.nat(2), {minLength: 6, maxLength: 6}),
	noise: fastCheck.array(fastCheck.nat(1000), {minLength: 24, maxLength: 24}),
});
type View = typeof view extends fastCheck.Arbitrary<infer Value> ? Value : never;

/** Share of one daemon; with noise, its view of all demand differs from that of the others. */
const partOf = (value: View, domain: number, own: number, isNoisy: boolean): number => {
	const {floorShare, demands, islandOf, noise} = value;
	const blurred = (demand: number, index: number) =>
		isNoisy ? noise[(index * 7 + domain * 4 + own) % noise.length]! : demand;
	const seen = demands
		.map((list, index) => ({
			name: `d${index}`,
			demand: blurred(
				list.reduce((a, b) => a + b, 0),
				index,
			),
		}))
		.filter((_, index) => islandOf[index] === islandOf[domain]);
	return limitShares.daemonShare({
		floorShare,
		domainCount: demands.length,
		ownDomain: `d${domain}`,
		domains: seen,
		ownDaemon: `v${own}`,
		daemons: demands[domain]!.map((demand, index) => ({
			name: `v${index}`,
			demand: blurred(demand, index + 3),
		})),
	});
};

const sumOf = (value: View, isNoisy: boolean): number => {
	let sum = 0;
	for (const [domain, daemons] of value.demands.entries()) {
		for (const own of daemons.keys()) {
			sum += partOf(value, domain, own, isNoisy);
		}
	}

	return sum;
};

tap.t.test(
	'parts add up to the limit at most when views agree, also across a partition',
	async (t) => {
		fastCheck.assert(
			fastCheck.property(view, (value) => sumOf(value, false) <= 1 + 1e-9),
			{seed: 7, numRuns: 500},
		);
		t.pass();
	},
);

tap.t.test('the overshoot is bounded when views disagree', async (t) => {
	fastCheck.assert(
		fastCheck.property(view, (value) => {
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
