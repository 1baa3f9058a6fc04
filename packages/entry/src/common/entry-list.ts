/** The list of entry VMs that callers request. */
import * as zod from 'zod';

/** Answer of `GET /v1/entries`. */
export const entryListSchema = zod.object({
	/** Region of the daemon that sent the list. */
	region: zod.string(),
	/** In the order in which the team should try them. */
	entries: zod.array(
		zod.object({
			address: zod.string(),
			region: zod.string(),
			failureDomain: zod.string(),
			weight: zod.number(),
		}),
	),
	/** Time after which callers should request the list again. */
	timeToLiveMs: zod.number(),
	/** Keys for non-idempotent requests, one for each request. */
	idempotencyKeys: zod.array(zod.string()),
});
export type EntryList = zod.infer<typeof entryListSchema>;
