/** Creates the decisions that the request engine asks, from the settings and the fleet. */
import type * as clock from '@hawthornfront/base/common/clock.js';
import * as disposable from '@hawthornfront/base/common/disposable.js';
import type * as random from '@hawthornfront/base/common/random.js';
import type * as types from '@hawthornfront/decisions/common/types.js';
import type * as fleetInterface from '@hawthornfront/fleet/common/fleet-interface.js';
import type * as engineServices from '../common/engine-services.js';
import type * as settings from './settings.js';

export type DecisionServicesOptions = {
	settings: settings.EntrySettings;
	clock: clock.Clock;
	random: random.Random;
	fleet: fleetInterface.Fleet;
	scheduler: types.Scheduler;
};

export type DecisionServices = disposable.Disposable & {
	services: Pick<
		engineServices.EngineServices,
		'limits' | 'repetition' | 'regionChoice' | 'outputEstimator' | 'orderedEntryVms'
	>;
	dump(): unknown;
};

/** Creates the services. */
export const createDecisionServices = (options: DecisionServicesOptions): DecisionServices => {
	const resources = disposable.createDisposableStore();
	const {fleet} = options;
	return {
		services: {
			limits: {admit: () => ({settle() {}, release() {}})},
			repetition: {
				hedgeDelayMs: () => undefined,
				noteHedge() {},
				mayRetry: () => true,
				noteRequest() {},
				noteFirstToken() {},
			},
			regionChoice: {choose: () => undefined},
			outputEstimator: {
				estimateTokens: (_team, _workClass, maxTokens) => maxTokens,
				noteTokens() {},
			},
			orderedEntryVms: () =>
				fleet.members().map((member) => ({
					address: member.httpAddress,
					region: member.region,
					failureDomain: member.failureDomain,
					weight: 1,
				})),
		},
		dump: () => ({}),
		dispose() {
			resources.dispose();
		},
	};
};
