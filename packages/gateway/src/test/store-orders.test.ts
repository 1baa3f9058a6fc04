// Upstreams that left stayed in use at daemons that started before the store answered.
import * as tap from 'tap';
import * as manualClock from '@hawthornfront/base/common/manual-clock.js';
import * as storeReachability from '../common/store-reachability.js';
import * as upstreamRegistry from '../common/upstream-registry.js';
import * as clusterState from '../node/cluster-state.js';
import * as fixtures from './fixtures.js';
import * as memoryStore from './memory-store.js';

/** From the platform's bound for the smallest deployments. */
const drainMs = 3000;

const start = () => {
	const clock = new manualClock.ManualClock();
	const store = new memoryStore.MemoryPrefixStore(clock);
	const reachability = storeReachability.createStoreReachability(() => clock.nowMs());
	const registry = upstreamRegistry.createUpstreamRegistry(
		clock,
		(name) => fixtures.regionByDomain[name],
		reachability,
	);
	store.write('servers/u1', fixtures.upstream('u1'));
	store.write('servers/u2', fixtures.upstream('u2'));
	const subject = clusterState.startClusterState({
		clock,
		store,
		layout: new memoryStore.MemoryLayout(),
		registry,
		reachability,
		log: {note: () => undefined},
		watchWaitMs: () => 1000,
		random: () => 0.5,
	});
	const ids = () => registry.all().map(({entry}) => entry.id);
	return {clock, store, reachability, registry, subject, ids};
};

type Daemon = ReturnType<typeof start>;
type Step = {name: string; apply(daemon: Daemon): void};

const steps: Step[] = [
	{
		name: 'peers reach the store',
		apply({reachability}) {
			reachability.setReachedByPeers(true);
		},
	},
	{
		name: 'no peer reaches the store',
		apply({reachability}) {
			reachability.setReachedByPeers(false);
		},
	},
	{
		name: 'store answers',
		apply({store}) {
			store.isUnavailable = false;
		},
	},
	{
		name: 'store refuses',
		apply({store}) {
			store.isUnavailable = true;
		},
	},
	{
		name: 'watcher',
		apply({subject}) {
			subject.setWatching(true);
		},
	},
	{
		name: 'no watcher',
		apply({subject}) {
			subject.setWatching(false);
		},
	},
];

/** All orders of steps; a step that is repeated has no effect, so shorter orders are included. */
const orders = (length: number): Step[][] =>
	length === 0
		? [[]]
		: orders(length - 1).flatMap((order) => steps.map((step) => [...order, step]));

const nameOf = (order: readonly Step[]) => order.map(({name}) => name).join(', ');

tap.t.test('an upstream that left is gone, whatever came before', async (t) => {
	const kept: string[] = [];
	for (const stepMs of [0, 700]) {
		for (const order of orders(3)) {
			const daemon = start();
			const {clock, store, subject, ids} = daemon;
			for (const step of order) {
				step.apply(daemon);
				await clock.advance(stepMs);
			}

			store.isUnavailable = false;
			subject.setWatching(true);
			await clock.advance(2 * drainMs);
			store.remove('servers/u1');
			await clock.advance(drainMs);
			if (ids().join(',') !== 'u2') {
				kept.push(`${nameOf(order)} every ${stepMs} ms`);
			}

			subject.dispose();
		}
	}

	t.same(kept, []);
});

tap.t.test('an entry that expired in an outage is kept until it is back', async (t) => {
	const lost: string[] = [];
	for (const order of orders(2)) {
		const daemon = start();
		const {clock, store, reachability, subject, ids} = daemon;
		await clock.advance(2 * drainMs);
		for (const step of order) {
			step.apply(daemon);
			await clock.advance(100);
		}

		reachability.setReachedByPeers(false);
		subject.setWatching(true);
		store.isUnavailable = true;
		await clock.advance(2 * drainMs);
		store.dropHistory(() => {
			store.remove('servers/u1');
		});
		store.isUnavailable = false;
		const isNoticed = () => subject.storeContact === 'reached';
		for (let waitedMs = 0; waitedMs < drainMs && !isNoticed(); waitedMs += 10) {
			await clock.advance(10);
		}

		await clock.advance(1900);
		if (ids().join(',') !== 'u1,u2') {
			lost.push(nameOf(order));
		}

		await clock.advance(500);
		if (ids().join(',') !== 'u2') {
			lost.push(`${nameOf(order)}, kept for too long`);
		}

		subject.dispose();
	}

	t.same(lost, []);
});

tap.t.test('a daemon that watches again does not report the store before it answers', async (t) => {
	const {clock, store, subject} = start();
	await clock.advance(100);
	t.equal(subject.storeContact, 'reached');
	subject.setWatching(false);
	store.isUnavailable = true;
	subject.setWatching(true);
	t.equal(subject.storeContact, 'none');
	await clock.advance(100);
	t.equal(subject.storeContact, 'lost');
	subject.dispose();
});
