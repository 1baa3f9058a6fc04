// Daemons of a region that is cut off heard each other and took their last listing of the upstreams for current.
import * as manualClock from '@hawthornfront/base/common/manual-clock.js';
import * as tap from 'tap';
import * as outsideContact from '../common/outside-contact.js';

const start = (places: Array<{region: string; failureDomain: string; isUnconfirmed?: boolean}>) => {
	const clock = new manualClock.ManualClock(100_000);
	const state = {respondedAtMs: 0, reachedSinceMs: 0};
	const members = places.map((place) => ({
		aliveAtMs: clock.nowMs(),
		isUnconfirmed: false,
		...place,
	}));
	const silences: number[] = [];
	const subject = outsideContact.createOutsideContact({
		nowMs: () => clock.nowMs(),
		region: 'north',
		failureDomain: 'north-a',
		members: () => members,
		storeResponseAgeMs: () => clock.nowMs() - state.respondedAtMs,
		storeReachedMs: () => clock.nowMs() - state.reachedSinceMs,
	});
	subject.onDidFallSilent((silentMs) => {
		silences.push(silentMs);
	});
	const hear = (index: number) => {
		members[index]!.aliveAtMs = clock.nowMs();
	};

	return {clock, state, members, silences, subject, hear};
};

const own = {region: 'north', failureDomain: 'north-a'};
const neighbour = {region: 'north', failureDomain: 'north-b'};
const remote = {region: 'south', failureDomain: 'south-a'};

tap.t.test('a daemon that hears only its own region hears nothing from outside', async (t) => {
	const {clock, subject, hear, silences} = start([own, neighbour, remote]);
	t.ok(subject.isHeard());
	await clock.advance(900);
	hear(0);
	hear(1);
	t.ok(subject.isHeard());
	await clock.advance(200);
	hear(0);
	hear(1);
	t.notOk(subject.isHeard());
	await clock.advance(100);
	t.notOk(subject.isHeard());
	t.same(silences, [1100], 'told once');
	await clock.advance(1);
	hear(2);
	t.ok(subject.isHeard());
});

tap.t.test('a store that answers is heard', async (t) => {
	const {clock, subject, state} = start([own, remote]);
	await clock.advance(1200);
	t.notOk(subject.isHeard());
	await clock.advance(1);
	state.respondedAtMs = clock.nowMs();
	t.ok(subject.isHeard());
	await clock.advance(1000);
	t.notOk(subject.isHeard());
});

tap.t.test('without other regions, the other failure domains count', async (t) => {
	const {clock, subject, hear} = start([own, neighbour]);
	await clock.advance(1200);
	hear(0);
	t.notOk(subject.isHeard());
	await clock.advance(1);
	hear(1);
	t.ok(subject.isHeard());
});

tap.t.test('a daemon alone in its only failure domain has nobody to hear', async (t) => {
	const {clock, subject} = start([own]);
	await clock.advance(5000);
	t.ok(subject.isHeard());
});

tap.t.test('a member that only the store lists is not heard', async (t) => {
	const {clock, subject, hear} = start([remote, {...remote, isUnconfirmed: true}]);
	await clock.advance(1200);
	hear(1);
	t.notOk(subject.isHeard());
});

// The other regions may have left for good, and the watches of the store tell after some seconds.
tap.t.test('long after the other regions have fallen silent, the store decides', async (t) => {
	const {clock, subject} = start([own, remote]);
	await clock.advance(5900);
	t.notOk(subject.isHeard());
	await clock.advance(200);
	t.ok(subject.isHeard());
});

// Guards against the second of two cuts, before which the store was reached again but no other region was heard.
tap.t.test('a store that has been reached again for a moment does not decide', async (t) => {
	const {clock, subject, state} = start([own, remote]);
	await clock.advance(6500);
	state.reachedSinceMs = clock.nowMs();
	state.respondedAtMs = clock.nowMs();
	t.ok(subject.isHeard());
	await clock.advance(1100);
	t.notOk(subject.isHeard());
	await clock.advance(5000);
	t.ok(subject.isHeard());
});

tap.t.test('the silence goes on when the members are lost', async (t) => {
	const {clock, members, subject} = start([own, remote]);
	t.ok(subject.isHeard());
	members.pop();
	await clock.advance(4000);
	t.notOk(subject.isHeard());
});
