// Quotas that all daemons share: the decision of one daemon, and many of them in a model.
import * as manualClock from '@hawthornfront/base/common/manual-clock.js';
import * as random from '@hawthornfront/base/common/random.js';
import * as tap from 'tap';
import type * as routeConfig from '../common/route-config.js';
import * as teamQuota from '../common/team-quota.js';
import * as teamUsage from '../common/team-usage.js';
import * as quotaFleet from './quota-fleet.js';

const quota: routeConfig.Quota = {perS: 10_000, burst: 20_000, unit: 'tokens', plainTokens: 2000};
const team = {name: 't1', quota};

const start = ({sharers = 4, slack = 0}: {sharers?: number; slack?: number} = {}) => {
	const clock = new manualClock.ManualClock();
	const state = {quota: team.quota, hasBounds: true};
	const subject = teamQuota.createTeamQuota({
		nowMs: () => clock.nowMs(),
		random: random.createRandom(1).next,
		bounds: () => (state.hasBounds ? {windowS: 8, excessShare: 0.1, slack} : undefined),
		quotaOf: (name) => (name === 't1' ? state.quota : undefined),
		sharers: () => sharers,
	});
	/** Reports the use of all daemons, with that of this one. */
	const report = (requestedPerS: number, admittedPerS: number) => {
		const own = subject.localUse()[0];
		const use: teamUsage.TeamUse = {
			team: 't1',
			requestedPerS: requestedPerS + (own?.requestedPerS ?? 0),
			admittedPerS: admittedPerS + (own?.admittedPerS ?? 0),
			silentShare: 0,
		};
		subject.noteUse({ageMs: 0, unheardShare: 0, uses: [use]});
	};

	/** Reports a steady use for some seconds. */
	const hear = async (requestedPerS: number, admittedPerS: number, seconds: number) => {
		for (let tick = 0; tick < 4 * seconds; tick++) {
			await clock.advance(250);
			report(requestedPerS, admittedPerS);
		}
	};

	/** Times of the requests that are taken, of one each 100 ms. */
	const takeFor = async (
		amount: number,
		seconds: number,
		others?: {requested: number; admitted: number},
	) => {
		const taken: number[] = [];
		for (let step = 0; step < 20 * seconds; step++) {
			await clock.advance(50);
			if (step % 5 === 0) {
				report(others?.requested ?? 0, others?.admitted ?? 0);
			}

			const isDue = step % 2 === 0;
			if (isDue && subject.tryTake({...team, quota: state.quota}, amount).kind === 'taken') {
				taken.push(clock.nowMs());
			}
		}

		return taken;
	};

	return {clock, state, subject, hear, takeFor};
};

tap.t.test('requests below the quota are taken, those beyond it get a time', async (t) => {
	const {subject, hear, clock} = start();
	await hear(0, 0, 3);
	t.equal(subject.tryTake(team, 10_000).kind, 'taken');
	const decisions = Array.from({length: 10}, () => subject.tryTake(team, 10_000));
	const refused = decisions.find(({kind}) => kind === 'refused');
	t.ok(refused?.kind === 'refused' && refused.retryAfterMs >= 250 && refused.retryAfterMs <= 5000);
	const [line] = subject.takeRefusals();
	t.match(line, {team: 't1', perS: 10_000});
	t.same(subject.takeRefusals(), [], 'refusals are reported once');
	await clock.advance(60_000);
	subject.forget();
	t.same(subject.held(), {quotaTeams: 0}, 'without use nothing is kept');
});

tap.t.test('no quota, or no bounds: all is taken and nothing is kept', async (t) => {
	const {subject, state} = start({sharers: Number.POSITIVE_INFINITY});
	t.equal(subject.tryTake({name: 't2', quota: undefined}, 1e9).kind, 'taken');
	state.hasBounds = false;
	t.equal(subject.tryTake(team, 1e9).kind, 'taken');
	subject.noteUse({
		ageMs: 0,
		unheardShare: 0,
		uses: [{team: 't2', requestedPerS: 5, admittedPerS: 5, silentShare: 0}],
	});
	t.same(subject.held(), {quotaTeams: 0});
	t.same(subject.localUse(), []);
});

