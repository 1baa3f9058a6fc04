/**
 * The route of a relayed request, by the configuration in force at the daemon that its caller
 * reached. A daemon that does not have that version yet follows this route, because its own may
 * be one that the operator has replaced.
 */
import * as zod from 'zod';
import * as relayHeaders from './relay-headers.js';
import * as routeConfig from './route-config.js';
import type * as wireFormat from './wire-format.js';

/** A longer route is not sent, so that it fits into the head that a daemon accepts beside the caller's. */
const maxRouteLength = 8192;

const routeText = zod
	.string()
	.transform((text, context): unknown => {
		try {
			return JSON.parse(text);
		} catch {
			context.addIssue({code: 'custom', message: 'not JSON'});
			return zod.NEVER;
		}
	})
	.pipe(routeConfig.routeSchema);

/** JSON in characters that a header may have. */
const encode = (route: routeConfig.Route): string =>
	JSON.stringify(route).replaceAll(
		/[^\u0020-\u007E]/gu,
		(character) => `\\u${character.codePointAt(0)!.toString(16).padStart(4, '0')}`,
	);

/** Headers for a request that goes to another daemon, which may not have its version yet. */
export const relayedRouteHeaders = (
	request: {route: routeConfig.Route; configVersion: number},
	peerConfigVersion: number,
): string[] => {
	const headers = [relayHeaders.configVersionHeader, String(request.configVersion)];
	if (peerConfigVersion < request.configVersion) {
		const text = encode(request.route);
		if (text.length <= maxRouteLength) {
			headers.push(relayHeaders.routeHeader, text);
		}
	}

	return headers;
};

/**
 * `own`: the own configuration is as late; `isLater`: it is later, of which the other daemon is
 * told; `behind`: it is not as late, and the route is unknown.
 */
export type RelayedRoute =
	| {kind: 'own'; isLater: boolean}
	| {kind: 'behind'; version: number}
	| {kind: 'relayed'; version: number; route: routeConfig.Route};

/** Reads the headers of a relayed request. */
export const readRelayedRoute = (
	headers: wireFormat.Headers,
	ownConfigVersion: number,
): RelayedRoute => {
	const version = Number(headers[relayHeaders.configVersionHeader]);
	// A daemon of an earlier release names no version.
	if (!(version > ownConfigVersion)) {
		return {kind: 'own', isLater: version < ownConfigVersion};
	}

	const route = routeText.safeParse(headers[relayHeaders.routeHeader]);
	return route.success ? {kind: 'relayed', version, route: route.data} : {kind: 'behind', version};
};
