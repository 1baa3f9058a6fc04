/** The project's own decisions, with their default settings, as a policy of the experiments. */
import * as hedge from '@hawthornfront/decisions/common/hedge.js';
import * as regionChooser from '@hawthornfront/decisions/common/region-chooser.js';
import * as schedulerSettings from '@hawthornfront/decisions/common/scheduler-settings.js';
import * as scheduler from '@hawthornfront/decisions/common/scheduler.js';
import * as schedulerPolicy from './scheduler-policy.js';

/** Name of the policy in results. */
export const projectPolicyName = 'hawthornfront';

/** Default link settings apply to every other region. */
const linksTo = (regions: Iterable<string>) =>
	Object.fromEntries([...regions].map((region) => [region, {}]));

/** Settings that differ from the defaults, by part. */
export type ProjectOverrides = {
	scheduler?: Record<string, unknown>;
	hedge?: Record<string, unknown>;
	region?: Record<string, unknown>;
};

/** Policy that the entry daemon uses. @throws ZodError for a setting that does not fit. */
export const createProjectPolicy = (overrides: ProjectOverrides = {}) =>
	schedulerPolicy.createSchedulerPolicyFactory(
		projectPolicyName,
		({clock, random, region, upstreams}) => {
			const others = new Set(upstreams.map((upstream) => upstream.region));
			others.delete(region);
			return {
				scheduler: scheduler.createScheduler({
					clock,
					random,
					settings: schedulerSettings.schedulerSettingsSchema.parse(overrides.scheduler ?? {}),
				}),
				hedges: hedge.createHedgePolicy(
					clock,
					hedge.hedgeSettingsSchema.parse(overrides.hedge ?? {}),
				),
				regions: regionChooser.createRegionChooser(
					clock,
					regionChooser.regionChooserSettingsSchema.parse({
						links: linksTo(others),
						...overrides.region,
					}),
				),
			};
		},
	);
