// The model of a runner's engine, and the comparison that is built on it.
import * as tap from 'tap';
import * as engineModel from '../common/engine-model.js';
import * as engineScenarios from '../common/engine-scenarios.js';
import * as fleetComparison from '../common/fleet-comparison.js';
import * as benchEngines from '../node/bench-engines.js';

const settings: engineModel.EngineSettings = {
	slots: 4,
	memoryTokens: 20_000,
	stepMs: 4,
	stepGrowthMs: 0,
	prefillTokensPerMs: 100,
	chunkTokens: 1000,
	eventTokens: 5,
};

const start = () => {
	const engine = engineModel.createEngine(settings);
	const firsts = new Map<string, number>();
	const ends = new Map<string, number>();
	const submit = (
		name: string,
		tokens: number,
		options: {isUrgent?: boolean; part?: string} = {},
	) =>
		engine.submit({
			parts: [{id: options.part ?? name, tokens}],
			outputTokens: 10,
			isUrgent: options.isUrgent ?? false,
			onFirstToken(nowMs) {
				firsts.set(name, nowMs);
			},
			onEvent: () => undefined,
			onEnd(nowMs) {
				ends.set(name, nowMs);
			},
		});
	return {engine, firsts, ends, submit};
};

tap.t.test('a prompt is read in chunks, then tokens follow', async (t) => {
	const {engine, firsts, ends, submit} = start();
	submit('a', 3000);
	engine.advance(10_000);
	t.equal(firsts.get('a'), 3 * (4 + 10) + 4);
	t.equal(ends.get('a'), firsts.get('a')! + 9 * 4);
});

tap.t.test('prompts of others delay each token', async (t) => {
	const {engine, firsts, ends, submit} = start();
	submit('a', 100);
	engine.advance(5);
	submit('long', 10_000);
	engine.advance(10_000);
	t.equal(ends.get('a'), firsts.get('a')! + 9 * (4 + 10));
});

tap.t.test('urgent prompts are read first', async (t) => {
	const {engine, firsts, submit} = start();
	submit('long', 5000);
	submit('short', 500, {isUrgent: true});
	engine.advance(10_000);
	t.ok(firsts.get('short')! < firsts.get('long')!);
});

tap.t.test('a part that is kept is not read again, until others need its memory', async (t) => {
	const {engine, submit} = start();
	submit('a', 8000, {part: 'tariff'});
	engine.advance(1000);
	submit('b', 8000, {part: 'tariff'});
	engine.advance(2000);
	t.equal(engine.readTokens, 8001, 'one token is read to begin');
	submit('c', 18_000);
	engine.advance(4000);
	const before = engine.readTokens;
	submit('d', 8000, {part: 'tariff'});
	engine.advance(6000);
	t.equal(engine.readTokens - before, 8000);
});

tap.t.test(
	'requests beyond the slots or the memory wait, and one that left frees its place',
	async (t) => {
		const {engine, submit} = start();
		const leave = submit('a', 15_000);
		submit('b', 15_000);
		engine.advance(1);
		t.equal(engine.running, 1);
		leave();
		t.equal(engine.running, 0);
		engine.advance(20);
		t.equal(engine.running, 1);
	},
);

tap.t.test(
	'sustained overload: more is served than by round robin or least in flight',
	async (t) => {
		const scenario = engineScenarios
			.createEngineScenarios(20_000)
			.find(({name}) => name === 'half of the runners')!;
		const [roundRobin, leastInFlight, own] = benchEngines
			.createPolicies(scenario)
			.map((create) => fleetComparison.runComparison(scenario, create, 7));
		const text = [roundRobin, leastInFlight, own].map((result) => result!.worth).join(', ');
		t.ok(own!.worth > roundRobin!.worth, text);
		t.ok(own!.worth > leastInFlight!.worth, text);
		t.same(
			fleetComparison.runComparison(scenario, benchEngines.createPolicies(scenario)[2]!, 7),
			own,
			'a seed repeats',
		);
	},
);
