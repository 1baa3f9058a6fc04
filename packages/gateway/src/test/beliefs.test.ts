// Configuration and evacuations in force while the store and the peers disagree.
import * as tap from 'tap';
import * as manualClock from '@hawthornfront/base/common/manual-clock.js';
import type * as gatewayEvent from '../common/gateway-event.js';
import type * as prefixStore from '../common/prefix-store.js';
import type * as routeConfig from '../common/route-config.js';
import * as upstreamRegistry from '../common/upstream-registry.js';
import * as clusterState from '../node/cluster-state.js';
import * as fixtures from './fixtures.js';
import * as memoryStore from './memory-store.js';

const start = async (t: tap.Test) => {
	const clock = new manualClock.ManualClock();
	const store = new memoryStore.MemoryPrefixStore(clock);
	const registry = upstreamRegistry.createUpstreamRegistry(
		clock,
		(name) => fixtures.regionByDomain[name],
	);
	const events: gatewayEvent.GatewayEvent[] = [];
	const subject = clusterState.startClusterState({
		clock,
		store,
		layout: new memoryStore.MemoryLayout(),
		registry,
		log: {
			note(event) {
				events.push(event);
			},
		},
		watchWaitMs: 1000,
		random: () => 0.5,
	});
	t.teardown(() => {
		subject.dispose();
	});
	await clock.advance(1);
	return {clock, store, registry, events, subject};
};

const config = (version: number): routeConfig.RouteConfig => ({...fixtures.config, version});

const snapshot = (options: Partial<clusterState.Snapshot>): clusterState.Snapshot => ({
	evacuated: [],
	operatorRevision: 0,
	upstreams: [],
	upstreamRevision: 0,
	...options,
});

tap.t.test('a version in force never goes back', async (t) => {
	const {clock, store, subject, events} = await start(t);
	store.write('ops/routes', config(5));
	await clock.advance(200);
	store.write('ops/routes', config(4));
	await clock.advance(200);
	t.equal(subject.configVersion, 5);
	t.match(
		events.find(({kind}) => kind === 'config-ignored'),
		{version: 4, current: 5},
	);
	subject.merge(snapshot({config: config(3)}), 'n2');
	t.equal(subject.configVersion, 5);
});

tap.t.test('a value that cannot be used leaves what was in force', async (t) => {
	const {clock, store, subject, events} = await start(t);
	store.write('ops/routes', config(5));
	await clock.advance(200);
	store.write('ops/routes', {version: 'six'});
	await clock.advance(200);
	t.equal(subject.configVersion, 5);
	t.ok(events.some(({kind}) => kind === 'entry-rejected'));
});

tap.t.test('a daemon that starts without the store learns from a peer', async (t) => {
	const {clock, store, registry, subject} = await start(t);
	store.isAway = true;
	await clock.advance(2000);
	t.notOk(subject.isComplete);
	subject.merge(
		snapshot({
			config: config(5),
			upstreams: [{entry: fixtures.upstream('u1'), coldLeftMs: 0, isMissing: false}],
			upstreamRevision: 9,
			evacuated: ['north-b'],
			operatorRevision: 9,
		}),
		'n2',
	);
	t.ok(subject.isComplete);
	t.equal(registry.all().length, 1);
	t.ok(subject.isEvacuated('north-b'));
});

tap.t.test('a peer with newer upstreams does not take back an evacuation', async (t) => {
	const {clock, store, subject, registry} = await start(t);
	store.write('ops/leave/north-a', {});
	await clock.advance(200);
	t.ok(subject.isEvacuated('north-a'));
	store.isAway = true;
	await clock.advance(2000);
	subject.merge(
		snapshot({
			upstreams: [{entry: fixtures.upstream('u7'), coldLeftMs: 0, isMissing: false}],
			upstreamRevision: 50,
			operatorRevision: 0,
		}),
		'n2',
	);
	t.equal(registry.all().length, 1, 'its upstreams are taken over');
	t.ok(subject.isEvacuated('north-a'));
});

tap.t.test('an evacuation ends with its key', async (t) => {
	const {clock, store, subject} = await start(t);
	store.write('ops/leave/north-a', {});
	await clock.advance(200);
	store.remove('ops/leave/north-a');
	await clock.advance(200);
	t.notOk(subject.isEvacuated('north-a'));
	store.write('ops/leave/north-a', {});
	await clock.advance(200);
	store.isAway = true;
	await clock.advance(3000);
	store.remove('ops/leave/north-a');
	store.isAway = false;
	await clock.advance(3000);
	t.notOk(subject.isEvacuated('north-a'), 'also when the removal was not seen');
});

