/** Starts and stops a gateway process; a deployment supplies its names and formats. */
import * as fs from 'node:fs';
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
import * as eventWriter from './event-writer.js';
import * as gatewayDaemon from './gateway-daemon.js';
import * as serverErrorLog from './server-error-log.js';
import * as settings from './settings.js';

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

/** Interval of checks for a settings file that changed without a signal. */
const settingsCheckIntervalMs = 2000;
/** An earlier process of this daemon may hold the addresses for the grace period of its stop and a little longer. */
const bindMarginMs = 2000;
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

/** Returns a function that reads the settings file again and applies it if it changed. */
const createReload = (
	file: string,
	initial: settings.GatewaySettings,
	daemon: gatewayDaemon.GatewayDaemon,
	log: gatewayEvent.EventLog,
) => {
	let currentText = JSON.stringify(initial);
	return (isSignal: boolean) => {
		try {
			const next = settings.readGatewaySettings(file);
			const nextText = JSON.stringify(next);
			const changed = nextText !== currentText;
			currentText = nextText;
			if (changed) {
				daemon.applySettings(next);
			}

			if (changed || isSignal) {
				log.note({kind: 'settings-reloaded', changed});
			}
		} catch (error) {
			const detail = errorText.errorText(error);
			log.note({kind: 'settings-rejected', detail});
		}
	};
};

/** Logs why the process does not start; the program then ends with the error. */
const noteStartFailure = (
	log: eventWriter.EventWriter,
	step: 'settings' | 'servers',
	error: unknown,
): void => {
	log.note({kind: 'start-failed', step, detail: errorText.errorText(error)});
	log.flushNow();
};

const start = async (deployment: Deployment, file: string): Promise<() => Promise<void>> => {
	const clock = new systemClock.SystemClock();
	const createLog = (registry: metrics.Registry, fields: Record<string, string>) =>
		eventWriter.createEventWriter(registry, () => clock.nowMs(), fields);
	let current: settings.GatewaySettings;
	try {
		current = settings.readGatewaySettings(file);
	} catch (error) {
		noteStartFailure(createLog(metrics.createRegistry({}), {}), 'settings', error);
		throw error;
	}

	const registry = metrics.createRegistry({vm: current.vm.name});
	const log = createLog(registry, {vm: current.vm.name});
	processEnd.reportProcessEnd((end) => {
		log.note(end);
		log.flushNow();
	});
	try {
		return await startServers({deployment, file, current, clock, registry, log});
	} catch (error) {
		noteStartFailure(log, 'servers', error);
		throw error;
	}
};

type StartOptions = {
	deployment: Deployment;
	file: string;
	current: settings.GatewaySettings;
	clock: clock.Clock;
	registry: metrics.Registry;
	log: eventWriter.EventWriter;
};

const startServers = async (options: StartOptions): Promise<() => Promise<void>> => {
	const {deployment, file, current, clock, registry, log} = options;
	const peers = settings.splitAddress(current.listen.peers);
	const started: {daemon?: gatewayDaemon.GatewayDaemon} = {};
	const getDaemon = () => started.daemon;
	const onError: getServer.HandlerErrorListener = (path, error) => {
		const detail = errorText.errorText(error, errorText.maxLoggedLength);
		log.note({kind: 'endpoint-failed', path, detail});
	};

	const bindRetry: bindAddress.BindRetry = {
		timeoutMs: current.stop.graceS * 1000 + bindMarginMs,
		onInUse(error) {
			log.note({kind: 'address-in-use', detail: errorText.errorText(error)});
		},
	};
	const createErrorListener = serverErrorLog.createServerErrorLog(log, () => clock.nowMs());
	const listenWhenFree = async (
		server: http.Server,
		name: 'readiness' | 'directory' | 'metrics',
	) => {
		const onLaterError = createErrorListener(name);
		return bindAddress.bindWhenFree(
			async () => listen(server, current.listen[name], onLaterError),
			bindRetry,
		);
	};

	const servers = [
		await listenWhenFree(deployment.createReadinessServer(getDaemon, onError), 'readiness'),
		await listenWhenFree(deployment.createDirectoryServer(getDaemon, onError), 'directory'),
		await listenWhenFree(createMetricsServer(registry, getDaemon, onError), 'metrics'),
	];
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
	const reload = createReload(file, current, daemon, log);
	process.on('SIGHUP', () => {
		reload(true);
	});
	fs.watchFile(file, {interval: settingsCheckIntervalMs}, () => {
		reload(false);
	});
	return async () => {
		await daemon.stop();
		fs.unwatchFile(file);
		for (const server of servers) {
			server.close();
		}

		// eslint-disable-next-line unicorn/no-process-exit -- idle connections of the HTTP servers may stay open
		process.exit(0);
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
		start: async (file) => start(deployment, file),
	});