// Guards against the same quota being given twice: by a daemon that was restarted, or started while it is cut off.
tap.t.test('a daemon that has heard of no others has a small share', async (t) => {
	for (const sharers of [Number.POSITIVE_INFINITY, 400]) {
		const {subject, clock} = start({sharers});
		let taken = 0;
		for (let request = 0; request < 200; request++) {
			await clock.advance(20);
			taken += subject.tryTake(team, 500).kind === 'taken' ? 500 : 0;
		}

		t.ok(taken <= 1000, `${taken} of ${sharers}`);
	}
});

tap.t.test('over the quota, a daemon has its share of the demand', async (t) => {
	const {hear, takeFor} = start();
	await hear(30_000, 7500, 10);
	// Its 10,000 a second are a quarter of the demand.
	const others = {requested: 30_000, admitted: 7500};
	await takeFor(1000, 20, others);
	const taken = await takeFor(1000, 20, others);
	t.ok(taken.length > 42 && taken.length < 58, `${taken.length} of 50, with the burst used up`);
});

// Guards against refusals because requests that ran nowhere count as use.
tap.t.test('what is given back can be taken again', async (t) => {
	const {subject, hear, clock} = start();
	await hear(0, 0, 3);
	let taken = 0;
	for (let request = 0; request < 300; request++) {
		await clock.advance(20);
		const decision = subject.tryTake(team, 1000);
		if (decision.kind === 'taken') {
			taken++;
			decision.giveBack();
		}

		if (request % 12 === 0) {
			await hear(0, 0, 0.25);
		}
	}

	t.equal(taken, 300);
	t.ok(Math.abs(subject.localUse()[0]!.admittedPerS) < 1);
});

tap.t.test('a lower quota applies at once', async (t) => {
	const {state, hear, takeFor} = start();
	await hear(0, 0, 10);
	await takeFor(1000, 4);
	state.quota = {...quota, perS: 1000, burst: 1000};
	const taken = await takeFor(1000, 30);
	const most = Math.max(
		...taken.map((fromMs) => taken.filter((ms) => ms >= fromMs && ms < fromMs + 8000).length),
	);
	t.ok(most <= 9 * 1.1, `${most} in a window`);
	t.ok(taken.length >= 28, `${taken.length} in 30 s`);
});

tap.t.test('a request counts as its tokens, as the plain number, or as one', async (t) => {
	const facts = {promptTokens: 1000, maxOutputTokens: 200};
	t.equal(teamQuota.amountOf(quota, facts), 1200);
	t.equal(teamQuota.amountOf(quota, {promptTokens: 0, maxOutputTokens: 0}), 2000);
	const perRequest = teamQuota.amountOf({...quota, unit: 'requests'}, facts);
	const {subject, state, hear} = start();
	state.quota = {perS: 2, burst: 3, unit: 'requests', plainTokens: 0};
	await hear(0, 0, 1);
	const kinds = Array.from(
		{length: 20},
		() => subject.tryTake({name: 't1', quota: state.quota}, perRequest).kind,
	);
	const taken = kinds.filter((kind) => kind === 'taken').length;
	t.ok(taken >= 2 && taken <= 6, `${taken} requests`);
});

// Anybody can send datagrams with ever new names of teams.
tap.t.test('names of teams that the configuration lacks are not kept', async (t) => {
	const {subject} = start();
	for (let index = 0; index < 1000; index++) {
		const use = {team: `odd${index}`, requestedPerS: 9, admittedPerS: 9, silentShare: 0};
		subject.noteUse({ageMs: 0, unheardShare: 0, uses: [use]});
	}

	t.same(subject.held(), {quotaTeams: 0});
});

/** Loads in which at most 2 in 100 of what is below the quota may be refused. */
const calmLoads = new Set(['steady', 'many-teams', 'moving', 'gathering', 'single']);
const allLoads = Object.keys(quotaFleet.scenarios);
/** `npm run bench -- quotas` plays all loads at all sizes. */
const largeLoads = ['moving', 'single', 'hot-large', 'hot-cut', 'kill-third', 'hot-kill-all'];

