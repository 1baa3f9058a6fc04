/** JSON-RPC methods of membership and configuration. */
import * as zod from 'zod';
import * as claim from './claim.js';
import * as rpc from './rpc.js';

/** Gives the configuration in force at the peer, without the parts that the caller holds. */
export const configPull = rpc.defineMethod(
	'config.pull',
	zod.object({
		cluster: zod.string(),
		/** Revision in force at the caller. */
		revision: zod.number().int().nonnegative(),
		/** Digests of the parts that the caller holds. */
		digests: zod.array(zod.string()),
	}),
	zod.discriminatedUnion('kind', [
		zod.object({
			kind: zod.literal('found'),
			revision: zod.number().int().positive(),
			/** JSON text of the root, as the store holds it. */
			root: zod.string(),
			/** Missing parts, as many as fit into one answer; the caller asks again for the rest. */
			parts: zod.array(zod.object({digest: zod.string(), text: zod.string()})),
		}),
		/** The peer holds no higher revision. */
		zod.object({kind: zod.literal('none')}),
		/** The peer serves too many pulls at this time. */
		zod.object({kind: zod.literal('busy')}),
	]),
);

/** Exchanges the claims of all failure domains on which caller and peer differ. */
export const membersSync = rpc.defineMethod(
	'members.sync',
	zod.object({
		cluster: zod.string(),
		/** The caller, as a member. */
		from: claim.claimSchema,
		/** Restricts the answer to one failure domain; absent for all. */
		failureDomain: zod.string().optional(),
		/** Digest of the caller's members for each failure domain; equal domains are left out. */
		digests: zod.record(zod.string(), zod.number()),
		/**
		 * The caller's claims of the named failure domain. Its members may lack some
		 * of them, for instance when they were all replaced and joined separately.
		 */
		claims: zod.array(claim.claimSchema),
	}),
	zod.discriminatedUnion('kind', [
		zod.object({
			kind: zod.literal('synced'),
			claims: zod.array(claim.claimSchema),
			/** Name of the peer and the revision in force there. */
			name: zod.string(),
			revision: zod.number().int().nonnegative(),
		}),
		zod.object({kind: zod.literal('busy')}),
		/** The peer belongs to another cluster. */
		zod.object({kind: zod.literal('foreign')}),
	]),
);
