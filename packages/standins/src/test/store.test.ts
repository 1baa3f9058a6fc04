// Guards against a store stand-in whose wire format or semantics differ from the platform's.
import * as manualClock from '@hawthornfront/base/common/manual-clock.js';
import * as undiciHttpClient from '@hawthornfront/base/node/undici-http-client.js';
import * as httpKeyValueStore from '@hawthornfront/platform/node/http-key-value-store.js';
import * as tap from 'tap';
import * as storeStandin from '../node/store-standin.js';

const start = async (t: tap.Test) => {
	const clock = new manualClock.ManualClock();
	const standin = await storeStandin.createStoreStandin({clock, seed: 1});
	const client = new undiciHttpClient.UndiciHttpClient();
	const store = new httpKeyValueStore.HttpKeyValueStore(client, standin.address);
	t.teardown(async () => {
		await client.close();
		await standin.close();
	});
	return {clock, standin, store};
};

tap.t.test('compare-and-swap, list and compare-and-delete', async (t) => {
	const {store, standin} = await start(t);
	t.same(await store.compareAndSwap('a/1', 'x', 0), {kind: 'written', revision: 1});
	t.match(await store.compareAndSwap('a/1', 'y', 0), {kind: 'conflict', current: {value: 'x'}});
	t.same(await store.compareAndSwap('a/1', 'y', 1), {kind: 'written', revision: 2});
	t.same(await store.list('a/'), [{key: 'a/1', revision: 2}]);
	t.equal(await store.compareAndDelete('a/1', 1), false);
	t.equal(await store.compareAndDelete('a/1', 2), true);
	t.equal(await store.get('a/1'), undefined);
	t.equal(standin.counts.calls['compare-and-swap'], 3);
	await t.rejects(store.compareAndSwap('big', 'x'.repeat(1_048_577), 0), /status 413/u);
});

tap.t.test('a watch ends with a change or with its time', async (t) => {
	const {clock, store, standin} = await start(t);
	const changed = store.watch('k', 0, 1000);
	const expired = store.watch('other', 0, 1000);
	while (standin.counts.waitingWatches < 2) {
		await new Promise(setImmediate);
	}

	await store.compareAndSwap('k', 'v', 0);
	t.match(await changed, {value: 'v', revision: 1});
	await clock.advance(1000);
	t.equal(await expired, undefined);
	t.equal(standin.counts.calls.watch, 2);
});

tap.t.test('a lease that ends deletes its keys; lease numbers grow', async (t) => {
	const {clock, store} = await start(t);
	const first = await store.grantLease(100);
	const second = await store.grantLease(1000);
	t.ok(second.number > first.number);
	await store.compareAndSwap('held', 'x', 0, {leaseId: first.leaseId});
	await clock.advance(60);
	t.equal(await store.renewLease(first.leaseId), true);
	await clock.advance(60);
	t.match(await store.get('held'), {value: 'x'});
	await clock.advance(60);
	t.equal(await store.get('held'), undefined);
	t.equal(await store.renewLease(first.leaseId), false);
	await t.rejects(store.compareAndSwap('held', 'x', 0, {leaseId: first.leaseId}), /status 404/u);
});

tap.t.test('faults: lost answer, down, stale read', async (t) => {
	const {clock, store, standin} = await start(t);
	standin.faults.loseAnswers = 1;
	const failure: unknown = await store
		.compareAndSwap('k', 'one', 0)
		.catch((error: unknown) => error);
	t.match(failure, {name: 'PlatformError', mayHaveTakenEffect: true});
	t.equal(standin.model.get('k', 0)?.value, 'one', 'the write took effect');
	await clock.advance(1000);
	await store.compareAndSwap('k', 'two', 1);
	standin.faults.staleReadMs = 500;
	t.match(await store.get('k'), {value: 'one'});
	standin.faults.isDown = true;
	await t.rejects(store.compareAndSwap('k', 'three', 2));
	t.equal(standin.model.get('k', 0)?.value, 'two', 'a call during an outage has no effect');
});
