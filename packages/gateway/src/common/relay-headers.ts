/** Headers that daemons add to a relayed request, which one region forwards to another. */
import * as zod from 'zod';

export const relayPrefix = 'hawthornfront-';
/** Region that relayed the request; a request with this header is not relayed again. */
export const relayedFromHeader = 'hawthornfront-relayed-from';
/** Name of the team whose key the request had; trusted on the peer port only. */
export const teamHeader = 'hawthornfront-team';
/** Version of the configuration by which the request's route was chosen. */
export const configVersionHeader = 'hawthornfront-config-version';
/** The route, for a daemon that may not have that version yet. */
export const routeHeader = 'hawthornfront-route';
/** Outcome of a request that the other daemon could not answer. */
export const outcomeHeader = 'hawthornfront-outcome';
/** Number of upstreams that the other daemon may still use for the request. */
export const upstreamsLeftHeader = 'hawthornfront-upstreams-left';
/** Number of upstreams that the other daemon used for a request that failed. */
export const upstreamsUsedHeader = 'hawthornfront-upstreams-used';
/** Why the other daemon could not answer. */
export const reasonHeader = 'hawthornfront-reason';

export const outcomeSchema = zod.enum(['not-run', 'unknown', 'ran']);
