/** Headers between two daemons on a relayed request, beside those of the caller. */
import * as zod from 'zod';

export const relayPrefix = 'hawthornfront-';
/** Region from which the request came; its presence forbids a further crossing. */
export const relayedFromHeader = 'hawthornfront-relayed-from';
/** What is known of a request that the other daemon could not answer. */
export const outcomeHeader = 'hawthornfront-outcome';
/** Upstreams that may still run the request, for the other daemon. */
export const upstreamsLeftHeader = 'hawthornfront-upstreams-left';
/** Upstreams that ran it there, on a failure. */
export const upstreamsUsedHeader = 'hawthornfront-upstreams-used';
/** Why it could not. */
export const reasonHeader = 'hawthornfront-reason';

export const outcomeSchema = zod.enum(['not-run', 'unknown', 'ran']);
