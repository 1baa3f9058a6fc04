/** Load of one upstream, as read by its pollers and forwarded by daemons. */
import * as zod from 'zod';

export const loadReportSchema = zod.object({
	running: zod.number().int().nonnegative(),
	waiting: zod.number().int().nonnegative(),
	slots: zod.number().int().nonnegative(),
	leaving: zod.boolean(),
	/** Model that is loaded; empty for a plain service. */
	model: zod.string(),
	role: zod.string(),
	/** Time of the observation on the monotonic clock of the daemon that stores the report. */
	observedAtMs: zod.number(),
});
export type LoadReport = zod.infer<typeof loadReportSchema>;
