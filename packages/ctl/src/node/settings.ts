/** INI settings of `hawthornfront-ctl`. */
import * as settings from '@hawthornfront/base/node/settings.js';
import * as zod from 'zod';

export const settingsSchema = zod.object({
	platform: zod.object({store: settings.addressSetting}, 'expected a section with "store"'),
	operator: zod.object(
		{name: zod.string('expected the name of the operator').min(1)},
		'expected a section with "name"',
	),
	/** Addresses of the entry daemons of each region. */
	entries: zod.record(zod.string(), settings.listSetting(settings.addressSetting)).default({}),
});
export type CtlSettings = zod.infer<typeof settingsSchema>;
