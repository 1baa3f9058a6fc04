/**
 * Work offered to a deployment: seeded open-loop arrivals. Arrivals do not wait
 * for answers, and latency counts from the intended arrival.
 */
import type * as randomModule from '@hawthornfront/base/common/random.js';

export type WorkClass = 'short' | 'long';

/** A range of token counts, drawn uniformly. */
export type Range = {minimum: number; maximum: number};

export type ClassProfile = {
	workClass: WorkClass;
	/** Prompt tokens that the requests of a team share, for example a tariff sheet. */
	sharedPrompt: Range;
	/** Prompt tokens of one request alone. */
	ownPrompt: Range;
	output: Range;
	/** Share of requests whose answer is many times longer than the others. */
	stragglerShare: number;
	stragglerOutput: Range;
	/** Mean arrivals per second in one region. */
	ratePerSecond: number;
};

/** Requests that arrive at one moment. */
export type Burst = {periodMs: number; firstAtMs: number; requests: number; workClass: WorkClass};

export type RegionLoad = {
	profiles: ClassProfile[];
	teams: number;
	bursts: Burst[];
	/** Relative height of the daily peak above the mean; 0 for a constant rate. */
	peakHeight: number;
	/** Position of the peak within the day. */
	peakAtMs: number;
	dayMs: number;
	durationMs: number;
};

// Share of requests that are bound to their home region (design page, section 3).
const boundShare = 0.22;

export type WorkRequest = {
	id: string;
	/** Region of the caller. */
	region: string;
	/** Whether the request may not leave its region. */
	isBound: boolean;
	workClass: WorkClass;
	team: string;
	/** Intended arrival on the clock of the experiment. */
	arrivesAtMs: number;
	sharedPromptTokens: number;
	ownPromptTokens: number;
	outputTokens: number;
	/** What an estimator would know before the answer: prompt and mean output of the class. */
	estimatedTokens: number;
};

/** Arrival rate relative to the mean at a time of the day. */
export const rateFactor = (load: RegionLoad, atMs: number): number =>
	1 + load.peakHeight * Math.cos(((atMs - load.peakAtMs) / load.dayMs) * 2 * Math.PI);

const meanOf = (range: Range): number => (range.minimum + range.maximum) / 2;

type Source = {
	random: randomModule.Random;
	region: string;
	load: RegionLoad;
	/** Shared prompt length of each team and class; all of its requests begin alike. */
	sharedTokens: Map<string, number>;
};

const sharedPromptTokens = (source: Source, team: string, profile: ClassProfile): number => {
	const key = `${team}/${profile.workClass}`;
	const known = source.sharedTokens.get(key);
	if (known !== undefined) {
		return known;
	}

	const {minimum, maximum} = profile.sharedPrompt;
	const drawn = source.random.integer(minimum, maximum);
	source.sharedTokens.set(key, drawn);
	return drawn;
};

const drawRequest = (
	source: Source,
	profile: ClassProfile,
	arrivesAtMs: number,
): Omit<WorkRequest, 'id'> => {
	const {random} = source;
	// The square makes a few teams busy and many quiet ones.
	const teamNumber = Math.floor(random.next() ** 2 * source.load.teams);
	const team = `${source.region}-team-${teamNumber}`;
	const shared = sharedPromptTokens(source, team, profile);
	const ownPromptTokens = random.integer(profile.ownPrompt.minimum, profile.ownPrompt.maximum);
	const isStraggler = random.next() < profile.stragglerShare;
	const output = isStraggler ? profile.stragglerOutput : profile.output;
	return {
		region: source.region,
		isBound: random.next() < boundShare,
		workClass: profile.workClass,
		team,
		arrivesAtMs,
		sharedPromptTokens: shared,
		ownPromptTokens,
		outputTokens: random.integer(output.minimum, output.maximum),
		estimatedTokens: Math.round(shared + ownPromptTokens + meanOf(profile.output)),
	};
};

const poissonTimes = (source: Source, profile: ClassProfile): number[] => {
	const {random, load} = source;
	const highestFactor = 1 + load.peakHeight;
	const meanGapMs = 1000 / (profile.ratePerSecond * highestFactor);
	const times = [];
	// Thinning of a process at the highest rate gives one whose rate changes.
	for (let atMs = random.exponential(meanGapMs); atMs < load.durationMs;) {
		if (random.next() < rateFactor(load, atMs) / highestFactor) {
			times.push(atMs);
		}

		atMs += random.exponential(meanGapMs);
	}

	return times;
};

const burstTimes = (load: RegionLoad, workClass: WorkClass): number[] => {
	const times = [];
	for (const burst of load.bursts.filter((item) => item.workClass === workClass)) {
		for (let atMs = burst.firstAtMs; atMs < load.durationMs; atMs += burst.periodMs) {
			times.push(...Array.from({length: burst.requests}, () => atMs));
		}
	}

	return times;
};

/** Draws all requests of one region, in order of arrival. */
export const createWork = (
	random: randomModule.Random,
	region: string,
	load: RegionLoad,
): WorkRequest[] => {
	const source: Source = {random, region, load, sharedTokens: new Map()};
	const requests = load.profiles.flatMap((profile) => {
		const times = [...poissonTimes(source, profile), ...burstTimes(load, profile.workClass)];
		return times.map((atMs) => drawRequest(source, profile, atMs));
	});
	requests.sort((a, b) => a.arrivesAtMs - b.arrivesAtMs);
	return requests.map((request, index) => ({...request, id: `${region}-${index}`}));
};
