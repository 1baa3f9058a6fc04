/**
 * Bounds the open connections of a daemon, so that callers who keep idle connections
 * leave descriptors for upstreams, the store and files.
 */

/** Share of the descriptors that is left for the store, files and connections to upstreams that are being opened. */
const reservedShare = 0.1;
const minReservedDescriptors = 64;
/** Share of the connections that a server of small endpoints may hold. */
const endpointShare = 0.05;
const minEndpointConnections = 8;
/** Connections that may be closed for one new one: upstreams take descriptors meanwhile, too. */
const maxClosedForOne = 4;

/** @param maxDescriptors undefined if no limit is known */
export const maxConnectionsFor = (maxDescriptors: number | undefined): number =>
	maxDescriptors === undefined
		? Number.POSITIVE_INFINITY
		: Math.max(
				minReservedDescriptors / 2,
				maxDescriptors -
					Math.max(minReservedDescriptors, Math.ceil(maxDescriptors * reservedShare)),
			);

/** @param maxConnections of the daemon */
export const maxEndpointConnections = (maxConnections: number): number =>
	Math.max(minEndpointConnections, Math.floor(maxConnections * endpointShare));

export type ConnectionBudget = {
	/** Closes idle connections if there are too many; returns whether a new connection may stay open. */
	makeRoom(): boolean;
};

export const createConnectionBudget = (options: {
	maxConnections: number;
	/** Connections to callers, peers and upstreams, the new one included. */
	openConnections(): number;
	/** Closes the connection that has been idle for the longest time; returns false without one. */
	closeLongestIdle(): boolean;
}): ConnectionBudget => ({
	makeRoom() {
		let excess = options.openConnections() - options.maxConnections;
		let hasClosed = false;
		for (let closed = 0; closed < maxClosedForOne && excess > 0; closed++) {
			if (!options.closeLongestIdle()) {
				break;
			}

			hasClosed = true;
			excess--;
		}

		return hasClosed || excess <= 0;
	},
});
