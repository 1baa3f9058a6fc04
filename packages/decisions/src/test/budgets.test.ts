// Guards against retry and hedge storms, and against hedging work that must not run twice.
import * as tap from 'tap';
import * as manualClock from '@hawthornfront/base/common/manual-clock.js';
import * as random from '@hawthornfront/base/common/random.js';
import * as hedge from '../common/hedge.js';
import * as outputEstimator from '../common/output-estimator.js';
import * as retryBudget from '../common/retry-budget.js';

const short = {workClass: 'short', isIdempotent: true} as const;

const createHedge = (settings: Record<string, unknown> = {}) => {
	const clock = new manualClock.ManualClock();
	return {
		clock,
		subject: hedge.createHedgePolicy(clock, hedge.hedgeSettingsSchema.parse(settings)),
	};
};

tap.t.test('retries stay within their share of the requests', async (t) => {
	const clock = new manualClock.ManualClock();
	const settings = retryBudget.retryBudgetSettingsSchema.parse({
		minimumRetriesPerSecond: 0,
		maxSavedRetries: 5,
	});
	const subject = retryBudget.createRetryBudget(clock, settings);
	let retries = 0;
	for (let count = 0; count < 1000; count++) {
		subject.noteRequest('short');
		retries += subject.tryRetry('short') ? 1 : 0;
	}

	t.ok(retries >= 104 && retries <= 105, `${retries} of 1000 and 5 saved ones`);
	t.ok(subject.tryRetry('long'), 'the budget of another class is not touched');
});

tap.t.test('without traffic, retries are allowed at the minimum rate', async (t) => {
	const clock = new manualClock.ManualClock();
	const settings = retryBudget.retryBudgetSettingsSchema.parse({maxSavedRetries: 1});
	const subject = retryBudget.createRetryBudget(clock, settings);
	t.ok(subject.tryRetry('service'));
	t.notOk(subject.tryRetry('service'));
	await clock.advance(2000);
	t.ok(subject.tryRetry('service'));
	t.equal(subject.refused(), 1);
});

tap.t.test('the delay is the learned quantile and forgets old latency', async (t) => {
	const {clock, subject} = createHedge();
	t.equal(subject.delayMs(short), 1000);
	for (let durationMs = 1; durationMs <= 100; durationMs++) {
		subject.noteLatency('short', durationMs);
	}

	t.ok(Math.abs(subject.delayMs(short)! - 95) <= 1);
	await clock.advance(60_000);
	t.ok(Math.abs(subject.delayMs(short)! - 95) <= 1);
	await clock.advance(60_000);
	t.equal(subject.delayMs(short), 1000);
});

tap.t.test('long and non-idempotent work is never hedged', async (t) => {
	const {subject} = createHedge();
	t.equal(subject.delayMs({workClass: 'long', isIdempotent: true}), undefined);
	t.equal(subject.delayMs({workClass: 'short', isIdempotent: false}), undefined);
	for (let count = 0; count < 100; count++) {
		subject.noteRequest({workClass: 'long', isIdempotent: true});
		subject.noteRequest({workClass: 'service', isIdempotent: false});
	}

	t.notOk(subject.tryHedge('long'));
	t.notOk(subject.tryHedge('service'));
});

tap.t.test('hedges stay within their share of the requests', async (t) => {
	const {subject} = createHedge();
	let hedges = 0;
	for (let count = 0; count < 1000; count++) {
		subject.noteRequest(short);
		hedges += subject.tryHedge('short') ? 1 : 0;
	}

	t.equal(hedges, 50);
	t.same(subject.counts(), {sent: 50, refused: 950});
});

tap.t.test('output length is learned per team within bounded memory', async (t) => {
	const subject = outputEstimator.createOutputEstimator(
		outputEstimator.outputEstimatorSettingsSchema.parse({maxTracked: 20}),
	);
	const stream = random.createRandom(11);
	for (let count = 0; count < 400; count++) {
		subject.observe('verbose', 'short', stream.integer(800, 1200));
		subject.observe('terse', 'short', stream.integer(10, 30));
		subject.observe(`other-${count}`, 'short', 500);
		subject.estimate('verbose', 'short');
		subject.estimate('terse', 'short');
	}

	const verbose = subject.estimate('verbose', 'short');
	const terse = subject.estimate('terse', 'short');
	t.ok(verbose.meanTokens > 900 && verbose.meanTokens < 1100, `${verbose.meanTokens}`);
	t.ok(terse.meanTokens < 50, `${terse.meanTokens}`);
	t.ok(verbose.highTokens > verbose.meanTokens && verbose.highTokens < 1600);
	t.equal(subject.estimate('verbose', 'short', 64).highTokens, 64);
	t.equal(subject.tracked(), 20);
});

tap.t.test('the high estimate is near its quantile for skewed answers', async (t) => {
	const subject = outputEstimator.createOutputEstimator(
		outputEstimator.outputEstimatorSettingsSchema.parse({learningRate: 0.05}),
	);
	const stream = random.createRandom(12);
	let above = 0;
	for (let count = 0; count < 4000; count++) {
		const tokens = Math.ceil(stream.exponential(200));
		above += tokens > subject.estimate('x', 'long').highTokens ? 1 : 0;
		subject.observe('x', 'long', tokens);
	}

	t.ok(above / 4000 > 0.03 && above / 4000 < 0.08, `${above}`);
});
