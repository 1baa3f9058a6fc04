/** Settings of the entry daemon, read from INI. */
import * as settings from '@hawthornfront/base/node/settings.js';
import * as zod from 'zod';

const name = zod
	.string('expected a name')
	.regex(/^[a-z\d][a-z\d-]*$/u, 'expected lower-case letters, digits and hyphens');

const milliseconds = (defaultValue: number) =>
	settings.numberSetting(1, 3_600_000).default(defaultValue);

/** One link to another region, section `[link.NAME]`. */
const linkSchema = zod.object({
	/** One-way delay. */
	delayMs: settings.numberSetting(0, 60_000),
	/** What this daemon may assume of the link, each way. */
	bitsPerSecond: settings.numberSetting(1, 1e12),
});

export const entrySettingsSchema = zod.object({
	daemon: zod.object({
		name,
		region: name,
		failureDomain: name,
		/** Numeric address that callers and other daemons reach. */
		host: zod.ipv4('expected a numeric IPv4 address'),
		httpPort: settings.numberSetting(0, 65_535),
		datagramPort: settings.numberSetting(0, 65_535),
		logLevel: zod.enum(['debug', 'info', 'warn', 'error', 'silent']).default('info'),
	}),
	cluster: zod.object({
		name,
		/** Shared secret of the daemons of this cluster. */
		token: zod.string('expected a secret').min(8, 'expected at least 8 characters'),
		/** HTTP addresses of other entry daemons. */
		seeds: settings.listSetting(settings.addressSetting).default([]),
	}),
	platform: zod.object({
		store: settings.addressSetting,
		vmList: settings.addressSetting,
		directory: settings.addressSetting,
	}),
	requests: zod
		.object({
			firstTokenTimeoutMs: milliseconds(30_000),
			stallTimeoutMs: milliseconds(10_000),
			/** Entry VMs of each failure domain that one team uses. */
			entryVmsPerTeam: settings.numberSetting(1, 100).default(2),
		})
		.prefault({}),
	link: zod.record(name, linkSchema).default({}),
});
export type EntrySettings = zod.infer<typeof entrySettingsSchema>;
