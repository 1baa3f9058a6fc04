/** All settings of this package, by section of the INI file. */
import * as zod from 'zod';
import * as hedge from './hedge.js';
import * as limits from './limits.js';
import * as outputEstimator from './output-estimator.js';
import * as regionChooser from './region-chooser.js';
import * as retryBudget from './retry-budget.js';
import * as schedulerSettings from './scheduler-settings.js';
import * as setting from './setting.js';

export const steeringSettingsSchema = zod.object({
	/** Entry VMs of each failure domain that serve a team. */
	vmsPerDomain: setting.number(2, 1, 1000),
	/** Part of a limit that is split evenly, and so remains usable during a network partition. */
	floorShare: setting.share(0.5),
});
export type SteeringSettings = zod.infer<typeof steeringSettingsSchema>;

export const decisionsSettingsSchema = zod.object({
	scheduler: schedulerSettings.schedulerSettingsSchema.prefault({}),
	limits: limits.limiterSettingsSchema.prefault({}),
	steering: steeringSettingsSchema.prefault({}),
	hedge: hedge.hedgeSettingsSchema.prefault({}),
	retries: retryBudget.retryBudgetSettingsSchema.prefault({}),
	regions: regionChooser.regionChooserSettingsSchema.prefault({}),
	outputs: outputEstimator.outputEstimatorSettingsSchema.prefault({}),
});
export type DecisionsSettings = zod.infer<typeof decisionsSettingsSchema>;
