// Following a prefix of the store through outages and lost history.
import * as tap from 'tap';
import * as manualClock from '@hawthornfront/base/common/manual-clock.js';
import * as prefixStore from '../common/prefix-store.js';
import * as storeFeed from '../common/store-feed.js';

class HandStore extends prefixStore.PrefixStore {
	lists = 0;
	isAway = false;
	listing: prefixStore.StoreListing = {items: [], revision: 1};
	readonly #waiting: Array<{
		resolve(changes: prefixStore.StoreChanges): void;
		reject(error: Error): void;
	}> = [];

	override async list(): Promise<prefixStore.StoreListing> {
		this.lists++;
		if (this.isAway) {
			throw new Error('away');
		}

		return this.listing;
	}

	override async watch(
		_prefix: string,
		_afterRevision: number,
		_waitMs: number,
		signal?: AbortSignal,
	): Promise<prefixStore.StoreChanges> {
		return new Promise((resolve, reject) => {
			this.#waiting.push({resolve, reject});
			signal?.addEventListener('abort', () => {
				reject(new Error('aborted'));
			});
		});
	}

	tell(changes: prefixStore.StoreChanges): void {
		this.#waiting.shift()?.resolve(changes);
	}

	cut(): void {
		this.#waiting.shift()?.reject(new Error('cut'));
	}

	override async putLeased(): Promise<void> {
		throw new Error('not used');
	}

	override async grantLease(): Promise<string> {
		throw new Error('not used');
	}

	override async renewLease(): Promise<boolean> {
		throw new Error('not used');
	}

	override async endLease(): Promise<void> {
		throw new Error('not used');
	}
}

const start = async (t: tap.Test) => {
	const clock = new manualClock.ManualClock();
	const store = new HandStore();
	const calls: string[] = [];
	const feed = storeFeed.startStoreFeed({
		clock,
		store,
		prefix: 'p/',
		watchWaitMs: 1000,
		random: () => 0.5,
		handler: {
			onListing({revision}) {
				calls.push(`listing ${revision}`);
			},
			onEvents(events, revision) {
				calls.push(`events ${events.length} up to ${revision}`);
			},
			onLost() {
				calls.push('lost');
			},
			onRegained() {
				calls.push('regained');
			},
			onHistoryLost() {
				calls.push('history lost');
			},
		},
	});
	t.teardown(() => {
		feed.dispose();
	});
	await clock.advance(1);
	return {clock, store, calls, feed};
};

tap.t.test('changes follow the listing', async (t) => {
	const {clock, store, calls, feed} = await start(t);
	store.tell({kind: 'events', events: [{key: 'p/a', revision: 4}], revision: 4});
	await clock.advance(200);
	store.tell({kind: 'events', events: [], revision: 9});
	await clock.advance(1);
	t.same(calls, ['listing 1', 'events 1 up to 4']);
	t.equal(store.lists, 1);
	t.ok(feed.isReachable);
});

tap.t.test('an outage is told once and ends with a listing', async (t) => {
	const {clock, store, calls, feed} = await start(t);
	store.isAway = true;
	store.cut();
	await clock.advance(20_000);
	t.notOk(feed.isReachable);
	t.ok(store.lists < 60, `${store.lists} calls in 20 s`);
	store.isAway = false;
	store.listing = {items: [], revision: 30};
	await clock.advance(2000);
	t.same(calls, ['listing 1', 'lost', 'regained', 'listing 30']);
	t.ok(feed.isReachable);
});

tap.t.test('a lost history is read again', async (t) => {
	const {clock, store, calls} = await start(t);
	store.listing = {items: [], revision: 50};
	store.tell({kind: 'history-lost'});
	await clock.advance(1);
	t.same(calls, ['listing 1', 'history lost', 'listing 50']);
});

tap.t.test('a prefix that another daemon follows takes no calls', async (t) => {
	const {clock, store, calls, feed} = await start(t);
	feed.setFollowing(false);
	await clock.advance(20_000);
	t.equal(store.lists, 1);
	t.notOk(feed.isReachable);
	t.notOk(feed.isLost, 'nothing is known of the store');
	store.listing = {items: [], revision: 70};
	feed.setFollowing(true);
	await clock.advance(10);
	t.same(calls, ['listing 1', 'listing 70']);
	t.ok(feed.isReachable);
});

tap.t.test('a lost feed that is handed over does not count as lost', async (t) => {
	const {clock, store, calls, feed} = await start(t);
	store.isAway = true;
	store.cut();
	await clock.advance(3000);
	t.ok(feed.isLost);
	feed.setFollowing(false);
	await clock.advance(3000);
	t.notOk(feed.isLost);
	store.isAway = false;
	feed.setFollowing(true);
	await clock.advance(2000);
	t.same(calls, ['listing 1', 'lost', 'listing 1']);
});

tap.t.test('a waiting watch ends when another call of the store failed', async (t) => {
	const {clock, store, calls, feed} = await start(t);
	store.isAway = true;
	feed.suspect();
	await clock.advance(10);
	t.same(calls, ['listing 1', 'lost']);
	store.isAway = false;
	await clock.advance(2000);
	t.same(calls, ['listing 1', 'lost', 'regained', 'listing 1']);
});
