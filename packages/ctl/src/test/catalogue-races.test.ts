// Guards against lost, duplicated or overwritten edits when operators race and responses are lost.
import * as manualClock from '@hawthornfront/base/common/manual-clock.js';
import * as random from '@hawthornfront/base/common/random.js';
import * as recordEdit from '@hawthornfront/catalogue/common/record-edit.js';
import * as schema from '@hawthornfront/catalogue/common/schema.js';
import * as catalogueReader from '@hawthornfront/catalogue/node/catalogue-reader.js';
import * as catalogueStore from '@hawthornfront/catalogue/node/catalogue-store.js';
import * as fakeStore from '@hawthornfront/platform/test/fake-key-value-store.js';
import * as fastCheck from 'fast-check';
import * as tap from 'tap';

const createTeam = (name: string, weight: number): schema.Team =>
	schema.teamSchema.parse({kind: 'team', name, owner: 'o', keySha256: 'a'.repeat(64), weight});

const initial = ['a', 'b', 'c', 'd'].map((name) => createTeam(name, 1));

type Edit = {name: string; weight: number};
type Outcome = {kind: 'done'; result: catalogueStore.EditResult} | {kind: 'failed'; error: unknown};

const changesOf = (edits: readonly Edit[]): recordEdit.RecordChange[] => {
	const wanted = recordEdit.indexRecords(initial);
	for (const {name, weight} of edits) {
		wanted.set(`team/${name}`, createTeam(name, weight));
	}

	return recordEdit.diffRecords(initial, wanted.values());
};

const createEdit = (
	store: fakeStore.FakeKeyValueStore,
	clock: manualClock.ManualClock,
	operationId: string,
	stream: random.Random,
): catalogueStore.EditContext => ({
	store,
	clock,
	random: stream,
	author: operationId,
	operationId,
	validate: () => [],
});

const settle = async (result: Promise<catalogueStore.EditResult>): Promise<Outcome> => {
	try {
		return {kind: 'done', result: await result};
	} catch (error) {
		return {kind: 'failed', error};
	}
};

const weightOf = (records: readonly schema.CatalogueRecord[], name: string): number | undefined => {
	const found = recordEdit.indexRecords(records).get(`team/${name}`);
	return found?.kind === 'team' ? found.weight : undefined;
};

const faults: fakeStore.StoreFault[] = ['refused', 'dropped', 'lost', 'late'];

tap.t.test('racing edits with lost responses: accepted ones are kept, once each', async (t) => {
	const editArbitrary = fastCheck.record({
		name: fastCheck.constantFrom('a', 'b', 'c', 'd', 'new-1', 'new-2'),
		weight: fastCheck.integer({min: 2, max: 4}),
	});
	const operatorsArbitrary = fastCheck.array(
		fastCheck.array(editArbitrary, {minLength: 1, maxLength: 3}),
		{minLength: 2, maxLength: 5},
	);
	const seen = new Map<string, number>();
	const property = fastCheck.asyncProperty(
		operatorsArbitrary,
		fastCheck.integer({min: 1, max: 1_000_000}),
		fastCheck.double({min: 0, max: 0.3, noNaN: true}),
		async (operators, seed, faultShare) => {
			const clock = new manualClock.ManualClock();
			const stream = random.createRandom(seed);
			const store = new fakeStore.FakeKeyValueStore(clock);
			await catalogueStore.applyChanges(
				createEdit(store, clock, 'initial', stream),
				recordEdit.diffRecords([], initial),
			);
			store.chooseDelayMs = () => stream.integer(1, 40);
			store.chooseFault = () => (stream.next() < faultShare ? stream.pick(faults)! : 'none');
			const running = operators.map(async (edits, index) =>
				settle(
					catalogueStore.applyChanges(
						createEdit(store, clock, `op-${index}`, stream.fork()),
						changesOf(edits),
					),
				),
			);
			await clock.advance(300_000);
			const outcomes = await Promise.all(running);
			store.chooseFault = () => 'none';
			store.chooseDelayMs = () => 0;
			const {records} = await catalogueReader.readCatalogue(store);
			const roots = store.history
				.filter((value) => value.key === schema.rootKey)
				.map(({value, revision}) => ({revision, ...schema.rootSchema.parse(JSON.parse(value))}));
			const accepted = new Map<string, number>();
			const check = (isRight: boolean, message: string) => {
				if (!isRight) {
					throw new Error(message);
				}
			};

			for (const [index, outcome] of outcomes.entries()) {
				const own = roots.filter((root) => root.operationId === `op-${index}`);
				const writes = own.length;
				const kind = outcome.kind === 'done' ? outcome.result.kind : 'failed';
				seen.set(kind, (seen.get(kind) ?? 0) + 1);
				check(writes <= 1, `op-${index} was written ${writes} times`);
				check(kind !== 'applied' || writes === 1, `op-${index} was applied but not written`);
				const reported = outcome.kind === 'done' ? outcome.result.revision : Infinity;
				check(reported >= (own[0]?.revision ?? 0), `op-${index} reported a lower revision`);
				const isRefused = kind === 'conflict' || kind === 'unchanged';
				check(!isRefused || writes === 0, `op-${index} was written but reported as ${kind}`);
				for (const {id, after} of writes > 0 ? changesOf(operators[index]!) : []) {
					const {weight} = after as schema.Team;
					check((accepted.get(id) ?? weight) === weight, `${id} was accepted twice`);
					accepted.set(id, weight);
				}
			}

			const expected = recordEdit.indexRecords(initial);
			for (const [id, weight] of accepted) {
				expected.set(id, createTeam(id.slice('team/'.length), weight));
			}

			const lost = recordEdit.diffRecords(expected.values(), records);
			check(lost.length === 0, `lost or unwanted edits: ${lost.map(({id}) => id).join(', ')}`);
		},
	);
	await fastCheck.assert(property, {seed: 20_261_204, numRuns: 150});
	for (const kind of ['applied', 'conflict', 'unchanged']) {
		t.ok((seen.get(kind) ?? 0) > 10, `${kind} occurred ${seen.get(kind) ?? 0} times`);
	}
});

