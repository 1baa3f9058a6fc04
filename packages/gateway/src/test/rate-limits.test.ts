// Rate limits that upstreams name: what daemons know of them, and how they share them. On a manual clock.
import * as manualClock from '@hawthornfront/base/common/manual-clock.js';
import * as tap from 'tap';
import * as rateLimitShares from '../common/rate-limit-shares.js';
import * as upstreamRateLimits from '../common/upstream-rate-limits.js';

const windowMs = 4000;

/** Daemons that all have more requests than the limit allows; returns the times of those that they send. */
const sendAll = async (
	clock: manualClock.ManualClock,
	views: ReadonlyArray<readonly string[]>,
	requestsPerS: number,
	durationMs: number,
): Promise<number[]> => {
	const daemons = views.map((members, index) =>
		rateLimitShares.createRateLimitShares(
			() => clock.nowMs(),
			`n${index}`,
			() => members,
			// The views are complete, that of a daemon without others too.
			() => true,
		),
	);
	const sentAtMs: number[] = [];
	while (clock.nowMs() < durationMs) {
		for (const daemon of daemons) {
			if (daemon.mayUse('u1', requestsPerS)) {
				daemon.noteUse('u1', requestsPerS);
				sentAtMs.push(clock.nowMs());
			}
		}

		await clock.advance(50);
	}

	return sentAtMs;
};

const mostInWindow = (sentAtMs: readonly number[]): number =>
	Math.max(
		...sentAtMs.map(
			(endMs) => sentAtMs.filter((atMs) => atMs > endMs - windowMs && atMs <= endMs).length,
		),
	);

for (const [daemons, requestsPerS] of [
	[1, 2.5],
	[3, 0.5],
	[3, 2.5],
	[7, 30],
	[68, 4.8],
	[68, 200],
] as const) {
	tap.t.test(`${daemons} daemons share ${requestsPerS} requests a second`, async (t) => {
		const names = Array.from({length: daemons}, (_, index) => `n${index}`);
		const durationMs = 12_000;
		const sentAtMs = await sendAll(
			new manualClock.ManualClock(),
			names.map(() => names),
			requestsPerS,
			durationMs,
		);
		const most = mostInWindow(sentAtMs);
		t.ok(most <= 1.5 * requestsPerS * (windowMs / 1000) + 5, `${most} in 4 s`);
		const usable = Math.min(requestsPerS, daemons * 20) * (durationMs / 1000);
		t.ok(sentAtMs.length >= 0.7 * usable, `${sentAtMs.length} of ${usable}`);
	});
}

// Guards against a limit that daemons exceed while their lists of members differ.
tap.t.test('daemons with different lists of members keep the limit', async (t) => {
	const names = Array.from({length: 7}, (_, index) => `n${index}`);
	for (let lost = 0; lost < names.length; lost++) {
		const views = names.map((_, index) =>
			index % 2 === 0 ? names : names.filter((_name, other) => other !== lost),
		);
		const sentAtMs = await sendAll(new manualClock.ManualClock(), views, 2.5, 12_000);
		const most = mostInWindow(sentAtMs);
		t.ok(most <= 20, `${most} in 4 s without n${lost}`);
	}
});

tap.t.test('an upstream with a limit of 0 is asked now and then', async (t) => {
	const names = ['n0', 'n1'];
	const views = [names, names];
	const sentAtMs = await sendAll(new manualClock.ManualClock(), views, 0, 20_000);
	t.ok(sentAtMs.length >= 3 && mostInWindow(sentAtMs) <= 5, `${sentAtMs.length}`);
});

const createLimits = (clock: manualClock.ManualClock) => {
	const changes: Array<[number | undefined, string]> = [];
	const subject = upstreamRateLimits.createUpstreamRateLimits(clock);
	subject.onDidChange(({requestsPerS, source}) => changes.push([requestsPerS, source]));
	return {subject, changes};
};

// Guards against answers that arrive out of order and end a limit that has just begun.
tap.t.test('only the answer to a later request ends a limit', async (t) => {
	const clock = new manualClock.ManualClock();
	const {subject, changes} = createLimits(clock);
	await clock.advance(1000);
	subject.noteAnswer('u1', undefined, 900);
	subject.noteAnswer('u1', 2.5, 900);
	await clock.advance(500);
	subject.noteAnswer('u1', undefined, 950);
	t.equal(subject.limitOf('u1'), 2.5);
	subject.noteAnswer('u1', 3, 1400);
	await clock.advance(500);
	subject.noteAnswer('u1', undefined, 1600);
	t.equal(subject.limitOf('u1'), undefined);
	t.same(
		changes.map(([requestsPerS]) => requestsPerS),
		[2.5, 3, undefined],
	);
});

tap.t.test('reports of other daemons apply unless a newer answer is known', async (t) => {
	const clock = new manualClock.ManualClock();
	const {subject, changes} = createLimits(clock);
	await clock.advance(5000);
	subject.merge({upstreamId: 'u1', requestsPerS: undefined, ageMs: 10}, 'n2');
	subject.merge({upstreamId: 'u1', requestsPerS: 2, ageMs: 1000}, 'n2');
	subject.merge({upstreamId: 'u1', requestsPerS: undefined, ageMs: 2000}, 'n3');
	t.same(changes, [[2, 'n2']]);
	await clock.advance(4000);
	t.match(subject.takeReports(), [{upstreamId: 'u1', requestsPerS: 2, ageMs: 5000}]);
	subject.merge({upstreamId: 'u1', requestsPerS: undefined, ageMs: 100}, 'n3');
	t.equal(subject.limitOf('u1'), undefined);
	t.match(subject.takeReports(), [{requestsPerS: undefined}], 'the end of a limit is reported too');
	await clock.advance(4000);
	t.same(subject.takeReports(), []);
	for (let index = 0; index < 100; index++) {
		subject.noteAnswer(`u${index}`, 1, clock.nowMs());
	}

	t.equal(subject.takeReports().length, 16, 'the reports of a message are bounded');
	subject.forget('u1');
	t.equal(subject.limitOf('u1'), undefined);
});

// Guards against limits that others never hear of while the first ones keep changing.
tap.t.test('all of many limits are reported within a second', async (t) => {
	const clock = new manualClock.ManualClock();
	const {subject} = createLimits(clock);
	const ids = Array.from({length: 60}, (_, index) => `u${index}`);
	for (const id of ids) {
		subject.noteAnswer(id, 1, clock.nowMs());
	}

	const reported = new Set<string>();
	for (let message = 0; message < 4; message++) {
		for (const [index, id] of ids.slice(0, 20).entries()) {
			subject.noteAnswer(id, message + index, clock.nowMs());
		}

		for (const {upstreamId} of subject.takeReports()) {
			reported.add(upstreamId);
		}

		await clock.advance(250);
	}

	t.same(
		ids.filter((id) => !reported.has(id)),
		[],
	);
	await clock.advance(4000);
	const named = new Set<string>();
	for (let message = 0; message < 12; message++) {
		for (const id of ids.slice(0, 20)) {
			subject.noteAnswer(id, message, clock.nowMs());
		}

		for (const {upstreamId} of subject.takeReports()) {
			named.add(upstreamId);
		}

		await clock.advance(250);
	}

	t.equal(named.size, ids.length, 'also those that have not changed');
});
