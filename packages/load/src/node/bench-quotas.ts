/** `npm run bench -- quotas`: quotas of teams that many daemons share, on virtual time. */
import * as quotaFleet from '@hawthornfront/gateway/test/quota-fleet.js';
import * as textTable from '../common/text-table.js';

const sizes = [2, 7, 73, 195, 408];
const quickSizes = [2, 7, 73];
const seedCount = 10;
/** Alternatives are compared at one size. */
const comparedSize = 73;
const policies: quotaFleet.Policy[] = ['combined', 'fixed-shares', 'demand-shares'];

const playAll = (
	options: {daemons: number; policy: quotaFleet.Policy},
	seeds: readonly number[],
	print: (text: string) => void,
): void => {
	const rows = Object.keys(quotaFleet.scenarios).map((name) => {
		const result = quotaFleet.playScenario(name, options, seeds);
		return [
			name,
			result.worstWindow.toFixed(3),
			(100 * result.refusedBelow).toFixed(2),
			(100 * result.worstTeamRefused).toFixed(1),
		];
	});
	print(`\n${options.daemons} daemons, ${options.policy}, the worst of ${seeds.length} seeds`);
	print(
		textTable.formatTable(['load', 'use of the allowed', 'refused below %', 'worst team %'], rows),
	);
};

/** Plays all loads at all sizes, and the alternatives at one. */
export const runQuotaBench = (options: {isQuick: boolean; print(text: string): void}): void => {
	const seeds = Array.from({length: options.isQuick ? 1 : seedCount}, (_, index) => index + 1);
	for (const policy of policies) {
		const played = policy === 'combined' ? (options.isQuick ? quickSizes : sizes) : [comparedSize];
		for (const daemons of played) {
			playAll({daemons, policy}, seeds, options.print);
		}
	}
};
