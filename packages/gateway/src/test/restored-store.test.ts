// Daemons ignored the changes after a restore of the store, since its revisions had been higher before.
import * as tap from 'tap';
import * as storePosition from '../common/store-position.js';
import * as fixtures from './fixtures.js';
import type * as memoryStore from './memory-store.js';
import * as storeDomain from './store-domain.js';

/** Bound on a configuration, the tightest of the platform's bounds on changes. */
const configMs = 3000;
const config = (version: number) => ({...fixtures.config, version});

// Guards against snapshots that a daemon does not pull because revisions were higher before a restore.
tap.t.test('a daemon that stopped watching pulls what came after a restore', async (t) => {
	const {clock, store, daemons} = storeDomain.startDomain(t, ['n1', 'n2']);
	const [watcher, follower] = [daemons[0]!, daemons[1]!];
	store.write('ops/routes', config(5));
	store.write('servers/u1', fixtures.upstream('u1'));
	await clock.advance(2000);
	const copy = store.copy();
	storeDomain.writeElsewhere(store, 10);
	store.write('ops/routes', config(6));
	store.write('servers/u2', fixtures.upstream('u2'));
	await clock.advance(2000);
	follower.cluster.setWatching(false);
	store.isUnavailable = true;
	follower.cluster.setWatching(true);
	await clock.advance(1000);
	store.restore(copy);
	store.write('ops/routes', config(6));
	store.isUnavailable = false;
	await clock.advance(3000);
	follower.cluster.setWatching(false);
	store.write('ops/leave/north-b', {});
	store.write('servers/u3', fixtures.upstream('u3'));
	await clock.advance(configMs);
	t.ok(watcher.cluster.isEvacuated('north-b'));
	t.ok(follower.cluster.isEvacuated('north-b'), 'an evacuation');
	t.same(follower.ids(), watcher.ids());
	store.remove('ops/leave/north-b');
	await clock.advance(configMs);
	t.notOk(follower.cluster.isEvacuated('north-b'), 'and its end');
});

// Guards against a watch that continues from a revision that the store has given out again.
tap.t.test('a watch does not miss changes of a restore that it was not cut by', async (t) => {
	const {clock, store, daemons} = storeDomain.startDomain(t, ['n1']);
	const {cluster, ids} = daemons[0]!;
	store.write('ops/routes', config(5));
	store.write('servers/u1', fixtures.upstream('u1'));
	await clock.advance(2000);
	const copy = store.copy();
	storeDomain.writeElsewhere(store, 5);
	await clock.advance(1200);
	store.restore(copy);
	store.write('ops/leave/north-b', {});
	store.write('servers/u2', fixtures.upstream('u2'));
	storeDomain.writeElsewhere(store, 20);
	await clock.advance(configMs);
	t.ok(cluster.isEvacuated('north-b'));
	t.same(ids(), ['u1', 'u2']);
});

// Guards against old changes that a daemon without contact brings back.
tap.t.test(
	'a daemon cut off since before two restores follows, and brings nothing back',
	async (t) => {
		const {clock, store, cutOff, daemons} = storeDomain.startDomain(t, ['n1', 'n2']);
		const [watcher, isolated] = [daemons[0]!, daemons[1]!];
		store.write('ops/routes', config(5));
		store.write('servers/u1', fixtures.upstream('u1'));
		await clock.advance(2000);
		const copy = store.copy();
		storeDomain.writeElsewhere(store, 30);
		store.write('servers/u2', fixtures.upstream('u2'));
		store.write('ops/leave/south-a', {});
		await clock.advance(2000);
		cutOff.add('n2');
		isolated.cluster.setWatching(false);
		for (let count = 0; count < 2; count++) {
			store.restore(copy);
			await clock.advance(700);
		}

		store.write('ops/leave/north-b', {});
		await clock.advance(2 * configMs);
		cutOff.clear();
		await clock.advance(configMs);
		for (const {name, cluster, ids} of [watcher, isolated]) {
			t.same([...cluster.evacuatedDomains()], ['north-b'], name);
			t.same(ids(), ['u1'], name);
		}
	},
);

// Guards against daemons of a version without eras that no daemon with eras pulls from.
tap.t.test('daemons that report no era are compared by revision', (t) => {
	const {create, isAfter, latest} = storePosition;
	for (const [position, other, expected] of [
		[create(undefined, 30), create(undefined, 20), true],
		[create(undefined, 30), create(2, 20), true],
		[create(undefined, 10), create(2, 20), false],
		[create(2, 10), create(undefined, 20), true],
		[create(2, 10), create(1, 20), true],
		[create(1, 30), create(2, 10), false],
		[create(2, 10), create(2, 10), false],
		[create(0, 0), create(undefined, 0), true],
	] as const) {
		t.equal(isAfter(position, other), expected, `${position} after ${other}`);
	}

	t.equal(latest(create(2, 10), create(undefined, 20)), create(2, 20), 'a known era is kept');
	t.equal(latest(create(undefined, 20), create(2, 10)), create(2, 10));
	const last = create(storePosition.maxEra, 2 ** 40 - 1);
	t.ok(Number.isSafeInteger(last));
	t.equal(storePosition.eraOf(last), storePosition.maxEra);
	t.equal(storePosition.revisionOf(last), 2 ** 40 - 1);
	t.end();
});

