/** Metrics of the request engine. Labels are classes, outcomes and regions, never teams or request contents. */
import * as metrics from '@hawthornfront/base/node/metrics.js';
import type * as engineServices from '../common/engine-services.js';

const latencyBucketsSeconds = [0.005, 0.02, 0.05, 0.1, 0.2, 0.42, 1, 2, 5, 10, 30, 120];

/** Creates the counters and registers them. */
export const createEngineCounters = (registry: metrics.Registry): engineServices.EngineCounters => {
	const requests = metrics.createCounter(
		registry,
		'hawthornfront_requests_total',
		'Requests by class of work and result',
		['work_class', 'result'],
	);
	const firstToken = metrics.createHistogram(
		registry,
		'hawthornfront_first_token_seconds',
		'Time from arrival to the first token',
		['work_class'],
		latencyBucketsSeconds,
	);
	const answers = metrics.createHistogram(
		registry,
		'hawthornfront_answer_seconds',
		'Time from arrival to the end of a whole answer',
		['work_class'],
		latencyBucketsSeconds,
	);
	const hedges = metrics.createCounter(
		registry,
		'hawthornfront_hedges_total',
		'Second attempts by winner',
		['winner'],
	);
	const resumes = metrics.createCounter(
		registry,
		'hawthornfront_resumes_total',
		'Streams that went on at another upstream',
	);
	const crossings = metrics.createCounter(
		registry,
		'hawthornfront_crossings_total',
		'Requests sent to another region',
		['region'],
	);
	return {
		countRequest(workClass, result) {
			requests.inc({work_class: workClass, result});
		},
		observeFirstToken(workClass, latencyMs) {
			firstToken.observe({work_class: workClass}, latencyMs / 1000);
		},
		observeAnswer(workClass, latencyMs) {
			answers.observe({work_class: workClass}, latencyMs / 1000);
		},
		countHedge(winner) {
			hedges.inc({winner});
		},
		countResume() {
			resumes.inc();
		},
		countCrossing(region) {
			crossings.inc({region});
		},
	};
};

/** Registers a gauge of keyed requests by outcome, which is read when metrics are scraped. */
export const registerKeyedOutcomes = (
	registry: metrics.Registry,
	execution: engineServices.KeyedExecution,
): void => {
	metrics.createLabelledGauge(
		registry,
		'hawthornfront_keyed_requests',
		'Non-idempotent requests under a key since the start, by outcome',
		'outcome',
		() => execution.outcomes(),
	);
};
