// Upstreams whose store entries are added, removed or expire.
import * as tap from 'tap';
import * as manualClock from '@hawthornfront/base/common/manual-clock.js';
import * as upstreamRegistry from '../common/upstream-registry.js';
import * as fixtures from './fixtures.js';

const create = () => {
	const clock = new manualClock.ManualClock();
	const subject = upstreamRegistry.createUpstreamRegistry(
		clock,
		(name) => fixtures.regionByDomain[name],
	);
	const changes: string[] = [];
	subject.onDidChange(({kind, upstream}) => {
		changes.push(`${kind} ${upstream.entry.id}`);
	});
	return {clock, subject, changes};
};

const usableIds = (subject: upstreamRegistry.UpstreamRegistry) =>
	subject.usable('model', 'north').map((upstream) => upstream.entry.id);

tap.t.test('a removed entry is gone at once', async (t) => {
	const {subject, changes} = create();
	subject.replaceAll([fixtures.upstream('u1'), fixtures.upstream('u2')], 5);
	subject.remove('u1', 6);
	t.same(usableIds(subject), ['u2']);
	t.same(changes, ['seen u1', 'seen u2', 'gone u1']);
	t.equal(subject.revision, 6);
});

tap.t.test('entries that expire in an outage stay usable for a grace period', async (t) => {
	const {clock, subject} = create();
	subject.replaceAll([fixtures.upstream('u1'), fixtures.upstream('u2')], 5);
	subject.setStoreReachable(false);
	await clock.advance(10_000);
	subject.setStoreReachable(true);
	subject.replaceAll([], 9);
	t.same(usableIds(subject), ['u1', 'u2'], 'both are still usable');
	await clock.advance(1500);
	subject.put(fixtures.upstream('u1'), 10);
	await clock.advance(1000);
	t.same(usableIds(subject), ['u1'], 'entries that are missing after 2.2 s are gone');
});

tap.t.test('a second outage extends the grace period', async (t) => {
	const {clock, subject} = create();
	subject.replaceAll([fixtures.upstream('u1')], 5);
	subject.setStoreReachable(false);
	subject.setStoreReachable(true);
	subject.remove('u1', 6);
	await clock.advance(1000);
	subject.setStoreReachable(false);
	await clock.advance(5000);
	t.same(usableIds(subject), ['u1']);
	subject.setStoreReachable(true);
	await clock.advance(5000);
	t.same(usableIds(subject), []);
});

tap.t.test('a draining upstream gets no grace period', async (t) => {
	const {subject, changes} = create();
	subject.replaceAll([fixtures.upstream('u1')], 5);
	subject.put(fixtures.upstream('u1', {isDraining: true}), 6);
	subject.setStoreReachable(false);
	subject.remove('u1', 7);
	t.same(changes, ['seen u1', 'draining u1', 'gone u1']);
});

tap.t.test('a restart under the same id is detected', async (t) => {
	const {clock, subject, changes} = create();
	subject.put(fixtures.upstream('u1', {startedAtUnixMs: 1}), 5);
	await clock.advance(1000);
	subject.put(fixtures.upstream('u1', {startedAtUnixMs: 2, coldLeftMs: 3000}), 6);
	t.same(changes, ['seen u1', 'restarted u1']);
	t.equal(subject.get('u1')?.coldUntilMs, clock.nowMs() + 3000);
});

tap.t.test('a listing does not make an upstream cold again', async (t) => {
	const {clock, subject} = create();
	subject.put(fixtures.upstream('u1', {coldLeftMs: 3000}), 5);
	await clock.advance(5000);
	subject.replaceAll([fixtures.upstream('u1', {coldLeftMs: 3000})], 6);
	t.ok(subject.get('u1')!.coldUntilMs < clock.nowMs());
	subject.put(fixtures.upstream('u1', {coldLeftMs: 3000}), 7);
	t.ok(subject.get('u1')!.coldUntilMs > clock.nowMs(), 'a write makes it cold again');
});

tap.t.test('an upstream of an unknown failure domain is ignored', async (t) => {
	const {subject} = create();
	subject.put(fixtures.upstream('u1', {failureDomain: 'moon-a'}), 5);
	t.same(subject.all(), []);
});
