// Guards against parts that exceed the value limit of the store, and digests that depend on the order of records.
import * as tap from 'tap';
import * as partition from '../node/partition.js';
import * as schema from '../common/schema.js';

const maxValueBytes = 1_000_000;

const createTeams = (count: number): schema.Team[] =>
	Array.from({length: count}, (_, index) =>
		schema.teamSchema.parse({
			kind: 'team',
			name: `team-${index}`,
			owner: `owner-${index % 100}`,
			keySha256: 'a'.repeat(64),
		}),
	);

tap.t.test('14,000 teams fit in parts under the limit', async (t) => {
	const parts = partition.splitIntoParts(createTeams(14_000));
	t.ok(parts.length > 1);
	for (const part of parts) {
		t.ok(part.text.length < maxValueBytes);
	}
});

tap.t.test('digests do not depend on the order of records', async (t) => {
	const teams = createTeams(200);
	const digests = partition.splitIntoParts(teams).map((part) => part.digest);
	const reversed = partition.splitIntoParts(teams.toReversed()).map((part) => part.digest);
	t.same(digests, reversed);
});
