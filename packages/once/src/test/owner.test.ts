// Guards rules of owner, witness and resolver that the random runs of the model
// test reach too seldom: memory limits, timeouts, and the content of state dumps.
import type * as gatewayError from '@hawthornfront/base/common/gateway-error.js';
import * as tap from 'tap';
import type * as execution from '../common/execution.js';
import * as key from '../common/key.js';
import * as settings from '../common/settings.js';
import * as cluster from './cluster.js';

const createTestCluster = (
	changes: Partial<settings.OnceSettings> = {},
	deliveryDelaysOf: (message: cluster.Message) => cluster.DeliveryDelays = () => [0],
	size = 2,
) =>
	cluster.createCluster({
		size,
		settings: {...settings.defaultSettings, ...changes},
		deliveryDelaysOf,
		attemptPlanOf: () => ({beforeMs: 0}),
	});

const answerOf =
	(bytes: number): execution.Execute =>
	async (markSent) => {
		markSent();
		return {status: 200, headers: {'x-secret': 'header text'}, body: new Uint8Array(bytes)};
	};

/** Advances time until a request has ended and returns its result or error. */
const waitForResult = async (
	simulation: cluster.Cluster,
	running: Promise<unknown>,
	durationMs = 3000,
) => {
	let result: unknown;
	const follow = async () => {
		try {
			result = await running;
		} catch (error) {
			result = (error as gatewayError.GatewayException).error;
		}
	};

	void follow();
	await simulation.advance(durationMs);
	return result as gatewayError.GatewayError & {isReplay?: boolean};
};

tap.t.test('a key that was refused by a full owner is never run', async (t) => {
	const simulation = createTestCluster({
		maxOwnerRecords: 1,
		keyLifetimeMs: 8000,
		retentionMs: 1000,
	});
	const {owner, issuer} = simulation.instances[0]!;
	await waitForResult(simulation, owner.run(issuer.issue(), 'a', answerOf(1)));
	await simulation.advance(2000);
	const late = issuer.issue();
	const refusal = await waitForResult(simulation, owner.run(late, 'b', answerOf(1)), 20);
	t.match(refusal, {kind: 'key-unavailable', outcome: 'not-run'});
	await simulation.advance(5000); // the first record is evicted now, so the table has room
	const again = await waitForResult(simulation, owner.run(late, 'b', answerOf(1)), 20);
	t.match(again, {kind: 'key-unavailable', outcome: 'not-run'});
	t.match(await waitForResult(simulation, owner.run(again.freshKey!, 'b', answerOf(1)), 100), {
		isReplay: false,
	});
	t.equal(owner.counters.notRun.full, 2);
});

tap.t.test('an answer is delayed for its completion no longer than the limit', async (t) => {
	const simulation = createTestCluster({completionWaitMs: 100}, (message) =>
		message.kind === 'once.complete' ? [] : [0],
	);
	const {owner, issuer, clock} = simulation.instances[0]!;
	const startMs = clock.nowMs();
	let answeredMs = 0;
	const run = async () => {
		await owner.run(issuer.issue(), 'a', answerOf(1));
		answeredMs = clock.nowMs();
	};

	await waitForResult(simulation, run(), 10_000);
	t.ok(answeredMs - startMs >= 100 && answeredMs - startMs <= 160, `${answeredMs - startMs} ms`);
	t.equal(owner.counters.completionsGivenUp, 1);
	t.equal(clock.pendingTimers, 2, 'only the sweeps of owner and witness are left');
});

tap.t.test('a request whose key expires during a pause is not sent', async (t) => {
	const simulation = createTestCluster();
	const {owner, issuer, clock} = simulation.instances[0]!;
	const execute: execution.Execute = async (markSent) => {
		clock.skip(settings.defaultSettings.keyLifetimeMs);
		return answerOf(1)(markSent);
	};

	const result = await waitForResult(simulation, owner.run(issuer.issue(), 'a', execute));
	t.match(result, {kind: 'key-expired', outcome: 'not-run', freshKey: /./u});
});

tap.t.test('a long answer reaches its first caller and later calls receive ran', async (t) => {
	const simulation = createTestCluster({maxAnswerBytes: 100});
	const {owner, issuer} = simulation.instances[0]!;
	const text = issuer.issue();
	const first = await waitForResult(simulation, owner.run(text, 'a', answerOf(500)));
	t.match(first, {answer: {body: {length: 500}}});
	t.match(await waitForResult(simulation, owner.run(text, 'a', answerOf(1))), {outcome: 'ran'});
	simulation.crash(0);
	t.match(await waitForResult(simulation, simulation.instances[1]!.resolver.resolve(text, 'a')), {
		outcome: 'ran',
	});
});

tap.t.test('a refusal by the engine is final and needs no witness', async (t) => {
	const simulation = createTestCluster();
	const {owner, issuer} = simulation.instances[0]!;
	const text = issuer.issue();
	const {freshKey} = owner.refuse(text, 'a')!;
	const result = await waitForResult(simulation, owner.run(text, 'a', answerOf(1)));
	t.match(result, {outcome: 'not-run', freshKey});
	t.equal(owner.refuse(text, 'a'), undefined);
});

