/** Section `[once]` of the INI settings of the entry daemon. */
import * as settings from '@hawthornfront/base/node/settings.js';
import * as zod from 'zod';
import * as onceSettings from '../common/settings.js';

const {defaultSettings} = onceSettings;

const withDefault = (key: keyof onceSettings.OnceSettings, minimum: number, maximum: number) =>
	settings.numberSetting(minimum, maximum).default(defaultSettings[key]);

/** Schema of the section; a missing key takes its default. */
export const onceSectionSchema = zod.object({
	keyLifetimeMs: withDefault('keyLifetimeMs', 1000, 86_400_000),
	retentionMs: withDefault('retentionMs', 1000, 86_400_000),
	intentTimeoutMs: withDefault('intentTimeoutMs', 10, 60_000),
	intentAttempts: withDefault('intentAttempts', 1, 10),
	completionWaitMs: withDefault('completionWaitMs', 0, 1000),
	completionTimeoutMs: withDefault('completionTimeoutMs', 10, 60_000),
	completionAttempts: withDefault('completionAttempts', 1, 10),
	avoidWitnessMs: withDefault('avoidWitnessMs', 0, 600_000),
	resolveAttempts: withDefault('resolveAttempts', 1, 10),
	resolveTimeoutMs: withDefault('resolveTimeoutMs', 10, 60_000),
	maxOwnerRecords: withDefault('maxOwnerRecords', 1, 1_000_000),
	maxWitnessRecords: withDefault('maxWitnessRecords', 2, 1_000_000),
	maxWitnessOwners: withDefault('maxWitnessOwners', 2, 1_000_000),
	maxAnswerBytes: withDefault('maxAnswerBytes', 0, 1_048_576),
	maxAnswersBytes: withDefault('maxAnswersBytes', 0, 1_073_741_824),
});
