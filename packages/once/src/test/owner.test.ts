// Guards against rules of owner, witness and resolver that random runs reach too
// seldom: limits of memory, bounds of time, and what a state dump shows.
import type * as gatewayError from '@hawthornfront/base/common/gateway-error.js';
import * as tap from 'tap';
import type * as execution from '../common/execution.js';
import * as key from '../common/key.js';
import * as settings from '../common/settings.js';
import * as cluster from './cluster.js';

const createWorld = (
	changes: Partial<settings.OnceSettings> = {},
	fateOf: (message: cluster.Message) => cluster.Fate = () => [0],
	size = 2,
) =>
	cluster.createCluster({
		size,
		settings: {...settings.defaultSettings, ...changes},
		fateOf,
		planOf: () => ({beforeMs: 0}),
	});

const answerOf =
	(bytes: number): execution.Execute =>
	async (markSent) => {
		markSent();
		return {status: 200, headers: {'x-secret': 'header text'}, body: new Uint8Array(bytes)};
	};

/** Runs a request to its end and gives the outcome, or the error. */
const settle = async (world: cluster.Cluster, running: Promise<unknown>, durationMs = 3000) => {
	let result: unknown;
	const follow = async () => {
		try {
			result = await running;
		} catch (error) {
			result = (error as gatewayError.GatewayException).error;
		}
	};

	void follow();
	await world.advance(durationMs);
	return result as gatewayError.GatewayError & {isReplay?: boolean};
};

tap.t.test('a key that was refused without room is never run', async (t) => {
	const world = createWorld({maxOwnerRecords: 1, keyLifetimeMs: 8000, retentionMs: 1000});
	const {owner, issuer} = world.lives[0]!;
	await settle(world, owner.run(issuer.issue(), 'a', answerOf(1)));
	await world.advance(2000);
	const late = issuer.issue();
	const refusal = await settle(world, owner.run(late, 'b', answerOf(1)), 20);
	t.match(refusal, {kind: 'key-unavailable', outcome: 'not-run'});
	await world.advance(5000); // the first record is forgotten now, and there is room
	const again = await settle(world, owner.run(late, 'b', answerOf(1)), 20);
	t.match(again, {kind: 'key-unavailable', outcome: 'not-run'});
	t.match(await settle(world, owner.run(again.freshKey!, 'b', answerOf(1)), 100), {
		isReplay: false,
	});
	t.equal(owner.counters.notRun.full, 2);
});

tap.t.test('an answer waits for its completion no longer than the bound', async (t) => {
	const world = createWorld({completionWaitMs: 100}, (message) =>
		message.kind === 'once.complete' ? [] : [0],
	);
	const {owner, issuer, clock} = world.lives[0]!;
	const startMs = clock.nowMs();
	let answeredMs = 0;
	const run = async () => {
		await owner.run(issuer.issue(), 'a', answerOf(1));
		answeredMs = clock.nowMs();
	};

	await settle(world, run(), 10_000);
	t.ok(answeredMs - startMs >= 100 && answeredMs - startMs <= 160, `${answeredMs - startMs} ms`);
	t.equal(owner.counters.completionsGivenUp, 1);
	t.equal(clock.pendingTimers, 2, 'only the sweeps of owner and witness are left');
});

tap.t.test('a request that outlives its key in a pause is not sent', async (t) => {
	const world = createWorld();
	const {owner, issuer, clock} = world.lives[0]!;
	const execute: execution.Execute = async (markSent) => {
		clock.skip(settings.defaultSettings.keyLifetimeMs);
		return answerOf(1)(markSent);
	};

	const result = await settle(world, owner.run(issuer.issue(), 'a', execute));
	t.match(result, {kind: 'key-expired', outcome: 'not-run', freshKey: /./u});
});

tap.t.test('a long answer reaches its first caller and is then known to have run', async (t) => {
	const world = createWorld({maxAnswerBytes: 100});
	const {owner, issuer} = world.lives[0]!;
	const text = issuer.issue();
	const first = await settle(world, owner.run(text, 'a', answerOf(500)));
	t.match(first, {answer: {body: {length: 500}}});
	t.match(await settle(world, owner.run(text, 'a', answerOf(1))), {outcome: 'ran'});
	world.crash(0);
	t.match(await settle(world, world.lives[1]!.resolver.resolve(text, 'a')), {outcome: 'ran'});
});

tap.t.test('a refusal by the engine is final and needs no witness', async (t) => {
	const world = createWorld();
	const {owner, issuer} = world.lives[0]!;
	const text = issuer.issue();
	const {freshKey} = owner.refuse(text, 'a')!;
	const result = await settle(world, owner.run(text, 'a', answerOf(1)));
	t.match(result, {outcome: 'not-run', freshKey});
	t.equal(owner.refuse(text, 'a'), undefined);
});

