/** `npm run bench -- pauses`: many daemons and runners that ask for pauses, on virtual time. */
import * as pauseComparison from '../common/pause-comparison.js';
import * as textTable from '../common/text-table.js';

const seeds = [1, 2, 3];

/** Plays both scenarios with each policy and prints a table of each. */
export const runPauseBench = (options: {isQuick: boolean; print(text: string): void}): void => {
	for (const scenario of [pauseComparison.plannedSize, pauseComparison.fewRunners]) {
		playScenario(scenario, options);
	}
};

const playScenario = (
	scenario: pauseComparison.PauseScenario,
	options: {isQuick: boolean; print(text: string): void},
): void => {
	const rows: string[][] = [];
	for (const seed of options.isQuick ? seeds.slice(0, 1) : seeds) {
		for (const policy of pauseComparison.pausePolicies) {
			const result = pauseComparison.runPauseComparison(scenario, policy, seed);
			rows.push([
				`${policy}, seed ${seed}`,
				String(result.asked),
				result.refusedShare.toFixed(4),
				String(Math.round(result.waitP99Ms)),
				result.utilisation.toFixed(3),
				result.refusalsPerRequest.toFixed(3),
				String(result.arrivalsInPauses),
				result.swing.toFixed(2),
			]);
		}
	}

	const {daemons, runners} = scenario;
	options.print(`\n${daemons} daemons, ${runners} runners`);
	options.print(
		textTable.formatTable(
			['pauses', 'asked', 'refused', 'wait p99 ms', 'in use', 'refusals', 'in pauses', 'swing'],
			rows,
		),
	);
};
