/**
 * Settings of `hawthornfront-load run`. Sections `[work-NAME]` name the work;
 * `[target]` names the entry daemons and `[run]` the length of the run.
 */
import * as settings from '@hawthornfront/base/node/settings.js';
import * as zod from 'zod';
import type * as liveRun from '../common/live-run.js';

const daySeconds = 86_400;
const maxTokens = 1_000_000;

const targetSchema = zod.strictObject({
	entries: settings
		.listSetting(settings.addressSetting)
		.refine((list) => list.length > 0, 'expected at least one address like 127.0.0.1:8080'),
	apiKey: zod
		.string('expected an API key like team.secret')
		.regex(/^[^.]+\..+$/u, 'expected an API key like team.secret'),
});

const runSchema = zod.strictObject({
	seconds: settings.numberSetting(1, daySeconds).default(60),
	seed: settings.numberSetting(0, 2 ** 31).default(1),
});

/** A range in the form `20-80`, or one number. */
const rangeSetting = zod
	.string('expected a range like 20-80')
	.regex(/^\d{1,7}(?:-\d{1,7})?$/u, 'expected a range like 20-80')
	.transform((text) => {
		const [minimum = 0, maximum = minimum] = text.split('-').map(Number);
		return {minimum, maximum};
	})
	.refine((range) => range.minimum <= range.maximum, 'expected the lower number first');

const commonShape = {
	entry: zod.string('expected the name of a catalogue entry').min(1),
	ratePerSecond: settings.numberSetting(0.001, 10_000),
	timeoutMs: settings.numberSetting(1, daySeconds * 1000).default(120_000),
};

const modelSchema = zod.strictObject({
	...commonShape,
	kind: zod.literal('model'),
	sharedPromptTokens: settings.numberSetting(0, maxTokens).default(0),
	ownPromptTokens: rangeSetting.default({minimum: 20, maximum: 80}),
	maxTokens: rangeSetting.default({minimum: 20, maximum: 60}),
});

const serviceSchema = zod.strictObject({
	...commonShape,
	kind: zod.literal('service'),
	method: zod.string().default('POST'),
	path: zod.string().default('/'),
	bodyBytes: settings.numberSetting(0, maxTokens).default(200),
});

const workSchema = zod.discriminatedUnion('kind', [modelSchema, serviceSchema], {
	error: 'expected kind = model or kind = service',
});

const workPrefix = 'work-';

/** Settings of a live run. */
export const liveSchema = zod
	.looseObject({target: targetSchema, run: runSchema.default({seconds: 60, seed: 1})})
	.transform(({target, run, ...sections}, context) => {
		const work: liveRun.LiveWork[] = [];
		for (const [name, values] of Object.entries(sections)) {
			if (!name.startsWith(workPrefix)) {
				const message = 'expected [target], [run] or a section like [work-short]';
				context.addIssue({code: 'custom', path: [name], message});
				continue;
			}

			const result = workSchema.safeParse(values);
			if (result.success) {
				work.push({...result.data, name: name.slice(workPrefix.length)});
				continue;
			}

			for (const issue of result.error.issues) {
				const key = issue.code === 'unrecognized_keys' ? issue.keys : issue.path;
				context.addIssue({code: 'custom', path: [name, ...key], message: issue.message});
			}
		}

		return {target, run, work};
	});
