// Guards against a second execution under any mix of lost, late and duplicated
// messages, pauses, crashes, restarts and retries, and against an answer of
// `not-run` or `ran` that is wrong or becomes wrong later.
import * as random from '@hawthornfront/base/common/random.js';
import * as fc from 'fast-check';
import * as tap from 'tap';
import * as settings from '../common/settings.js';
import * as cluster from './cluster.js';

const daemons = 4;
const keySlots = 4;
const longPauseMs = 9000;

type Operation =
	| {kind: 'issue'; daemon: number; slot: number}
	| {kind: 'ask'; daemon: number; slot: number; fingerprint: number}
	| {kind: 'ask-owner'; slot: number}
	| {kind: 'pause'; daemon: number; isClockFrozen: boolean}
	| {kind: 'pause-owner'; slot: number}
	| {kind: 'long-pause'; slot: number}
	| {kind: 'resume'; daemon: number}
	| {kind: 'crash'; daemon: number}
	| {kind: 'restart'; daemon: number}
	| {kind: 'gossip'; daemon: number}
	| {kind: 'stop'; daemon: number}
	| {kind: 'wait'; durationMs: number};

const daemon = fc.nat(daemons - 1);
const slot = fc.nat(keySlots - 1);
const constant = <Kind extends string>(kind: Kind) => fc.constant(kind);

const operation: fc.Arbitrary<Operation> = fc.oneof(
	{weight: 8, arbitrary: fc.record({kind: constant('issue'), daemon, slot})},
	{
		weight: 16,
		arbitrary: fc.record({
			kind: constant('ask'),
			daemon,
			slot,
			fingerprint: fc.nat(9).map((value) => (value === 0 ? 1 : 0)),
		}),
	},
	{weight: 24, arbitrary: fc.record({kind: constant('ask-owner'), slot})},
	{
		weight: 1,
		arbitrary: fc.record({kind: constant('pause'), daemon, isClockFrozen: fc.boolean()}),
	},
	{weight: 2, arbitrary: fc.record({kind: constant('pause-owner'), slot})},
	{weight: 1, arbitrary: fc.record({kind: constant('long-pause'), slot})},
	{weight: 8, arbitrary: fc.record({kind: constant('resume'), daemon})},
	{weight: 1, arbitrary: fc.record({kind: constant('crash'), daemon})},
	{weight: 2, arbitrary: fc.record({kind: constant('restart'), daemon})},
	{weight: 5, arbitrary: fc.record({kind: constant('gossip'), daemon})},
	{weight: 1, arbitrary: fc.record({kind: constant('stop'), daemon})},
	{
		weight: 16,
		arbitrary: fc.record({
			kind: constant('wait'),
			durationMs: fc.oneof(
				{weight: 3, arbitrary: fc.integer({min: 20, max: 100})},
				{weight: 1, arbitrary: fc.integer({min: 100, max: 1500})},
			),
		}),
	},
);

/** Short lifetimes, so that records expire and are evicted within a run. */
const shortSettings: settings.OnceSettings = {
	...settings.defaultSettings,
	keyLifetimeMs: 2500,
	retentionMs: 1000,
	maxOwnerRecords: 2,
	maxWitnessRecords: 2,
};

/** Most messages arrive within 60 ms; some are lost, duplicated or seconds late. */
const createDeliveryDelays =
	(numbers: random.Random, faultShare: number) =>
	(message: cluster.Message): cluster.DeliveryDelays => {
		const delayMs = () =>
			numbers.next() < faultShare / 2 ? numbers.integer(0, 4000) : numbers.integer(0, 60);
		if (numbers.next() < faultShare) {
			return [];
		}

		// An upstream is called over one connection, so its messages aren't duplicated.
		const isDuplicated = numbers.next() < faultShare && message.kind !== 'upstream';
		return isDuplicated ? [delayMs(), delayMs()] : [delayMs()];
	};

const createAttemptPlans = (numbers: random.Random) => (): cluster.AttemptPlan => ({
	beforeMs: numbers.integer(0, 100),
	failure: numbers.pick([
		undefined,
		undefined,
		undefined,
		undefined,
		'before-sending',
		'connection-refused',
		'gave-up',
	]),
});

type Run = {operations: Operation[]; seed: number; faultShare: number};

/** Number of occurrences of each situation, to verify that the runs reach all of them. */
const situationCounts: Record<string, number> = {};
const countSituation = (name: string, count = 1) => {
	situationCounts[name] = (situationCounts[name] ?? 0) + count;
};

