/** Starts and stops a gateway process; a deployment supplies its names and formats. */
import type * as http from 'node:http';
// A namespace import lacks the methods of EventEmitter and makes exitCode read-only.
import process from 'node:process';
import type * as clock from '@hawthornfront/base/common/clock.js';
import * as errorText from '@hawthornfront/base/common/error-text.js';
import type * as httpClient from '@hawthornfront/base/common/http-client.js';
import * as random from '@hawthornfront/base/common/random.js';
import * as bindAddress from '@hawthornfront/base/node/bind-address.js';
import * as daemonProgram from '@hawthornfront/base/node/daemon-program.js';
import * as getServer from '@hawthornfront/base/node/get-server.js';
import * as metrics from '@hawthornfront/base/node/metrics.js';
import * as processEnd from '@hawthornfront/base/node/process-end.js';
import * as systemClock from '@hawthornfront/base/node/system-clock.js';
import * as udpSocket from '@hawthornfront/base/node/udp-socket.js';
import * as undiciHttpClient from '@hawthornfront/base/node/undici-http-client.js';
import type * as gatewayEvent from '../common/gateway-event.js';
import type * as prefixStore from '../common/prefix-store.js';
import type * as wireFormat from '../common/wire-format.js';
import * as boundedStop from '../common/bounded-stop.js';
import * as connectionBudget from './connection-budget.js';
import * as eventWriter from './event-writer.js';
import * as gatewayDaemon from './gateway-daemon.js';
import * as plannedStop from './planned-stop.js';
import * as serverErrorLog from './server-error-log.js';
import * as settings from './settings.js';
import * as settingsFile from './settings-file.js';

type DaemonReference = () => gatewayDaemon.GatewayDaemon | undefined;

type CreateServer = (
	daemon: DaemonReference,
	onError: getServer.HandlerErrorListener,
) => http.Server;

export type Deployment = {
	/** Environment variable that names the settings file. */
	settingsVariable: string;
	wire: wireFormat.WireFormat;
	layout: prefixStore.StoreLayout;
	createStore(client: httpClient.HttpClient, address: string): prefixStore.PrefixStore;
	createReadinessServer: CreateServer;
	createDirectoryServer: CreateServer;
};

/** An earlier process of this daemon may hold the addresses for the grace period of its stop and a little longer. */
const bindMarginMs = 2000;
/** Part of the grace period that is left when a stop that does not finish is given up. */
const stopMarginMs = 25;
const programName = 'hawthornfront-gateway';

const listen = async (
	server: http.Server,
	address: string,
	onLaterError: (error: Error) => void,
): Promise<http.Server> => {
	const {host, port} = settings.splitAddress(address);
	await bindAddress.listenOnce(server, {host, port}, onLaterError);
	return server;
};

const createMetricsServer = (
	registry: metrics.Registry,
	daemon: DaemonReference,
	onError: getServer.HandlerErrorListener,
): http.Server =>
	getServer.createGetServer(
		{
			'/metrics': async () => ({
				status: 200,
				body: {contentType: registry.contentType, text: await registry.metrics()},
			}),
			'/debug/state': () => getServer.jsonResponse(daemon()?.dump() ?? {}),
		},
		onError,
	);

/** Logs why the process does not start; the program then ends with the error. */
const noteStartFailure = (
	log: eventWriter.EventWriter,
	step: 'settings' | 'servers',
	error: unknown,
	stopSignal: AbortSignal,
): void => {
	log.note(
		stopSignal.aborted
			? {kind: 'start-cancelled', step}
			: {kind: 'start-failed', step, detail: errorText.errorText(error)},
	);
	log.flushNow();
};

const start = async (
	deployment: Deployment,
	file: string,
	stopSignal: AbortSignal,
): Promise<() => Promise<void>> => {
	const clock = new systemClock.SystemClock();
	let signalledAtMs: number | undefined;
	stopSignal.addEventListener('abort', () => {
		signalledAtMs = clock.nowMs();
	});
	const createLog = (registry: metrics.Registry, fields: Record<string, string>) =>
		eventWriter.createEventWriter(registry, () => clock.nowMs(), fields);
	const source = settingsFile.createSettingsFile(file, clock);
	let earlyLog: eventWriter.EventWriter | undefined;
	const getEarlyLog = () => {
		earlyLog ??= createLog(metrics.createRegistry({}), {});
		return earlyLog;
	};

	let adapted: settings.AdaptedSettings;
	try {
		adapted = await source.readAtStart({
			signal: stopSignal,
			onRejected(detail) {
				getEarlyLog().note({kind: 'settings-rejected', step: 'start', detail});
				getEarlyLog().flushNow();
			},
		});
	} catch (error) {
		noteStartFailure(getEarlyLog(), 'settings', error, stopSignal);
		throw error;
	}

	const {settings: current, adjustments} = adapted;
	const registry = metrics.createRegistry({vm: current.vm.name});
	const log = createLog(registry, {vm: current.vm.name});
	processEnd.reportProcessEnd((end) => {
		log.note(end);
		log.flushNow();
	});
	for (const adjustment of adjustments) {
		log.note({kind: 'setting-adjusted', ...adjustment});
	}

	try {
		return await startServers({
			deployment,
			source,
			current,
			stopSignal,
			stopSignalAtMs: () => signalledAtMs ?? clock.nowMs(),
			clock,
			registry,
			log,
		});
	} catch (error) {
		noteStartFailure(log, 'servers', error, stopSignal);
		throw error;
	}
};

