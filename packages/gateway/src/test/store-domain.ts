/** Daemons of one failure domain that watch one store or pull from each other, as gossip would tell them. */
import * as httpClient from '@hawthornfront/base/common/http-client.js';
import * as manualClock from '@hawthornfront/base/common/manual-clock.js';
import type * as tap from 'tap';
import * as storeReachability from '../common/store-reachability.js';
import * as upstreamRegistry from '../common/upstream-registry.js';
import * as clusterState from '../node/cluster-state.js';
import * as peerCatchUp from '../node/peer-catch-up.js';
import * as fixtures from './fixtures.js';
import * as memoryStore from './memory-store.js';

const gossipEveryMs = 250;
/** Failure domain of all daemons. */
const failureDomain = 'north-a';

/** A daemon without callers: what it reads of the store and what it tells its peers. */
const startDaemon = (
	name: string,
	clock: manualClock.ManualClock,
	store: memoryStore.MemoryPrefixStore,
	client: httpClient.HttpClient,
) => {
	const reachability = storeReachability.createStoreReachability(() => clock.nowMs());
	const registry = upstreamRegistry.createUpstreamRegistry(
		clock,
		(domain) => fixtures.regionByDomain[domain],
		reachability,
	);
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
	const catchUp = peerCatchUp.createCatchUp({
		clock,
		client,
		cluster,
		localFailureDomain: failureDomain,
		upstreams: registry,
		log: {note: () => undefined},
	});
	const record = () =>
		fixtures.member(name, {
			failureDomain,
			configVersion: cluster.configVersion,
			upstreamRevision: registry.position,
			operatorRevision: cluster.operatorPosition,
			upstreamLastChange: registry.lastChange,
			operatorLastChange: cluster.operatorLastChange,
			storeContact: cluster.storeContact,
		});
	const ids = () => registry.all().map(({entry}) => entry.id);
	return {name, cluster, registry, reachability, catchUp, record, ids};
};

export type Daemon = ReturnType<typeof startDaemon>;

/** Starts the daemons; all of them watch the store at first. */
export const startDomain = (t: tap.Test, names: readonly string[]) => {
	const clock = new manualClock.ManualClock();
	const store = new memoryStore.MemoryPrefixStore(clock);
	/** Names of daemons that reach no peer. */
	const cutOff = new Set<string>();
	const daemons: Daemon[] = [];

	class PeerClient extends httpClient.HttpClient {
		override async request({peer}: httpClient.HttpRequest): Promise<httpClient.HttpResponse> {
			const owner = daemons.find(({name}) => peer.startsWith(`${name}:`));
			if (!owner) {
				throw new Error(`no daemon at ${peer}`);
			}

			const bytes = new TextEncoder().encode(JSON.stringify(owner.cluster.snapshot(0)));
			return {
				status: 200,
				headers: {},
				body: (async function* () {
					yield bytes;
				})(),
			};
		}

		override async close(): Promise<void> {
			daemons.length = 0;
		}
	}

	const client = new PeerClient();
	const add = (name: string): Daemon => {
		const daemon = startDaemon(name, clock, store, client);
		daemons.push(daemon);
		t.teardown(() => {
			daemon.cluster.dispose();
		});
		return daemon;
	};

	/** Ends a daemon as a kill does. */
	const kill = (name: string): void => {
		const index = daemons.findIndex((daemon) => daemon.name === name);
		daemons[index]?.cluster.dispose();
		daemons.splice(index, 1);
	};

	for (const name of names) {
		add(name);
	}

	clock.setPeriodicTimer(() => {
		for (const daemon of daemons) {
			const peers = daemons.filter(
				({name}) => name !== daemon.name && !cutOff.has(name) && !cutOff.has(daemon.name),
			);
			daemon.reachability.setReachedByPeers(
				peers.some(({cluster}) => cluster.storeContact === 'reached'),
				peers.some(({cluster}) => cluster.storeContact === 'lost'),
			);
			for (const peer of peers) {
				daemon.catchUp.notePeer(peer.record());
			}
		}
	}, gossipEveryMs);
	return {clock, store, cutOff, daemons, add, kill};
};

/** Writes that raise the revision and change nothing under the prefixes of the daemons. */
export const writeElsewhere = (store: memoryStore.MemoryPrefixStore, count: number) => {
	for (let index = 0; index < count; index++) {
		store.write('elsewhere/x', index);
	}
};
