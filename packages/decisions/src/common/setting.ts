/** Building blocks of the settings schemas of this package. */
import * as zod from 'zod';

const between = (minimum: number, maximum: number) =>
	`expected a number from ${minimum} to ${maximum}`;

/** A number in settings; INI values are strings, so text is converted. */
export const number = (defaultValue: number, minimum: number, maximum: number) =>
	zod.coerce
		.number(between(minimum, maximum))
		.min(minimum, between(minimum, maximum))
		.max(maximum, between(minimum, maximum))
		.default(defaultValue);

/** A part of a whole, 0 to 1. */
export const share = (defaultValue: number) => number(defaultValue, 0, 1);
