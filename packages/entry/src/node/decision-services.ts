/** Creates the decision services of the request engine from the settings and the fleet. */
import type * as clock from '@hawthornfront/base/common/clock.js';
import * as disposable from '@hawthornfront/base/common/disposable.js';
import * as gatewayError from '@hawthornfront/base/common/gateway-error.js';
import type * as random from '@hawthornfront/base/common/random.js';
import * as hedge from '@hawthornfront/decisions/common/hedge.js';
import * as limits from '@hawthornfront/decisions/common/limits.js';
import * as outputEstimator from '@hawthornfront/decisions/common/output-estimator.js';
import * as regionChooser from '@hawthornfront/decisions/common/region-chooser.js';
import * as retryBudget from '@hawthornfront/decisions/common/retry-budget.js';
import * as entryVmOrder from '@hawthornfront/decisions/common/entry-vm-order.js';
import type * as types from '@hawthornfront/decisions/common/types.js';
import type * as fleetInterface from '@hawthornfront/fleet/common/fleet-interface.js';
import type * as engineServices from '../common/engine-services.js';
import * as peers from './peers.js';
import type * as settings from './settings.js';

/** Interval at which expected waits are published to other regions. */
const waitsPeriodMs = 1000;
/** Bytes that one streamed token takes on a link, including its JSON envelope. */
const bytesPerStreamedToken = 200;

export type DecisionServicesOptions = {
	settings: settings.EntrySettings;
	clock: clock.Clock;
	random: random.Random;
	fleet: fleetInterface.Fleet;
	scheduler: types.Scheduler;
};

export type DecisionServices = disposable.Disposable & {
	readonly limiter: limits.Limiter;
	services: Pick<
		engineServices.EngineServices,
		'limits' | 'repetition' | 'regionChoice' | 'outputEstimator' | 'orderedEntryVms'
	>;
	dump(): unknown;
};

const createLimits = (limiter: limits.Limiter): engineServices.Limits => ({
	admit(team, entry, estimatedTokens) {
		const result = limiter.admit(team, entry, estimatedTokens);
		if (result.kind === 'admitted') {
			return result;
		}

		throw new gatewayError.GatewayException({
			kind: 'over-limit',
			step: 'before-admission',
			peer: '',
			outcome: 'not-run',
			retryAfterMs: result.retryAfterMs,
			detail: `the ${result.limit} limit is used up`,
		});
	},
});

const createRetryPolicy = (time: clock.Clock, config: settings.EntrySettings) => {
	const hedges = hedge.createHedgePolicy(time, config.hedge);
	const retries = retryBudget.createRetryBudget(time, config.retries);
	const repetition: engineServices.RetryPolicy = {
		noteRequest(candidate) {
			hedges.noteRequest(candidate);
			retries.noteRequest(candidate.workClass);
		},
		hedgeDelayMs: (candidate) => hedges.delayMs(candidate),
		tryHedge: (workClass) => hedges.tryHedge(workClass),
		tryRetry: (workClass) => retries.tryRetry(workClass),
		noteLatency(workClass, durationMs) {
			hedges.noteLatency(workClass, durationMs);
		},
	};
	return {
		repetition,
		dump: () => ({hedges: hedges.counts(), refusedRetries: retries.refused()}),
	};
};

const createEstimator = (config: settings.EntrySettings) => {
	const estimator = outputEstimator.createOutputEstimator(config.outputs);
	const service: engineServices.OutputEstimator = {
		estimateTokens: (team, workClass, maxTokens) =>
			estimator.estimate(team, workClass, maxTokens).meanTokens,
		noteTokens(team, workClass, tokens) {
			estimator.observe(team, workClass, tokens);
		},
	};
	return {service, tracked: () => estimator.tracked()};
};

