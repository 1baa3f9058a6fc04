/** Compares ways to shed load and prints a table. */
import process from 'node:process';
import * as overloadComparison from '../common/overload-comparison.js';
import * as overloadScenarios from '../common/overload-scenarios.js';

const seeds = Number(process.argv[2] ?? 2);
const percent = (share: number) => (share * 100).toFixed(0).padStart(4);
const mean = (values: readonly number[]) =>
	values.reduce((sum, value) => sum + value, 0) / values.length;

const cases = [
	['equal ranks, 1.0', overloadScenarios.scenario(1, {long: 1, short: 1})],
	['equal ranks, 1.15', overloadScenarios.scenario(1.15, {long: 1, short: 1})],
	['equal ranks, 1.3', overloadScenarios.scenario(1.3, {long: 1, short: 1})],
	['short urgent, 1.15', overloadScenarios.scenario(1.15, {long: 1, short: 0})],
	['long urgent, 1.15', overloadScenarios.scenario(1.15, {long: 0, short: 1})],
	['long urgent, 1.3', overloadScenarios.scenario(1.3, {long: 0, short: 1})],
	['long before short, 1.3', overloadScenarios.scenario(1.3, {long: 1, short: 2})],
	[
		'long before short, 1.3, retry at once',
		overloadScenarios.scenario(1.3, {long: 1, short: 2}, {returnMs: 100}),
	],
	[
		'equal ranks, 1.3, retry at once',
		overloadScenarios.scenario(1.3, {long: 1, short: 1}, {returnMs: 100}),
	],
	[
		'equal ranks, 1.15, rate known as 90',
		overloadScenarios.scenario(1.15, {long: 1, short: 1}, {settings: {prefillTokensPerMs: 90}}),
	],
] as const;

for (const [name, scenario] of cases) {
	process.stdout.write(`${name}\n`);
	for (const policy of overloadScenarios.policies) {
		const runs = Array.from({length: seeds}, (_, seed) =>
			overloadComparison.runOverload(scenario, policy, seed + 1),
		);
		const columns = scenario.kinds.map((kind, index) => {
			const of = (field: 'inTarget' | 'late' | 'largest' | 'refusals') =>
				mean(runs.map((results) => results[index]![field]));
			return `${kind.name} in${percent(of('inTarget'))} late${percent(of('late'))} lost${percent(1 - of('inTarget') - of('late'))} largest${percent(of('largest'))} refusals ${of('refusals').toFixed(1)}`;
		});
		process.stdout.write(`  ${policy.name.padEnd(18)} ${columns.join(' | ')}\n`);
	}
}
