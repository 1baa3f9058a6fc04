// Eras that the store names, and positions in its history.
import * as tap from 'tap';
import * as storeEra from '../common/store-era.js';

const create = () => {
	const subject = storeEra.createStoreEra();
	const changes: string[] = [];
	subject.onDidRise(({era, previous}) => {
		changes.push(`${previous} to ${era}`);
	});
	subject.onDidIgnore(({text}) => {
		changes.push(`ignored ${text}`);
	});
	return {subject, changes};
};

tap.t.test('two restores in a row', (t) => {
	const {subject, changes} = create();
	t.equal(subject.current, undefined);
	for (const text of ['1', '1', '2', '4', '4']) {
		subject.note(text);
	}

	t.same(changes, ['1 to 2', '2 to 4']);
	t.equal(subject.current, 4);
	t.end();
});

tap.t.test('a late response has the era before', (t) => {
	const {subject, changes} = create();
	subject.note('2');
	t.equal(subject.note('1'), 1);
	t.equal(subject.current, 2);
	t.same(changes, []);
	t.end();
});

tap.t.test('a response without an era is of the current one', (t) => {
	const {subject} = create();
	t.equal(subject.note(undefined), undefined);
	subject.note('3');
	t.equal(subject.note(undefined), 3);
	t.end();
});

tap.t.test('a text that is no era is reported once', (t) => {
	const {subject, changes} = create();
	subject.note('0');
	for (const text of ['-1', '-1', '1.5', 'two', '', '1e9', '999999999', 'x'.repeat(5000)]) {
		t.equal(subject.note(text), 0);
	}

	t.equal(changes.length, 7);
	t.ok(changes.every((change) => change.length < 60));
	t.end();
});
