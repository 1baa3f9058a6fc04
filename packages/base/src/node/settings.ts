/** Reads settings in INI format and validates them against a schema. */
import * as fs from 'node:fs';
import * as ini from 'ini';
import * as zod from 'zod';

/** A missing or invalid setting. The message contains the file, the section, the key and the expected value. */
export class SettingsError extends Error {
	constructor(file: string, path: readonly PropertyKey[], expected: string) {
		const [section = '(top)', ...key] = path.map(String);
		super(`${file}: section [${section}], key "${key.join('.') || '(section)'}": ${expected}`);
		this.name = 'SettingsError';
	}
}

/**
 * Parses INI text.
 *
 * @param adapt changes the sections before they are validated
 * @throws {@link SettingsError} for the first invalid setting
 */
export const parseSettings = <Schema extends zod.ZodType>(
	text: string,
	file: string,
	schema: Schema,
	adapt?: (sections: Record<string, unknown>) => void,
): zod.infer<Schema> => {
	const sections = ini.parse(text);
	adapt?.(sections);
	const result = schema.safeParse(sections);
	if (!result.success) {
		const [issue] = result.error.issues;
		if (issue?.code === 'unrecognized_keys') {
			const [unknown = ''] = issue.keys;
			throw new SettingsError(file, [...issue.path, unknown], 'expected only known settings');
		}

		throw new SettingsError(file, issue?.path ?? [], issue?.message ?? 'invalid settings');
	}

	return result.data;
};

/** Reads the text of a settings file. @throws {@link SettingsError} */
export const readSettingsText = (file: string): string => {
	try {
		return fs.readFileSync(file, 'utf8');
	} catch (error) {
		throw new SettingsError(file, [], error instanceof Error ? error.message : 'unreadable');
	}
};

/** Reads an INI file. @throws {@link SettingsError} when the file is unreadable or a setting is invalid. */
export const readSettings = <Schema extends zod.ZodType>(
	file: string,
	schema: Schema,
): zod.infer<Schema> => parseSettings(readSettingsText(file), file, schema);

/** A number, parsed from a string because INI has no other values. */
export const numberSetting = (minimum: number, maximum: number) =>
	zod.coerce
		.number(`expected a number from ${minimum} to ${maximum}`)
		.min(minimum, `expected a number from ${minimum} to ${maximum}`)
		.max(maximum, `expected a number from ${minimum} to ${maximum}`);

/** An address of the form `host:port` with a numeric IPv4 host. */
export const addressSetting = zod
	.string('expected an address like 127.0.0.1:8080')
	.regex(/^(?:\d{1,3}\.){3}\d{1,3}:\d{1,5}$/u, 'expected an address like 127.0.0.1:8080');

/** A comma-separated list; an empty value results in an empty list. */
export const listSetting = <Item extends zod.ZodType<unknown, string>>(item: Item) =>
	zod
		.string('expected a list separated by commas')
		.transform((text) => text.split(',').map((part) => part.trim()))
		.transform((parts) => parts.filter((part) => part !== ''))
		.pipe(zod.array(item));
