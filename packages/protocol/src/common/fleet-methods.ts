/** JSON-RPC methods for membership and configuration. */
import * as zod from 'zod';
import * as claim from './claim.js';
import * as rpc from './rpc.js';

/** Returns the configuration in force at the peer, without the parts that the caller already has. */
export const configPull = rpc.defineMethod(
	'config.pull',
	zod.object({
		cluster: zod.string(),
		/** Revision in force at the caller. */
		revision: zod.number().int().nonnegative(),
		/** Digests of the parts that the caller already has. */
		digests: zod.array(zod.string()),
	}),
	zod.discriminatedUnion('kind', [
		zod.object({
			kind: zod.literal('found'),
			revision: zod.number().int().positive(),
			/** JSON text of the root, as stored. */
			root: zod.string(),
			/** Missing parts, as many as fit into one response; further calls return the rest. */
			parts: zod.array(zod.object({digest: zod.string(), text: zod.string()})),
		}),
		/** The peer has no higher revision. */
		zod.object({kind: zod.literal('none')}),
		/** The peer is serving too many pulls. */
		zod.object({kind: zod.literal('busy')}),
	]),
);

/** Exchanges the claims of all failure domains whose digests differ between caller and peer. */
export const membersSync = rpc.defineMethod(
	'members.sync',
	zod.object({
		cluster: zod.string(),
		/** The caller's claim about itself. */
		from: claim.claimSchema,
		/** Restricts the response to one failure domain; absent for all. */
		failureDomain: zod.string().optional(),
		/** Digest of the caller's members for each failure domain; the response omits domains with an equal digest. */
		digests: zod.record(zod.string(), zod.number()),
		/**
		 * The caller's claims about `failureDomain`. The members of that domain may lack
		 * some of them, for instance if all were replaced and joined separately.
		 */
		claims: zod.array(claim.claimSchema),
	}),
	zod.discriminatedUnion('kind', [
		zod.object({
			kind: zod.literal('synced'),
			claims: zod.array(claim.claimSchema),
			/** Name of the peer; `revision` is in force there. */
			name: zod.string(),
			revision: zod.number().int().nonnegative(),
		}),
		zod.object({kind: zod.literal('busy')}),
		/** The peer belongs to another cluster. */
		zod.object({kind: zod.literal('foreign')}),
	]),
);
