/** Identity of a daemon and its incarnation. */
import * as zod from 'zod';

/** One life of one entry daemon. A restart takes a higher incarnation under the same name. */
export const identitySchema = zod.object({
	name: zod.string(),
	incarnation: zod.number().int().nonnegative(),
});
export type Identity = zod.infer<typeof identitySchema>;

/** Where a daemon is and how it is reached. */
export const memberInfoSchema = zod.object({
	...identitySchema.shape,
	region: zod.string(),
	failureDomain: zod.string(),
	/** Address of HTTP for callers and the internal protocol, `host:port`. */
	httpAddress: zod.string(),
	/** Address of datagrams, `host:port`. */
	datagramAddress: zod.string(),
});
export type MemberInfo = zod.infer<typeof memberInfoSchema>;

/** Text form of an identity, for map keys and logs. */
export const identityText = (identity: Identity): string =>
	`${identity.name}#${identity.incarnation}`;
