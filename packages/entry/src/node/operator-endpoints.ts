/** HTTP endpoints for operators and the platform: health, readiness, metrics and the state dump. */
import type * as metrics from '@hawthornfront/base/node/metrics.js';
import type * as fleetInterface from '@hawthornfront/fleet/common/fleet-interface.js';
import * as callerRequest from '../common/caller-request.js';

export type OperatorEndpointsOptions = {
	registry: metrics.Registry;
	fleet: fleetInterface.Fleet;
	isStopping(): boolean;
	/** State without request contents. */
	dump(): unknown;
};

export type OperatorEndpoints = {
	/** Handles `GET` requests on operator paths; undefined for other paths. */
	handle(path: string): Promise<callerRequest.CallerResponse | undefined>;
};

export const createOperatorEndpoints = (options: OperatorEndpointsOptions): OperatorEndpoints => ({
	async handle(path) {
		switch (path) {
			case '/healthz': {
				return callerRequest.jsonResponse(200, {status: 'ok'});
			}

			case '/readyz': {
				const isReady = options.fleet.isReady() && !options.isStopping();
				return callerRequest.jsonResponse(isReady ? 200 : 503, {
					isReady,
					revision: options.fleet.snapshot().revision,
				});
			}

			case '/metrics': {
				return {
					status: 200,
					headers: {'content-type': options.registry.contentType},
					body: await options.registry.metrics(),
				};
			}

			case '/debug/state': {
				return callerRequest.jsonResponse(200, options.dump());
			}

			default: {
				return undefined;
			}
		}
	},
});
