/**
 * Loads of one region for the comparison of runner choices. Rates, prompts, goals
 * and worth follow the grown deployments' data sheets; the size of a chunk follows
 * from the measured 40 ms a token beside prompts that are being read.
 */
import type * as routeConfig from '@hawthornfront/gateway/common/route-config.js';
import type * as engineModel from './engine-model.js';
import type * as fleetComparison from './fleet-comparison.js';

const engine: engineModel.EngineSettings = {
	slots: 128,
	memoryTokens: 745_414,
	stepMs: 3.23,
	// Assumed: the data sheets only say that a step takes longer with more requests.
	stepGrowthMs: 0.03,
	prefillTokensPerMs: 112,
	chunkTokens: 4096,
	eventTokens: 9,
};

const route = (options: Partial<routeConfig.Route>): routeConfig.Route => ({
	name: 'route',
	host: 'region.example',
	prefix: '/',
	work: 'stream',
	canResume: false,
	timeoutMs: 12_233,
	goalMs: 1019,
	maxEventGapMs: 600,
	maxUpstreams: 1,
	rank: 1,
	homeRegions: [],
	isPublic: false,
	targets: [{service: 'model', weight: 1}],
	...options,
});

/** Requests of one region at a multiple of the data sheet's rates. */
const kinds = (load: number): fleetComparison.Kind[] => [
	{
		name: 'report',
		perS: 37 * load,
		route: route({name: 'report'}),
		tokens: {common: 512, topic: 4870, own: 6610},
		topics: 170,
		outputTokens: 378,
		worth: 6.5,
		lateWorth: 3.3,
	},
	{
		name: 'question',
		perS: 155 * load,
		route: route({name: 'question', rank: 0, goalMs: 810, timeoutMs: 3036, canResume: true}),
		tokens: {common: 341, topic: 227, own: 1800},
		topics: 706,
		outputTokens: 27,
		worth: 1.9,
		lateWorth: 0.96,
	},
];

const size = {daemons: 18, runners: 14, engine} as const;
const burstFromMs = 4000;
const burstUntilMs = 8000;
const burstFactor = 1.8;

/** Steady traffic, a burst, and a region that has lost half of its runners. */
export const createEngineScenarios = (durationMs: number): fleetComparison.Scenario[] => [
	{name: 'steady', ...size, kinds: kinds(1), durationMs, loadAt: () => 1},
	{
		name: 'burst',
		...size,
		kinds: kinds(1),
		durationMs,
		loadAt: (nowMs) => (nowMs >= burstFromMs && nowMs < burstUntilMs ? burstFactor : 1),
	},
	{
		name: 'half of the runners',
		...size,
		runners: size.runners / 2,
		kinds: kinds(1),
		durationMs,
		loadAt: () => 1,
	},
];
