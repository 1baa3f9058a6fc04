// Quarantined prompt parts in the store, on a manual clock.
import type * as clockService from '@hawthornfront/base/common/clock.js';
import * as manualClock from '@hawthornfront/base/common/manual-clock.js';
import * as tap from 'tap';
import type * as gatewayEvent from '../common/gateway-event.js';
import * as promptQuarantine from '../common/prompt-quarantine.js';
import * as quarantineStore from '../node/quarantine-store.js';
import * as fixtures from './fixtures.js';
import * as memoryStore from './memory-store.js';

const service = 'model';
/** One of several requests with a harmful part. */
const requestOf = (name: string): promptQuarantine.JudgedRequest => ({
	partIds: () => ['harmful'],
	digest: () => name,
	isStream: true,
});
const request = requestOf('another');

const startDaemon = (
	clock: clockService.Clock,
	store: memoryStore.MemoryPrefixStore,
	daemonName: string,
	otherWatchers: string[] = [],
	isWatching = true,
) => {
	const events: gatewayEvent.GatewayEvent[] = [];
	const quarantine = promptQuarantine.createPromptQuarantine(
		clock,
		() => fixtures.quarantineSettings,
	);
	const subject = quarantineStore.startQuarantineStore({
		clock,
		random: () => 0.5,
		store,
		prefix: 'hf/quarantine/',
		quarantine,
		log: {
			note(event) {
				events.push(event);
			},
		},
		daemonName,
		aloneWatchWaitMs: 2000,
		otherWatchers: () => otherWatchers,
	});
	subject.setWatching(isWatching);
	const crashTwice = () => {
		for (const upstreamKey of [1, 2]) {
			quarantine.noteCrash(service, upstreamKey, [
				{request: requestOf(`crashed-${upstreamKey}`), sentBeforeMs: 300, wasAnswering: true},
			]);
		}
	};

	const isRefused = () => quarantine.quarantinedPart(service, request) !== undefined;
	return {quarantine, subject, events, crashTwice, isRefused};
};

const start = () => {
	const clock = new manualClock.ManualClock();
	return {clock, store: new memoryStore.MemoryPrefixStore(clock)};
};

// Guards against prompts that crash upstreams again after all daemons lost their memory.
tap.t.test('a quarantine survives a restart of all daemons', async (t) => {
	const {clock, store} = start();
	const first = startDaemon(clock, store, 'n1');
	await clock.advance(1000);
	first.crashTwice();
	await clock.advance(1000);
	first.subject.dispose();
	await clock.advance(5000);
	const second = startDaemon(clock, store, 'n1');
	await clock.advance(500);
	const found = second.quarantine.quarantinedPart(service, request);
	t.match(found, {partId: 'harmful'});
	t.ok(
		found!.remainingMs <= fixtures.quarantineSettings.firstMs - 6000,
		`${found!.remainingMs} ms`,
	);
	second.subject.dispose();
});

tap.t.test(
	'a daemon that does not watch the store reads it once, also after an outage',
	async (t) => {
		const {clock, store} = start();
		const watcher = startDaemon(clock, store, 'n1');
		await clock.advance(1000);
		watcher.crashTwice();
		await clock.advance(2000);
		watcher.subject.dispose();
		store.isUnavailable = true;
		const reader = startDaemon(clock, store, 'n2', [], false);
		await clock.advance(3000);
		t.notOk(reader.isRefused());
		store.isUnavailable = false;
		await clock.advance(2000);
		t.ok(reader.isRefused());
		const {calls} = store;
		await clock.advance(20_000);
		t.equal(store.calls, calls, 'no further calls');
		reader.subject.dispose();
	},
);

tap.t.test('one of several daemons writes, another one if it does not', async (t) => {
	const {clock, store} = start();
	const daemons = ['n1', 'n2'].map((name, index, names) =>
		startDaemon(clock, store, name, [names[1 - index]!]),
	);
	await clock.advance(1000);
	for (const {crashTwice} of daemons) {
		crashTwice();
	}

	const {calls} = store;
	await clock.advance(3000);
	t.ok(store.calls - calls <= 6, `${store.calls - calls} calls, of these a lease and a write`);
	const {items} = await store.list('hf/quarantine/');
	t.equal(items.length, 1);
	for (const {subject} of daemons) {
		subject.dispose();
	}

	const alone = start();
	const daemon = startDaemon(alone.clock, alone.store, 'n1', ['silent-1', 'silent-2']);
	await alone.clock.advance(1000);
	daemon.crashTwice();
	await alone.clock.advance(6000);
	const listing = await alone.store.list('hf/quarantine/');
	t.equal(listing.items.length, 1);
	daemon.subject.dispose();
});

tap.t.test('a release is written, and read after an outage', async (t) => {
	const {clock, store} = start();
	const first = startDaemon(clock, store, 'n1');
	const second = startDaemon(clock, store, 'n2', ['n1']);
	await clock.advance(1000);
	first.crashTwice();
	await clock.advance(2000);
	t.ok(second.isRefused());
	store.isUnavailable = true;
	await clock.advance(6000);
	first.quarantine.noteAnswer(service, request);
	await clock.advance(2000);
	t.ok(second.isRefused());
	store.isUnavailable = false;
	await clock.advance(8000);
	t.notOk(second.isRefused());
	t.ok(first.events.some(({kind}) => kind === 'store-lost'));
	first.subject.dispose();
	second.subject.dispose();
});

// Guards against parts that count as saved although a restore of the store has lost them.
tap.t.test('a quarantine that a restore has lost is written again', async (t) => {
	const {clock, store} = start();
	const daemon = startDaemon(clock, store, 'n1');
	await clock.advance(1000);
	const copy = store.copy();
	daemon.crashTwice();
	await clock.advance(2000);
	store.restore(copy);
	const {items: lost} = await store.list('hf/quarantine/');
	t.same(lost, []);
	await clock.advance(3000);
	const {items} = await store.list('hf/quarantine/');
	t.equal(items.length, 1);
	daemon.subject.dispose();
});

tap.t.test('a broken entry is rejected with a log line', async (t) => {
	const {clock, store} = start();
	store.write('hf/quarantine/1', {service, crashes: []});
	const {events, subject, isRefused} = startDaemon(clock, store, 'n1');
	await clock.advance(1000);
	t.notOk(isRefused());
	t.match(events, [{kind: 'entry-rejected', key: 'hf/quarantine/1'}]);
	subject.dispose();
});

// Guards against thousands of calls of the store for one prompt whose parts no crash tells apart yet.
tap.t.test('a large group of parts is stored once it is smaller', async (t) => {
	const {clock, store} = start();
	const {quarantine, subject} = startDaemon(clock, store, 'n1');
	const others = Array.from({length: 100}, (_, index) => `part-${index}`);
	const crash = (upstreamKey: number, partIds: readonly string[]) => {
		const whole = {...requestOf(`crashed-${upstreamKey}`), partIds: () => partIds};
		const victim = {request: whole, sentBeforeMs: 300, wasAnswering: true};
		quarantine.noteCrash(service, upstreamKey, [victim]);
	};

	await clock.advance(1000);
	crash(1, [...others, 'harmful']);
	crash(2, [...others, 'harmful']);
	await clock.advance(3000);
	const before = await store.list('hf/quarantine/');
	t.equal(before.items.length, 0);
	quarantine.noteAnswer(service, {...requestOf('sound'), partIds: () => others});
	await clock.advance(3000);
	const after = await store.list('hf/quarantine/');
	t.equal(after.items.length, 1);
	subject.dispose();
});
