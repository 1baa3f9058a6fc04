/**
 * Evidence that a prompt part, or a request that comes again, crashes upstreams: the
 * crashes during requests with the part, and the time of the last answer to one.
 */

/** A crash of an upstream during a request with the part, in monotonic time of this daemon. */
export type Crash = {
	/** Identifies one start of an upstream. */
	upstreamKey: number;
	atMs: number;
	/** Time at which the request was sent to the upstream. */
	sentAtMs: number;
	/** The upstream had begun its answer and sent no event of it. */
	wasAnswering: boolean;
};

export type PartEvidence = {
	/** At most one crash for each start of an upstream. */
	crashes: Crash[];
	/** Negative infinity if no answer is known. */
	answeredAtMs: number;
	partId: string;
	/** It is a whole request, which stands at a crash alone. */
	isRequest: boolean;
};

const answeringWeight = 2;
const waitingWeight = 1;
/** Two crashes while an answer began, or four while requests with the part waited. */
const sufficientWeight = 4;
/** Weight for a part that was answered before: it is probably shared by many sound requests. */
const sufficientWeightAfterAnswer = 6;
const maxCrashes = 8;

const sumWeights = (crashes: readonly Crash[]): number =>
	crashes.reduce(
		(sum, {wasAnswering}) => sum + (wasAnswering ? answeringWeight : waitingWeight),
		0,
	);

/** Crashes that each hit a request sent after the one before, so that upstreams that fail together count once. */
const inSequence = (crashes: readonly Crash[]): Crash[] => {
	const sequence: Crash[] = [];
	for (const crash of [...crashes].sort((a, b) => a.atMs - b.atMs)) {
		const last = sequence.at(-1);
		if (!last || crash.sentAtMs > last.atMs) {
			sequence.push(crash);
		}
	}

	return sequence;
};

export const wasAnswered = ({answeredAtMs}: PartEvidence): boolean =>
	answeredAtMs !== Number.NEGATIVE_INFINITY;

/** Crashes that no answer has refuted. */
export const crashesSinceAnswer = ({crashes, answeredAtMs}: PartEvidence): Crash[] =>
	crashes.filter(({atMs}) => atMs > answeredAtMs);

/**
 * Whether the crashes suffice to refuse requests with the part.
 *
 * @param explained upstream keys of crashes with a likelier cause
 */
const isSufficient = (evidence: PartEvidence, explained: ReadonlySet<number>): boolean => {
	const crashes = crashesSinceAnswer(evidence).filter(
		({upstreamKey}) => !explained.has(upstreamKey),
	);
	if (wasAnswered(evidence)) {
		return sumWeights(inSequence(crashes)) >= sufficientWeightAfterAnswer;
	}

	// Without an answer that began, sound requests that are sent again look the same.
	const isWaiting = evidence.isRequest && !crashes.some(({wasAnswering}) => wasAnswering);
	const counted = isWaiting ? inSequence(crashes) : crashes;
	return counted.length > 1 && sumWeights(counted) >= sufficientWeight;
};

const answeringKeys = (evidence: PartEvidence): number[] =>
	crashesSinceAnswer(evidence)
		.filter(({wasAnswering}) => wasAnswering)
		.map(({upstreamKey}) => upstreamKey);

/** Equal for parts that no crash tells apart: they were in the same prompts whose answers had begun. A request is told apart by itself. */
const signatureOf = (evidence: PartEvidence): string => {
	if (evidence.isRequest) {
		return evidence.partId;
	}

	const answering = answeringKeys(evidence);
	const all = crashesSinceAnswer(evidence).map(({upstreamKey}) => upstreamKey);
	const keys = answering.length > 0 ? answering : all;
	return `${wasAnswered(evidence)} ${answering.length > 0} ${keys.sort((a, b) => a - b).join(' ')}`;
};

const byLikelihood = (a: PartEvidence, b: PartEvidence): number =>
	Number(wasAnswered(a)) - Number(wasAnswered(b)) ||
	answeringKeys(b).length - answeringKeys(a).length ||
	sumWeights(crashesSinceAnswer(b)) - sumWeights(crashesSinceAnswer(a)) ||
	// Refusing one request harms fewer callers than refusing a part.
	Number(b.isRequest) - Number(a.isRequest);

/**
 * Groups of parts that crash upstreams. Harmful prompts share other parts with sound
 * ones, so crashes count against the likeliest parts only. The parts of a group are
 * harmful when a prompt has all of them, since no crash tells which one it is.
 */
export const findHarmful = <Part extends PartEvidence>(parts: readonly Part[]): Part[][] => {
	const groups = new Map<string, Part[]>();
	for (const part of parts.filter((candidate) => crashesSinceAnswer(candidate).length > 0)) {
		const signature = signatureOf(part);
		groups.set(signature, [...(groups.get(signature) ?? []), part]);
	}

	const explained = new Set<number>();
	const harmful: Part[][] = [];
	for (const group of [...groups.values()].sort(([a], [b]) => byLikelihood(a!, b!))) {
		if (group.some((part) => isSufficient(part, explained))) {
			harmful.push(group);
			for (const {upstreamKey} of group.flatMap((part) => crashesSinceAnswer(part))) {
				explained.add(upstreamKey);
			}
		}
	}

	return harmful;
};

/** How strongly the crashes point to the part; 0 for one that was answered before, since other parts are likelier. */
export const suspicion = (evidence: PartEvidence): number =>
	wasAnswered(evidence) ? 0 : sumWeights(evidence.crashes);

/** Time of the last crash; negative infinity without one. */
export const lastCrashAtMs = ({crashes}: PartEvidence): number =>
	Math.max(Number.NEGATIVE_INFINITY, ...crashes.map(({atMs}) => atMs));

/** Whether adding a crash would strengthen the evidence. */
export const isNewCrash = (
	{crashes}: PartEvidence,
	crash: Pick<Crash, 'upstreamKey' | 'wasAnswering'>,
): boolean => {
	const known = crashes.find(({upstreamKey}) => upstreamKey === crash.upstreamKey);
	return !known || (crash.wasAnswering && !known.wasAnswering);
};

/** Adds a crash. Returns whether it strengthens the evidence. */
export const addCrash = ({crashes}: PartEvidence, crash: Crash): boolean => {
	const known = crashes.find(({upstreamKey}) => upstreamKey === crash.upstreamKey);
	if (!known) {
		crashes.push(crash);
		crashes.splice(0, crashes.length - maxCrashes);
		return true;
	}

	// Another request with the part may have been closer to its answer.
	const isStronger = crash.wasAnswering && !known.wasAnswering;
	known.wasAnswering ||= crash.wasAnswering;
	return isStronger;
};
