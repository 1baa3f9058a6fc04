/**
 * A small deployment on a manual clock: four entry daemons in two regions with
 * in-memory HTTP and datagrams. Every run with one seed gives one verdict.
 */
import * as disposable from '@hawthornfront/base/common/disposable.js';
import * as event from '@hawthornfront/base/common/event.js';
import * as httpClient from '@hawthornfront/base/common/http-client.js';
import * as manualClock from '@hawthornfront/base/common/manual-clock.js';
import * as pausableClock from '@hawthornfront/base/common/pausable-clock.js';
import * as random from '@hawthornfront/base/common/random.js';
import * as log from '@hawthornfront/base/node/log.js';
import * as schema from '@hawthornfront/catalogue/common/schema.js';
import * as partition from '@hawthornfront/catalogue/node/partition.js';
import * as daemon from '@hawthornfront/entry/node/daemon.js';
import type * as httpServer from '@hawthornfront/entry/node/http-server.js';
import * as entrySettings from '@hawthornfront/entry/node/settings.js';
import * as memoryNetwork from '@hawthornfront/fleet/common/memory-network.js';
import * as memoryStore from '@hawthornfront/fleet/common/memory-store.js';
import * as platformServices from '@hawthornfront/platform/common/platform-services.js';
import * as catalogueRecords from './records.js';
import * as memoryHttp from './memory-http.js';
import * as observedClient from './observed-client.js';
import * as stepUpstream from './step-upstream.js';

/** Address of all callers. */
export const callerAddress = '10.2.0.1:1';
/** The same for a caller in the other region. */
const awayCallerAddress = '10.2.1.1:1';

const awayAddresses = new Set(['10.0.0.3:80', '10.0.0.4:80', awayCallerAddress]);

const localDelayMs = 0.5;
const regionDelayMs = 50;
/** Long enough for expected waits to reach the other region by the relays. */
const defaultReadyMs = 12_000;

class MemoryDirectory extends platformServices.Directory {
	entries: platformServices.DirectoryEntry[] = [];

	override async read() {
		return this.entries;
	}

	override async publish(failureDomain: string, entries: platformServices.DirectoryEntry[]) {
		this.entries = [
			...this.entries.filter((entry) => entry.failureDomain !== failureDomain),
			...entries,
		];
	}
}

export type EntryVm = {
	name: string;
	address: string;
	region: string;
	daemon: daemon.EntryDaemon;
	/** Ends the process at once: connections break and nothing of it runs on. */
	crash(): void;
	setPaused(isPaused: boolean): void;
	readonly isAlive: boolean;
};

export type World = {
	clock: manualClock.ManualClock;
	store: memoryStore.MemoryStore;
	vmList: memoryStore.MemoryVmList;
	upstreams: Map<string, stepUpstream.StepUpstream>;
	entryVms: EntryVm[];
	/** Client of the callers at home. */
	callerClient: httpClient.HttpClient;
	/** Client of the callers in the other region. */
	awayCallerClient: httpClient.HttpClient;
	/** Called at each step of each request; a fault may happen in it. */
	hook: stepUpstream.StepHook;
	/** Told of the address of each entry VM that reads the body of a request. */
	onBodyRead: (address: string) => void;
	/** Told of each request between processes. */
	observer: observedClient.Observer;
	setCut(from: string, to: string, isCut: boolean): void;
	/** One-way delay between regions. */
	regionDelayMs: number;
	/** Refuses new connections to an upstream; those in progress go on. */
	refuseConnections(upstream: string): void;
	configure(records: schema.CatalogueRecord[]): void;
	close(): void;
};

type Gateway = {
	world: World;
	http: memoryHttp.MemoryHttp;
	network: memoryNetwork.MemoryNetwork;
	directory: platformServices.Directory;
	setPaused(address: string, isPaused: boolean): void;
};

const encoder = new TextEncoder();

async function* toBytes(
	body: string | Uint8Array | AsyncIterable<string | Uint8Array>,
): AsyncGenerator<Uint8Array> {
	const parts = typeof body === 'string' || body instanceof Uint8Array ? [body] : body;
	for await (const part of parts) {
		yield typeof part === 'string' ? encoder.encode(part) : part;
	}
}

