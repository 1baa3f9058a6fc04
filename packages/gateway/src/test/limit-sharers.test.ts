// The daemons that share a named limit: lone ones, steady ones, and those that were lost or cut off.
import * as manualClock from '@hawthornfront/base/common/manual-clock.js';
import * as tap from 'tap';
import * as limitSharers from '../common/limit-sharers.js';
import * as rateLimitShares from '../common/rate-limit-shares.js';

const region = 'north';
const stepMs = 50;
const windowMs = 4000;

type Daemon = {
	name: string;
	/** Other daemons that it hears. */
	alive: string[];
	sharers: limitSharers.LimitSharers;
	shares: rateLimitShares.RateLimitShares;
};

const startDaemon = (clock: manualClock.ManualClock, name: string): Daemon => {
	const alive: string[] = [];
	const sharers = limitSharers.createLimitSharers({
		nowMs: () => clock.nowMs(),
		daemonName: name,
		region,
		alive: () => alive,
		hasLivePeers: () => alive.length > 0,
	});
	const shares = rateLimitShares.createRateLimitShares(
		() => clock.nowMs(),
		name,
		sharers.names,
		sharers.areKnown,
	);
	return {name, alive, sharers, shares};
};

const noteHeard = ({alive, sharers}: Daemon, name: string) => {
	alive.push(name);
	sharers.noteMember({kind: 'joined', member: {name, region}});
};

const noteLost = ({alive, sharers}: Daemon, name: string) => {
	alive.splice(alive.indexOf(name), 1);
	sharers.noteMember({kind: 'lost', member: {name, region}});
};

/** Starts daemons that all hear each other and the store. */
const startFleet = (clock: manualClock.ManualClock, count: number): Daemon[] => {
	const daemons = Array.from({length: count}, (_, index) => startDaemon(clock, `n${index}`));
	for (const daemon of daemons) {
		daemon.sharers.noteStoreReached();
		for (const {name} of daemons.filter((other) => other !== daemon)) {
			noteHeard(daemon, name);
		}
	}

	return daemons;
};

/** Sends as much as the shares allow; returns the times. */
const sendAll = async (
	clock: manualClock.ManualClock,
	daemons: readonly Daemon[],
	limitPerS: number,
	durationMs: number,
): Promise<number[]> => {
	const sentAtMs: number[] = [];
	const endMs = clock.nowMs() + durationMs;
	while (clock.nowMs() < endMs) {
		await clock.advance(stepMs);
		for (const {shares} of daemons) {
			if (shares.mayUse('u1', limitPerS)) {
				shares.noteUse('u1', limitPerS);
				sentAtMs.push(clock.nowMs());
			}
		}
	}

	return sentAtMs;
};

const mostInWindow = (sentAtMs: readonly number[]): number =>
	Math.max(
		0,
		...sentAtMs.map(
			(endMs) => sentAtMs.filter((atMs) => atMs > endMs - windowMs && atMs <= endMs).length,
		),
	);

const allowedInWindow = (limitPerS: number): number => 1.5 * limitPerS * (windowMs / 1000) + 5;

