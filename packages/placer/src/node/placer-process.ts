/** A placer process: services over HTTP, metrics and operator endpoints. */
import * as http from 'node:http';
import type * as net from 'node:net';
import * as h3 from 'h3';
import * as h3Node from 'h3/node';
import type * as httpClient from '@hawthornfront/base/common/http-client.js';
import type * as clock from '@hawthornfront/base/common/clock.js';
import type * as log from '@hawthornfront/base/node/log.js';
import * as metrics from '@hawthornfront/base/node/metrics.js';
import * as httpKeyValueStore from '@hawthornfront/platform/node/http-key-value-store.js';
import * as httpPlatformServices from '@hawthornfront/platform/node/http-platform-services.js';
import * as placer from '../common/placer.js';
import * as httpClients from './http-clients.js';
import * as placerSettings from './settings.js';
import * as storeCatalogue from './store-catalogue.js';

export type PlacerProcess = {
	/** Port of the operator endpoints. */
	readonly port: number;
	readonly placer: placer.Placer;
	/** Planned stop: revokes the lease, so that another placer can take over without waiting for its expiry. */
	stop(): Promise<void>;
};

export type ProcessContext = {
	clock: clock.Clock;
	http: httpClient.HttpClient;
	logger: log.Logger;
	settings: placerSettings.PlacerIni;
};

const createMetrics = (running: placer.Placer, ini: placerSettings.PlacerIni): metrics.Registry => {
	const {name, region} = ini.placer;
	const registry = metrics.createRegistry({placer: name, region});
	const gauges: Array<[string, string, () => number]> = [
		[
			'hawthornfront_placer_is_holder',
			'1 while it holds the lease',
			() => Number(running.isHolder()),
		],
		['hawthornfront_placer_orders_sent_total', 'Orders sent', () => running.counts().sent],
		['hawthornfront_placer_orders_refused_total', 'Orders refused', () => running.counts().refused],
		[
			'hawthornfront_placer_calls_failed_total',
			'Failed orders and tickets',
			() => running.counts().failed,
		],
		[
			'hawthornfront_placer_tickets_granted_total',
			'Granted tickets',
			() => running.counts().ticketsGranted,
		],
		[
			'hawthornfront_placer_tickets_limited_total',
			'Refused tickets',
			() => running.counts().ticketsLimited,
		],
		[
			'hawthornfront_placer_store_calls_failed_total',
			'Failed store calls',
			() => running.counts().failedStoreCalls,
		],
	];
	for (const [metricName, help, read] of gauges) {
		metrics.createGauge(registry, metricName, help, read);
	}

	return registry;
};

const createOperatorEndpoints = (running: placer.Placer, registry: metrics.Registry): h3.H3 => {
	const app = new h3.H3();
	app.get('/healthz', () => ({status: 'ok'}));
	app.get('/readyz', () => ({status: 'ok'}));
	app.get('/debug/state', () => running.dump());
	app.get('/metrics', async () => {
		const headers = {'content-type': registry.contentType};
		return new Response(await registry.metrics(), {headers});
	});
	return app;
};

const listen = async (server: http.Server, host: string, port: number): Promise<number> =>
	new Promise((resolve, reject) => {
		server.once('error', reject);
		server.listen(port, host, () => {
			server.off('error', reject);
			resolve((server.address() as net.AddressInfo).port);
		});
	});

/** Starts a placer process. @throws Error when the port is in use. */
export const startPlacer = async (context: ProcessContext): Promise<PlacerProcess> => {
	const {settings: ini, http: client, logger} = context;
	const store = new httpKeyValueStore.HttpKeyValueStore(client, ini.platform.store);
	const running = placer.createPlacer(
		{
			clock: context.clock,
			store,
			weightStore: new httpPlatformServices.HttpWeightStore(client, ini.platform.weightStore),
			runners: new httpClients.HttpRunnerClient(client, ini.orders.timeoutMs),
			demand: new httpClients.HttpDemandClient(client, ini.orders.timeoutMs),
			entryAddresses: ini.entries.addresses,
			catalogue: storeCatalogue.createStoreCatalogue(store),
		},
		placerSettings.toPlacerSettings(ini),
	);
	running.onDidChange((change) => {
		logger.info(change, change.kind);
	});
	const registry = createMetrics(running, ini);
	const server = http.createServer(
		h3Node.toNodeHandler(createOperatorEndpoints(running, registry)),
	);
	try {
		const port = await listen(server, ini.placer.host, ini.placer.httpPort);
		return {
			port,
			placer: running,
			async stop() {
				await running.stop();
				await new Promise<void>((resolve) => {
					server.close(() => {
						resolve();
					});
					server.closeAllConnections();
				});
			},
		};
	} catch (error) {
		running.dispose();
		throw error;
	}
};