tap.t.test('what the history lost is read again', async (t) => {
	const {clock, store, subject, registry} = await start(t);
	store.write('servers/u1', fixtures.upstream('u1'));
	await clock.advance(200);
	t.equal(registry.all().length, 1);
	store.dropHistory(() => {
		store.remove('servers/u1');
		store.write('ops/routes', config(8));
	});
	await clock.advance(3000);
	t.equal(subject.configVersion, 8);
	t.equal(registry.all().length, 0);
});

tap.t.test('while others watch the store, it is not called and peers are believed', async (t) => {
	const {clock, store, subject, registry} = await start(t);
	store.write('ops/routes', config(5));
	await clock.advance(200);
	t.equal(subject.storeContact, 'reached');
	subject.setWatching(false);
	await clock.advance(200);
	const {calls} = store;
	store.write('ops/routes', config(6));
	store.write('servers/u1', fixtures.upstream('u1'));
	await clock.advance(30_000);
	t.equal(store.calls, calls);
	t.equal(subject.storeContact, 'none');
	t.equal(subject.configVersion, 5);
	subject.merge(
		snapshot({
			config: config(6),
			upstreams: [{entry: fixtures.upstream('u1'), coldLeftMs: 700, isMissing: false}],
			upstreamRevision: 50,
			evacuated: ['north-b'],
			operatorRevision: 50,
		}),
		'n2',
	);
	t.equal(subject.configVersion, 6);
	t.ok(subject.isEvacuated('north-b'));
	t.match(registry.reportAll(), [{entry: {id: 'u1'}, coldLeftMs: 700}]);
	subject.setWatching(true);
	await clock.advance(200);
	t.equal(subject.storeContact, 'reached');
	t.notOk(subject.isEvacuated('north-b'), 'the store is the better source');
});

tap.t.test('watchers that listed at different times agree on the revision', async (t) => {
	const {clock, store, subject, registry} = await start(t);
	store.write('ops/routes', config(5));
	store.write('ops/leave/north-a', {});
	store.write('servers/u1', fixtures.upstream('u1'));
	await clock.advance(2000);
	const [operatorRevision, upstreamRevision] = [subject.operatorRevision, registry.revision];
	t.ok(operatorRevision > 0 && upstreamRevision > operatorRevision);
	subject.setWatching(false);
	store.write('elsewhere/x', {});
	await clock.advance(2000);
	subject.setWatching(true);
	await clock.advance(2000);
	t.equal(subject.operatorRevision, operatorRevision, 'a listing without news');
	t.equal(registry.revision, upstreamRevision);
	subject.setWatching(false);
	await clock.advance(2000);
	store.remove('ops/leave/north-a');
	store.remove('servers/u1');
	await clock.advance(2000);
	subject.setWatching(true);
	await clock.advance(2000);
	t.ok(subject.operatorRevision > operatorRevision, 'a listing that shows a removal');
	t.ok(registry.revision > upstreamRevision);
});

tap.t.test('a snapshot leaves out a configuration that the peer has', async (t) => {
	const {clock, store, subject} = await start(t);
	store.write('ops/routes', config(5));
	await clock.advance(200);
	t.equal(subject.snapshot(4).config?.version, 5);
	t.equal(subject.snapshot(5).config, undefined);
});

tap.t.test('an entry that lapsed in an outage ends at a follower as at the watcher', async (t) => {
	const {clock, subject, registry} = await start(t);
	subject.setWatching(false);
	const known = (id: string, isMissing: boolean) => ({
		entry: fixtures.upstream(id),
		coldLeftMs: 0,
		isMissing,
	});
	subject.setStoreReachableByPeers(true);
	await clock.advance(10_000);
	subject.merge(
		snapshot({upstreams: [known('u1', false), known('u2', false)], upstreamRevision: 10}),
		'n2',
	);
	subject.setStoreReachableByPeers(false);
	await clock.advance(4000);
	subject.setStoreReachableByPeers(true);
	subject.merge(
		snapshot({upstreams: [known('u1', true), known('u2', false)], upstreamRevision: 20}),
		'n2',
	);
	t.equal(registry.all().length, 2, 'it may come back');
	await clock.advance(upstreamRegistry.missingEntryGraceMs + 100);
	t.same(
		registry.all().map(({entry}) => entry.id),
		['u2'],
	);
});

const asPrefixStore = (store: memoryStore.MemoryPrefixStore): prefixStore.PrefixStore => store;

tap.t.test('the store that the tests use keeps leases', async (t) => {
	const {clock, store} = await start(t);
	const subject = asPrefixStore(store);
	const lease = await subject.grantLease(500);
	await subject.putLeased('hf/members/n1', new Uint8Array([1]), lease);
	const before = await subject.list('hf/members/', true);
	t.equal(before.items.length, 1);
	t.equal(await subject.renewLease(lease), true);
	await clock.advance(1000);
	const after = await subject.list('hf/members/', true);
	t.equal(after.items.length, 0);
	t.equal(await subject.renewLease(lease), false);
});
