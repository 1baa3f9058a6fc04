/** Deployments and situations of both customers, as on the design page. */
import type * as runnerTypes from '@hawthornfront/standins/common/runner-types.js';
import type * as workload from './workload.js';

export type RegionSetup = {
	name: string;
	entries: number;
	runners: number;
	load: workload.RegionLoad;
};

export type Slowdown = {
	/** Share of all runners that is slowed at the same time. */
	share: number;
	factor: number;
	durationMs: number;
	periodMs: number;
};

export type Scenario = {
	name: string;
	customer: 'Serrasoft' | 'Kaasik';
	situation: 'daily peak' | 'long against short' | 'slowed upstreams';
	regions: RegionSetup[];
	runner: Partial<runnerTypes.RunnerSettings>;
	slowdown?: Slowdown;
};

type Customer = {
	name: Scenario['customer'];
	regions: Array<{name: string; entries: number; runners: number}>;
	profiles: workload.ClassProfile[];
	teamsPerRegion: number;
	runner: Partial<runnerTypes.RunnerSettings>;
};

// Rates are for one runner; a region gets them times its runners.
const serrasoft: Customer = {
	name: 'Serrasoft',
	regions: [
		{name: 'lombardia', entries: 3, runners: 6},
		{name: 'veneto', entries: 2, runners: 3},
		{name: 'emilia', entries: 2, runners: 3},
	],
	profiles: [
		{
			workClass: 'short',
			sharedPrompt: {minimum: 128, maximum: 320},
			ownPrompt: {minimum: 40, maximum: 160},
			output: {minimum: 10, maximum: 40},
			stragglerShare: 0,
			stragglerOutput: {minimum: 40, maximum: 40},
			ratePerSecond: 0.9,
		},
		{
			workClass: 'long',
			sharedPrompt: {minimum: 1536, maximum: 4096},
			ownPrompt: {minimum: 200, maximum: 800},
			output: {minimum: 300, maximum: 900},
			stragglerShare: 0.02,
			stragglerOutput: {minimum: 4000, maximum: 7000},
			ratePerSecond: 0.2,
		},
	],
	teamsPerRegion: 24,
	runner: {slots: 8, decodeMsPerToken: 20, prefillMsPerToken: 0.2, cacheBlocks: 512},
};

const kaasik: Customer = {
	name: 'Kaasik',
	regions: [
		{name: 'harju', entries: 3, runners: 2},
		{name: 'saare', entries: 2, runners: 2},
		{name: 'ida', entries: 2, runners: 2},
	],
	profiles: [
		{
			workClass: 'short',
			sharedPrompt: {minimum: 64, maximum: 192},
			ownPrompt: {minimum: 20, maximum: 80},
			output: {minimum: 20, maximum: 80},
			stragglerShare: 0,
			stragglerOutput: {minimum: 80, maximum: 80},
			ratePerSecond: 0.6,
		},
		{
			workClass: 'long',
			sharedPrompt: {minimum: 512, maximum: 1024},
			ownPrompt: {minimum: 2000, maximum: 6000},
			output: {minimum: 400, maximum: 1000},
			stragglerShare: 0.02,
			stragglerOutput: {minimum: 4000, maximum: 8000},
			ratePerSecond: 0.13,
		},
	],
	teamsPerRegion: 8,
	runner: {slots: 8, decodeMsPerToken: 22, prefillMsPerToken: 0.25, cacheBlocks: 384},
};

type Situation = {
	situation: Scenario['situation'];
	/** Multiplies the rates of the customer. */
	rate: number;
	/** Long requests of one burst, for each runner. */
	longBurst: number;
	peakHeight: number;
	slowdown?: Slowdown;
};

// Trials with least in-flight gave the rates: the peak fills nearly all slots, a
// burst fills them for tens of seconds, and with slowed upstreams half are busy.
const situations: Situation[] = [
	{situation: 'daily peak', rate: 1.25, longBurst: 0, peakHeight: 0.4},
	{situation: 'long against short', rate: 0.8, longBurst: 6, peakHeight: 0},
	{
		situation: 'slowed upstreams',
		rate: 1,
		longBurst: 0,
		peakHeight: 0,
		slowdown: {share: 1 / 6, factor: 10, durationMs: 15_000, periodMs: 60_000},
	},
];

// A step keeps the speed that it started with and gives its tokens at its end. With
// steps of 64 iterations a slowdown begins about 1.4 s late, lasts up to 14 s longer
// and shows no token meanwhile.
const slowedIterationsPerStep = 4;

const burstPeriodMs = 90_000;
const firstBurstMs = 20_000;

const regionSetup = (
	customer: Customer,
	situation: Situation,
	index: number,
	durationMs: number,
): RegionSetup => {
	const region = customer.regions[index]!;
	const profiles = customer.profiles.map((profile) => ({
		...profile,
		ratePerSecond: profile.ratePerSecond * region.runners * situation.rate,
	}));
	const burst: workload.Burst = {
		periodMs: burstPeriodMs,
		firstAtMs: firstBurstMs,
		requests: situation.longBurst * region.runners,
		workClass: 'long',
	};
	return {
		...region,
		load: {
			profiles,
			teams: customer.teamsPerRegion,
			bursts: situation.longBurst > 0 ? [burst] : [],
			peakHeight: situation.peakHeight,
			// Peaks fall at different hours in different regions.
			peakAtMs: (durationMs * (index + 1)) / (customer.regions.length + 1),
			dayMs: durationMs,
			durationMs,
		},
	};
};

/** All scenarios, each with arrivals for `durationMs` of virtual time. */
export const createScenarios = (durationMs: number): Scenario[] =>
	[serrasoft, kaasik].flatMap((customer) =>
		situations.map((situation) => ({
			name: `${customer.name}, ${situation.situation}`,
			customer: customer.name,
			situation: situation.situation,
			regions: customer.regions.map((_region, index) =>
				regionSetup(customer, situation, index, durationMs),
			),
			runner: situation.slowdown
				? {...customer.runner, maxIterationsPerStep: slowedIterationsPerStep}
				: customer.runner,
			slowdown: situation.slowdown,
		})),
	);