/** A daemon that knows changes which a copy of the store lacks. */
const startWithLostChanges = async (
	t: tap.Test,
	change: (store: memoryStore.MemoryPrefixStore) => void,
) => {
	const domain = storeDomain.startDomain(t, ['n1', 'n2']);
	const {clock, store, daemons} = domain;
	daemons[1]!.cluster.setWatching(false);
	store.write('ops/routes', config(5));
	for (const id of ['u1', 'u2']) {
		store.write(`servers/${id}`, fixtures.upstream(id, {startedAtUnixMs: 1}));
	}

	await clock.advance(5000);
	const copy = store.copy();
	change(store);
	await clock.advance(1500);
	store.restore(copy);
	await clock.advance(1500);
	const usable = () =>
		daemons.map(({registry}) =>
			registry
				.usable('model', 'north')
				.map(({entry}) => entry.id)
				.join(' '),
		);
	return {...domain, usable};
};

// Guards against upstreams that leave and get work again because a copy still calls them ready.
tap.t.test('a draining upstream stays draining after a restore', async (t) => {
	const {clock, store, usable} = await startWithLostChanges(t, (lost) => {
		lost.write('servers/u2', fixtures.upstream('u2', {startedAtUnixMs: 1, isDraining: true}));
	});
	t.same(usable(), ['u1', 'u1']);
	await clock.advance(10_000);
	t.same(usable(), ['u1', 'u1']);
	store.write('servers/u2', fixtures.upstream('u2', {startedAtUnixMs: 2}));
	await clock.advance(configMs);
	t.same(usable(), ['u1 u2', 'u1 u2'], 'until it starts again');
});

// Guards against upstreams that left and get work again because a copy still has them.
tap.t.test('an upstream that left is not used after a restore', async (t) => {
	const left = (lost: memoryStore.MemoryPrefixStore) => {
		lost.remove('servers/u2');
	};

	const expiring = await startWithLostChanges(t, left);
	t.same(expiring.usable(), ['u1', 'u1']);
	expiring.store.remove('servers/u2');
	await expiring.clock.advance(10_000);
	t.same(expiring.usable(), ['u1', 'u1'], 'its restored entry expired');

	const registered = await startWithLostChanges(t, left);
	t.same(registered.usable(), ['u1', 'u1']);
	registered.store.write('servers/u2', fixtures.upstream('u2', {startedAtUnixMs: 1}));
	await registered.clock.advance(configMs);
	t.same(registered.usable(), ['u1 u2', 'u1 u2'], 'it registers again');

	const silent = await startWithLostChanges(t, left);
	await silent.clock.advance(10_000);
	t.same(silent.usable(), ['u1 u2', 'u1 u2'], 'an entry that does not expire is used');
});

// Guards against upstreams that a copy lacks and that count as gone.
tap.t.test('an upstream that a copy lacks is kept until it has registered again', async (t) => {
	const add = (lost: memoryStore.MemoryPrefixStore) => {
		lost.write('servers/u3', fixtures.upstream('u3', {startedAtUnixMs: 1}));
	};

	const {clock, usable} = await startWithLostChanges(t, add);
	t.same(usable(), ['u1 u2 u3', 'u1 u2 u3']);
	await clock.advance(configMs);
	t.same(usable(), ['u1 u2', 'u1 u2'], 'it does not');
	const again = await startWithLostChanges(t, add);
	add(again.store);
	await again.clock.advance(10_000);
	t.same(again.usable(), ['u1 u2 u3', 'u1 u2 u3']);
});

// Guards against a cold upstream that gets full load because a copy calls it warm.
tap.t.test('a cold upstream stays cold after a restore, also one that restarted', async (t) => {
	const {clock, daemons, store, usable} = await startWithLostChanges(t, (lost) => {
		lost.write('servers/u1', fixtures.upstream('u1', {startedAtUnixMs: 1, coldLeftMs: 60_000}));
		lost.write('servers/u2', fixtures.upstream('u2', {startedAtUnixMs: 2, coldLeftMs: 60_000}));
	});
	for (const {name, registry} of daemons) {
		for (const id of ['u1', 'u2']) {
			t.ok(registry.get(id)!.coldUntilMs > clock.nowMs() + 50_000, `${id} at ${name}`);
		}
	}

	store.write('servers/u2', fixtures.upstream('u2', {startedAtUnixMs: 2}));
	await clock.advance(configMs);
	t.same(usable(), ['u1 u2', 'u1 u2']);
	t.equal(daemons[0]!.registry.get('u2')!.coldUntilMs, 0, 'a new entry counts');
});

// Guards against requests to a failure domain whose evacuation a copy lacks.
tap.t.test('an evacuation that a copy lacks holds until it is written again', async (t) => {
	const evacuate = (lost: memoryStore.MemoryPrefixStore) => {
		lost.write('ops/leave/north-b', {});
	};

	const {clock, store, daemons} = await startWithLostChanges(t, evacuate);
	const evacuated = () => daemons.map(({cluster}) => cluster.isEvacuated('north-b'));
	t.same(evacuated(), [true, true]);
	evacuate(store);
	await clock.advance(10_000);
	t.same(evacuated(), [true, true]);
	store.remove('ops/leave/north-b');
	await clock.advance(configMs);
	t.same(evacuated(), [false, false]);
	const withdrawn = await startWithLostChanges(t, evacuate);
	await withdrawn.clock.advance(configMs);
	t.same(
		withdrawn.daemons.map(({cluster}) => cluster.evacuatedDomains()),
		[[], []],
		'it is not written again',
	);
});
