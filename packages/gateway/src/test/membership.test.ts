// Registrations and renewals in the store grew with the number of daemons.
import * as manualClock from '@hawthornfront/base/common/manual-clock.js';
import * as tap from 'tap';
import * as fleetView from '../common/fleet-view.js';
import * as membership from '../node/membership.js';
import * as fixtures from './fixtures.js';
import * as memoryStore from './memory-store.js';

const start = (options: {isEntryPoint: boolean}) => {
	const clock = new manualClock.ManualClock();
	const store = new memoryStore.MemoryPrefixStore(clock);
	const fleet = fleetView.createFleetView(clock, 'n1');
	const state = {isEntryPoint: options.isEntryPoint, failures: 0};
	const subject = membership.startMembership({
		clock,
		random: () => 0.5,
		store,
		prefix: 'members/',
		leaseMs: 9000,
		fleet,
		log: {note: () => undefined},
		self: () => fixtures.member('n1'),
		isEntryPoint: () => state.isEntryPoint,
		onStoreFailure() {
			state.failures++;
		},
	});
	const listed = async () => {
		const {items} = await store.list('members/');
		return items.map(({key}) => key);
	};

	/** Time with a live peer, as gossip reports it. */
	const passWithPeer = async (seconds: number) => {
		for (let second = 0; second < seconds; second++) {
			fleet.noteMember(fixtures.member('n2'), 0);
			await clock.advance(1000);
		}
	};

	return {clock, store, fleet, state, subject, listed, passWithPeer};
};

tap.t.test(
	'a daemon that others need not find makes no calls but its first readings',
	async (t) => {
		const {store, listed, passWithPeer, subject} = start({isEntryPoint: false});
		await passWithPeer(8);
		t.equal(store.calls, 3);
		await passWithPeer(60);
		t.equal(store.calls, 3);
		t.same(await listed(), []);
		subject.dispose();
	},
);

tap.t.test(
	'a daemon registers when it becomes an entry point, and leaves the list after',
	async (t) => {
		const {state, listed, passWithPeer, subject} = start({isEntryPoint: false});
		await passWithPeer(5);
		state.isEntryPoint = true;
		await passWithPeer(3);
		t.same(await listed(), ['members/n1']);
		await passWithPeer(30);
		t.same(await listed(), ['members/n1'], 'the lease is renewed');
		state.isEntryPoint = false;
		await passWithPeer(5);
		t.same(await listed(), []);
		subject.dispose();
	},
);

tap.t.test('a daemon whose peers are gone reads the list again', async (t) => {
	const {clock, store, passWithPeer, subject} = start({isEntryPoint: false});
	await passWithPeer(10);
	const {calls} = store;
	await clock.advance(40_000);
	t.ok(store.calls > calls);
	subject.dispose();
});

tap.t.test('a failed registration is reported and tried again', async (t) => {
	const {store, state, listed, passWithPeer, subject} = start({isEntryPoint: true});
	store.isUnavailable = true;
	await passWithPeer(4);
	t.ok(state.failures > 1);
	store.isUnavailable = false;
	await passWithPeer(3);
	t.same(await listed(), ['members/n1']);
	subject.dispose();
});

// Guards against a daemon that renews or ends the lease of another one, and is not listed itself.
tap.t.test('a lease that a restore has lost is not mistaken for another one', async (t) => {
	for (const change of ['renewal', 'end'] as const) {
		const {store, state, listed, passWithPeer, subject} = start({isEntryPoint: true});
		const copy = store.copy();
		await passWithPeer(2);
		t.same(await listed(), ['members/n1']);
		store.restore(copy);
		const lease = await store.grantLease(60_000);
		await store.putLeased('members/n7', new Uint8Array([1]), lease);
		state.isEntryPoint = change === 'renewal';
		await passWithPeer(8);
		const expected = change === 'renewal' ? ['members/n7', 'members/n1'] : ['members/n7'];
		t.same(await listed(), expected, change);
		subject.dispose();
	}
});
