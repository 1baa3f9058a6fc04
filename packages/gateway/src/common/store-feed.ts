/**
 * Follows one prefix of the store: a listing, then a watch for changes. After a failure
 * it lists again, since a successful listing shows that the store is back. It also lists
 * again after a restore, since the revisions of a watch are given out again. While
 * another daemon follows the prefix instead, it makes no calls.
 *
 * A connection can go silent without a reset. The wait of a watch bounds how long it hides
 * changes, unless a peer is known to have them and the feed is refreshed.
 */
import type * as clock from '@hawthornfront/base/common/clock.js';
import type * as disposable from '@hawthornfront/base/common/disposable.js';
import type * as prefixStore from './prefix-store.js';
import * as storePosition from './store-position.js';
import type * as storeWatcherElection from './store-watcher-election.js';

export type StoreFeedHandler = {
	onListing(listing: prefixStore.StoreListing): void;
	onEvents(events: prefixStore.StoreEvent[], position: storePosition.StorePosition): void;
	/** The store did not respond, or refused. Called once per outage. */
	onLost(error: Error): void;
	/** The store responded again; called before `onListing`. */
	onRegained(awayMs: number, revision: number): void;
	onHistoryLost(revision: number): void;
	/** Called at each change of `contact`. */
	onDidChangeContact(contact: storeWatcherElection.StoreContact): void;
};

export type StoreFeed = disposable.Disposable & {
	/** `none`: it does not follow the prefix, or has not had a response since it began to. */
	readonly contact: storeWatcherElection.StoreContact;
	/** Position up to which the store has answered. */
	readonly answered: storePosition.StorePosition;
	/** Time since the last response; infinite without one. */
	responseAgeMs(): number;
	/** Stops following the prefix, or lists and follows it again. */
	setFollowing(isFollowing: boolean): void;
	/** Ends a pending watch because another call to the store failed; the feed lists again. */
	suspect(): void;
	/** Ends a pending watch and lists the prefix again, without an outage. */
	refresh(): void;
};

/**
 * How soon a feed watches again after changes. `sparing`: a burst of changes needs few calls;
 * `prompt`: changes that follow each other are heard of at once, in a burst with a short delay.
 */
export type FeedPace = 'sparing' | 'prompt';

const firstRetryMs = 150;
const maxRetryMs = 900;
const sparingPauseMs = 400;
/** First and longest pause of a prompt feed; each further change within the quiet time doubles it. */
const promptPauseMs = 10;
const maxPromptPauseMs = 50;
const quietMs = 200;

/** A watch without changes, or a listing and its watch, that ends sooner has ended at once. */
const atOnceMs = 50;
/** Calls that may end at once in a row, as after two restores. */
const maxEndedAtOnce = 3;

/** Returns a function that waits after calls that end at once again and again, which would keep the processor busy. */
const createPacer = (clock: clock.Clock) => {
	let endedAtOnce = 0;
	/** @param beganAtMs when the call that has ended began */
	return async (beganAtMs: number): Promise<void> => {
		endedAtOnce = clock.nowMs() - beganAtMs < atOnceMs ? endedAtOnce + 1 : 0;
		const excess = endedAtOnce - maxEndedAtOnce;
		if (excess > 0) {
			await clock.sleep(Math.min(maxRetryMs, firstRetryMs * 2 ** Math.min(excess, 6)));
		}
	};
};

/** Returns a function that waits after changes before the next watch. */
const createChangePacer = (clock: clock.Clock, pace: () => FeedPace) => {
	let pauseMs = promptPauseMs;
	let endedAtMs = Number.NEGATIVE_INFINITY;
	return async (): Promise<void> => {
		const isQuiet = clock.nowMs() - endedAtMs > quietMs;
		pauseMs = isQuiet ? promptPauseMs : Math.min(maxPromptPauseMs, 2 * pauseMs);
		await clock.sleep(pace() === 'prompt' ? pauseMs : sparingPauseMs);
		endedAtMs = clock.nowMs();
	};
};

