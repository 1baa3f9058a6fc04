// Guards against removal of a part that a reader or an edit in progress still needs.
import * as manualClock from '@hawthornfront/base/common/manual-clock.js';
import * as random from '@hawthornfront/base/common/random.js';
import * as recordEdit from '@hawthornfront/catalogue/common/record-edit.js';
import * as schema from '@hawthornfront/catalogue/common/schema.js';
import * as catalogueReader from '@hawthornfront/catalogue/node/catalogue-reader.js';
import * as catalogueStore from '@hawthornfront/catalogue/node/catalogue-store.js';
import * as cleanUp from '@hawthornfront/catalogue/node/clean-up.js';
import * as fakeStore from '@hawthornfront/platform/test/fake-key-value-store.js';
import * as tap from 'tap';

const createTeam = (weight: number): schema.Team =>
	schema.teamSchema.parse({
		kind: 'team',
		name: 'a',
		owner: 'o',
		keySha256: 'a'.repeat(64),
		weight,
	});

const createCatalogue = () => {
	const clock = new manualClock.ManualClock();
	const store = new fakeStore.FakeKeyValueStore(clock);
	let operations = 0;
	const setWeight = async (weight: number) => {
		const {records} = await catalogueReader.readCatalogue(store);
		return catalogueStore.applyChanges(
			{
				store,
				clock,
				random: random.createRandom(1),
				author: 'test',
				operationId: `operation-${++operations}`,
				validate: () => [],
			},
			recordEdit.diffRecords(records, [createTeam(weight)]),
		);
	};

	const clean = async (maxRemovals = 10) =>
		cleanUp.cleanUpParts({store, clock, graceMs: cleanUp.minGraceMs, maxRemovals, pauseMs: 0});
	const countParts = async () => {
		const parts = await store.list(schema.partKey(''));
		return parts.length;
	};

	return {clock, store, setWeight, clean, countParts};
};

tap.t.test('unused parts are removed after the grace period, up to the limit', async (t) => {
	const {clock, setWeight, clean, countParts} = createCatalogue();
	for (const weight of [1, 2, 3, 4]) {
		await setWeight(weight);
	}

	const cleaning = clean(2);
	await clock.advance(cleanUp.minGraceMs - 1);
	t.equal(await countParts(), 4);
	await clock.advance(10);
	t.same(await cleaning, {found: 3, removed: 2});
	t.equal(await countParts(), 2);
});

tap.t.test('a part that an edit uses again is not removed', async (t) => {
	const {clock, store, setWeight, clean} = createCatalogue();
	await setWeight(1);
	await setWeight(2);
	const cleaning = clean();
	await clock.advance(cleanUp.minGraceMs - 10);
	// The edit writes a part that already exists, and replaces the root after the clean-up.
	store.chooseDelayMs = ({operation, key}) =>
		operation === 'compareAndSwap' && key === schema.rootKey ? 500 : 0;
	const editing = setWeight(1);
	// Settles the promises of the edit up to its root write before the clock advances.
	for (let turn = 0; turn < 20; turn++) {
		await clock.advance(0);
	}

	await clock.advance(100);
	t.same(await cleaning, {found: 1, removed: 0});
	await clock.advance(500);
	store.chooseDelayMs = () => 0;
	t.match(await editing, {kind: 'applied'});
	const {records} = await catalogueReader.readCatalogue(store);
	t.match(records, [{weight: 1}]);
});

tap.t.test('an edit restarts after a pause longer than the grace period', async (t) => {
	const {clock, store, setWeight, clean} = createCatalogue();
	await setWeight(1);
	await setWeight(2);
	let pauses = 0;
	store.chooseAnswerMs = ({key}, answer) => {
		const isWritten = (answer as {kind?: string} | undefined)?.kind === 'written';
		return isWritten && key !== schema.rootKey && pauses++ === 0 ? 2 * cleanUp.minGraceMs : 0;
	};

	const editing = setWeight(1);
	await clock.advance(1);
	const cleaning = clean();
	await clock.advance(3 * cleanUp.minGraceMs);
	t.same(await cleaning, {found: 1, removed: 1});
	t.match(await editing, {kind: 'applied'});
	const {records} = await catalogueReader.readCatalogue(store);
	t.match(records, [{weight: 1}]);
});
