/** `npm run bench -- engines`: choices of a runner on a model of one region, on virtual time. */
import * as engineScenarios from '../common/engine-scenarios.js';
import * as fleetComparison from '../common/fleet-comparison.js';
import * as textTable from '../common/text-table.js';

const fullPlan = {seeds: [1, 2, 3], durationMs: 20_000};
const quickPlan = {seeds: [1], durationMs: 8000};

/** Policies in the order of the table. */
export const createPolicies = (
	scenario: fleetComparison.Scenario,
): fleetComparison.CreatePolicy[] => [
	() => new fleetComparison.RoundRobin(scenario.runners, scenario.daemons),
	() => new fleetComparison.LeastInFlight(scenario.runners, scenario.daemons),
	(clock, numbers) => new fleetComparison.OwnDispatcher(scenario, clock, numbers),
];

/** Plays all scenarios and prints a table for each. */
export const runEngineBench = (options: {isQuick: boolean; print(text: string): void}): void => {
	const plan = options.isQuick ? quickPlan : fullPlan;
	for (const scenario of engineScenarios.createEngineScenarios(plan.durationMs)) {
		const rows: string[][] = [];
		for (const createPolicy of createPolicies(scenario)) {
			for (const seed of plan.seeds) {
				const result = fleetComparison.runComparison(scenario, createPolicy, seed);
				for (const kind of result.kinds) {
					rows.push([
						`${result.policy}, seed ${seed}, ${kind.kind}`,
						result.worth.toFixed(3),
						String(result.readTokens),
						...[
							kind.asked,
							kind.inAim,
							kind.late,
							kind.refused,
							kind.failed,
							kind.firstP50Ms,
							kind.firstP99Ms,
						].map(String),
					]);
				}
			}
		}

		options.print(`\n${scenario.name}`);
		options.print(
			textTable.formatTable(
				[
					'policy',
					'worth',
					'tokens read',
					'asked',
					'in aim',
					'late',
					'refused',
					'failed',
					'first p50',
					'p99 ms',
				],
				rows,
			),
		);
	}
};
