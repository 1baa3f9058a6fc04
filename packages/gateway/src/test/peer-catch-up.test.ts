// Daemons that do not watch the store learn changes from those that do.
import * as httpClient from '@hawthornfront/base/common/http-client.js';
import * as manualClock from '@hawthornfront/base/common/manual-clock.js';
import * as tap from 'tap';
import type * as gossipMessage from '../common/gossip-message.js';
import * as upstreamRegistry from '../common/upstream-registry.js';
import * as clusterState from '../node/cluster-state.js';
import * as peerCatchUp from '../node/peer-catch-up.js';
import * as fixtures from './fixtures.js';
import * as memoryStore from './memory-store.js';

const start = async (t: tap.Test) => {
	const clock = new manualClock.ManualClock();
	const store = new memoryStore.MemoryPrefixStore(clock);
	const registry = upstreamRegistry.createUpstreamRegistry(
		clock,
		(name) => fixtures.regionByDomain[name],
	);
	store.write('ops/routes', {...fixtures.config, version: 5});
	const belief = clusterState.startClusterState({
		clock,
		store,
		layout: new memoryStore.MemoryLayout(),
		registry,
		log: {note: () => undefined},
		watchWaitMs: 1000,
		random: () => 0.5,
	});
	t.teardown(() => {
		belief.dispose();
	});
	await clock.advance(200);
	belief.setWatching(false);
	await clock.advance(1000);
	const asked: string[] = [];
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
			asked.push(`${call.peer}${call.path}`);
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
			asked.length = 0;
		}
	}

	const subject = peerCatchUp.createCatchUp({
		clock,
		client: new PeerClient(),
		cluster: belief,
		localFailureDomain: 'north-a',
		upstreamRevision: () => registry.revision,
		log: {note: () => undefined},
	});
	const tell = async (options: Partial<gossipMessage.MemberRecord>) => {
		subject.notePeer(fixtures.member('n2', {configVersion: 5, ...options}));
		await clock.advance(1);
	};

	return {clock, belief, registry, subject, tell, asked, state};
};

tap.t.test('a follower pulls what a near watcher knows, once', async (t) => {
	const {belief, registry, subject, tell, asked, clock} = await start(t);
	await tell({upstreamRevision: 90, operatorRevision: 90});
	t.same(asked, ['n2:90/hawthornfront/snapshot?knownConfig=5']);
	t.equal(belief.configVersion, 6);
	t.ok(belief.isEvacuated('north-b'));
	t.equal(registry.all().length, 1);
	await clock.advance(1000);
	await tell({upstreamRevision: 90, operatorRevision: 90});
	t.equal(asked.length, 1);
	t.equal(subject.behindMs(), 0);
});

tap.t.test('far watchers help when the near ones miss a change', async (t) => {
	const {belief, tell, asked, clock} = await start(t);
	const near = {upstreamRevision: 0, operatorRevision: 1, storeContact: 'reached'} as const;
	const far = {failureDomain: 'south-a', upstreamRevision: 0, operatorRevision: 90};
	await tell(far);
	await tell(near);
	t.same(asked, [], 'a near watcher may be about to tell it');
	await clock.advance(800);
	await tell(near);
	await tell(far);
	t.equal(asked.length, 1);
	t.ok(belief.isEvacuated('north-b'));
});

tap.t.test('a newer configuration is pulled from far when nobody near has it', async (t) => {
	const {belief, tell, asked, clock} = await start(t);
	const far = {failureDomain: 'south-a', upstreamRevision: 0, configVersion: 6};
	await tell(far);
	t.same(asked, []);
	await clock.advance(1000);
	await tell(far);
	t.equal(asked.length, 1);
	t.equal(belief.configVersion, 6);
});

tap.t.test('failed pulls show as being behind', async (t) => {
	const {subject, tell, asked, state, clock} = await start(t);
	state.isPeerSilent = true;
	for (let count = 0; count < 6; count++) {
		await tell({upstreamRevision: 90, operatorRevision: 90});
		await clock.advance(300);
	}

	t.equal(asked.length, 6);
	t.ok(subject.behindMs() > 1500);
	state.isPeerSilent = false;
	await tell({upstreamRevision: 90, operatorRevision: 90});
	t.equal(subject.behindMs(), 0);
});
