/**
 * Evidence that a prompt part crashes upstreams: the crashes during requests with the
 * part, and the time of the last answer to one.
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

/** Whether the crashes suffice to refuse requests with the part. */
export const isSufficient = (evidence: PartEvidence): boolean => {
	const crashes = crashesSinceAnswer(evidence);
	return wasAnswered(evidence)
		? sumWeights(inSequence(crashes)) >= sufficientWeightAfterAnswer
		: crashes.length > 1 && sumWeights(crashes) >= sufficientWeight;
};

/** How strongly the crashes point to the part; 0 for one that was answered before, since other parts are likelier. */
export const suspicion = (evidence: PartEvidence): number =>
	wasAnswered(evidence) ? 0 : sumWeights(evidence.crashes);

/** Time of the last crash; negative infinity without one. */
export const lastCrashAtMs = ({crashes}: PartEvidence): number =>
	Math.max(Number.NEGATIVE_INFINITY, ...crashes.map(({atMs}) => atMs));

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
