/** Assembles an entry daemon from servers, fleet, scheduler, at-most-once execution and request engine. */
import * as buffer from 'node:buffer';
import * as crypto from 'node:crypto';
import * as net from 'node:net';
import * as alignedClock from '@hawthornfront/base/common/aligned-clock.js';
import type * as clock from '@hawthornfront/base/common/clock.js';
import type * as datagramSocket from '@hawthornfront/base/common/datagram-socket.js';
import * as disposable from '@hawthornfront/base/common/disposable.js';
import type * as httpClient from '@hawthornfront/base/common/http-client.js';
import type * as random from '@hawthornfront/base/common/random.js';
import type * as log from '@hawthornfront/base/node/log.js';
import * as metrics from '@hawthornfront/base/node/metrics.js';
import * as scheduler from '@hawthornfront/decisions/common/scheduler.js';
import type * as fleetInterface from '@hawthornfront/fleet/common/fleet-interface.js';
import * as fleet from '@hawthornfront/fleet/node/fleet.js';
import type * as keyValueStore from '@hawthornfront/platform/common/key-value-store.js';
import type * as platformServices from '@hawthornfront/platform/common/platform-services.js';
import * as jsonRpc from '@hawthornfront/protocol/node/json-rpc.js';
import type * as authorisation from '../common/authorisation.js';
import * as demandMeter from '../common/demand-meter.js';
import type * as engineServices from '../common/engine-services.js';
import * as requestEngine from '../common/request-engine.js';
import * as clusterHttpClient from './cluster-http-client.js';
import * as demandExchange from './demand-exchange.js';
import * as decisionServices from './decision-services.js';
import * as directoryPublisher from './directory-publisher.js';
import * as engineCounters from './engine-counters.js';
import * as httpRunnerClient from './http-runner-client.js';
import * as httpServer from './http-server.js';
import * as keyedService from './keyed-service.js';
import * as operatorEndpoints from './operator-endpoints.js';
import * as peers from './peers.js';
import type * as settings from './settings.js';
import * as upstreamWatch from './upstream-watch.js';

const drainCheckMs = 50;
/** Delay before draining, so that callers see the daemon leave the entry list while it still answers. */
const leaveNoticeMs = 1500;

/** Services of the platform that the daemon uses. */
export type Platform = {
	store: keyValueStore.KeyValueStore;
	vmList: platformServices.VmList;
	directory: platformServices.Directory;
};

export type EntryDaemonOptions = {
	settings: settings.EntrySettings;
	clock: clock.Clock;
	random: random.Random;
	logger: log.Logger;
	/** Used for upstreams, platform and other daemons; closed by the caller. */
	httpClient: httpClient.HttpClient;
	/** Closed by the caller. */
	socket: datagramSocket.DatagramSocket;
	/** `host:port` at which other daemons reach the socket. */
	datagramAddress: string;
	platform: Platform;
	/** Starts the server; an HTTP server by default. Tests can pass an in-memory server. */
	startServer?: (options: httpServer.HttpServerOptions) => Promise<httpServer.HttpServer>;
};

export type EntryDaemon = {
	/** `host:port` of the HTTP server. */
	readonly address: string;
	readonly fleet: fleetInterface.Fleet;
	dump(): unknown;
	/** Planned stop: leaves the entry list, completes requests in flight and transfers key records. */
	stop(): Promise<void>;
	/** Ends immediately, as a crash would. */
	crash(): void;
};

const digests: authorisation.Digests = {
	sha256: (text) => crypto.createHash('sha256').update(text).digest('hex'),
	equals: (left, right) =>
		left.length === right.length &&
		crypto.timingSafeEqual(buffer.Buffer.from(left), buffer.Buffer.from(right)),
};

const isAddress = (address: string): boolean =>
	net.isIPv4(address.slice(0, address.lastIndexOf(':')));