type StartOptions = {
	deployment: Deployment;
	source: settingsFile.SettingsFile;
	current: settings.GatewaySettings;
	stopSignal: AbortSignal;
	/** Time of the stop signal, or now without one; the grace period begins with it. */
	stopSignalAtMs(): number;
	clock: clock.Clock;
	registry: metrics.Registry;
	log: eventWriter.EventWriter;
};

const startServers = async (options: StartOptions): Promise<() => Promise<void>> => {
	const {deployment, source, current, stopSignal, stopSignalAtMs, clock, registry, log} = options;
	const peers = settings.splitAddress(current.listen.peers);
	const started: {daemon?: gatewayDaemon.GatewayDaemon} = {};
	const getDaemon = () => started.daemon;
	const onError: getServer.HandlerErrorListener = (path, error) => {
		const detail = errorText.errorText(error, errorText.maxLoggedLength);
		log.note({kind: 'endpoint-failed', path, detail});
	};

	const bindRetry: bindAddress.BindRetry = {
		timeoutMs: current.stop.graceS * 1000 + bindMarginMs,
		signal: stopSignal,
		onRetry(error) {
			const kind = error.code === 'EADDRINUSE' ? 'address-in-use' : 'address-unavailable';
			log.note({kind, detail: errorText.errorText(error)});
		},
	};
	const createErrorListener = serverErrorLog.createServerErrorLog(log, () => clock.nowMs());
	const maxEndpointConnections = connectionBudget.maxEndpointConnections(
		connectionBudget.maxConnectionsFor(current.limits.maxDescriptors),
	);
	const listenWhenFree = async (
		server: http.Server,
		name: 'readiness' | 'directory' | 'metrics',
		address: string,
	) => {
		const onLaterError = createErrorListener(name);
		getServer.limitConnections(server, maxEndpointConnections);
		return bindAddress.bindWhenFree(async () => listen(server, address, onLaterError), bindRetry);
	};

	const startMetricsServer = async (address: string) => {
		try {
			await listenWhenFree(createMetricsServer(registry, getDaemon, onError), 'metrics', address);
		} catch (error) {
			onError('/metrics', error);
		}
	};

	const servers = [
		await listenWhenFree(
			deployment.createReadinessServer(getDaemon, onError),
			'readiness',
			current.listen.readiness,
		),
		await listenWhenFree(
			deployment.createDirectoryServer(getDaemon, onError),
			'directory',
			current.listen.directory,
		),
	];
	if (current.listen.metrics !== undefined) {
		// The daemon serves its callers without metrics as well.
		void startMetricsServer(current.listen.metrics);
	}

	const socket = await bindAddress.bindWhenFree(
		async () => udpSocket.bindUdpSocket(peers.host, peers.port),
		bindRetry,
	);
	const client = new undiciHttpClient.UndiciHttpClient();
	const daemon = await gatewayDaemon.startGatewayDaemon({
		settings: current,
		clock,
		random: random.createRandom(seedFrom(clock.wallMs(), current.vm.name)),
		wire: deployment.wire,
		client,
		store: deployment.createStore(client, current.store.address),
		layout: deployment.layout,
		socket,
		bindRetry,
		log,
		registry,
	});
	started.daemon = daemon;
	let {graceS} = current.stop;
	const watch = source.watch({
		log,
		apply(next) {
			daemon.applySettings(next);
			graceS = next.stop.graceS;
		},
	});
	process.on('SIGHUP', watch.reload);
	return async () => {
		watch.dispose();
		const waitedMs = clock.nowMs() - stopSignalAtMs();
		await boundedStop.stopInTime({
			clock,
			limitMs: plannedStop.remainingGraceMs(graceS * 1000 - stopMarginMs, waitedMs),
			stop: async () => daemon.stop(waitedMs),
			onFailed(error) {
				const detail = errorText.errorText(error, errorText.maxLoggedLength);
				log.note({kind: 'stop-failed', detail});
			},
		});
		for (const server of servers) {
			server.close();
		}

		// eslint-disable-next-line unicorn/no-process-exit -- idle connections of the HTTP servers may stay open
		process.exit();
	};
};

const maxSeed = 2_147_483_647;

const seedFrom = (wallMs: number, name: string): number => {
	let seed = Math.floor(wallMs) % maxSeed;
	for (const character of name) {
		seed = (seed * 31 + character.codePointAt(0)!) % maxSeed;
	}

	return seed;
};

/** Runs the gateway with the settings file from `--config` or from the environment. */
export const runGatewayProgram = async (deployment: Deployment): Promise<void> =>
	daemonProgram.runDaemonProgram({
		name: programName,
		description: 'Forwards requests of callers to upstreams',
		defaultFile: process.env[deployment.settingsVariable],
		start: async (file, stopSignal) => start(deployment, file, stopSignal),
	});
