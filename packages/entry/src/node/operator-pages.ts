/** Pages for operators and the platform: health, readiness, metrics and the state dump. */
import type * as metrics from '@hawthornfront/base/node/metrics.js';
import type * as fleetInterface from '@hawthornfront/fleet/common/fleet-interface.js';
import * as callerRequest from '../common/caller-request.js';

export type OperatorPagesOptions = {
	registry: metrics.Registry;
	fleet: fleetInterface.Fleet;
	isStopping(): boolean;
	/** State without any content of requests. */
	dump(): unknown;
};

export type OperatorPages = {
	/** Answers `GET` on the paths of operators; undefined for others. */
	handle(path: string): Promise<callerRequest.CallerResponse | undefined>;
};

/** Creates the pages. */
export const createOperatorPages = (options: OperatorPagesOptions): OperatorPages => ({
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
