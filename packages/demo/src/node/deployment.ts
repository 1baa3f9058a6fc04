/** Starts stand-ins, the simulated network and seven entry daemons in one process. */
import type * as clock from '@hawthornfront/base/common/clock.js';
import type * as httpClient from '@hawthornfront/base/common/http-client.js';
import type * as random from '@hawthornfront/base/common/random.js';
import type * as log from '@hawthornfront/base/node/log.js';
import * as udpSocket from '@hawthornfront/base/node/udp-socket.js';
import * as undiciHttpClient from '@hawthornfront/base/node/undici-http-client.js';
import * as daemon from '@hawthornfront/entry/node/daemon.js';
import * as httpPlatform from '@hawthornfront/entry/node/http-platform.js';
import * as entrySettings from '@hawthornfront/entry/node/settings.js';
import * as faultyNetwork from '@hawthornfront/standins/common/faulty-network.js';
import * as platformStandins from '@hawthornfront/standins/node/platform-standins.js';
import * as runnerStandin from '@hawthornfront/standins/node/runner-standin.js';
import * as serviceStandin from '@hawthornfront/standins/node/service-standin.js';
import * as storeStandin from '@hawthornfront/standins/node/store-standin.js';
import * as shape from './shape.js';

const host = '127.0.0.1';
const readyTimeoutMs = 20_000;
const readyCheckMs = 50;
/** Faster than an engine of today, so that the demonstration is short. */
const decodeMsPerToken = 4;
const firstAnswerTokens = 16;
const longestAnswerTokens = 200;

export type Runner = {name: string; region: shape.Region; standin: runnerStandin.RunnerStandin};
export type Service = {name: string; region: shape.Region; standin: serviceStandin.ServiceStandin};
export type EntryVm = {name: string; region: shape.Region; daemon: daemon.EntryDaemon};

export type Deployment = {
	clock: clock.Clock;
	network: faultyNetwork.FaultyNetwork;
	store: storeStandin.StoreStandin;
	vmList: platformStandins.VmListStandin;
	directory: platformStandins.DirectoryStandin;
	runners: Runner[];
	services: Service[];
	entryVms: EntryVm[];
	/** Client of the callers in a region; links to other regions apply to it. */
	callerClient(region: shape.Region): httpClient.HttpClient;
	close(): Promise<void>;
};

export type DeploymentOptions = {
	clock: clock.Clock;
	random: random.Random;
	logger: log.Logger;
};

const startRunners = async (options: DeploymentOptions): Promise<Runner[]> => {
	const runners: Runner[] = [];
	for (const region of shape.regions) {
		for (let number = 1; number <= shape.runnersPerRegion; number++) {
			const standin = await runnerStandin.createRunnerStandin({
				clock: options.clock,
				seed: runners.length + 1,
				settings: {
					model: shape.model,
					decodeMsPerToken,
					minimumAnswerTokens: firstAnswerTokens,
					maximumAnswerTokens: longestAnswerTokens,
				},
			});
			runners.push({name: `runner-${region}-${number}`, region, standin});
		}
	}

	return runners;
};

const startServices = async (options: DeploymentOptions): Promise<Service[]> => {
	const services: Service[] = [];
	for (const region of shape.regions) {
		const standin = await serviceStandin.createServiceStandin({
			clock: options.clock,
			seed: services.length + 1,
			settings: {name: 'booking'},
		});
		services.push({name: `booking-${region}`, region, standin});
	}

	return services;
};

const createNetwork = (options: DeploymentOptions): faultyNetwork.FaultyNetwork => {
	const network = faultyNetwork.createFaultyNetwork({
		clock: options.clock,
		random: options.random.fork(),
	});
	for (const from of shape.regions) {
		network.link(from, from).delayMs = shape.localDelayMs;
		for (const to of shape.regions) {
			if (from !== to) {
				network.setLink(from, to, {
					delayMs: shape.regionDelayMs,
					rateBitsPerSecond: shape.linkBitsPerSecond,
				});
			}
		}
	}

	return network;
};

type Place = {name: string; region: shape.Region; seeds: string[]};

type Platform = {store: string; vmList: string; directory: string};

