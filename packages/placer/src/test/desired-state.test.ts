// Guards against a delayed write of an earlier lease holder that overwrites the desired state after a takeover.
import * as manualClock from '@hawthornfront/base/common/manual-clock.js';
import * as fakeStore from '@hawthornfront/platform/test/fake-key-value-store.js';
import * as tap from 'tap';
import * as desiredState from '../common/desired-state.js';

const key = desiredState.desiredKey('saare');
const place = (model: string, changedAtMs: number) =>
	new Map([['runner-1', {model, role: 'mixed', changedAtMs}]]);

tap.t.test('a write that is in flight during a takeover fails', async (t) => {
	const time = new manualClock.ManualClock();
	const store = new fakeStore.FakeKeyValueStore(time);
	const first = desiredState.createDesiredState(store, time, 'saare');
	t.match(await first.takeOver(1), {kind: 'taken-over'});
	t.ok(await first.write(1, place('a', 0)));
	store.chooseDelayMs = () => 500;
	const late = first.write(1, place('b', 0));
	store.chooseDelayMs = () => 0;
	const second = desiredState.createDesiredState(store, time, 'saare');
	t.match(await second.takeOver(2), {kind: 'taken-over'});
	await time.advance(500);
	t.equal(await late, false);
	t.match(store.peek(key)?.value, /"fencing":2.*"model":"a"/u);
	t.match(await first.takeOver(1), {kind: 'outdated'});
});

tap.t.test(
	'the time since a change survives a takeover and counts at least the stored age',
	async (t) => {
		const time = new manualClock.ManualClock();
		const store = new fakeStore.FakeKeyValueStore(time);
		const first = desiredState.createDesiredState(store, time, 'saare');
		await first.takeOver(1);
		await time.advance(7000);
		await first.write(1, place('a', 2000));
		await time.advance(3000);
		const result = await desiredState.createDesiredState(store, time, 'saare').takeOver(2);
		t.equal(result.kind === 'taken-over' && result.places.get('runner-1')?.changedAtMs, 5000);
	},
);
