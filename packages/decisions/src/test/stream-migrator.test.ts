// Guards against streams that stay on a slowed upstream, and against migrations without a free slot or budget.
import * as tap from 'tap';
import type * as types from '../common/types.js';
import * as fixtures from './fixtures.js';

const {createItem, createSubject, createUpstream, never} = fixtures;

type Options = {
	item?: Partial<types.WorkItem>;
	/** Number of streams, from the first on, that cannot be resumed. */
	nonResumableCount?: number;
	slots?: number;
	/** Whether the healthy upstream can resume streams. */
	resumesStreams?: boolean;
	settings?: Record<string, unknown>;
};

/** Four streams on each of two upstreams; those of `a` are ten times slower. Returns the migrated streams. */
const runSlowed = async ({
	item,
	nonResumableCount = 0,
	slots = 8,
	resumesStreams = true,
	settings,
}: Options): Promise<string[]> => {
	const {clock, subject} = createSubject(settings);
	subject.setUpstreams([
		createUpstream('a', {slots}),
		createUpstream('b', {slots, resumesStreams}),
	]);
	const running: types.Assignment[] = [];
	const migrated: string[] = [];
	for (let count = 0; count < 8; count++) {
		const fields = {promptTokens: 100, canBeMigrated: count >= nonResumableCount, ...item};
		const made = await subject.acquire(createItem(fields), never);
		made.onDidPreempt(() => migrated.push(made.upstream.name));
		running.push(made);
	}

	for (let step = 0; step < 8; step++) {
		await clock.advance(250);
		for (const made of running) {
			made.noteTokens(made.upstream.name === 'a' ? 1 : 10);
		}
	}

	await clock.advance(300);
	return migrated;
};

tap.t.test('streams migrate from a slowed upstream, also in a group of two', async (t) => {
	t.same(await runSlowed({}), ['a', 'a', 'a', 'a']);
});

for (const [name, options] of [
	['that were stopped often enough', {item: {preemptions: 3}}],
	['that are expensive to compute again', {item: {promptTokens: 1500}}],
	['that the budget does not cover', {settings: {maxSavedRecomputedTokens: 50}}],
	['that find no free slot elsewhere', {slots: 4}],
	['that no other upstream can continue', {resumesStreams: false}],
] as const) {
	tap.t.test(`streams ${name} stay`, async (t) => {
		t.same(await runSlowed(options), []);
	});
}

tap.t.test('streams that cannot be resumed stay while another migrates', async (t) => {
	const migrated = await runSlowed({nonResumableCount: 7});
	t.ok(migrated.length <= 1);
});