/** Starts an entry daemon. The daemon is ready once it has received a configuration. */
export const startEntryDaemon = async (options: EntryDaemonOptions): Promise<EntryDaemon> => {
	const {settings: config, random: numbers, logger} = options;
	const time = new alignedClock.AlignedClock(options.clock);
	const {daemon, cluster} = config;
	const {platform} = options;
	const resources = disposable.createDisposableStore();
	const registry = metrics.createRegistry({daemon: daemon.name, region: daemon.region});
	const clusterHeaders = {[httpServer.clusterTokenHeader]: cluster.token};
	const peerClient = new clusterHttpClient.ClusterHttpClient(options.httpClient, clusterHeaders);
	const rpcClient = new jsonRpc.HttpRpcClient(peerClient);
	const rpcServer = new jsonRpc.JsonRpcServer();
	let isStopping = false;
	// The server starts first, because the fleet announces its port; the handlers are set later.
	const handlers: {
		engine?: requestEngine.RequestEngine;
		endpoints?: operatorEndpoints.OperatorEndpoints;
	} = {};

	const server = await (options.startServer ?? httpServer.startHttpServer)({
		host: daemon.host,
		port: daemon.httpPort,
		clusterToken: cluster.token,
		handlers: {
			handle: async (request) =>
				handlers.engine ? handlers.engine.handle(request) : {status: 503, headers: {}, body: ''},
			handleRpc: async (text) => rpcServer.receive(text),
			handleOperator: async (path) => handlers.endpoints?.handle(path),
		},
	});
	const address = `${daemon.host}:${server.port}`;
	const members = fleet.createFleet({
		self: {
			name: daemon.name,
			region: daemon.region,
			failureDomain: daemon.failureDomain,
			httpAddress: address,
			datagramAddress: options.datagramAddress,
		},
		cluster: cluster.name,
		seeds: cluster.seeds.filter((seed) => isAddress(seed)),
		clock: time,
		random: numbers.fork(),
		socket: options.socket,
		rpcClient,
		rpcServer,
		store: platform.store,
		vmList: platform.vmList,
		logger,
		settings: config.fleet,
	});
	resources.add(members);
	const queue = scheduler.createScheduler({
		clock: time,
		random: numbers.fork(),
		settings: config.scheduler,
	});
	resources.add(queue);
	const keyed = keyedService.createKeyedService({
		fleet: members,
		clock: time,
		random: numbers.fork(),
		rpcClient,
		rpcServer,
		address,
		region: daemon.region,
		failureDomain: daemon.failureDomain,
		settings: config.once,
	});
	resources.add(keyed);
	const watch = upstreamWatch.startUpstreamWatch({
		clock: time,
		client: options.httpClient,
		fleet: members,
		scheduler: queue,
		vmList: platform.vmList,
		name: daemon.name,
		region: daemon.region,
		failureDomain: daemon.failureDomain,
	});
	resources.add(watch);
	resources.add(
		directoryPublisher.startDirectoryPublisher({
			clock: time,
			fleet: members,
			directory: platform.directory,
			name: daemon.name,
			failureDomain: daemon.failureDomain,
		}),
	);
	const counters = engineCounters.createEngineCounters(registry);
	engineCounters.registerKeyedOutcomes(registry, keyed.execution);
	const decisions = decisionServices.createDecisionServices({
		settings: config,
		clock: time,
		random: numbers.fork(),
		fleet: members,
		scheduler: queue,
	});
	resources.add(decisions);
	const exchange = demandExchange.startDemandExchange({
		clock: time,
		fleet: members,
		limiter: decisions.limiter,
		rpcClient,
		rpcServer,
		name: daemon.name,
		failureDomain: daemon.failureDomain,
		vmsPerDomain: config.steering.vmsPerDomain,
		floorShare: config.steering.floorShare,
	});
	resources.add(exchange);
	const demand = demandMeter.createDemandMeter(time);
	const services: engineServices.EngineServices = {
		...decisions.services,
		region: daemon.region,
		cdnLoopIdentifier: `hawthornfront-${cluster.name}`,
		clock: time,
		digests,
		clusterHeaders,
		snapshot: () => members.snapshot(),
		isReady: () => members.isReady(),
		isStopping: () => isStopping,
		entryVmsOf: (region) => peers.entryVmsOf(members, region),
		scheduler: queue,
		keyedExecution: keyed.execution,
		demand,
		runnerClient: new httpRunnerClient.HttpRunnerClient(options.httpClient),
		httpClient: options.httpClient,
		attemptSettings: {
			firstTokenTimeoutMs: config.requests.firstTokenTimeoutMs,
			stallTimeoutMs: config.requests.stallTimeoutMs,
		},
		counters,
	};
	const engine = requestEngine.createRequestEngine(services);
	handlers.engine = engine;
	const dump = () => ({
		revision: members.snapshot().revision,
		isStopping,
		inFlight: engine.inFlight(),
		demand: demand.read(),
		fleet: members.dump(),
		scheduler: queue.dump(),
		decisions: decisions.dump(),
		demandExchange: exchange.dump(),
		upstreams: watch.dump(),
		keyedExecution: keyed.execution.dump(),
	});
	handlers.endpoints = operatorEndpoints.createOperatorEndpoints({
		registry,
		fleet: members,
		isStopping: () => isStopping,
		dump,
	});
	logger.info({address}, 'entry daemon started');

	const drain = async () => {
		while (engine.inFlight() > 0) {
			await time.sleep(drainCheckMs);
		}
	};

	return {
		address,
		fleet: members,
		dump,
		async stop() {
			if (isStopping) {
				return;
			}

			isStopping = true;
			logger.info({inFlight: engine.inFlight()}, 'entry daemon stopping');
			members.announceStopping();
			await time.sleep(leaveNoticeMs);
			await drain();
			await keyed.execution.handOff();
			resources.dispose();
			await server.close();
			logger.info({}, 'entry daemon stopped');
		},
		crash() {
			resources.dispose();
			server.abort();
		},
	};
};