const createServerStarter =
	(
		http: memoryHttp.MemoryHttp,
		numbers: random.Random,
		owned: disposable.DisposableStore,
		onBodyRead: (address: string) => void,
	) =>
	async (options: httpServer.HttpServerOptions): Promise<httpServer.HttpServer> => {
		const {handlers, port} = options;
		const forwardPrefix = '/internal/forward';
		const listening = http.listen(`${options.host}:${port}`, async (request, signal) => {
			const text = request.body ?? '';
			const bytes = typeof text === 'string' ? encoder.encode(text) : text;
			if (request.path === '/internal/rpc') {
				const body = await handlers.handleRpc(new TextDecoder().decode(bytes));
				return {status: 200, headers: {}, body: toBytes(body)};
			}

			const isForwarded = request.path.startsWith(forwardPrefix);
			const page =
				request.method === 'GET' ? await handlers.handleOperator(request.path) : undefined;
			const answer =
				page ??
				(await handlers.handle({
					requestId: `r${numbers.integer(0, 2 ** 30)}`,
					method: request.method,
					path: isForwarded ? request.path.slice(forwardPrefix.length) : request.path,
					headers: request.headers ?? {},
					isForwarded,
					signal,
					async readBody() {
						onBodyRead(`${options.host}:${port}`);
						return bytes;
					},
				}));
			const iterable = answer.body;
			if (typeof iterable !== 'string' && !(iterable instanceof Uint8Array)) {
				signal.addEventListener('abort', () => {
					void iterable[Symbol.asyncIterator]().return?.();
				});
			}

			return {...answer, body: toBytes(iterable)};
		});
		owned.add({
			dispose() {
				listening.close();
			},
		});
		return {
			port,
			async close() {
				listening.close();
			},
			abort() {
				listening.close();
			},
		};
	};

type Place = {name: string; address: string; region: string};

const startEntryVm = async (
	gateway: Gateway,
	place: Place,
	numbers: random.Random,
): Promise<EntryVm> => {
	const {world, http, network, directory} = gateway;
	const clock = new pausableClock.PausableClock(world.clock);
	const owned = disposable.createDisposableStore();
	const endpoint = network.attach(place.address);
	const client = http.createClient(place.address);
	const observed = observedClient.createObservedClient(client, place.address, (...at) =>
		world.observer(...at),
	);
	const [host, port] = place.address.split(':');
	class HookedClient extends httpClient.HttpClient {
		override async request(request: httpClient.HttpRequest) {
			if (world.upstreams.has(request.peer) && request.path !== '/load') {
				const bytes = request.body ?? '';
				const text = typeof bytes === 'string' ? bytes : new TextDecoder().decode(bytes);
				await world.hook('before-dispatch', request.peer, text);
			}

			return observed.request(request);
		}

		override async close() {
			await observed.close();
		}
	}

	const started = await daemon.startEntryDaemon({
		settings: entrySettings.entrySettingsSchema.parse({
			daemon: {
				name: place.name,
				region: place.region,
				failureDomain: `${place.region}-1`,
				host,
				httpPort: port,
				datagramPort: port,
			},
			cluster: {name: 'test', token: 'test-token', seeds: '10.0.0.1:80,10.0.0.3:80'},
			platform: {store: '10.9.0.1:1', vmList: '10.9.0.1:2', directory: '10.9.0.1:3'},
			regions: {
				links: Object.fromEntries(
					['home', 'away']
						.filter((region) => region !== place.region)
						.map((region) => [region, {delayMs: regionDelayMs, bitsPerSecond: 1e9}]),
				),
			},
		}),
		clock,
		random: numbers.fork(),
		logger: log.createSilentLogger(),
		httpClient: new HookedClient(),
		socket: endpoint.socket,
		datagramAddress: place.address,
		platform: {store: world.store, vmList: world.vmList, directory},
		startServer: createServerStarter(http, numbers.fork(), owned, (address) => {
			world.onBodyRead(address);
		}),
	});
	let isAlive = true;
	return {
		...place,
		daemon: started,
		get isAlive() {
			return isAlive;
		},
		crash() {
			isAlive = false;
			client.crash();
			started.crash();
			owned.dispose();
			endpoint.detach();
			clock.setPaused(true);
		},
		setPaused(isPaused) {
			endpoint.setPaused(isPaused);
			clock.setPaused(isPaused);
			gateway.setPaused(place.address, isPaused);
		},
	};
};

