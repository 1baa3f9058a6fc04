// Guards against streams that stay on a slowed upstream, and against migrations without a free slot or budget.
import * as tap from 'tap';
import type * as types from '../common/types.js';
import * as fixtures from './fixtures.js';

const {createItem, createTestScheduler, createUpstream, neverAborted} = fixtures;

type Options = {
	item?: Partial<types.WorkItem>;
	/** Number of streams, from the first on, that cannot be resumed. */
	nonResumableCount?: number;
	slots?: number;
	/** Whether the healthy upstream can resume streams. */
	resumesStreams?: boolean;
	settings?: Record<string, unknown>;
};

/** Runs four streams on each of two upstreams, ten times slower on `a`. Returns the source upstream of each migration. */
const migrateFromSlowedUpstream = async ({
	item,
	nonResumableCount = 0,
	slots = 8,
	resumesStreams = true,
	settings,
}: Options): Promise<string[]> => {
	const {clock, testScheduler} = createTestScheduler(settings);
	testScheduler.setUpstreams([
		createUpstream('a', {slots}),
		createUpstream('b', {slots, resumesStreams}),
	]);
	const running: types.Assignment[] = [];
	const migrated: string[] = [];
	for (let count = 0; count < 8; count++) {
		const fields = {promptTokens: 100, canBeMigrated: count >= nonResumableCount, ...item};
		const assignment = await testScheduler.acquire(createItem(fields), neverAborted);
		assignment.onDidPreempt(() => migrated.push(assignment.upstream.name));
		running.push(assignment);
	}

	for (let step = 0; step < 8; step++) {
		await clock.advance(250);
		for (const assignment of running) {
			assignment.noteTokens(assignment.upstream.name === 'a' ? 1 : 10);
		}
	}

	await clock.advance(300);
	return migrated;
};

tap.t.test('streams migrate from a slowed upstream, also in a group of two', async (t) => {
	t.same(await migrateFromSlowedUpstream({}), ['a', 'a', 'a', 'a']);
});

for (const [name, options] of [
	['that reached their limit of preemptions', {item: {preemptions: 3}}],
	['that are expensive to recompute', {item: {promptTokens: 1500}}],
	['that exceed the budget for recomputation', {settings: {maxSavedRecomputedTokens: 50}}],
	['that have no free slot on another upstream', {slots: 4}],
	['that no other upstream can resume', {resumesStreams: false}],
] as const) {
	tap.t.test(`streams ${name} are not migrated`, async (t) => {
		t.same(await migrateFromSlowedUpstream(options), []);
	});
}

tap.t.test('streams that cannot be resumed are not migrated while another is', async (t) => {
	const migrated = await migrateFromSlowedUpstream({nonResumableCount: 7});
	t.ok(migrated.length <= 1);
});
