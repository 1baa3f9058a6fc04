/** Settings of the entry daemon, read from an INI file. */
import * as settings from '@hawthornfront/base/node/settings.js';
import * as decisionsSettings from '@hawthornfront/decisions/common/decisions-settings.js';
import * as fleetSettings from '@hawthornfront/fleet/common/fleet-settings.js';
import * as onceSettings from '@hawthornfront/once/node/settings.js';
import * as zod from 'zod';

const name = zod
	.string('expected a name')
	.regex(/^[a-z\d][a-z\d-]*$/u, 'expected lower-case letters, digits and hyphens');

const milliseconds = (defaultValue: number) =>
	settings.numberSetting(1, 3_600_000).default(defaultValue);

/** Fleet settings. INI values are text; they are coerced to numbers here and checked by the schema of the fleet. */
const fleetSection = zod
	.record(zod.string(), zod.coerce.number('expected a number'))
	.pipe(fleetSettings.fleetSettingsSchema.omit({sendsFullStatus: true}).partial());

export const entrySettingsSchema = zod.strictObject({
	daemon: zod.strictObject({
		name,
		region: name,
		failureDomain: name,
		/** Numeric IPv4 address at which callers and other daemons reach this daemon. */
		host: zod.ipv4('expected a numeric IPv4 address'),
		httpPort: settings.numberSetting(0, 65_535),
		datagramPort: settings.numberSetting(0, 65_535),
		logLevel: zod.enum(['debug', 'info', 'warn', 'error', 'silent']).default('info'),
	}),
	cluster: zod.strictObject({
		name,
		/** Shared secret of the daemons of this cluster. */
		token: zod.string('expected a secret').min(8, 'expected at least 8 characters'),
		/** HTTP addresses of other entry daemons. */
		seeds: settings.listSetting(settings.addressSetting).default([]),
	}),
	platform: zod.strictObject({
		store: settings.addressSetting,
		vmList: settings.addressSetting,
		directory: settings.addressSetting,
	}),
	requests: zod
		.strictObject({
			firstTokenTimeoutMs: milliseconds(30_000),
			stallTimeoutMs: milliseconds(10_000),
		})
		.prefault({}),
	...decisionsSettings.decisionsSettingsSchema.shape,
	once: onceSettings.onceSectionSchema.prefault({}),
	fleet: fleetSection.prefault({}),
});
export type EntrySettings = zod.infer<typeof entrySettingsSchema>;
