/** Schema of a list that another process sends. */
import * as zod from 'zod';

/**
 * Like `zod.array`, but ends at the first invalid item: the issues of a long list of
 * invalid items take many times the memory of the list itself.
 */
export const listSchema = <Item extends zod.ZodType>(itemSchema: Item) =>
	zod.array(zod.unknown()).transform((values, context): Array<zod.output<Item>> => {
		const items: Array<zod.output<Item>> = [];
		for (const [index, value] of values.entries()) {
			const result = itemSchema.safeParse(value);
			if (!result.success) {
				const [issue] = result.error.issues;
				const path = [index, ...(issue?.path ?? [])].join('.');
				context.issues.push({code: 'custom', message: `${path}: ${issue?.message}`, input: value});
				return zod.NEVER;
			}

			items.push(result.data);
		}

		return items;
	});