const startEntryVm = async (
	options: DeploymentOptions,
	network: faultyNetwork.FaultyNetwork,
	platform: Platform,
	place: Place,
): Promise<EntryVm & {release(): Promise<void>}> => {
	const {name, region, seeds} = place;
	const socket = await udpSocket.bindUdpSocket(host, 0);
	const datagramAddress = `${host}:${socket.port}`;
	const client = new undiciHttpClient.UndiciHttpClient();
	const wrapped = network.wrapHttpClient(client, region);
	network.addAddress(datagramAddress, region);
	const started = await daemon.startEntryDaemon({
		settings: entrySettings.entrySettingsSchema.parse({
			daemon: {
				name,
				region,
				failureDomain: shape.failureDomainOf(region),
				host,
				httpPort: 0,
				datagramPort: 0,
			},
			cluster: {name: 'demo', token: 'demo-cluster-token', seeds: seeds.join(',')},
			platform,
			regions: {
				links: Object.fromEntries(
					shape.regions
						.filter((other) => other !== region)
						.map((other) => [
							other,
							{delayMs: shape.regionDelayMs, bitsPerSecond: shape.linkBitsPerSecond},
						]),
				),
			},
		}),
		clock: options.clock,
		random: options.random.fork(),
		logger: options.logger.child({daemon: name}),
		httpClient: wrapped,
		platform: httpPlatform.createHttpPlatform(wrapped, platform),
		socket: network.wrapDatagramSocket(socket, region),
		datagramAddress,
	});
	network.addAddress(started.address, region);
	return {
		name,
		region,
		daemon: started,
		async release() {
			socket.dispose();
			await client.close();
		},
	};
};

const placesOf = (): Array<{name: string; region: shape.Region}> =>
	shape.regions.flatMap((region) =>
		Array.from({length: shape.entryVmsPerRegion[region]}, (_, index) => ({
			name: `entry-${region}-${index + 1}`,
			region,
		})),
	);

/** Starts everything; the catalogue is still empty. */
export const startDeployment = async (options: DeploymentOptions): Promise<Deployment> => {
	const {clock: time} = options;
	const network = createNetwork(options);
	const store = await storeStandin.createStoreStandin({clock: time, seed: 1});
	const vmList = await platformStandins.createVmListStandin({clock: time, seed: 2});
	const directory = await platformStandins.createDirectoryStandin({clock: time, seed: 3});
	for (const {address} of [store, vmList, directory]) {
		network.addAddress(address, 'lombardia');
	}

	const runners = await startRunners(options);
	const services = await startServices(options);
	for (const {standin, region, name} of [...runners, ...services]) {
		network.addAddress(standin.address, region);
		vmList.put({
			name,
			role: 'upstream',
			region,
			failureDomain: shape.failureDomainOf(region),
			address: standin.address,
			state: 'live',
		});
	}

	const platform = {store: store.address, vmList: vmList.address, directory: directory.address};
	const entryVms: Array<EntryVm & {release(): Promise<void>}> = [];
	for (const place of placesOf()) {
		const seeds = entryVms.map((entryVm) => entryVm.daemon.address);
		entryVms.push(await startEntryVm(options, network, platform, {...place, seeds}));
	}

	const clients = new Map(
		shape.regions.map((region) => {
			const client = new undiciHttpClient.UndiciHttpClient();
			return [region, {client, wrapped: network.wrapHttpClient(client, region)}] as const;
		}),
	);
	return {
		clock: time,
		network,
		store,
		vmList,
		directory,
		runners,
		services,
		entryVms,
		callerClient: (region) => clients.get(region)!.wrapped,
		async close() {
			for (const entryVm of entryVms) {
				entryVm.daemon.crash();
				await entryVm.release();
			}

			for (const {client} of clients.values()) {
				await client.close();
			}

			await Promise.all(
				[store, vmList, directory, ...[...runners, ...services].map((item) => item.standin)].map(
					async (standin) => standin.close(),
				),
			);
		},
	};
};

/** Waits until every entry daemon is ready. @throws Error after the limit. */
export const waitUntilReady = async (deployment: Deployment): Promise<void> => {
	const limitAtMs = deployment.clock.nowMs() + readyTimeoutMs;
	while (!deployment.entryVms.every((entryVm) => entryVm.daemon.fleet.isReady())) {
		if (deployment.clock.nowMs() > limitAtMs) {
			throw new Error(`entry daemons were not ready within ${readyTimeoutMs} ms`);
		}

		await deployment.clock.sleep(readyCheckMs);
	}
};
