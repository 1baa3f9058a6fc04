/** Load of one upstream, as its pollers read it and as daemons pass it on. */
import * as zod from 'zod';

export const loadReportSchema = zod.object({
	running: zod.number().int().nonnegative(),
	waiting: zod.number().int().nonnegative(),
	slots: zod.number().int().nonnegative(),
	leaving: zod.boolean(),
	/** Model that is loaded; empty for a plain service. */
	model: zod.string(),
	role: zod.string(),
	/** When the upstream was observed, on the monotonic clock of the holder of the report. */
	observedAtMs: zod.number(),
});
export type LoadReport = zod.infer<typeof loadReportSchema>;
