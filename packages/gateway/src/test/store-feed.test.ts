// A watch on a store prefix through outages and lost history.
import * as tap from 'tap';
import * as heapUse from '@hawthornfront/base/test/heap-use.js';
import * as manualClock from '@hawthornfront/base/common/manual-clock.js';
import * as prefixStore from '../common/prefix-store.js';
import * as storeFeed from '../common/store-feed.js';

class ManualStore extends prefixStore.PrefixStore {
	listCalls = 0;
	/** Whether each listing may be old. */
	readonly staleLists: boolean[] = [];
	isUnavailable = false;
	listing: prefixStore.StoreListing = {items: [], revision: 1};
	readonly #waiting: Array<{
		resolve(changes: prefixStore.StoreChanges): void;
		reject(error: Error): void;
	}> = [];

	override async list(_prefix: string, mayBeStale: boolean): Promise<prefixStore.StoreListing> {
		this.listCalls++;
		this.staleLists.push(mayBeStale);
		if (this.isUnavailable) {
			throw new Error('unavailable');
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

	get waitingWatches(): number {
		return this.#waiting.length;
	}

	answerWatch(changes: prefixStore.StoreChanges): void {
		this.#waiting.shift()?.resolve(changes);
	}

	failWatch(): void {
		this.#waiting.shift()?.reject(new Error('connection lost'));
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

const start = async (
	t: tap.Test,
	options: {mayListStale?: boolean; pace?: () => storeFeed.FeedPace} = {},
) => {
	const clock = new manualClock.ManualClock();
	const store = new ManualStore();
	const calls: string[] = [];
	const feed = storeFeed.startStoreFeed({
		clock,
		store,
		prefix: 'p/',
		watchWaitMs: () => 1000,
		...options,
		random: () => 0.5,
		handler: {
			onListing({revision}) {
				calls.push(`listing ${revision}`);
			},
			onEvents(events, revision) {
				calls.push(`events ${events.length} up to ${revision}`);
			},
			onDidChangeContact: () => undefined,
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

tap.t.test('changes arrive after the listing', async (t) => {
	const {clock, store, calls, feed} = await start(t);
	store.answerWatch({kind: 'events', events: [{key: 'p/a', revision: 4}], revision: 4});
	await clock.advance(200);
	store.answerWatch({kind: 'events', events: [], revision: 9});
	await clock.advance(1);
	t.same(calls, ['listing 1', 'events 1 up to 4']);
	t.equal(store.listCalls, 1);
	t.equal(feed.contact, 'reached');
});

tap.t.test('an outage is reported once and ends with a listing', async (t) => {
	const {clock, store, calls, feed} = await start(t);
	store.isUnavailable = true;
	store.failWatch();
	await clock.advance(20_000);
	t.not(feed.contact, 'reached');
	t.ok(store.listCalls < 60, `${store.listCalls} calls in 20 s`);
	store.isUnavailable = false;
	store.listing = {items: [], revision: 30};
	await clock.advance(2000);
	t.same(calls, ['listing 1', 'lost', 'regained', 'listing 30']);
	t.equal(feed.contact, 'reached');
});

// Guards against a feed that stays deaf for longer after its watch, whose connection had gone silent, timed out.
tap.t.test('the listing after a watch that timed out has no delay', async (t) => {
	const {clock, store, calls, feed} = await start(t);
	await clock.advance(1500);
	store.failWatch();
	await clock.advance(1);
	t.same(calls, ['listing 1', 'lost', 'regained', 'listing 1']);
	t.equal(feed.contact, 'reached');
	store.failWatch();
	await clock.advance(1);
	t.equal(store.listCalls, 2, 'a watch that fails early is repeated with a delay');
});

tap.t.test('the answered position includes changes elsewhere in the store', async (t) => {
	const {clock, store, feed} = await start(t);
	t.equal(feed.answered, 1);
	store.answerWatch({kind: 'events', events: [], revision: 9});
	await clock.advance(1);
	t.equal(feed.answered, 9);
});

tap.t.test('a lost history leads to a new listing', async (t) => {
	const {clock, store, calls} = await start(t);
	store.listing = {items: [], revision: 50};
	store.answerWatch({kind: 'history-lost'});
	await clock.advance(1);
	t.same(calls, ['listing 1', 'history lost', 'listing 50']);
});

// Guards against a loop of old listings whose history the store has dropped.
tap.t.test('the listing after a lost history is not an old one', async (t) => {
	const {clock, store} = await start(t, {mayListStale: true});
	store.answerWatch({kind: 'history-lost'});
	await clock.advance(1);
	store.answerWatch({kind: 'history-lost'});
	await clock.advance(1);
	t.same(store.staleLists, [true, false, false]);
});

tap.t.test('a prefix that is not followed causes no calls', async (t) => {
	const {clock, store, calls, feed} = await start(t);
	feed.setFollowing(false);
	await clock.advance(20_000);
	t.equal(store.listCalls, 1);
	t.equal(feed.contact, 'none', 'the state of the store is unknown');
	store.listing = {items: [], revision: 70};
	feed.setFollowing(true);
	await clock.advance(10);
	t.same(calls, ['listing 1', 'listing 70']);
	t.equal(feed.contact, 'reached');
});

tap.t.test('a lost feed that stops following does not count as lost', async (t) => {
	const {clock, store, calls, feed} = await start(t);
	store.isUnavailable = true;
	store.failWatch();
	await clock.advance(3000);
	t.equal(feed.contact, 'lost');
	feed.setFollowing(false);
	await clock.advance(3000);
	t.equal(feed.contact, 'none');
	store.isUnavailable = false;
	feed.setFollowing(true);
	await clock.advance(2000);
	t.same(calls, ['listing 1', 'lost', 'listing 1']);
});

tap.t.test('a pending watch ends when another store call fails', async (t) => {
	const {clock, store, calls, feed} = await start(t);
	store.isUnavailable = true;
	feed.suspect();
	await clock.advance(10);
	t.same(calls, ['listing 1', 'lost']);
	store.isUnavailable = false;
	await clock.advance(2000);
	t.same(calls, ['listing 1', 'lost', 'regained', 'listing 1']);
});

// Guards against changes that a watch misses when the store is restored.
tap.t.test('a change of era leads to a new listing without an outage', async (t) => {
	const {clock, store, calls, feed} = await start(t);
	store.era.note('1');
	store.listing = {items: [], revision: 3, era: 2};
	store.era.note('2');
	await clock.advance(1);
	t.same(calls, ['listing 1', 'listing 3']);
	store.listing = {items: [], revision: 4, era: 3};
	store.answerWatch({kind: 'events', events: [], revision: 9, era: 3});
	store.answerWatch({kind: 'events', events: [{key: 'p/a', revision: 9}], revision: 9, era: 3});
	await clock.advance(1);
	t.same(calls, ['listing 1', 'listing 3', 'listing 4']);
	t.equal(feed.contact, 'reached');
});

// Guards against a late response that brings an earlier era back.
tap.t.test('a response of an earlier era is not applied', async (t) => {
	const {clock, store, calls, feed} = await start(t);
	store.era.note('1');
	store.listing = {items: [], revision: 50, era: 1};
	store.era.note('2');
	await clock.advance(1);
	t.same(calls, ['listing 1', 'lost']);
	store.listing = {items: [], revision: 20, era: 2};
	await clock.advance(2000);
	t.match(calls, ['listing 1', 'lost', 'regained']);
	t.equal(feed.contact, 'reached');
});

class InstantStore extends ManualStore {
	calls = 0;
	readonly #changes: prefixStore.StoreChanges;
	readonly #clock: manualClock.ManualClock;

	constructor(clock: manualClock.ManualClock, changes: prefixStore.StoreChanges) {
		super();
		this.#clock = clock;
		this.#changes = changes;
	}

	override async list(): Promise<prefixStore.StoreListing> {
		this.calls++;
		await this.#clock.sleep(1);
		return this.listing;
	}

	override async watch(): Promise<prefixStore.StoreChanges> {
		this.calls++;
		await this.#clock.sleep(1);
		return this.#changes;
	}
}

// Guards against a store whose watches end at once and so keep the processor busy (issue 39).
for (const changes of [
	{kind: 'events', events: [], revision: 1},
	{kind: 'history-lost'},
	{kind: 'events', events: [], revision: 1, era: 7},
] satisfies prefixStore.StoreChanges[]) {
	tap.t.test(`watches that end at once with ${JSON.stringify(changes)}`, async (t) => {
		const clock = new manualClock.ManualClock();
		const store = new InstantStore(clock, changes);
		const feed = storeFeed.startStoreFeed({
			clock,
			store,
			prefix: 'p/',
			watchWaitMs: () => 1000,
			random: () => 0.5,
			handler: {
				onListing: () => undefined,
				onEvents: () => undefined,
				onDidChangeContact: () => undefined,
				onLost: () => undefined,
				onRegained: () => undefined,
				onHistoryLost: () => undefined,
			},
		});
		t.teardown(() => {
			feed.dispose();
		});
		await clock.advance(10_000);
		t.ok(store.calls > 4, `${store.calls} calls`);
		t.ok(store.calls < 40, `${store.calls} calls in 10 s`);
	});
}

// Each watch left its signal, or an entry for it, at the signal that ends the feed, for as long as the process runs.
tap.t.test('a feed keeps nothing of the watches that have ended', async (t) => {
	const {clock, store, feed} = await start(t);
	const answerWatches = async (count: number) => {
		for (let index = 0; index < count; index++) {
			store.answerWatch({kind: 'events', events: [], revision: 1});
			await clock.advance(15_000);
		}
	};

	await answerWatches(5000);
	const before = heapUse.usedBytes();
	const watches = 20_000;
	await answerWatches(watches);
	const kept = heapUse.usedBytes() - before;
	const bytesOfASignal = 200;
	t.ok(kept < watches * bytesOfASignal, `${kept} bytes`);
	feed.dispose();
	t.equal(feed.contact, 'reached');
});

const change = (revision: number): prefixStore.StoreChanges => ({
	kind: 'events',
	events: [{key: 'p/a', revision}],
	revision,
});

// Guards against an upstream that turns cold right after another change and is told of too late.
tap.t.test('a prompt feed hears of a change that follows another one', async (t) => {
	const prompt = await start(t, {pace: () => 'prompt'});
	const sparing = await start(t);
	for (const {clock, store} of [prompt, sparing]) {
		store.answerWatch(change(4));
		await clock.advance(20);
	}

	t.equal(prompt.store.waitingWatches, 1);
	t.equal(sparing.store.waitingWatches, 0);
	await sparing.clock.advance(400);
	t.equal(sparing.store.waitingWatches, 1);
});

tap.t.test('a prompt feed makes at most 20 calls a second in a burst', async (t) => {
	const {clock, store} = await start(t, {pace: () => 'prompt'});
	let watches = 0;
	for (let revision = 2; revision < 402; revision++) {
		if (store.waitingWatches > 0) {
			watches++;
			store.answerWatch(change(revision));
		}

		await clock.advance(5);
	}

	t.ok(watches > 30, `${watches} watches in 2 s`);
	t.ok(watches <= 44, `${watches} watches in 2 s`);
});