/** Starts to follow a prefix. */
export const startStoreFeed = (options: {
	clock: clock.Clock;
	store: prefixStore.PrefixStore;
	prefix: string;
	/** Longest wait of the next watch. */
	watchWaitMs(): number;
	/** Lists may be some seconds old, which costs the store less; the watch continues from their revision. */
	mayListStale?: boolean;
	/** `sparing` by default. */
	pace?(): FeedPace;
	/** Whether it follows the prefix at first; it does by default. */
	isFollowing?: boolean;
	random(): number;
	handler: StoreFeedHandler;
}): StoreFeed => {
	const {clock, store, prefix, handler} = options;
	const paceWatches = createPacer(clock);
	const paceChanges = createChangePacer(clock, options.pace ?? (() => 'sparing'));
	const paceListings = createPacer(clock);
	const abort = new AbortController();
	let watchAbort = new AbortController();
	const followState = {
		isFollowing: options.isFollowing ?? true,
		/** A pending watch may miss changes. */
		isOutdated: false,
		/** When the wait of the pending or failed watch is over; undefined for a listing. */
		watchEndsAtMs: undefined as number | undefined,
		resume: (): void => undefined,
	};
	let lostAtMs: number | undefined;
	let answered = storePosition.start;
	let respondedAtMs = Number.NEGATIVE_INFINITY;
	let contact: storeWatcherElection.StoreContact = 'none';
	let retries = 0;
	let mayListStale = options.mayListStale ?? false;
	const setContact = (next: storeWatcherElection.StoreContact) => {
		if (next !== contact) {
			contact = next;
			handler.onDidChangeContact(next);
		}
	};

	const noteResponse = (revision: number) => {
		if (lostAtMs !== undefined) {
			const awayMs = clock.nowMs() - lostAtMs;
			lostAtMs = undefined;
			handler.onRegained(awayMs, revision);
		}

		if (followState.isFollowing) {
			setContact('reached');
		}

		retries = 0;
	};

	const noteFailure = (error: Error) => {
		if (lostAtMs === undefined) {
			lostAtMs = clock.nowMs();
			handler.onLost(error);
		}

		setContact('lost');
		retries++;
	};

	/** @throws Error for a late response of an earlier era */
	const checkEra = (era: number | undefined) => {
		if (era !== undefined && era < (store.era.current ?? era)) {
			throw new Error(`response of era ${era} after one of era ${store.era.current}`);
		}
	};

	const refresh = () => {
		followState.isOutdated = true;
		watchAbort.abort(new Error('the prefix must be listed again'));
	};

	const follow = async (): Promise<void> => {
		followState.isOutdated = false;
		followState.watchEndsAtMs = undefined;
		const listing = await store.list(prefix, mayListStale, abort.signal);
		checkEra(listing.era);
		// The listing itself may have been the first response of its era.
		followState.isOutdated = false;
		mayListStale = options.mayListStale ?? false;
		noteResponse(listing.revision);
		answered = storePosition.create(listing.era, listing.revision);
		respondedAtMs = clock.nowMs();
		handler.onListing(listing);
		let {revision} = listing;
		while (followState.isFollowing && !abort.signal.aborted && !followState.isOutdated) {
			watchAbort = new AbortController();
			const waitMs = options.watchWaitMs();
			const beganAtMs = clock.nowMs();
			followState.watchEndsAtMs = beganAtMs + waitMs;
			// `AbortSignal.any` would leave an entry at the signal of the whole feed for each watch.
			const changes = await store.watch(prefix, revision, waitMs, watchAbort.signal);
			if (changes.kind === 'history-lost') {
				handler.onHistoryLost(revision);
				// An old listing would end before the history begins again.
				mayListStale = false;
				return;
			}

			checkEra(changes.era);
			if (changes.era !== listing.era) {
				mayListStale = false;
				return;
			}

			revision = Math.max(revision, changes.revision);
			answered = storePosition.create(changes.era, revision);
			respondedAtMs = clock.nowMs();
			if (changes.events.length > 0) {
				handler.onEvents(changes.events, storePosition.create(changes.era, revision));
				await paceChanges();
			} else {
				await paceWatches(beganAtMs);
			}
		}
	};

	const untilFollowing = async (): Promise<void> =>
		new Promise((resolve) => {
			followState.resume = resolve;
		});

	const run = async () => {
		while (!abort.signal.aborted) {
			if (!followState.isFollowing) {
				await untilFollowing();
				continue;
			}

			const beganAtMs = clock.nowMs();
			try {
				await follow();
				await paceListings(beganAtMs);
			} catch (error) {
				if (abort.signal.aborted) {
					return;
				}

				if (!followState.isFollowing || followState.isOutdated) {
					await paceListings(beganAtMs);
					continue;
				}

				noteFailure(error instanceof Error ? error : new Error(String(error)));
				const {watchEndsAtMs = Number.POSITIVE_INFINITY} = followState;
				if (clock.nowMs() >= watchEndsAtMs) {
					// The watch timed out: its connection may be silent although the store responds.
					continue;
				}

				const delayMs = Math.min(maxRetryMs, firstRetryMs * 2 ** Math.min(retries, 6));
				await clock.sleep(delayMs * (0.5 + options.random()));
			}
		}
	};

	const eraSubscription = store.era.onDidRise(refresh);
	void run();
	return {
		get contact() {
			return contact;
		},
		get answered() {
			return answered;
		},
		responseAgeMs: () => clock.nowMs() - respondedAtMs,
		setFollowing(next) {
			if (next === followState.isFollowing) {
				return;
			}

			followState.isFollowing = next;
			if (next) {
				followState.resume();
			} else {
				// Clears the outage, so that the time without a watch does not count towards it.
				lostAtMs = undefined;
				setContact('none');
				watchAbort.abort(new Error('another daemon follows the store'));
			}
		},
		suspect() {
			watchAbort.abort(new Error('another call of the store failed'));
		},
		refresh,
		dispose() {
			eraSubscription.dispose();
			const reason = new Error('stopped');
			abort.abort(reason);
			watchAbort.abort(reason);
			followState.resume();
		},
	};
};
