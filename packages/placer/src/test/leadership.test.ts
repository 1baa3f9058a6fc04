// Guards against a placer that uses its lease after it expired in the store.
import * as manualClock from '@hawthornfront/base/common/manual-clock.js';
import * as fakeStore from '@hawthornfront/platform/test/fake-key-value-store.js';
import * as tap from 'tap';
import * as leadership from '../common/leadership.js';

const ttlMs = 15_000;
const marginMs = 5000;

const createHolder = () => {
	const time = new manualClock.ManualClock();
	const store = new fakeStore.FakeKeyValueStore(time);
	const lease = leadership.createLeadership({
		clock: time,
		store,
		region: 'saare',
		holder: 'one',
		ttlMs,
		marginMs,
		standbyMs: 1000,
	});
	const step = async (answerMs: number) => {
		store.chooseAnswerMs = ({operation}) =>
			/^(?:grant|renew)Lease$/u.test(operation) ? answerMs : 0;
		const stepping = lease.step();
		await time.advance(answerMs);
		await stepping;
	};

	return {time, store, lease, step};
};

tap.t.test(
	'the validity of a lease counts from the start of the grant or renewal call',
	async (t) => {
		const {time, lease, step} = createHolder();
		await step(4000);
		t.equal(lease.remainingMs(), ttlMs - marginMs - 4000);
		await step(3000);
		t.equal(lease.remainingMs(), ttlMs - marginMs - 3000);
		await time.advance(ttlMs - marginMs - 3000 - 1);
		t.equal(lease.fencing(), 1);
		await time.advance(1);
		t.equal(lease.fencing(), undefined);
	},
);

tap.t.test(
	'a grant answered after its expiry is not used, and the next fencing number is higher',
	async (t) => {
		const {time, lease, step} = createHolder();
		await step(ttlMs + 1000);
		t.equal(lease.fencing(), undefined);
		await time.advance(2000);
		await step(0);
		t.equal(lease.fencing(), 2);
	},
);

tap.t.test('a release removes the holder key at once', async (t) => {
	const {store, lease, step} = createHolder();
	await step(0);
	t.ok(store.peek(leadership.holderKey('saare')));
	await lease.release();
	t.equal(lease.fencing(), undefined);
	t.notOk(store.peek(leadership.holderKey('saare')));
});
