// Guards against retry and hedge storms, and against hedging work that must not run twice.
import * as tap from 'tap';
import * as manualClock from '@hawthornfront/base/common/manual-clock.js';
import * as random from '@hawthornfront/base/common/random.js';
import * as hedge from '../common/hedge.js';
import * as outputEstimator from '../common/output-estimator.js';
import * as retryBudget from '../common/retry-budget.js';

const short = {workClass: 'short', isIdempotent: true} as const;

const createTestHedgePolicy = (settings: Record<string, unknown> = {}) => {
	const clock = new manualClock.ManualClock();
	return {
		clock,
		hedgePolicy: hedge.createHedgePolicy(clock, hedge.hedgeSettingsSchema.parse(settings)),
	};
};

tap.t.test('retries stay within their share of the requests', async (t) => {
	const clock = new manualClock.ManualClock();
	const settings = retryBudget.retryBudgetSettingsSchema.parse({
		minimumRetriesPerSecond: 0,
		maxSavedRetries: 5,
	});
	const budget = retryBudget.createRetryBudget(clock, settings);
	let retries = 0;
	for (let count = 0; count < 1000; count++) {
		budget.noteRequest('short');
		retries += budget.tryRetry('short') ? 1 : 0;
	}

	t.ok(
		retries >= 104 && retries <= 105,
		`${retries} retries for 1000 requests and 5 saved retries`,
	);
	t.ok(budget.tryRetry('long'), 'the budget of another class is unchanged');
});

tap.t.test('without traffic, retries are allowed at the minimum rate', async (t) => {
	const clock = new manualClock.ManualClock();
	const settings = retryBudget.retryBudgetSettingsSchema.parse({maxSavedRetries: 1});
	const budget = retryBudget.createRetryBudget(clock, settings);
	t.ok(budget.tryRetry('service'));
	t.notOk(budget.tryRetry('service'));
	await clock.advance(2000);
	t.ok(budget.tryRetry('service'));
	t.equal(budget.refused(), 1);
});

tap.t.test('the delay is the learned quantile and forgets old latency', async (t) => {
	const {clock, hedgePolicy} = createTestHedgePolicy();
	t.equal(hedgePolicy.delayMs(short), 1000);
	for (let durationMs = 1; durationMs <= 100; durationMs++) {
		hedgePolicy.noteLatency('short', durationMs);
	}

	t.ok(Math.abs(hedgePolicy.delayMs(short)! - 95) <= 1);
	await clock.advance(60_000);
	t.ok(Math.abs(hedgePolicy.delayMs(short)! - 95) <= 1);
	await clock.advance(60_000);
	t.equal(hedgePolicy.delayMs(short), 1000);
});

tap.t.test('long and non-idempotent work is never hedged', async (t) => {
	const {hedgePolicy} = createTestHedgePolicy();
	t.equal(hedgePolicy.delayMs({workClass: 'long', isIdempotent: true}), undefined);
	t.equal(hedgePolicy.delayMs({workClass: 'short', isIdempotent: false}), undefined);
	for (let count = 0; count < 100; count++) {
		hedgePolicy.noteRequest({workClass: 'long', isIdempotent: true});
		hedgePolicy.noteRequest({workClass: 'service', isIdempotent: false});
	}

	t.notOk(hedgePolicy.tryHedge('long'));
	t.notOk(hedgePolicy.tryHedge('service'));
});

tap.t.test('hedges stay within their share of the requests', async (t) => {
	const {hedgePolicy} = createTestHedgePolicy();
	let hedges = 0;
	for (let count = 0; count < 1000; count++) {
		hedgePolicy.noteRequest(short);
		hedges += hedgePolicy.tryHedge('short') ? 1 : 0;
	}

	t.equal(hedges, 50);
	t.same(hedgePolicy.counts(), {sent: 50, refused: 950});
});

tap.t.test('output length is learned per team within bounded memory', async (t) => {
	const estimator = outputEstimator.createOutputEstimator(
		outputEstimator.outputEstimatorSettingsSchema.parse({maxTracked: 20}),
	);
	const stream = random.createRandom(11);
	for (let count = 0; count < 400; count++) {
		estimator.observe('verbose', 'short', stream.integer(800, 1200));
		estimator.observe('terse', 'short', stream.integer(10, 30));
		estimator.observe(`other-${count}`, 'short', 500);
		estimator.estimate('verbose', 'short');
		estimator.estimate('terse', 'short');
	}

	const verbose = estimator.estimate('verbose', 'short');
	const terse = estimator.estimate('terse', 'short');
	t.ok(verbose.meanTokens > 900 && verbose.meanTokens < 1100, `${verbose.meanTokens}`);
	t.ok(terse.meanTokens < 50, `${terse.meanTokens}`);
	t.ok(verbose.highTokens > verbose.meanTokens && verbose.highTokens < 1600);
	t.equal(estimator.estimate('verbose', 'short', 64).highTokens, 64);
	t.equal(estimator.tracked(), 20);
});

tap.t.test('the high estimate is near its quantile for skewed answers', async (t) => {
	const estimator = outputEstimator.createOutputEstimator(
		outputEstimator.outputEstimatorSettingsSchema.parse({learningRate: 0.05}),
	);
	const stream = random.createRandom(12);
	let above = 0;
	for (let count = 0; count < 4000; count++) {
		const tokens = Math.ceil(stream.exponential(200));
		above += tokens > estimator.estimate('x', 'long').highTokens ? 1 : 0;
		estimator.observe('x', 'long', tokens);
	}

	t.ok(above / 4000 > 0.03 && above / 4000 < 0.08, `${above}`);
});
