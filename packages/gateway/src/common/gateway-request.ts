/** One request of a caller, after its head and body were read. */
import type * as routeConfig from './route-config.js';
import type * as wireFormat from './wire-format.js';

export type GatewayRequest = {
	method: string;
	path: string;
	rawHeaders: readonly string[];
	facts: wireFormat.RequestFacts;
	body?: Uint8Array;
	/** Equal for requests that repeat the same method, path and body; computed at the first call. */
	digest(): string;
	route: routeConfig.Route;
	/** Version of the configuration by which the route was chosen. */
	configVersion: number;
	service: routeConfig.Service;
	/** Undefined without teams, and for a request of a public route without a known key. */
	team?: routeConfig.Team;
	/** Monotonic time at which the head arrived. */
	arrivedAtMs: number;
	/** Upstreams that may run it; fewer than the route allows if another daemon has already used some. */
	maxUpstreams: number;
	/** The daemon that relayed it has an earlier configuration. */
	isRelayedByEarlierConfig?: boolean;
	/** Region of the daemon that relayed it; undefined for a request of a caller. */
	relayedFrom?: string;
};
