/** Runs scenarios, policies and seeds and combines their results. */
import * as experiment from './experiment.js';
import type * as policyModule from './policy.js';
import type * as scenarios from './scenarios.js';
import * as summary from './summary.js';

export type BenchmarkPlan = {
	scenarios: readonly scenarios.Scenario[];
	policies: readonly policyModule.PolicyFactory[];
	seeds: readonly number[];
	/** Called after all seeds of one scenario and policy. */
	onResult?: (result: summary.PolicyResult) => void;
};

/** Runs everything one after the other. */
export const runBenchmark = async (plan: BenchmarkPlan): Promise<summary.PolicyResult[]> => {
	const results = [];
	for (const scenario of plan.scenarios) {
		for (const policy of plan.policies) {
			const runs = [];
			for (const seed of plan.seeds) {
				runs.push(await experiment.runExperiment({scenario, policy, seed}));
			}

			const name = {
				scenario: scenario.name,
				situation: scenario.situation,
				policy: policy.name,
				isBaseline: policy.isBaseline,
			};
			const result = summary.combineRuns(name, runs);
			results.push(result);
			plan.onResult?.(result);
		}
	}

	return results;
};
