/**
 * Worlds of the control benchmark: many fleets in one process, either over UDP
 * and HTTP on loopback or over an in-memory network on a manual clock.
 */
import type * as net from 'node:net';
import * as process from 'node:process';
import * as http from 'node:http';
import * as v8 from 'node:v8';
import * as vm from 'node:vm';
import type * as clockService from '@hawthornfront/base/common/clock.js';
import * as manualClock from '@hawthornfront/base/common/manual-clock.js';
import * as randomNumbers from '@hawthornfront/base/common/random.js';
import * as systemClock from '@hawthornfront/base/node/system-clock.js';
import * as udpSocket from '@hawthornfront/base/node/udp-socket.js';
import * as undiciHttpClient from '@hawthornfront/base/node/undici-http-client.js';
import * as catalogue from '@hawthornfront/catalogue/common/schema.js';
import * as partition from '@hawthornfront/catalogue/node/partition.js';
import * as rpcs from '@hawthornfront/protocol/common/rpc.js';
import * as jsonRpc from '@hawthornfront/protocol/node/json-rpc.js';
import * as h3 from 'h3';
import * as h3Node from 'h3/node';
import type * as fleetInterface from '../common/fleet-interface.js';
import type * as fleetSettings from '../common/fleet-settings.js';
import * as memoryNetwork from '../common/memory-network.js';
import * as memoryStore from '../common/memory-store.js';
import * as fleets from './fleet.js';

/** Place of one daemon. The loopback world replaces the address when the daemon starts. */
export type Place = {name: string; region: string; failureDomain: string; address: string};

export type BenchNode = {place: Place; fleet: fleetInterface.Fleet; stop: () => Promise<void>};

export type World = {
	clock: clockService.Clock;
	store: memoryStore.MemoryStore;
	nodes: BenchNode[];
	start(place: Place, seeds: string[]): Promise<BenchNode>;
	stop(node: BenchNode): Promise<void>;
	advance(durationMs: number): Promise<void>;
	dispose(): Promise<void>;
};

type Settings = Partial<fleetSettings.FleetSettings>;

const silentLogger = {info: () => undefined, warn: () => undefined};
const cluster = 'bench';
const delayInsideDomainMs = 0.5;
const delayBetweenDomainsMs = 50;

/** Creates places in `domainCount` failure domains of about equal size and up to three regions. */
export const createPlaces = (total: number, domainCount: number): Place[] =>
	Array.from({length: total}, (_, index) => {
		const domain = index % domainCount;
		return {
			name: `entry-${domain}-${Math.floor(index / domainCount)}`,
			region: `region-${domain % 3}`,
			failureDomain: `domain-${domain}`,
			address: `10.${domain}.0.${Math.floor(index / domainCount)}:7000`,
		};
	});

/** Writes a catalogue to the store and returns its revision. */
export const configure = (
	store: memoryStore.MemoryStore,
	records: catalogue.CatalogueRecord[],
): number => {
	const parts = partition.splitIntoParts(records);
	for (const part of parts) {
		store.put(catalogue.partKey(part.digest), part.text);
	}

	const root: catalogue.Root = {
		parts: parts.map((part) => ({partition: part.partition, digest: part.digest})),
		operationId: `bench-${store.calls}`,
		recentOperationIds: [],
		author: 'bench',
		acceptedAt: '2026-01-01T00:00:00Z',
	};
	return store.put(catalogue.rootKey, JSON.stringify(root));
};

const collections = 4;
const collectionPauseMs = 250;

/** Bytes of heap and external memory in use after garbage collection. */
export const usedBytes = async (): Promise<number> => {
	v8.setFlagsFromString('--expose-gc');
	const collect = vm.runInNewContext('gc') as () => void;
	// Closed sockets and servers release their memory a few event loop iterations later.
	for (let round = 0; round < collections; round++) {
		collect();
		await new Promise((resolve) => {
			setTimeout(resolve, collectionPauseMs);
		});
	}

	collect();
	const usage = process.memoryUsage();
	return usage.heapUsed + usage.external;
};

