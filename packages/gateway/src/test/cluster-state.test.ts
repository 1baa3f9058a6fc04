// The configuration and evacuations that a daemon applies when the store and its peers disagree.
import * as tap from 'tap';
import * as manualClock from '@hawthornfront/base/common/manual-clock.js';
import type * as gatewayEvent from '../common/gateway-event.js';
import type * as prefixStore from '../common/prefix-store.js';
import type * as routeConfig from '../common/route-config.js';
import * as storeReachability from '../common/store-reachability.js';
import * as upstreamRegistry from '../common/upstream-registry.js';
import * as clusterState from '../node/cluster-state.js';
import * as fixtures from './fixtures.js';
import * as memoryStore from './memory-store.js';

const start = async (t: tap.Test) => {
	const clock = new manualClock.ManualClock();
	const store = new memoryStore.MemoryPrefixStore(clock);
	const reachability = storeReachability.createStoreReachability(() => clock.nowMs());
	const registry = upstreamRegistry.createUpstreamRegistry(
		clock,
		(name) => fixtures.regionByDomain[name],
		reachability,
	);
	const events: gatewayEvent.GatewayEvent[] = [];
	const subject = clusterState.startClusterState({
		clock,
		store,
		layout: new memoryStore.MemoryLayout(),
		registry,
		reachability,
		log: {
			note(event) {
				events.push(event);
			},
		},
		watchWaitMs: () => 1000,
		random: () => 0.5,
	});
	t.teardown(() => {
		subject.dispose();
	});
	await clock.advance(1);
	return {clock, store, registry, reachability, events, subject};
};

const config = (version: number): routeConfig.RouteConfig => ({...fixtures.config, version});

const snapshot = (options: Partial<clusterState.Snapshot>): clusterState.Snapshot => ({
	evacuated: [],
	operatorRevision: 0,
	upstreams: [],
	upstreamRevision: 0,
	...options,
});

tap.t.test('the configuration version never decreases', async (t) => {
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

tap.t.test('an invalid value leaves the last valid one in force', async (t) => {
	const {clock, store, subject, events} = await start(t);
	store.write('ops/routes', config(5));
	await clock.advance(200);
	store.write('ops/routes', {version: 'six'});
	await clock.advance(200);
	t.equal(subject.configVersion, 5);
	t.ok(events.some(({kind}) => kind === 'entry-rejected'));
});

tap.t.test('a daemon that starts without the store applies a peer snapshot', async (t) => {
	const {clock, store, registry, subject} = await start(t);
	store.isUnavailable = true;
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

tap.t.test('a peer with newer upstreams does not revert an evacuation', async (t) => {
	const {clock, store, subject, registry} = await start(t);
	store.write('ops/leave/north-a', {});
	await clock.advance(200);
	t.ok(subject.isEvacuated('north-a'));
	store.isUnavailable = true;
	await clock.advance(2000);
	subject.merge(
		snapshot({
			upstreams: [{entry: fixtures.upstream('u7'), coldLeftMs: 0, isMissing: false}],
			upstreamRevision: 50,
			operatorRevision: 0,
		}),
		'n2',
	);
	t.equal(registry.all().length, 1, 'the upstreams of the peer are applied');
	t.ok(subject.isEvacuated('north-a'));
});

tap.t.test('an evacuation ends when its key is removed', async (t) => {
	const {clock, store, subject} = await start(t);
	store.write('ops/leave/north-a', {});
	await clock.advance(200);
	store.remove('ops/leave/north-a');
	await clock.advance(200);
	t.notOk(subject.isEvacuated('north-a'));
	store.write('ops/leave/north-a', {});
	await clock.advance(200);
	store.isUnavailable = true;
	await clock.advance(3000);
	store.remove('ops/leave/north-a');
	store.isUnavailable = false;
	await clock.advance(3000);
	t.notOk(subject.isEvacuated('north-a'), 'also when the watch missed the removal');
});

tap.t.test('a lost history leads to a new listing', async (t) => {
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

tap.t.test('a follower does not call the store and applies peer snapshots', async (t) => {
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
	t.notOk(subject.isEvacuated('north-b'), 'the store takes precedence over peers');
});

tap.t.test('watchers that listed at different times agree on the last change', async (t) => {
	const {clock, store, subject, registry} = await start(t);
	store.write('ops/routes', config(5));
	store.write('ops/leave/north-a', {});
	store.write('servers/u1', fixtures.upstream('u1'));
	await clock.advance(2000);
	const [operatorChange, upstreamChange] = [subject.operatorLastChange, registry.lastChange];
	const [operatorPosition, upstreamPosition] = [subject.operatorPosition, registry.position];
	t.ok(operatorChange > 0 && upstreamChange > operatorChange);
	subject.setWatching(false);
	store.write('elsewhere/x', {});
	await clock.advance(2000);
	subject.setWatching(true);
	await clock.advance(2000);
	t.equal(subject.operatorLastChange, operatorChange, 'a listing without changes');
	t.equal(registry.lastChange, upstreamChange);
	t.ok(subject.operatorPosition > operatorPosition, 'it may hide a removal from a follower');
	t.ok(registry.position > upstreamPosition);
	subject.setWatching(false);
	await clock.advance(2000);
	store.remove('ops/leave/north-a');
	store.remove('servers/u1');
	await clock.advance(2000);
	subject.setWatching(true);
	await clock.advance(2000);
	t.ok(subject.operatorLastChange > operatorChange, 'a listing that lacks a removed key');
	t.ok(registry.lastChange > upstreamChange);
});

tap.t.test('a snapshot omits a configuration that the peer has', async (t) => {
	const {clock, store, subject} = await start(t);
	store.write('ops/routes', config(5));
	await clock.advance(200);
	t.equal(subject.snapshot(4).config?.version, 5);
	t.equal(subject.snapshot(5).config, undefined);
});

tap.t.test('an entry that expired in an outage ends at a follower as at the watcher', async (t) => {
	const {clock, subject, registry, reachability} = await start(t);
	subject.setWatching(false);
	const knownUpstream = (id: string, isMissing: boolean) => ({
		entry: fixtures.upstream(id),
		coldLeftMs: 0,
		isMissing,
	});
	reachability.setReachedByPeers(true);
	await clock.advance(10_000);
	subject.merge(
		snapshot({
			upstreams: [knownUpstream('u1', false), knownUpstream('u2', false)],
			upstreamRevision: 10,
		}),
		'n2',
	);
	reachability.setReachedByPeers(false);
	await clock.advance(4000);
	reachability.setReachedByPeers(true);
	subject.merge(
		snapshot({
			upstreams: [knownUpstream('u1', true), knownUpstream('u2', false)],
			upstreamRevision: 20,
		}),
		'n2',
	);
	t.equal(registry.all().length, 2, 'a missing entry may return');
	await clock.advance(storeReachability.missingEntryGraceMs + 100);
	t.same(
		registry.all().map(({entry}) => entry.id),
		['u2'],
	);
});

const asPrefixStore = (store: memoryStore.MemoryPrefixStore): prefixStore.PrefixStore => store;

tap.t.test('the in-memory store expires leases', async (t) => {
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
