/** Checks the required properties on what callers saw and what upstreams counted. */
import * as httpClient from '@hawthornfront/base/common/http-client.js';
import * as serviceStandin from '@hawthornfront/standins/node/service-standin.js';
import type * as deployment from './deployment.js';
import type * as report from './report.js';
import type * as scenario from './scenario.js';
import * as shape from './shape.js';

const configurationBoundMs = 10_000;
const comparedAnswers = 20;
const maxAnswerBytes = 1_048_576;
const misdirected = 421;
const loopDetected = 508;

export type Check = {name: string; isMet: boolean; detail: string};

const executionsOf = (system: deployment.Deployment, body: string): number => {
	const digest = serviceStandin.digestBody(body);
	let executions = 0;
	for (const {standin} of system.services) {
		executions += standin.executionsByBody().get(digest) ?? 0;
	}

	return executions;
};

const checkBound = (system: deployment.Deployment, facts: scenario.Facts): Check => {
	const bound = (service: deployment.Service) =>
		service.standin.executions.filter((execution) => execution.path.startsWith('/bound/')).length;
	const inside = system.services
		.filter((service) => service.region === 'veneto')
		.map((service) => bound(service));
	const outside = system.services
		.filter((service) => service.region !== 'veneto')
		.map((service) => bound(service));
	const sum = (values: number[]) => values.reduce((total, value) => total + value, 0);
	return {
		name: 'data bound to a region stays there',
		isMet: sum(inside) > 0 && sum(outside) === 0 && facts.wrongRegionStatus === misdirected,
		detail:
			`${sum(inside)} bound bookings in veneto, ${sum(outside)} elsewhere, ` +
			`status ${facts.wrongRegionStatus} at the wrong region`,
	};
};

const checkAtMostOnce = (system: deployment.Deployment, bookings: report.Observation[]): Check => {
	const doubled = bookings.filter((item) => executionsOf(system, item.body) > 1).length;
	const lost = bookings.filter(
		(item) => item.outcome === 'answered' && executionsOf(system, item.body) !== 1,
	).length;
	return {
		name: 'bookings run at most once, answered ones exactly once',
		isMet: bookings.length > 0 && doubled === 0 && lost === 0,
		detail: `${bookings.length} bookings, ${doubled} doubled, ${lost} answered without running`,
	};
};

const checkNotRun = (system: deployment.Deployment, bookings: report.Observation[]): Check => {
	const told = bookings.filter((item) => item.outcome === 'not-run');
	const wrong = told.filter((item) => executionsOf(system, item.body) > 0).length;
	return {
		name: 'a request told not-run was not run',
		isMet: wrong === 0,
		detail: `${told.length} told not-run in the end, ${wrong} of them run`,
	};
};

const checkIsolated = (facts: scenario.Facts): Check => {
	const during = facts.observations.filter(
		(item) => item.region === 'emilia' && item.phase.startsWith('emilia cut off'),
	);
	const answered = during.filter((item) => item.outcome === 'answered').length;
	return {
		name: 'an isolated region serves its own callers',
		isMet: during.length > 0 && answered === during.length,
		detail: `${answered} of ${during.length} requests answered`,
	};
};

/** Asks a runner directly for the same answer; equal prompts give equal tokens. */
const directAnswer = async (
	system: deployment.Deployment,
	prompt: string,
	maxTokens: number,
): Promise<string> => {
	const runner = system.runners.at(-1)!;
	const answer = await system.callerClient(runner.region).request({
		peer: runner.standin.address,
		method: 'POST',
		path: '/v1/chat/completions',
		headers: {'content-type': 'application/json'},
		body: JSON.stringify({
			model: shape.model,
			max_tokens: maxTokens,
			messages: [{role: 'user', content: prompt}],
		}),
	});
	const text = await httpClient.readText(answer.body, maxAnswerBytes);
	const parsed = JSON.parse(text) as {choices: Array<{message: {content: string}}>};
	return parsed.choices[0]?.message.content ?? '';
};

const checkWhole = async (
	system: deployment.Deployment,
	facts: scenario.Facts,
	promptOf: (item: report.Observation) => string,
): Promise<Check> => {
	const answers = facts.observations.filter(
		(item) => item.firstTokenMs !== undefined && item.outcome === 'answered',
	);
	const sample = answers.slice(-comparedAnswers);
	let different = 0;
	for (const item of sample) {
		const direct = await directAnswer(system, promptOf(item), 4096);
		different += direct === item.text ? 0 : 1;
	}

	const unanswered = facts.observations.filter(
		(item) => item.outcome !== 'answered' && item.kind !== 'booking',
	).length;
	return {
		name: 'every caller receives its whole answer',
		isMet: sample.length > 0 && different === 0 && unanswered === 0,
		detail:
			`${answers.length} streams whole, ${different} of ${sample.length} differ from ` +
			`a direct answer, ${unanswered} idempotent requests unanswered`,
	};
};

const checkStop = (facts: scenario.Facts): Check => {
	const atStopped = facts.observations.filter((item) => item.address === facts.stoppedAddress);
	const broken = atStopped.filter((item) => item.isBrokenStream).length;
	return {
		name: 'a planned stop cuts off nothing',
		isMet: facts.inFlightAtStop > 0 && broken === 0,
		detail: `${facts.inFlightAtStop} requests in progress at the stop, ${broken} broken`,
	};
};

/** Evaluates all checks. */
export const runChecks = async (
	system: deployment.Deployment,
	facts: scenario.Facts,
	promptOf: (item: report.Observation) => string,
): Promise<Check[]> => {
	const bookings = facts.observations.filter((item) => item.kind === 'booking');
	return [
		checkBound(system, facts),
		{
			name: 'no request travels in a loop',
			isMet: facts.loopStatus === loopDetected,
			detail: `status ${facts.loopStatus} for a request that came back`,
		},
		checkIsolated(facts),
		await checkWhole(system, facts, promptOf),
		checkNotRun(system, bookings),
		checkAtMostOnce(system, bookings),
		{
			name: 'a leaving upstream gets no new work after 3 s',
			isMet: facts.receivedByLeavingRunner > 0 && facts.lateAtLeavingRunner === 0,
			detail: `${facts.lateAtLeavingRunner} requests after the bound`,
		},
		checkStop(facts),
		{
			name: 'a configuration is in force within 10 s and never reverts',
			isMet: facts.configurationMs <= configurationBoundMs && !facts.hasRevisionReverted,
			detail: `in force after ${facts.configurationMs.toFixed(0)} ms`,
		},
	];
};