tap.t.test('every fault at every store call of one edit', async (t) => {
	const runWith = async (fault: fakeStore.StoreFault, failingCall: number) => {
		const clock = new manualClock.ManualClock();
		const store = new fakeStore.FakeKeyValueStore(clock);
		await catalogueStore.applyChanges(
			createEdit(store, clock, 'initial', random.createRandom(1)),
			recordEdit.diffRecords([], initial),
		);
		const firstCall = store.calls.length;
		store.chooseDelayMs = () => 1;
		store.chooseFault = () => (store.calls.length - firstCall === failingCall ? fault : 'none');
		const running = settle(
			catalogueStore.applyChanges(
				createEdit(store, clock, 'op', random.createRandom(2)),
				changesOf([
					{name: 'a', weight: 3},
					{name: 'new-1', weight: 2},
				]),
			),
		);
		await clock.advance(60_000);
		const calls = store.calls.length - firstCall;
		store.chooseFault = () => 'none';
		store.chooseDelayMs = () => 0;
		const writes = store.history.filter(
			(value) => value.key === schema.rootKey && value.value.includes('"operationId":"op"'),
		);
		const {records} = await catalogueReader.readCatalogue(store);
		return {outcome: await running, writes: writes.length, records, calls};
	};

	const plain = await runWith('none', 0);
	t.equal(plain.writes, 1);
	for (const fault of faults) {
		for (let call = 1; call <= plain.calls; call++) {
			const {outcome, writes, records} = await runWith(fault, call);
			t.match(outcome, {kind: 'done', result: {kind: 'applied'}}, `${fault} at call ${call}`);
			t.equal(writes, 1, `${fault} at call ${call} writes once`);
			t.equal(weightOf(records, 'a'), 3);
		}
	}
});

tap.t.test('an edit whose response was lost is detected after a later edit', async (t) => {
	const clock = new manualClock.ManualClock();
	const store = new fakeStore.FakeKeyValueStore(clock);
	const edit = (operationId: string) =>
		createEdit(store, clock, operationId, random.createRandom(3));
	await catalogueStore.applyChanges(edit('initial'), recordEdit.diffRecords([], initial));
	store.chooseFault = ({operation, key}) =>
		operation === 'compareAndSwap' && key === schema.rootKey ? 'lost' : 'none';
	const changes = changesOf([{name: 'a', weight: 2}]);
	const first = settle(catalogueStore.applyChanges(edit('first'), changes));
	while (!store.peek(schema.rootKey)?.value.includes('"operationId":"first"')) {
		await clock.advance(0);
	}

	// The second edit changes the same record, based on the first edit's result.
	store.chooseFault = () => 'none';
	const before = createTeam('a', 2);
	const after = createTeam('a', 3);
	await catalogueStore.applyChanges(edit('second'), [{id: 'team/a', before, after}]);
	await clock.advance(60_000);
	t.match(await first, {kind: 'done', result: {kind: 'applied'}});
});