const optionsOf = (place: Place, seeds: string[], settings: Settings, datagramAddress: string) => ({
	self: {...place, httpAddress: place.address, datagramAddress},
	cluster,
	seeds,
	logger: silentLogger,
	settings,
});

const serve = async () => {
	const rpcServer = new jsonRpc.JsonRpcServer();
	const app = new h3.H3();
	app.post(rpcs.rpcPath, async (request) => rpcServer.receive(await request.req.text()));
	const server = http.createServer(h3Node.toNodeHandler(app));
	await new Promise<void>((resolve, reject) => {
		server.once('error', reject);
		server.listen(0, '127.0.0.1', resolve);
	});
	const {port} = server.address() as net.AddressInfo;
	return {server, rpcServer, port};
};

/** Creates a world over loopback in real time. The operating system chooses the ports. */
export const createLoopbackWorld = (seed: number, settings: Settings): World => {
	const clock = new systemClock.SystemClock();
	const random = randomNumbers.createRandom(seed);
	const store = new memoryStore.MemoryStore(clock);
	const vmList = new memoryStore.MemoryVmList();
	const client = new undiciHttpClient.UndiciHttpClient();
	const world: World = {
		clock,
		store,
		nodes: [],
		async start(wanted, seeds) {
			const socket = await udpSocket.bindUdpSocket('127.0.0.1', 0);
			const {server, rpcServer, port} = await serve();
			const place = {...wanted, address: `127.0.0.1:${port}`};
			const fleet = fleets.createFleet({
				...optionsOf(place, seeds, settings, `127.0.0.1:${socket.port}`),
				clock,
				random: random.fork(),
				socket,
				rpcClient: new jsonRpc.HttpRpcClient(client),
				rpcServer,
				store,
				vmList,
			});
			const stop = async () => {
				fleet.dispose();
				socket.dispose();
				server.closeAllConnections();
				await new Promise((resolve) => {
					server.close(resolve);
				});
			};

			const node = {place, fleet, stop};
			world.nodes.push(node);
			return node;
		},
		async stop(node) {
			world.nodes.splice(world.nodes.indexOf(node), 1);
			await node.stop();
		},
		advance: async (durationMs) => clock.sleep(durationMs),
		async dispose() {
			await Promise.all(world.nodes.map(async (node) => node.stop()));
			await client.close();
		},
	};
	return world;
};

/** Creates a world on a manual clock, with the link delays of section 1 of the design. */
export const createMemoryWorld = (seed: number, settings: Settings): World => {
	const clock = new manualClock.ManualClock();
	const random = randomNumbers.createRandom(seed);
	const store = new memoryStore.MemoryStore(clock);
	const vmList = new memoryStore.MemoryVmList();
	const network = memoryNetwork.createMemoryNetwork(clock, random, (from, to) =>
		from.split('.')[1] === to.split('.')[1] ? delayInsideDomainMs : delayBetweenDomainsMs,
	);
	const world: World = {
		clock,
		store,
		nodes: [],
		async start(place, seeds) {
			const endpoint = network.attach(place.address);
			const {socket, rpcClient, rpcServer} = endpoint;
			const fleet = fleets.createFleet({
				...optionsOf(place, seeds, settings, place.address),
				clock,
				random: random.fork(),
				socket,
				rpcClient,
				rpcServer,
				store,
				vmList,
			});
			const stop = async () => {
				fleet.dispose();
				endpoint.detach();
			};

			const node = {place, fleet, stop};
			world.nodes.push(node);
			return node;
		},
		async stop(node) {
			world.nodes.splice(world.nodes.indexOf(node), 1);
			await node.stop();
		},
		advance: async (durationMs) => clock.advance(durationMs),
		async dispose() {
			await Promise.all(world.nodes.map(async (node) => node.stop()));
		},
	};
	return world;
};
