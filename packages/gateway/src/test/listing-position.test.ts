// Daemons that start while others live on, and what each of them takes for the state of the store.
import * as tap from 'tap';
import * as fixtures from './fixtures.js';
import * as storeDomain from './store-domain.js';

/** Bound on an upstream that leaves, and on a configuration. */
const changeMs = 3000;

/** A follower whose two watchers are killed; the key is removed before they start again. */
const loseWatchers = async (t: tap.Test, key: string, value: unknown) => {
	const domain = storeDomain.startDomain(t, ['n1', 'n2', 'n3']);
	const {clock, store, daemons, add, kill} = domain;
	const follower = daemons[2]!;
	follower.cluster.setWatching(false);
	store.write('ops/routes', fixtures.config);
	store.write('servers/u1', fixtures.upstream('u1'));
	store.write(key, value);
	await clock.advance(5000);
	kill('n1');
	kill('n2');
	await clock.advance(100);
	store.remove(key);
	await clock.advance(700);
	add('n1');
	add('n2');
	return {...domain, follower};
};

// Guards against an upstream that stays in use after it left while all watchers were down.
tap.t.test('a follower hears of a removal that only listings show', async (t) => {
	const {clock, follower} = await loseWatchers(t, 'servers/u2', fixtures.upstream('u2'));
	t.same(follower.ids(), ['u1', 'u2']);
	await clock.advance(changeMs - 700);
	t.same(follower.ids(), ['u1']);
});

// Guards against an evacuation that goes on after its end was missed by all watchers.
tap.t.test('a follower hears of an evacuation whose end only listings show', async (t) => {
	const {clock, follower} = await loseWatchers(t, 'ops/leave/north-b', {});
	t.ok(follower.cluster.isEvacuated('north-b'));
	await clock.advance(changeMs - 700);
	t.notOk(follower.cluster.isEvacuated('north-b'));
});

// Guards against listings without an end: each one shows a later revision than the watches of others.
tap.t.test('a daemon that starts does not make those that watch list again', async (t) => {
	const {clock, store, daemons, add} = storeDomain.startDomain(t, ['n1', 'n2']);
	store.write('ops/routes', fixtures.config);
	await clock.advance(5000);
	const before = store.listCalls;
	storeDomain.writeElsewhere(store, 1);
	add('n3');
	await clock.advance(100);
	t.equal(store.listCalls, before + 2, 'one listing of each prefix');
	for (let count = 0; count < 20; count++) {
		storeDomain.writeElsewhere(store, 1);
		await clock.advance(250);
	}

	t.equal(store.listCalls, before + 2);
	t.equal(daemons[0]!.registry.lastChange, daemons[2]!.registry.lastChange);
});