tap.t.test('a stopping owner whose witness is gone hands over to another', async (t) => {
	const world = createWorld({}, undefined, 4);
	const {owner, issuer, view} = world.lives[0]!;
	const text = issuer.issue();
	await settle(world, owner.run(text, 'a', answerOf(3)));
	const witnessName = key.parseKey(text)!.witness!.name;
	world.crash(world.lives.findIndex((life) => life.self.name === witnessName));
	for (const life of world.lives) {
		world.refreshView(life);
	}

	const handedOver = await settle(
		world,
		owner.handOff(view.filter((peer) => peer.name !== witnessName)),
	);
	t.same(handedOver, {kept: 1, lost: 0});
	world.crash(0);
	const asked = world.lives.filter((life) => life.state === 'running');
	for (const life of asked) {
		world.refreshView(life);
		t.match(await settle(world, life.resolver.resolve(text, 'a')), {body: {length: 3}});
	}
});

tap.t.test('an owner alone runs, and nothing is known after its crash', async (t) => {
	const world = createWorld();
	const {owner, issuer} = world.lives[0]!;
	issuer.avoidWitness('vm-1');
	const text = issuer.issue();
	t.match(await settle(world, owner.run(text, 'a', answerOf(3))), {answer: {status: 200}});
	world.crash(0);
	t.match(await settle(world, world.lives[1]!.resolver.resolve(text, 'a')), {outcome: 'unknown'});
});

tap.t.test('nothing is known when owner and witness are gone', async (t) => {
	const world = createWorld({}, undefined, 3);
	const {owner, issuer} = world.lives[0]!;
	const text = issuer.issue();
	const witnessName = key.parseKey(text)!.witness!.name;
	await settle(world, owner.run(text, 'a', answerOf(3)));
	world.crash(0);
	world.restart(world.lives.findIndex((life) => life.self.name === witnessName));
	for (const life of world.lives.slice(1)) {
		const error = await settle(world, life.resolver.resolve(text, 'a'));
		t.match(error, {outcome: 'unknown', detail: /other-incarnation/u});
	}
});

tap.t.test('a full witness refuses and forgets nothing', (t) => {
	const world = createWorld({maxWitnessRecords: 4});
	const {issuer} = world.lives[0]!;
	const {witness} = world.lives[1]!;
	const ask = (text: string) => witness.resolve({key: text, fingerprint: 'a'}).outcome;
	const intend = (text: string) =>
		witness.intent({key: text, fingerprint: 'a', ownerNowMs: 0}).kind;
	const sealed = [issuer.issue(), issuer.issue()];
	t.same(
		sealed.map((text) => ask(text)),
		['not-run', 'not-run'],
	);
	t.equal(ask(issuer.issue()), 'unknown', 'seals take only half of the room');
	t.same(
		[issuer.issue(), issuer.issue()].map((text) => intend(text)),
		['recorded', 'recorded'],
	);
	t.equal(intend(issuer.issue()), 'refused');
	t.same(
		sealed.map((text) => intend(text)),
		['refused', 'refused'],
	);
	t.equal(witness.counters.intentsRefused.full, 1);
	t.end();
});

tap.t.test('a witness that forgot an intent never says not-run', async (t) => {
	const world = createWorld({keyLifetimeMs: 1000, retentionMs: 1000});
	const {issuer} = world.lives[0]!;
	const {witness} = world.lives[1]!;
	const old = issuer.issue();
	const forgotten = issuer.issue();
	witness.intent({key: forgotten, fingerprint: 'a', ownerNowMs: 0});
	await world.advance(10_000);
	t.match(witness.dump(), {records: 0});
	for (const text of [old, forgotten]) {
		t.match(witness.resolve({key: text, fingerprint: 'a'}), {reason: 'forgotten'});
		t.match(witness.intent({key: text, fingerprint: 'a', ownerNowMs: 0}), {reason: 'forgotten'});
	}

	t.match(witness.resolve({key: issuer.issue(), fingerprint: 'a'}), {outcome: 'not-run'});
	t.end();
});

tap.t.test('state dumps hold nothing of requests or keys', async (t) => {
	const world = createWorld();
	const {owner, issuer} = world.lives[0]!;
	const text = issuer.issue();
	await settle(world, owner.run(text, 'fingerprint text', answerOf(20)));
	const dumps = JSON.stringify([owner.dump(), world.lives[1]!.witness.dump()]);
	for (const secret of [text, 'fingerprint text', 'header text', 'AAAA']) {
		t.notOk(dumps.includes(secret), secret);
	}

	t.match(owner.dump(), {records: 1, unknownShare: 0, counters: {ran: 1}});
});