tap.t.test(
	'a stopping owner whose witness is gone transfers its records to another daemon',
	async (t) => {
		const simulation = createTestCluster({}, undefined, 4);
		const {owner, issuer, view} = simulation.instances[0]!;
		const text = issuer.issue();
		await waitForResult(simulation, owner.run(text, 'a', answerOf(3)));
		const witnessName = key.parseKey(text)!.witness!.name;
		simulation.crash(
			simulation.instances.findIndex((instance) => instance.self.name === witnessName),
		);
		for (const instance of simulation.instances) {
			simulation.refreshView(instance);
		}

		const handedOver = await waitForResult(
			simulation,
			owner.handOff(view.filter((peer) => peer.name !== witnessName)),
		);
		t.same(handedOver, {kept: 1, lost: 0});
		simulation.crash(0);
		const running = simulation.instances.filter((instance) => instance.state === 'running');
		for (const instance of running) {
			simulation.refreshView(instance);
			t.match(await waitForResult(simulation, instance.resolver.resolve(text, 'a')), {
				body: {length: 3},
			});
		}
	},
);

tap.t.test(
	'an owner without other daemons runs requests, and the outcome is unknown after its crash',
	async (t) => {
		const simulation = createTestCluster();
		const {owner, issuer} = simulation.instances[0]!;
		issuer.avoidWitness('vm-1');
		const text = issuer.issue();
		t.match(await waitForResult(simulation, owner.run(text, 'a', answerOf(3))), {
			answer: {status: 200},
		});
		simulation.crash(0);
		t.match(await waitForResult(simulation, simulation.instances[1]!.resolver.resolve(text, 'a')), {
			outcome: 'unknown',
		});
	},
);

tap.t.test('the outcome is unknown when owner and witness are gone', async (t) => {
	const simulation = createTestCluster({}, undefined, 3);
	const {owner, issuer} = simulation.instances[0]!;
	const text = issuer.issue();
	const witnessName = key.parseKey(text)!.witness!.name;
	await waitForResult(simulation, owner.run(text, 'a', answerOf(3)));
	simulation.crash(0);
	simulation.restart(
		simulation.instances.findIndex((instance) => instance.self.name === witnessName),
	);
	for (const instance of simulation.instances.slice(1)) {
		const error = await waitForResult(simulation, instance.resolver.resolve(text, 'a'));
		t.match(error, {outcome: 'unknown', detail: /other-incarnation/u});
	}
});

tap.t.test('a full witness refuses and evicts nothing', (t) => {
	const simulation = createTestCluster({maxWitnessRecords: 4});
	const {issuer} = simulation.instances[0]!;
	const {witness} = simulation.instances[1]!;
	const ask = (text: string) => witness.resolve({key: text, fingerprint: 'a'}).outcome;
	const intend = (text: string) =>
		witness.intent({key: text, fingerprint: 'a', ownerNowMs: 0}).kind;
	const sealed = [issuer.issue(), issuer.issue()];
	t.same(
		sealed.map((text) => ask(text)),
		['not-run', 'not-run'],
	);
	t.equal(ask(issuer.issue()), 'unknown', 'seals take only half of the capacity');
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

tap.t.test('a witness that evicted an intent never answers not-run', async (t) => {
	const simulation = createTestCluster({keyLifetimeMs: 1000, retentionMs: 1000});
	const {issuer} = simulation.instances[0]!;
	const {witness} = simulation.instances[1]!;
	const old = issuer.issue();
	const forgotten = issuer.issue();
	witness.intent({key: forgotten, fingerprint: 'a', ownerNowMs: 0});
	await simulation.advance(10_000);
	t.match(witness.dump(), {records: 0});
	for (const text of [old, forgotten]) {
		t.match(witness.resolve({key: text, fingerprint: 'a'}), {reason: 'forgotten'});
		t.match(witness.intent({key: text, fingerprint: 'a', ownerNowMs: 0}), {reason: 'forgotten'});
	}

	t.match(witness.resolve({key: issuer.issue(), fingerprint: 'a'}), {outcome: 'not-run'});
	t.end();
});

tap.t.test('state dumps contain no content of requests or keys', async (t) => {
	const simulation = createTestCluster();
	const {owner, issuer} = simulation.instances[0]!;
	const text = issuer.issue();
	await waitForResult(simulation, owner.run(text, 'fingerprint text', answerOf(20)));
	const dumps = JSON.stringify([owner.dump(), simulation.instances[1]!.witness.dump()]);
	for (const secret of [text, 'fingerprint text', 'header text', 'AAAA']) {
		t.notOk(dumps.includes(secret), secret);
	}

	t.match(owner.dump(), {records: 1, unknownShare: 0, counters: {ran: 1}});
});
