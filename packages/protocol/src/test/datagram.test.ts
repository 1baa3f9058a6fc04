// Guards against datagrams that decode to other values, crash a daemon or are accepted by another cluster.
import * as assert from 'node:assert/strict';
import * as fc from 'fast-check';
import * as tap from 'tap';
import * as claim from '../common/claim.js';
import * as datagramCodec from '../common/datagram-codec.js';

const seed = 20_261_204;
const name = fc.string({maxLength: 20});
const count = fc.integer({min: 0, max: 2 ** 32});
const state = fc.constantFrom(...claim.memberStates);
const sender = {
	name,
	incarnation: count,
	sequence: count,
	revision: fc.integer({min: 0, max: 2 ** 40}),
	state,
	isWatching: fc.boolean(),
};
const member = fc.record({
	name,
	incarnation: count,
	region: name,
	failureDomain: name,
	httpAddress: name,
	datagramAddress: name,
});
// One wait per model, because the codec sorts the waits of a model by work class.
const waits = fc.uniqueArray(
	fc.record({
		model: name,
		workClass: fc.constantFrom('short' as const, 'long' as const, 'service' as const),
		waitMs: count,
	}),
	{maxLength: 5, selector: (wait) => wait.model},
);
const load = fc.record({
	upstream: fc.oneof(count, name),
	running: count,
	waiting: count,
	slots: count,
	leaving: fc.boolean(),
	model: fc.oneof(count, name),
	role: fc.oneof(name, fc.constant('both')),
	ageMs: count.map((age) => age * 20),
});
const heartbeat = fc.record({
	kind: fc.constant('heartbeat' as const),
	...sender,
	wantsAnswer: fc.boolean(),
	wantsStatus: fc.boolean(),
	digest: count,
	claims: fc.array(fc.record({member, sequence: count, state, isWatching: fc.boolean()})),
	shortClaims: fc.array(
		fc.record({name, incarnation: count, sequence: count, state, isWatching: fc.boolean()}),
	),
	loads: fc.array(load),
	probes: fc.array(name),
	regions: fc.array(fc.record({region: name, ageMs: count, waits})),
});
const summary = fc.record({
	kind: fc.constant('summary' as const),
	...sender,
	region: name,
	failureDomain: name,
	digest: count,
	fullDigest: count,
	waits,
});

tap.t.test('decoding an encoded datagram restores it', async (t) => {
	const codec = datagramCodec.createDatagramCodec('cluster');
	fc.assert(
		fc.property(fc.oneof(heartbeat, summary), (item) => {
			assert.deepStrictEqual(codec.decode(codec.encode(item)), structuredClone(item));
		}),
		{seed, numRuns: 300},
	);
	t.pass();
});

tap.t.test('damaged and random datagrams never throw', async (t) => {
	const codec = datagramCodec.createDatagramCodec('cluster');
	const flip = fc.record({item: heartbeat, at: fc.nat(), value: fc.integer({min: 0, max: 255})});
	fc.assert(
		fc.property(fc.uint8Array({maxLength: 200}), (bytes) => codec.decode(bytes) === undefined),
		{seed, numRuns: 2000},
	);
	fc.assert(
		fc.property(flip, ({item, at, value}) => {
			const bytes = Uint8Array.from(codec.encode(item));
			bytes[at % bytes.length] = value;
			codec.decode(bytes);
			codec.decode(bytes.subarray(0, at % bytes.length));
		}),
		{seed, numRuns: 2000},
	);
	t.pass();
});

tap.t.test('a datagram of another cluster is dropped', async (t) => {
	const codec = datagramCodec.createDatagramCodec('cluster');
	const foreign = datagramCodec.createDatagramCodec('other');
	fc.assert(
		fc.property(fc.oneof(heartbeat, summary), (item) => !codec.decode(foreign.encode(item))),
		{seed, numRuns: 100},
	);
	t.pass();
});