/** Performs one run and returns all violated invariants. */
const runOperations = async (run: Run): Promise<string[]> => {
	const numbers = random.createRandom(run.seed);
	const simulation = cluster.createCluster({
		size: daemons,
		settings: shortSettings,
		deliveryDelaysOf: createDeliveryDelays(numbers.fork(), run.faultShare),
		attemptPlanOf: createAttemptPlans(numbers.fork()),
		rateOf: (index) => (index - 1) * 0.02,
	});
	const keys: Array<{text: string; owner: number} | undefined> = [];
	const sendRequest = (index: number | undefined, slotIndex: number, fingerprint: string) => {
		const issued = keys[slotIndex];
		if (issued) {
			simulation.sendRequest(index ?? issued.owner, issued.text, fingerprint);
		}
	};

	const apply: {[Kind in Operation['kind']]: (step: Operation & {kind: Kind}) => unknown} = {
		issue(step) {
			const instance = simulation.instances[step.daemon]!;
			if (instance.state === 'running') {
				keys[step.slot] = {text: instance.issuer.issue(), owner: step.daemon};
			}
		},
		ask(step) {
			sendRequest(step.daemon, step.slot, `f${step.fingerprint}`);
		},
		'ask-owner'(step) {
			sendRequest(undefined, step.slot, 'f0');
		},
		pause(step) {
			simulation.pause(step.daemon, step.isClockFrozen);
		},
		'pause-owner'(step) {
			simulation.pause(keys[step.slot]?.owner ?? 0, true);
		},
		/**
		 * Pauses the owner and its clock until the records at the witness have expired.
		 * The keys that the owner issues next appear old to the witness.
		 */
		async 'long-pause'(step) {
			const index = keys[step.slot]?.owner ?? 0;
			simulation.pause(index, true);
			await simulation.advance(longPauseMs);
			simulation.resume(index);
			await apply.issue({kind: 'issue', daemon: index, slot: step.slot});
			sendRequest(index, step.slot, 'f0');
		},
		resume(step) {
			simulation.resume(step.daemon);
		},
		crash(step) {
			simulation.crash(step.daemon);
		},
		restart(step) {
			simulation.restart(step.daemon);
		},
		gossip(step) {
			simulation.refreshView(simulation.instances[step.daemon]!);
		},
		stop(step) {
			const instance = simulation.instances[step.daemon]!;
			if (instance.state === 'running') {
				void instance.owner.handOff(instance.view);
			}
		},
		wait: async (step) => simulation.advance(step.durationMs),
	};

	for (const step of run.operations) {
		const handler = apply[step.kind] as (step: Operation) => unknown;
		await handler(step);
	}

	for (let index = 0; index < daemons; index++) {
		simulation.resume(index);
	}

	await simulation.advance(6000);
	return check(simulation);
};

const check = (simulation: cluster.Cluster): string[] => {
	const violations: string[] = [];
	const byKey = new Map<string, number>();
	for (const [id, count] of simulation.executions) {
		const [keyText] = id.split(' ');
		byKey.set(keyText!, (byKey.get(keyText!) ?? 0) + count);
	}

	for (const count of byKey.values()) {
		countSituation('executed', count);
		if (count > 1) {
			violations.push(`executed ${count} times under one key`);
		}
	}

	for (const item of simulation.callerResults) {
		const after = simulation.executions.get(item.id) ?? 0;
		countSituation(`${item.outcome} ${item.outcome === 'ran' ? '' : item.kind}`.trim());
		if (item.outcome === 'not-run' && (item.executions !== 0 || after !== 0)) {
			violations.push(
				`${item.by} said not-run; executions then ${item.executions}, later ${after}`,
			);
		}

		if (item.outcome === 'ran' && (item.executions !== 1 || after !== 1)) {
			violations.push(`${item.by} said ran; executions then ${item.executions}, later ${after}`);
		}

		if (item.outcome === 'ran' && item.kind !== `answer to ${item.id}`) {
			violations.push(`${item.by} gave another answer: ${item.kind}`);
		}
	}

	for (const instance of simulation.instances) {
		const {witness, resolver} = instance;
		countSituation('refused without room', instance.owner.counters.notRun.full);
		countSituation('sealed', witness.counters.seals);
		countSituation('intent refused as sealed', witness.counters.intentsRefused.sealed);
		countSituation('intent refused as full', witness.counters.intentsRefused.full);
		countSituation('intent refused as forgotten', witness.counters.intentsRefused.forgotten);
		countSituation('resolved as ran', resolver.counters.ran);
		countSituation('resolved as forgotten', resolver.counters.unknown.forgotten);
		countSituation(
			'resolved at a restarted witness',
			resolver.counters.unknown['other-incarnation'],
		);
		countSituation(
			'answered from an intent',
			resolver.counters.unknown['intent-without-completion'],
		);
		if (witness.counters.contradictions > 0) {
			violations.push(`${instance.self.name} saw a contradiction`);
		}
	}

	return violations;
};

tap.t.test('at most one execution, and outcomes that callers received stay true', async (t) => {
	const property = fc.asyncProperty(
		fc.record({
			operations: fc.array(operation, {minLength: 40, maxLength: 120, size: 'max'}),
			seed: fc.integer({min: 1, max: 2 ** 31 - 1}),
			faultShare: fc.constantFrom(0, 0.02, 0.1, 0.3),
		}),
		async (run) => {
			const violations = await runOperations(run);
			if (violations.length > 0) {
				throw new Error(violations.join('; '));
			}
		},
	);
	for (const seed of [20_261_204, 7, 4242]) {
		await fc.assert(property, {seed, numRuns: 100});
	}

	t.comment(JSON.stringify(situationCounts));
	for (const situation of [
		'not-run key-reused',
		'not-run key-expired',
		'not-run no-upstream',
		'not-run key-unavailable',
		'unknown key-unavailable',
		'refused without room',
		'sealed',
		'intent refused as sealed',
		'intent refused as full',
		'intent refused as forgotten',
		'resolved as ran',
		'resolved as forgotten',
		'resolved at a restarted witness',
		'answered from an intent',
	]) {
		t.ok((situationCounts[situation] ?? 0) > 0, situation);
	}
});
