/** Longest heads of requests and answers at each hop, in bytes. */

/** Longest head that a caller may send, whatever the configuration allows. */
export const callerHeadLimitBytes = 65_536;

/** Longest head of an upstream's answer. */
export const upstreamHeadLimitBytes = 16_384;

/**
 * What a daemon may add to the head of a request or an answer that it relays: its own
 * headers, the deadline, the event to resume after, and fields of the connection.
 */
export const maxRelayedExtraBytes = 16_384;
