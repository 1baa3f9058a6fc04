// An upstream that becomes cold without a new start, under the usual traffic of many daemons. Without network.
import * as manualClock from '@hawthornfront/base/common/manual-clock.js';
import * as tap from 'tap';
import * as coldUpstreamLimiter from '../common/cold-upstream-limiter.js';
import * as coldFleet from './cold-fleet.js';

const usualPerS = 80;
const coldMs = 3000;
const settleMs = 6000;
const rounds = 12;
const entryDelayMs = 30;
const wordDelayMs = 20;

for (const daemons of [2, 12, 65]) {
	// Guards against a sender whose burst adds to the traffic that was sent before the word of the entry.
	tap.t.test(
		`${daemons} daemons, entry ${entryDelayMs} ms after an upstream is cold`,
		async (t) => {
			const fleet = coldFleet.startColdFleet({
				daemons,
				seed: daemons,
				requestsPerS: usualPerS / daemons,
				lossShare: 0.05,
			});
			await fleet.run(settleMs);
			let later = 0;
			for (let round = 0; round < rounds; round++) {
				fleet.becomeCold(coldMs);
				const coldAtMs = fleet.clock.nowMs();
				await fleet.run(entryDelayMs);
				fleet.writeEntry(wordDelayMs);
				await fleet.run(coldMs - entryDelayMs);
				const endMs = fleet.clock.nowMs();
				const {most} = fleet.coldArrivals(coldAtMs, endMs);
				t.ok(most <= coldFleet.allowedInOneSecond, `${most} in one second`);
				later += fleet.coldArrivals(coldAtMs + 1000, endMs).sum;
				await fleet.run(2000);
			}

			// The sender has no more requests than its own callers send.
			const usable = Math.min(0.75 * coldFleet.coldRatePerS, usualPerS / daemons) * 2 * rounds;
			t.ok(later >= usable / 2, `${later} of ${usable} after the first second`);
		},
	);
}

// Guards against a hold that outlives the second, or the start of the upstream that it concerns.
tap.t.test('an upstream gets nothing for a second after its usual traffic', async (t) => {
	const clock = new manualClock.ManualClock();
	const limiter = coldUpstreamLimiter.createColdUpstreamLimiter(() => clock.nowMs(), {
		isSender: () => true,
	});
	t.ok(limiter.mayUse('u1', coldFleet.coldRatePerS));
	limiter.noteUsual('u1');
	await clock.advance(999);
	t.notOk(limiter.mayUse('u1', coldFleet.coldRatePerS));
	t.ok(limiter.mayUse('u2', coldFleet.coldRatePerS), 'others are not concerned');
	await clock.advance(1);
	t.ok(limiter.mayUse('u1', coldFleet.coldRatePerS));
	limiter.noteUsual('u1');
	await clock.advance(600);
	limiter.noteRestricted('u1');
	await clock.advance(900);
	t.notOk(limiter.mayUse('u1', coldFleet.coldRatePerS), 'others sent until it was restricted');
	limiter.noteRestricted('u1');
	await clock.advance(100);
	t.ok(limiter.mayUse('u1', coldFleet.coldRatePerS), 'a further restriction ends no traffic');
	limiter.noteUsual('u1');
	limiter.forget('u1');
	t.ok(limiter.mayUse('u1', coldFleet.coldRatePerS), 'a new start had no traffic');
});
