/** Settings of the scheduler. Units are in the names; shares are between 0 and 1. */
import * as zod from 'zod';

export const schedulerSettingsSchema = zod.object({
	/** Items that may wait in all queues of one daemon. */
	maxQueuedItems: zod.coerce.number().int().positive().default(2000),
});
export type SchedulerSettings = zod.infer<typeof schedulerSettingsSchema>;
