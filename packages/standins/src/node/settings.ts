/**
 * Settings of `hawthornfront-standins`. A section names one stand-in as
 * `kind-name`, for example `[runner-lombardia-1]`.
 */
import * as settings from '@hawthornfront/base/node/settings.js';
import * as zod from 'zod';

const hourMs = 3_600_000;

const listenShape = {
	host: zod
		.string()
		.regex(/^(?:\d{1,3}\.){3}\d{1,3}$/u, 'expected a numeric IPv4 address')
		.default('127.0.0.1'),
	port: settings.numberSetting(0, 65_535).default(0),
	seed: settings.numberSetting(0, 2 ** 31).default(1),
};

const placeShape = {
	region: zod.string('expected a region').min(1, 'expected a region'),
	failureDomain: zod.string('expected a failure domain').min(1, 'expected a failure domain'),
};

const flagSetting = zod
	.union([zod.boolean(), zod.enum(['true', 'false'])], 'expected true or false')
	.transform((value) => value === true || value === 'true');

const storeSchema = zod.strictObject({
	...listenShape,
	slowMs: settings.numberSetting(0, hourMs).default(0),
});

const vmListSchema = zod.strictObject({
	...listenShape,
	lagMs: settings.numberSetting(0, hourMs).default(0),
});

const directorySchema = zod.strictObject(listenShape);

const weightStoreSchema = zod.strictObject({
	...listenShape,
	ticketPeriodMs: settings.numberSetting(0, hourMs).default(10_000),
});

const runnerSchema = zod.strictObject({
	...listenShape,
	...placeShape,
	model: zod.string().default('model'),
	role: zod.string().default('mixed'),
	slots: settings.numberSetting(1, 1024).default(8),
	prefillMsPerToken: settings.numberSetting(0, 1000).default(0.25),
	decodeMsPerToken: settings.numberSetting(0, 10_000).default(20),
	batchGrowth: settings.numberSetting(0, 10).default(0.04),
	minimumAnswerTokens: settings.numberSetting(1, 1_000_000).default(16),
	maximumAnswerTokens: settings.numberSetting(1, 1_000_000).default(64),
	cacheBlocks: settings.numberSetting(0, 1_000_000).default(512),
	loadLagMs: settings.numberSetting(0, hourMs).default(500),
	loadMs: settings.numberSetting(0, hourMs).default(5000),
	checksFencing: flagSetting.default(true),
});

const serviceSchema = zod.strictObject({
	...listenShape,
	...placeShape,
	service: zod.string('expected the name of a service').min(1, 'expected the name of a service'),
	serviceMs: settings.numberSetting(0, hourMs).default(5),
});

const sectionSchemas = {
	store: storeSchema,
	'vm-list': vmListSchema,
	directory: directorySchema,
	'weight-store': weightStoreSchema,
	runner: runnerSchema,
	service: serviceSchema,
};

export type StandinKind = keyof typeof sectionSchemas;

/** One stand-in to start. */
export type StandinSection = {
	[Kind in StandinKind]: {
		kind: Kind;
		name: string;
		settings: zod.infer<(typeof sectionSchemas)[Kind]>;
	};
}[StandinKind];

const kindOf = (section: string): StandinKind | undefined =>
	(Object.keys(sectionSchemas) as StandinKind[]).find(
		(kind) => section === kind || section.startsWith(`${kind}-`),
	);

/** Settings of a file: sections by name. */
export const fileSchema = zod
	.record(zod.string(), zod.unknown())
	.transform((sections, context): StandinSection[] => {
		const found: StandinSection[] = [];
		for (const [name, values] of Object.entries(sections)) {
			const kind = kindOf(name);
			if (!kind) {
				const kinds = Object.keys(sectionSchemas).join(', ');
				context.addIssue({
					code: 'custom',
					path: [name],
					message: `expected a section name that starts with one of ${kinds}`,
				});
				continue;
			}

			const result = sectionSchemas[kind].safeParse(values);
			if (result.success) {
				found.push({kind, name, settings: result.data} as StandinSection);
				continue;
			}

			for (const issue of result.error.issues) {
				const key = issue.code === 'unrecognized_keys' ? issue.keys : issue.path;
				context.addIssue({code: 'custom', path: [name, ...key], message: issue.message});
			}
		}

		return found;
	});

/** Reads a settings file. @throws {@link settings.SettingsError} */
export const readStandinSettings = (file: string): StandinSection[] =>
	settings.readSettings(file, fileSchema);