const createRegionSelector = (options: DecisionServicesOptions) => {
	const {fleet, scheduler, random: numbers, settings: config} = options;
	const chooser = regionChooser.createRegionChooser(options.clock, config.regions);
	const summaries = (item: types.WorkItem): regionChooser.RegionSummary[] =>
		fleet.regionSummaries().flatMap(({region, observedAtMs, waits}) =>
			waits
				.filter((wait) => wait.model === item.model && wait.workClass === item.workClass)
				.map(({model, workClass, waitMs}) => ({
					region,
					model,
					workClass,
					expectedWaitMs: waitMs,
					receivedAtMs: observedAtMs,
				})),
		);
	const regionChoice: engineServices.RemoteRegionSelector = {
		choose({item, isBound, crossings, promptBytes, promptTokens}) {
			const outputTokens = item.estimatedTokens - promptTokens;
			const choice = chooser.choose({
				workClass: item.workClass,
				model: item.model,
				isBound,
				crossings,
				localWaitMs: scheduler.expectedWaitMs(item.workClass, item.model),
				promptTokens,
				transferBytes: promptBytes + outputTokens * bytesPerStreamedToken,
				summaries: summaries(item),
			});
			if (choice.kind === 'local') {
				return undefined;
			}

			const address = numbers.pick(peers.entryVmsOf(fleet, choice.region));
			return address === undefined ? undefined : {region: choice.region, address};
		},
	};
	return {regionChoice, counts: () => chooser.counts()};
};

/** Publishes the expected waits of this region to other regions. */
const publishWaits = ({fleet, scheduler}: DecisionServicesOptions): void => {
	const pairs = new Map<string, {model: string; workClass: types.WorkItem['workClass']}>();
	for (const {target, workClass} of fleet.snapshot().entries.values()) {
		const model = target.kind === 'model' ? target.model : target.service;
		pairs.set(`${workClass}/${model}`, {model, workClass});
	}

	fleet.publishWaits(
		[...pairs.values()]
			.map(({model, workClass}) => ({
				model,
				workClass,
				waitMs: scheduler.expectedWaitMs(workClass, model),
			}))
			.filter(({waitMs}) => Number.isFinite(waitMs))
			.map((wait) => ({...wait, waitMs: Math.round(wait.waitMs)})),
	);
};

const orderEntryVms = (
	{fleet, settings: config}: DecisionServicesOptions,
	team: string,
): ReturnType<engineServices.EngineServices['orderedEntryVms']> => {
	const {region, failureDomain} = config.daemon;
	const members = fleet.members().map((member) => ({
		...member,
		isSuspect: member.state === 'suspect',
		isLeaving: member.state === 'stopping',
	}));
	const perDomain = config.steering.vmsPerDomain;
	return entryVmOrder
		.orderEntryVms(team, members, perDomain, {region, failureDomain})
		.map((member) => ({
			address: member.httpAddress,
			region: member.region,
			failureDomain: member.failureDomain,
			weight: 1,
		}));
};

export const createDecisionServices = (options: DecisionServicesOptions): DecisionServices => {
	const resources = disposable.createDisposableStore();
	const limiter = limits.createLimiter(options.clock, options.settings.limits);
	const {repetition, dump: dumpRepetition} = createRetryPolicy(options.clock, options.settings);
	const estimator = createEstimator(options.settings);
	const {regionChoice, counts} = createRegionSelector(options);
	resources.add(
		options.clock.setPeriodicTimer(() => {
			publishWaits(options);
		}, waitsPeriodMs),
	);
	return {
		limiter,
		services: {
			limits: createLimits(limiter),
			repetition,
			regionChoice,
			outputEstimator: estimator.service,
			orderedEntryVms: (team) => orderEntryVms(options, team),
		},
		dump: () => ({
			...dumpRepetition(),
			limiter: {tracked: limiter.tracked(), inFlight: limiter.inFlight()},
			estimatedTeams: estimator.tracked(),
			crossings: counts(),
		}),
		dispose() {
			resources.dispose();
		},
	};
};
