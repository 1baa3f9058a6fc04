// A runner that said in an answer that it leaves got further work while the store was away or back from an older copy.
import * as tap from 'tap';
import * as relayHeaders from '../common/relay-headers.js';
import type * as wireFormat from '../common/wire-format.js';
import * as engineHarness from './engine-harness.js';
import * as fixtures from './fixtures.js';

const {signed, start, headerOf} = engineHarness;
const leaving = {...signed, leaving: '1'};

/** A request at its upstream, whose answer a test gives, and what the registry holds of that upstream after. */
const answerWith = (status: number, headers: wireFormat.Headers, options = {}) => {
	const run = start(fixtures.bookingRoute, {upstreams: 2, ...options});
	const id = headerOf(run.transport.last, 'to')!;
	const {listener} = run.transport.last;
	listener.onHead(status, headers);
	const isDraining = () => run.registry.get(id)?.entry.isDraining;
	return {...run, id, listener, isDraining};
};

for (const [name, status, headers] of [
	['an answer', 200, leaving],
	['a failure', 500, leaving],
	['a refusal', 503, {...engineHarness.refused, leaving: '1'}],
	['an answer without a signature', 200, {attempt: 'attempt-1', leaving: '1'}],
] as const) {
	tap.t.test(`${name} says that the upstream leaves`, (t) => {
		const {isDraining, registry, id} = answerWith(status, headers);
		t.equal(isDraining(), true);
		t.notOk(registry.usable('desk', 'north').some(({entry}) => entry.id === id));
		t.end();
	});
}

tap.t.test('the head of a stream says so, also if the stream breaks off', (t) => {
	const run = start(fixtures.longRoute, {upstreams: 2});
	const id = headerOf(run.transport.last, 'to')!;
	run.transport.last.listener.onHead(200, leaving);
	t.equal(run.registry.get(id)?.entry.isDraining, true);
	run.transport.last.listener.onFailure({mayHaveBeenSent: true, detail: 'ECONNRESET'});
	t.equal(run.registry.get(id)?.entry.isDraining, true);
	t.end();
});

for (const [name, status, headers] of [
	['an answer to another request', 200, {...leaving, attempt: 'attempt-0'}],
	['an answer without an id', 200, {signed: '1', leaving: '1'}],
	['another upstream at the address', 421, {...engineHarness.wrongUpstream, leaving: '1'}],
] as const) {
	tap.t.test(`${name} says nothing about the upstream`, (t) => {
		t.equal(answerWith(status, headers).isDraining(), false);
		t.end();
	});
}

tap.t.test('nor does an answer that another daemon passes on', async (t) => {
	const {clock, fleet, registry, transport} = start(fixtures.shortRoute, {upstreams: 1});
	const [upstream] = registry.all();
	fleet.noteMember(fixtures.member('s1', {region: 'south', failureDomain: 'south-a'}), 0);
	registry.replaceAll([], 2);
	transport.last.listener.onFailure({mayHaveBeenSent: false, detail: 'ECONNREFUSED'});
	await clock.advance(200);
	t.equal(headerOf(transport.last, relayHeaders.relayedFromHeader), 'north');
	registry.put(upstream!.entry, 3);
	transport.last.listener.onHead(200, leaving);
	t.equal(registry.all()[0]!.entry.isDraining, false);
});

// Guards against a listing, or a store that is back from a copy, that still calls the upstream active.
tap.t.test('it holds against the store until the upstream starts again', (t) => {
	const {registry, id, isDraining} = answerWith(200, leaving);
	const active = registry.all().map(({entry}) => ({...entry, isDraining: false}));
	registry.replaceAll(active, 50);
	t.equal(isDraining(), true, 'a listing');
	registry.put(
		active.find((entry) => entry.id === id)!,
		51,
	);
	t.equal(isDraining(), true, 'a change');
	registry.replaceFromPeer(
		active.map((entry) => ({entry, coldLeftMs: 0, isMissing: false})),
		60,
		'n2',
	);
	t.equal(isDraining(), true, 'the snapshot of a peer');
	registry.put({...active.find((entry) => entry.id === id)!, startedAtUnixMs: 99}, 61);
	t.equal(isDraining(), false);
	t.end();
});

tap.t.test('peers get it with the snapshot, and the change has its source', (t) => {
	const run = start(fixtures.bookingRoute, {upstreams: 1});
	const sources: string[] = [];
	run.registry.onDidChange(({kind, source}) => sources.push(`${kind} ${source}`));
	run.transport.last.listener.onHead(200, leaving);
	t.same(sources, ['draining answer']);
	t.match(run.registry.reportAll(), [{entry: {isDraining: true}}]);
	t.end();
});

// Guards against a late answer of an earlier start that takes its successor out of use.
tap.t.test('an answer of an earlier start says nothing about the present one', (t) => {
	const run = start(fixtures.bookingRoute, {upstreams: 1});
	const {entry} = run.registry.all()[0]!;
	run.registry.put({...entry, startedAtUnixMs: 99}, 50);
	run.transport.last.listener.onHead(200, leaving);
	t.equal(run.registry.get(entry.id)?.entry.isDraining, false);
	t.end();
});

tap.t.test('an upstream that left and is listed again still leaves', (t) => {
	const run = start(fixtures.bookingRoute, {upstreams: 1});
	const entry = {...run.registry.all()[0]!.entry, startedAtUnixMs: 7};
	const upstream = {entry, region: 'north', coldUntilMs: 0};
	run.registry.put(entry, 50);
	run.registry.remove(entry.id, 51);
	run.registry.noteLeaving(upstream);
	run.registry.put(entry, 52);
	t.equal(run.registry.get(entry.id)?.entry.isDraining, true);
	t.end();
});
