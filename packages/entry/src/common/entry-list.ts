/** The list of entry VMs that callers ask for. */
import * as zod from 'zod';

/** Answer of `GET /v1/entries`. */
export const entryListSchema = zod.object({
	/** Region of the daemon that answered. */
	region: zod.string(),
	/** In the order in which this team should try them. */
	entries: zod.array(
		zod.object({
			address: zod.string(),
			region: zod.string(),
			failureDomain: zod.string(),
			weight: zod.number(),
		}),
	),
	/** Time after which the list should be asked for again. */
	timeToLiveMs: zod.number(),
	/** Keys for non-idempotent requests, each for one request. */
	idempotencyKeys: zod.array(zod.string()),
});
export type EntryList = zod.infer<typeof entryListSchema>;