for (const limitPerS of [0.5, 2.5, 5, 30]) {
	// Guards against a lone daemon that never uses a limit, as other daemons might exist.
	tap.t.test(`a lone daemon that reaches the store uses ${limitPerS} a second`, async (t) => {
		const clock = new manualClock.ManualClock();
		const [daemon] = startFleet(clock, 1);
		const early = await sendAll(clock, [daemon!], limitPerS, 3500);
		t.ok(early.length <= limitPerS / 2, `${early.length} in the first 3.5 s`);
		await clock.advance(1000);
		const sentAtMs = await sendAll(clock, [daemon!], limitPerS, 20_000);
		// Requests come at multiples of the step, by which one daemon can send 20 a second.
		const usable = Math.min(20, limitPerS) * 20;
		t.ok(sentAtMs.length >= 0.7 * usable, `${sentAtMs.length} of ${usable}`);
		t.ok(mostInWindow(sentAtMs) <= allowedInWindow(limitPerS), `${mostInWindow(sentAtMs)} in 4 s`);
	});

	// Guards against a steady fleet that leaves a limit unused, as further daemons might exist.
	tap.t.test(`seven steady daemons use ${limitPerS} a second`, async (t) => {
		const clock = new manualClock.ManualClock();
		const daemons = startFleet(clock, 7);
		await clock.advance(4500);
		const sentAtMs = await sendAll(clock, daemons, limitPerS, 20_000);
		t.ok(sentAtMs.length >= 0.7 * limitPerS * 20, `${sentAtMs.length} of ${limitPerS * 20}`);
		t.ok(mostInWindow(sentAtMs) <= allowedInWindow(limitPerS), `${mostInWindow(sentAtMs)} in 4 s`);
	});

	// Guards against daemons that each take a limit whole before they know each other.
	tap.t.test(`ten daemons that know no other keep ${limitPerS} a second`, async (t) => {
		const clock = new manualClock.ManualClock();
		const daemons = Array.from({length: 10}, (_, index) => startDaemon(clock, `n${index}`));
		const sentAtMs = await sendAll(clock, daemons, limitPerS, 60_000);
		t.ok(sentAtMs.length <= limitPerS * 60, `${sentAtMs.length} of ${limitPerS * 60}`);
	});

	// Guards against a cut in which each daemon takes the shares of those that it does not hear.
	tap.t.test(`daemons that lose all others keep ${limitPerS} a second together`, async (t) => {
		const clock = new manualClock.ManualClock();
		const daemons = startFleet(clock, 7);
		await clock.advance(4500);
		for (const daemon of daemons) {
			for (const {name} of daemons.filter((other) => other !== daemon)) {
				noteLost(daemon, name);
			}
		}

		const sentAtMs = await sendAll(clock, daemons, limitPerS, 20_000);
		t.ok(mostInWindow(sentAtMs) <= allowedInWindow(limitPerS), `${mostInWindow(sentAtMs)} in 4 s`);
		t.ok(sentAtMs.length >= 0.7 * limitPerS * 20, `${sentAtMs.length} of ${limitPerS * 20}`);
	});

	for (const parts of [
		[1, 6],
		[3, 4],
		[3, 3],
	] as const) {
		// Guards against two parts of a region that each use a limit whole.
		tap.t.test(`parts of ${parts.join(' and ')} daemons keep ${limitPerS} a second`, async (t) => {
			const clock = new manualClock.ManualClock();
			const daemons = startFleet(clock, parts[0] + parts[1]);
			await clock.advance(4500);
			const cut = [daemons.slice(0, parts[0]), daemons.slice(parts[0])];
			for (const [part, others] of [cut, cut.toReversed()]) {
				for (const daemon of part!) {
					for (const {name} of others!) {
						noteLost(daemon, name);
					}
				}
			}

			const sentAtMs = await sendAll(clock, daemons, limitPerS, 20_000);
			const most = mostInWindow(sentAtMs);
			t.ok(most <= allowedInWindow(limitPerS), `${most} in 4 s`);
			// Both parts together leave no share unused.
			t.ok(sentAtMs.length >= 0.7 * limitPerS * 20, `${sentAtMs.length} of ${limitPerS * 20}`);
		});
	}
}

// Guards against a limit of which the share of lost daemons is never used again.
tap.t.test('survivors take the shares of lost daemons, few of them after a while', async (t) => {
	const clock = new manualClock.ManualClock();
	const daemons = startFleet(clock, 7);
	await clock.advance(4500);
	const lose = (survivors: readonly Daemon[], lost: readonly Daemon[]) => {
		for (const daemon of survivors) {
			for (const {name} of lost) {
				noteLost(daemon, name);
			}
		}
	};

	lose(daemons.slice(3), daemons.slice(0, 3));
	t.equal(daemons[3]!.sharers.names().length, 4, 'the majority does without the others');
	lose(daemons.slice(4), daemons.slice(3, 4));
	t.equal(daemons[4]!.sharers.names().length, 7, 'a minority counts those that it lost');
	await clock.advance(600_000);
	t.equal(daemons[4]!.sharers.names().length, 3);
	t.equal(daemons[4]!.sharers.size, 0);
});

// Guards against restarted, leaving or foreign members that count as lost, and against a list without a bound.
tap.t.test('only lost members of the region are remembered, and not without a bound', async (t) => {
	const clock = new manualClock.ManualClock();
	const [daemon] = startFleet(clock, 3);
	noteLost(daemon!, 'n1');
	noteLost(daemon!, 'n2');
	t.equal(daemon!.sharers.names().length, 3);
	daemon!.sharers.noteMember({kind: 'left', member: {name: 'n1', region}});
	daemon!.sharers.noteMember({kind: 'restarted', member: {name: 'n2', region}});
	daemon!.sharers.noteMember({kind: 'lost', member: {name: 's1', region: 'south'}});
	t.same(daemon!.sharers.names(), ['n0']);
	for (let index = 0; index < 10_000; index++) {
		daemon!.sharers.noteMember({kind: 'lost', member: {name: `odd${index}`, region}});
	}

	t.ok(daemon!.sharers.size <= 4096, `${daemon!.sharers.size}`);
});

// Guards against a daemon that is started in a cut and never uses a limit, or takes it whole at once.
tap.t.test('a daemon that reaches nobody since its start waits ten minutes', async (t) => {
	const clock = new manualClock.ManualClock();
	const {sharers} = startDaemon(clock, 'n0');
	await clock.advance(599_000);
	t.notOk(sharers.areKnown());
	await clock.advance(1000);
	t.ok(sharers.areKnown());
});