export const places: Place[] = [
	{name: 'home-a', address: '10.0.0.1:80', region: 'home'},
	{name: 'home-b', address: '10.0.0.2:80', region: 'home'},
	{name: 'away-a', address: '10.0.0.3:80', region: 'away'},
	{name: 'away-b', address: '10.0.0.4:80', region: 'away'},
];

/** Starts the deployment and lets it become ready. */
export const startWorld = async (seed: number, readyMs = defaultReadyMs): Promise<World> => {
	const clock = new manualClock.ManualClock();
	const numbers = random.createRandom(seed);
	const didChange = event.createEmitter<void>();
	const paused = new Set<string>();
	const cuts = new Set<string>();
	const regionOf = (address: string): string =>
		awayAddresses.has(address) || address.startsWith('10.1.1.') ? 'away' : 'home';
	const delayMs = (from: string, to: string) =>
		regionOf(from) === regionOf(to) ? localDelayMs : world.regionDelayMs;
	const isCut = (from: string, to: string) => cuts.has(`${regionOf(from)}>${regionOf(to)}`);
	const http = memoryHttp.createMemoryHttp(clock, {
		delayMs,
		isCut,
		onDidChange: didChange.event,
		isPaused: (address) => paused.has(address),
	});
	const network = memoryNetwork.createMemoryNetwork(clock, numbers.fork(), delayMs);
	network.faults.isCut = isCut;
	const store = new memoryStore.MemoryStore(clock);
	const listening = new Map<string, {close(): void}>();
	const world: World = {
		clock,
		store,
		vmList: new memoryStore.MemoryVmList(),
		upstreams: new Map(),
		entryVms: [],
		awayCallerClient: http.createClient(awayCallerAddress),
		callerClient: observedClient.createObservedClient(
			http.createClient(callerAddress),
			callerAddress,
			(...at) => world.observer(...at),
		),
		hook: async () => undefined,
		onBodyRead: () => undefined,
		observer: () => undefined,
		regionDelayMs,
		setCut(from, to, isCutNow) {
			if (isCutNow) {
				cuts.add(`${from}>${to}`);
			} else {
				cuts.delete(`${from}>${to}`);
			}

			didChange.fire();
		},
		refuseConnections(upstream) {
			http.unlisten(upstream);
		},
		configure(records) {
			const parts = partition.splitIntoParts(records);
			for (const part of parts) {
				store.put(schema.partKey(part.digest), part.text);
			}

			const root = schema.rootSchema.parse({
				parts: parts.map(({partition: number, digest}) => ({partition: number, digest})),
				operationId: 'test',
				author: 'test',
				acceptedAt: '2026-01-01T00:00:00Z',
			});
			store.put(schema.rootKey, JSON.stringify(root));
		},
		close() {
			for (const entryVm of world.entryVms) {
				entryVm.crash();
			}

			for (const item of listening.values()) {
				item.close();
			}
		},
	};
	for (const {address, isRunner} of catalogueRecords.upstreamPlaces) {
		const upstream = stepUpstream.createStepUpstream(clock, address, isRunner, async (...at) =>
			world.hook(...at),
		);
		world.upstreams.set(address, upstream);
		listening.set(address, http.listen(address, upstream.handler));
	}

	world.configure(catalogueRecords.records());
	const gateway: Gateway = {
		world,
		http,
		network,
		directory: new MemoryDirectory(),
		setPaused(address, isPaused) {
			if (isPaused) {
				paused.add(address);
			} else {
				paused.delete(address);
			}

			didChange.fire();
		},
	};
	for (const place of places) {
		world.entryVms.push(await startEntryVm(gateway, place, numbers));
	}

	await clock.advance(readyMs);
	return world;
};
