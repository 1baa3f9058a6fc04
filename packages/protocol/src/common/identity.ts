/** Identity and location of a daemon. */
import * as zod from 'zod';

/** One incarnation of an entry daemon. After a restart, the same name has a higher incarnation. */
export const identitySchema = zod.object({
	name: zod.string(),
	incarnation: zod.number().int().nonnegative(),
});
export type Identity = zod.infer<typeof identitySchema>;

/** Location and addresses of a daemon. */
export const memberInfoSchema = zod.object({
	...identitySchema.shape,
	region: zod.string(),
	failureDomain: zod.string(),
	/** HTTP address for callers and the internal protocol, `host:port`. */
	httpAddress: zod.string(),
	/** Address for datagrams, `host:port`. */
	datagramAddress: zod.string(),
});
export type MemberInfo = zod.infer<typeof memberInfoSchema>;

/** Text form of an identity, for map keys and logs. */
export const identityText = (identity: Identity): string =>
	`${identity.name}#${identity.incarnation}`;
