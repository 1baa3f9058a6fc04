// Election of the daemons of a failure domain that watch the store.
import * as manualClock from '@hawthornfront/base/common/manual-clock.js';
import * as tap from 'tap';
import * as storeWatcherElection from '../common/store-watcher-election.js';

const names = Array.from({length: 15}, (_, index) => `n${index}`);

/** A failure domain whose daemons all receive each other's heartbeats. */
const startDomain = (peerTimeoutMs?: number) => {
	const clock = new manualClock.ManualClock();
	const contacts = new Map<string, storeWatcherElection.StoreContact>();
	const silentDaemons = new Set<string>();
	const watching = new Set<string>(names);
	const elections = new Map(
		names.map((name) => [
			name,
			storeWatcherElection.createStoreWatcherElection({
				nowMs: () => clock.nowMs(),
				daemonName: name,
				capacity: 1,
				place: 'north-a',
				watchers: 2,
				peerTimeoutMs,
			}),
		]),
	);
	const silentSinceMs = new Map<string, number>();
	const run = async (forMs: number, behindMs = 0) => {
		for (let passedMs = 0; passedMs < forMs; passedMs += 250) {
			for (const name of silentDaemons) {
				silentSinceMs.set(name, silentSinceMs.get(name) ?? clock.nowMs());
			}

			for (const [name, election] of elections) {
				const peers = names
					.filter((other) => other !== name)
					.map((other) => ({
						name: other,
						lastContactAgeMs: silentDaemons.has(other)
							? clock.nowMs() - silentSinceMs.get(other)!
							: 100,
						capacity: 1,
						storeContact: contacts.get(other) ?? (watching.has(other) ? 'reached' : 'none'),
					}));
				if (!silentDaemons.has(name) && election.update(peers, behindMs)) {
					watching.add(name);
				} else {
					watching.delete(name);
				}
			}

			await clock.advance(250);
		}

		return [...watching].sort();
	};

	return {contacts, silentDaemons, run};
};

tap.t.test('all daemons watch at first, two in the end', async (t) => {
	const {run} = startDomain();
	const first = await run(1000);
	t.equal(first.length, 15);
	const settled = await run(6000);
	t.equal(settled.length, 2);
	t.same(await run(20_000), settled, 'the watchers stay the same');
});

tap.t.test('both watchers lost at once are replaced within 2.5 s', async (t) => {
	const {run, silentDaemons} = startDomain();
	for (const name of await run(8000)) {
		silentDaemons.add(name);
	}

	const replaced = await run(2500);
	t.equal(replaced.length, 2);
});

tap.t.test('a watcher that loses the store is replaced, and resumes later', async (t) => {
	const {run, contacts} = startDomain();
	const settled = await run(8000);
	contacts.set(settled[0]!, 'lost');
	const during = await run(8000);
	t.equal(during.length, 3);
	t.ok(during.includes(settled[0]!), 'it keeps retrying');
	contacts.delete(settled[0]!);
	t.same(await run(8000), settled);
});

tap.t.test('all daemons watch during a store outage, and two remain after it', async (t) => {
	const {run, contacts} = startDomain();
	const settled = await run(8000);
	for (const name of names) {
		contacts.set(name, 'lost');
	}

	const during = await run(1000);
	t.equal(during.length, 15);
	contacts.clear();
	t.same(await run(8000), settled);
});

tap.t.test('a daemon that cannot pull from peers watches the store', async (t) => {
	const {run} = startDomain();
	await run(8000);
	const behind = await run(500, 1200);
	t.equal(behind.length, 15);
});

tap.t.test('a shorter timeout elects the next ones sooner', async (t) => {
	const {run, silentDaemons} = startDomain(1000);
	const settled = await run(7000);
	for (const name of settled) {
		silentDaemons.add(name);
	}

	const replaced = await run(1500);
	t.equal(replaced.filter((name) => !silentDaemons.has(name)).length, 2);
});
