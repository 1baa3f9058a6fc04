// Guards against invalid lists whose issues fill the memory of a process (issue 39).
import * as tap from 'tap';
import * as zod from 'zod';
import * as listSchema from '../common/list-schema.js';

const schema = zod.object({
	items: listSchema.listSchema(zod.object({id: zod.string().transform((text) => text.length)})),
});

tap.t.test('the items are decoded', async (t) => {
	t.same(schema.parse({items: [{id: 'a'}, {id: 'bcd'}]}), {items: [{id: 1}, {id: 3}]});
});

tap.t.test('the first invalid item ends the list', async (t) => {
	const items = Array.from({length: 100_000}, (_, index) => (index === 2 ? {id: 'a'} : {}));
	const {success, error} = schema.safeParse({items});
	t.notOk(success);
	t.equal(error?.issues.length, 1);
	t.match(error?.issues[0]?.message, /^0\.id: /u);
	t.match(schema.safeParse({items: 5}).error?.issues[0]?.message, /expected array/u);
});