// Guards against use over all daemons beyond the quota, and against refusals below it.
for (const {daemons, seeds, loads} of [
	{daemons: 2, seeds: [1, 2], loads: allLoads},
	{daemons: 7, seeds: [1, 2], loads: allLoads},
	{daemons: 73, seeds: [1], loads: largeLoads},
]) {
	tap.t.test(`the quotas hold over ${daemons} daemons`, async (t) => {
		for (const name of loads) {
			const result = quotaFleet.playScenario(name, {daemons}, seeds);
			t.ok(result.worstWindow <= 1, `${name}: ${result.worstWindow} of what is allowed`);
			if (calmLoads.has(name)) {
				t.ok(result.refusedBelow <= 0.02, `${name}: ${result.refusedBelow} refused`);
			}
		}
	});
}

const use = (requestedPerS: number, name = 't1'): teamUsage.TeamUse => ({
	team: name,
	requestedPerS,
	admittedPerS: requestedPerS,
	silentShare: 0,
});

const startUsage = (members: Array<{name: string; failureDomain: string}> = []) => {
	const clock = new manualClock.ManualClock();
	const state = {members};
	const usage = teamUsage.createTeamUsage({
		nowMs: () => clock.nowMs(),
		localUse: () => [use(100)],
		members: () => state.members,
		failureDomain: 'a',
	});
	const report = (uses: teamUsage.TeamUse[]) => ({uses, ageMs: 0, unheardShare: 0});
	return {clock, usage, state, report};
};

tap.t.test('a relay adds what its daemons and the other domains report', async (t) => {
	const {usage, report} = startUsage();
	usage.notePeer('n2', report([use(300)]));
	usage.noteDomain('b', report([use(600), use(50, 't2')]));
	t.match(usage.domainUse().uses, [{team: 't1', requestedPerS: 400, admittedPerS: 400}]);
	t.match(usage.totalUse().uses, [{team: 't1', requestedPerS: 1000}, {team: 't2'}]);
});

// Guards against both sides of a partition using the whole quota.
tap.t.test('the share of a domain that falls silent stays reserved', async (t) => {
	const {clock, usage, state, report} = startUsage([{name: 'n4', failureDomain: 'b'}]);
	for (let tick = 0; tick < 40; tick++) {
		usage.noteDomain('b', report([use(300)]));
		usage.totalUse();
		await clock.advance(250);
	}

	await clock.advance(teamUsage.silentAfterMs);
	const [silent] = usage.totalUse().uses;
	t.ok(Math.abs(silent!.silentShare - 0.75) < 0.01, `${silent!.silentShare}`);
	t.equal(silent!.requestedPerS, 100);
	await clock.advance(10_000);
	const [later] = usage.totalUse().uses;
	t.equal(later!.silentShare, silent!.silentShare);
	t.ok(later!.admittedPerS < 101, 'its use has decayed');
	usage.noteDomain('b', report([use(300)]));
	t.match(usage.totalUse().uses, [{requestedPerS: 400, silentShare: 0}]);
	await clock.advance(5000);
	t.match(usage.totalUse().uses, [{requestedPerS: 100, silentShare: 0.75}]);
	state.members = [];
	t.match(usage.totalUse().uses, [{requestedPerS: 100, silentShare: 0}], 'its daemons left');
	t.equal(usage.reporters, 0);
});

// Guards against a new relay that passes on the use of the few daemons that it has heard.
tap.t.test('members that a relay has not heard have a share', async (t) => {
	const {usage, report} = startUsage([
		{name: 'n2', failureDomain: 'a'},
		{name: 'n3', failureDomain: 'a'},
		{name: 'n4', failureDomain: 'b'},
	]);
	t.equal(usage.totalUse().unheardShare, 0.75);
	usage.notePeer('n2', report([]));
	t.equal(usage.domainUse().unheardShare, 0.25);
	t.equal(usage.totalUse().unheardShare, 0.5);
	usage.noteDomain('b', report([]));
	usage.notePeer('n3', report([]));
	t.equal(usage.totalUse().unheardShare, 0);
});

tap.t.test('a report has the teams with the highest use', async (t) => {
	const {usage, report} = startUsage();
	const uses = Array.from({length: 200}, (_, index) => use(1000 + index, `x${index}`));
	usage.noteDomain('b', report(uses));
	const total = usage.totalUse();
	t.equal(total.uses.length, teamUsage.maxTeamsPerReport);
	t.ok(total.uses.every(({requestedPerS}) => requestedPerS > 1000 + 200 - 65));
});
