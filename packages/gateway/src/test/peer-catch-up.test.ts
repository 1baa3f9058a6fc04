// Daemons that don't watch the store pull changes from those that do.
import * as httpClient from '@hawthornfront/base/common/http-client.js';
import * as manualClock from '@hawthornfront/base/common/manual-clock.js';
import * as tap from 'tap';
import type * as gossipMessage from '../common/gossip-message.js';
import * as storeReachability from '../common/store-reachability.js';
import * as upstreamRegistry from '../common/upstream-registry.js';
import * as clusterState from '../node/cluster-state.js';
import * as peerCatchUp from '../node/peer-catch-up.js';
import * as fixtures from './fixtures.js';
import * as memoryStore from './memory-store.js';

const start = async (t: tap.Test, isWatching = false) => {
	const clock = new manualClock.ManualClock();
	const store = new memoryStore.MemoryPrefixStore(clock);
	const reachability = storeReachability.createStoreReachability(() => clock.nowMs());
	const registry = upstreamRegistry.createUpstreamRegistry(
		clock,
		(name) => fixtures.regionByDomain[name],
		reachability,
	);
	store.write('ops/routes', {...fixtures.config, version: 5});
	const cluster = clusterState.startClusterState({
		clock,
		store,
		layout: new memoryStore.MemoryLayout(),
		registry,
		reachability,
		log: {note: () => undefined},
		watchWaitMs: () => 1000,
		random: () => 0.5,
	});
	t.teardown(() => {
		cluster.dispose();
	});
	await clock.advance(200);
	cluster.setWatching(isWatching);
	await clock.advance(1000);
	const requestedPaths: string[] = [];
	const state = {isPeerSilent: false};
	const snapshot: clusterState.Snapshot = {
		config: {...fixtures.config, version: 6},
		evacuated: ['north-b'],
		operatorRevision: 90,
		upstreams: [{entry: fixtures.upstream('u1'), coldLeftMs: 0, isMissing: false}],
		upstreamRevision: 90,
	};

	class PeerClient extends httpClient.HttpClient {
		override async request(call: httpClient.HttpRequest): Promise<httpClient.HttpResponse> {
			requestedPaths.push(`${call.peer}${call.path}`);
			if (state.isPeerSilent) {
				throw new Error('no answer');
			}

			const bytes = new TextEncoder().encode(JSON.stringify(snapshot));
			return {
				status: 200,
				headers: {},
				body: (async function* () {
					yield bytes;
				})(),
			};
		}

		override async close(): Promise<void> {
			requestedPaths.length = 0;
		}
	}

	const subject = peerCatchUp.createCatchUp({
		clock,
		client: new PeerClient(),
		cluster,
		localFailureDomain: 'north-a',
		upstreams: registry,
		log: {note: () => undefined},
	});
	const announcePeer = async (options: Partial<gossipMessage.MemberRecord>) => {
		subject.notePeer(fixtures.member('n2', {configVersion: 5, ...options}));
		await clock.advance(1);
	};

	return {clock, store, cluster, registry, subject, announcePeer, requestedPaths, state};
};

tap.t.test('a follower pulls a change of a local watcher once', async (t) => {
	const {cluster, registry, subject, announcePeer, requestedPaths, clock} = await start(t);
	await announcePeer({upstreamRevision: 90, operatorRevision: 90});
	t.same(requestedPaths, ['n2:90/hawthornfront/snapshot?knownConfig=5']);
	t.equal(cluster.configVersion, 6);
	t.ok(cluster.isEvacuated('north-b'));
	t.equal(registry.all().length, 1);
	await clock.advance(1000);
	await announcePeer({upstreamRevision: 90, operatorRevision: 90});
	t.equal(requestedPaths.length, 1);
	t.equal(subject.behindMs(), 0);
});

tap.t.test('remote watchers serve changes that local watchers lack', async (t) => {
	const {cluster, announcePeer, requestedPaths, clock} = await start(t);
	const local = {upstreamRevision: 0, operatorRevision: 1, storeContact: 'reached'} as const;
	const remote = {failureDomain: 'south-a', upstreamRevision: 0, operatorRevision: 90};
	await announcePeer(remote);
	await announcePeer(local);
	t.same(requestedPaths, [], 'a local watcher may report the change soon');
	await clock.advance(800);
	await announcePeer(local);
	await announcePeer(remote);
	t.equal(requestedPaths.length, 1);
	t.ok(cluster.isEvacuated('north-b'));
});

