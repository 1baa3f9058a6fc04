// Guards against targets that are judged against the wrong baseline and against broken reports.
import * as tap from 'tap';
import * as htmlReport from '../common/html-report.js';
import * as measures from '../common/measures.js';
import * as summary from '../common/summary.js';
import * as targets from '../common/targets.js';
import * as textTable from '../common/text-table.js';

type Figures = {
	policy: string;
	isBaseline: boolean;
	waitMs: number;
	costMs: number;
	spoiled?: number;
};

const createResult = (figures: Figures): summary.PolicyResult => {
	const recorder = measures.createRecorder();
	recorder.record({
		workClass: 'short',
		outcome: figures.spoiled ? 'truncated' : 'answered',
		waitMs: figures.waitMs,
		latencyMs: figures.waitMs,
		longestGapMs: 0,
		stretch: 1,
	});
	const cost = {
		busySlotMs: figures.costMs,
		tokensGenerated: 1,
		prefillTokensComputed: 1,
		tokensGeneratedAgain: 0,
		prefillTokensComputedAgain: 0,
		cancelled: 0,
	};
	const name = {
		scenario: 'S <1>',
		situation: 'daily peak',
		policy: figures.policy,
		isBaseline: figures.isBaseline,
	};
	return summary.combineRuns(name, [{classes: recorder.summary(), cost, remoteShare: 0}]);
};

const results = [
	createResult({policy: 'slow', isBaseline: true, waitMs: 900, costMs: 1000}),
	createResult({policy: 'better', isBaseline: true, waitMs: 300, costMs: 2000}),
	createResult({policy: 'own', isBaseline: false, waitMs: 101, costMs: 1050, spoiled: 1}),
];

tap.t.test('targets use the better baseline of each measure', (t) => {
	const found = targets.judge(results);
	const byTarget = new Map(found.map((item) => [item.target, item]));
	const wait = byTarget.get('wait of short questions, p99 in ms');
	t.match(wait, {baselinePolicy: 'better', isMet: false});
	t.match(byTarget.get('cost, busy slot time in s'), {baselinePolicy: 'slow', isMet: true});
	t.match(byTarget.get('answers lost, duplicated or truncated'), {value: 1, isMet: false});
	const share = byTarget.get('share sent to another region');
	t.match(share, {baselinePolicy: 'better', isMet: true});
	t.end();
});

tap.t.test('medians and spread', (t) => {
	t.same(summary.spreadOf([5, 1, 3]), {median: 3, minimum: 1, maximum: 5});
	t.equal(summary.medianOf([4, 1, 3, 2]), 2.5);
	t.end();
});

tap.t.test('the report shows every target and escapes names', (t) => {
	const judgements = targets.judge(results);
	const page = htmlReport.renderReport({title: 'T', facts: {Seeds: '1'}, results, judgements});
	t.equal([...page.matchAll(/class="(?:met|missed)"/gu)].length, judgements.length);
	t.match(page, /<svg/u);
	t.notMatch(page, /S <1>/u);
	t.match(textTable.formatJudgements(judgements), /missed/u);
	t.end();
});
