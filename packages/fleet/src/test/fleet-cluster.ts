/** Test cluster of fleets on a manual clock and an in-memory network. */
import * as manualClock from '@hawthornfront/base/common/manual-clock.js';
import * as pausableClock from '@hawthornfront/base/common/pausable-clock.js';
import * as randomNumbers from '@hawthornfront/base/common/random.js';
import * as catalogue from '@hawthornfront/catalogue/common/schema.js';
import * as partition from '@hawthornfront/catalogue/node/partition.js';
import type * as keyValueStore from '@hawthornfront/platform/common/key-value-store.js';
import type * as fleetInterface from '../common/fleet-interface.js';
import type * as fleetSettings from '../common/fleet-settings.js';
import * as memoryNetwork from '../common/memory-network.js';
import * as memoryStore from '../common/memory-store.js';
import * as fleets from '../node/fleet.js';

export type Place = {name: string; region: string; failureDomain: string; address: string};

export type Node = {
	place: Place;
	fleet: fleetInterface.Fleet;
	endpoint: memoryNetwork.Endpoint;
	clock: pausableClock.PausableClock;
	/** Revisions in the order in which they came into force. */
	revisions: number[];
};

const silentLogger = {info: () => undefined, warn: () => undefined};

/** Creates places for `perDomain` daemons in each domain; `domains` have the form `region/domain`. */
export const createPlaces = (domains: string[], perDomain: number, prefix = 'e'): Place[] =>
	domains.flatMap((domain, domainIndex) => {
		const region = domain.split('/')[0]!;
		return Array.from({length: perDomain}, (_, index) => ({
			name: `${prefix}${domainIndex}-${index}`,
			region,
			failureDomain: domain.replace('/', '-'),
			address: `10.${domainIndex}.${prefix.codePointAt(0)}.${index}:7000`,
		}));
	});

export const team = (name: string, weight = 1): catalogue.Team =>
	catalogue.teamSchema.parse({
		kind: 'team',
		name,
		owner: 'owner',
		keySha256: 'a'.repeat(64),
		weight,
	});

/** Creates a cluster without daemons; daemons of one failure domain have short link delays. */
export const createCluster = (
	seed: number,
	settings: Partial<fleetSettings.FleetSettings> = {},
) => {
	const clock = new manualClock.ManualClock();
	const random = randomNumbers.createRandom(seed);
	const network = memoryNetwork.createMemoryNetwork(clock, random, (from, to) =>
		from.split('.')[1] === to.split('.')[1] ? 0.5 : 50,
	);
	const store = new memoryStore.MemoryStore(clock);
	const vmList = new memoryStore.MemoryVmList();
	const nodes = new Map<string, Node>();
	let lastOperation = 0;

	const cluster = {
		clock,
		random,
		network,
		store,
		vmList,
		nodes,
		/** The first root that was written, for a lagging replica. */
		firstRoot: undefined as keyValueStore.KeyValue | undefined,
		lastRevision: 0,
		/** Starts a daemon, with its own store if `options.store` is set. */
		start(
			place: Place,
			seeds: string[],
			options: {store?: memoryStore.MemoryStore; incarnation?: number} = {},
		): Node {
			const endpoint = network.attach(place.address);
			const {name, region, failureDomain, address} = place;
			const nodeClock = new pausableClock.PausableClock(clock);
			const fleet = fleets.createFleet({
				self: {
					name,
					region,
					failureDomain,
					httpAddress: address,
					datagramAddress: address,
					incarnation: options.incarnation,
				},
				cluster: 'test',
				seeds,
				clock: nodeClock,
				random: random.fork(),
				socket: endpoint.socket,
				rpcClient: endpoint.rpcClient,
				rpcServer: endpoint.rpcServer,
				store: options.store ?? store,
				vmList,
				logger: silentLogger,
				settings,
			});
			const node: Node = {place, fleet, endpoint, clock: nodeClock, revisions: []};
			fleet.onDidChangeSnapshot((snapshot) => {
				node.revisions.push(snapshot.revision);
			});
			nodes.set(name, node);
			return node;
		},
		/** Pauses or resumes a process, as a pause of its VM does. */
		setPaused(name: string, isPaused: boolean) {
			const node = nodes.get(name);
			node?.clock.setPaused(isPaused);
			node?.endpoint.setPaused(isPaused);
		},
		/** Stops a daemon without any announcement. */
		crash(name: string) {
			const node = nodes.get(name)!;
			node.endpoint.detach();
			node.fleet.dispose();
			nodes.delete(name);
		},
		/** Writes a configuration with the given records to the store. */
		configure(records: catalogue.CatalogueRecord[]): number {
			const parts = partition.splitIntoParts(records);
			for (const part of parts) {
				store.put(catalogue.partKey(part.digest), part.text);
			}

			const root: catalogue.Root = catalogue.rootSchema.parse({
				parts: parts.map(({partition: number, digest}) => ({partition: number, digest})),
				operationId: `op-${++lastOperation}`,
				author: 'test',
				acceptedAt: '2026-01-01T00:00:00Z',
			});
			const value = JSON.stringify(root);
			const revision = store.put(catalogue.rootKey, value);
			cluster.firstRoot ??= {key: catalogue.rootKey, value, revision};
			cluster.lastRevision = revision;
			return revision;
		},
		/** Names of the members in the view of a daemon, optionally of one failure domain. */
		view: (name: string, failureDomain?: string): string[] =>
			nodes
				.get(name)!
				.fleet.members()
				.filter((member) => failureDomain === undefined || member.failureDomain === failureDomain)
				.map((member) => member.name),
		revisionsInForce: (): number[] => [
			...new Set([...nodes.values()].map((node) => node.fleet.snapshot().revision)),
		],
		disposeAll() {
			for (const node of nodes.values()) {
				node.fleet.dispose();
			}
		},
	};
	return cluster;
};

export type Cluster = ReturnType<typeof createCluster>;