tap.t.test(
	'a newer configuration is pulled from a remote watcher when no local one has it',
	async (t) => {
		const {cluster, announcePeer, requestedPaths, clock} = await start(t);
		const remote = {failureDomain: 'south-a', upstreamRevision: 0, configVersion: 6};
		await announcePeer(remote);
		t.same(requestedPaths, []);
		await clock.advance(1000);
		await announcePeer(remote);
		t.equal(requestedPaths.length, 1);
		t.equal(cluster.configVersion, 6);
	},
);

// Guards against callers who get answers by an earlier configuration after others by a later one.
tap.t.test('a configuration that a peer uses for callers is pulled at once', async (t) => {
	const {cluster, subject, requestedPaths, clock} = await start(t);
	const remote = fixtures.member('s1', {failureDomain: 'south-a', peerAddress: 's1:90'});
	subject.noteConfigInUse(remote, 5);
	await clock.advance(100);
	t.same(requestedPaths, [], 'it has this version');
	subject.noteConfigInUse(remote, 6);
	subject.noteConfigInUse(remote, 6);
	await clock.advance(50);
	t.same(requestedPaths, [], 'the store or a local watcher may report it soon');
	await clock.advance(50);
	t.same(requestedPaths, ['s1:90/hawthornfront/snapshot?knownConfig=5']);
	t.equal(cluster.configVersion, 6);
	subject.noteConfigInUse(remote, 6);
	await clock.advance(100);
	t.equal(requestedPaths.length, 1);
});

tap.t.test('failed pulls increase the lag', async (t) => {
	const {subject, announcePeer, requestedPaths, state, clock} = await start(t);
	state.isPeerSilent = true;
	for (let count = 0; count < 6; count++) {
		await announcePeer({upstreamRevision: 90, operatorRevision: 90});
		await clock.advance(300);
	}

	t.equal(requestedPaths.length, 6);
	t.ok(subject.behindMs() > 1500);
	state.isPeerSilent = false;
	await announcePeer({upstreamRevision: 90, operatorRevision: 90});
	t.equal(subject.behindMs(), 0);
});

// Guards against the use of an upstream that had left, after the watch's connection had gone silent.
tap.t.test('a watcher that lacks what a peer knows lists the store again', async (t) => {
	const {clock, store, cluster, announcePeer} = await start(t, true);
	const calls = () => store.listCalls;
	const before = calls();
	const ahead = {upstreamRevision: 90, operatorRevision: 1};
	await announcePeer(ahead);
	await clock.advance(400);
	await announcePeer(ahead);
	t.equal(calls(), before, 'the watch may deliver the change soon');
	await clock.advance(300);
	await announcePeer(ahead);
	await clock.advance(100);
	t.equal(calls(), before + 2);
	t.equal(cluster.storeContact, 'reached', 'this is no outage');
});

tap.t.test('a watcher that knows what its peers know does not list the store again', async (t) => {
	const {clock, store, cluster, announcePeer} = await start(t, true);
	const before = store.listCalls;
	for (let count = 0; count < 20; count++) {
		await announcePeer({
			upstreamRevision: cluster.answeredUpstreamPosition,
			operatorRevision: cluster.answeredOperatorPosition,
		});
		await clock.advance(200);
	}

	t.equal(store.listCalls, before);
});

// Guards against a pull by each daemon of all failure domains whenever one daemon starts.
tap.t.test('a listing in another failure domain is no reason to pull', async (t) => {
	const {subject, announcePeer, requestedPaths, clock} = await start(t);
	const listing = {upstreamRevision: 90, upstreamLastChange: 0};
	for (let count = 0; count < 8; count++) {
		await announcePeer({failureDomain: 'south-a', ...listing});
		await clock.advance(250);
	}

	t.same(requestedPaths, []);
	t.equal(subject.behindMs(), 0);
	await announcePeer(listing);
	t.equal(requestedPaths.length, 1, 'a local one may show what the local watchers missed');
});

tap.t.test('a daemon without the store pulls what a listing elsewhere shows', async (t) => {
	const {store, cluster, announcePeer, requestedPaths, clock} = await start(t, true);
	store.isUnavailable = true;
	await clock.advance(3000);
	t.equal(cluster.storeContact, 'lost');
	const listing = {failureDomain: 'south-a', upstreamRevision: 90, upstreamLastChange: 0};
	await announcePeer(listing);
	await clock.advance(800);
	await announcePeer(listing);
	t.equal(requestedPaths.length, 1);
});
