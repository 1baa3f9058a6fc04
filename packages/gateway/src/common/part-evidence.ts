/**
 * Evidence that a prompt part, or a request that comes again, crashes upstreams: the
 * crashes during requests with the part, and the time of the last answer to one.
 */

/**
 * `suspect`: the upstream is known to have crashed, and the request may have been beginning.
 * `bystander`: it is known to have crashed during a request that waited or was answered further.
 * `break`: only the connection of the request is known to have broken. The last two count
 * against requests only, not against the parts of their prompts.
 */
export const crashBases = ['suspect', 'bystander', 'break'] as const;
export type CrashBasis = (typeof crashBases)[number];

/** A crash of an upstream during a request with the part, in monotonic time of this daemon. */
export type Crash = {
	/** Identifies one start of an upstream. */
	upstreamKey: number;
	atMs: number;
	/** Time at which the request was sent to the upstream. */
	sentAtMs: number;
	/** The upstream had begun its answer and sent no event of it. */
	wasAnswering: boolean;
	basis: CrashBasis;
};

export type PartEvidence = {
	crashes: Crash[];
	/** Negative infinity if no answer is known. */
	answeredAtMs: number;
	partId: string;
	/** It is a whole request, which stands at a crash alone. */
	isRequest: boolean;
};

const answeringWeight = 2;
const waitingWeight = 1;
/** Two crashes while an answer began, or four otherwise. */
const sufficientWeight = 4;
/** Weight for a part that was answered before: it is probably shared by many sound requests. */
const sufficientWeightAfterAnswer = 6;
const maxCrashes = 8;
/** Reports of daemons on the same crash differ by less than this. */
const sameCrashMs = 1000;
/** After so many crashes in sequence, a request is not tried again while it keeps coming. */
const lastTrialCrashes = 3;
/** A request with as many crashes or breaks in sequence is suspected, though it was the suspect at none of them. */
const suspectedInSequence = 2;
/** Weight of known crashes in sequence, and number of breaks, after which a request is sent once at a time. */
const triedWeight = 2;
const triedInSequence = 3;
/** Crashes during the same request within this time count once: a service whose upstreams are all away for a moment breaks all connections. */
const crashIntervalMs = 300;

/** Whether the upstream is known to have crashed as it began to answer. */
const isAnswering = ({wasAnswering, basis}: Crash): boolean => wasAnswering && basis === 'suspect';

const sumWeights = (crashes: readonly Crash[]): number =>
	crashes.reduce((sum, crash) => sum + (isAnswering(crash) ? answeringWeight : waitingWeight), 0);

/**
 * Crashes that each hit a request sent after the one before, so that upstreams that fail
 * together count once: as the crash during which an answer began, if there is one.
 */
const inSequence = (crashes: readonly Crash[], intervalMs = 0): Crash[] => {
	const sequence: Crash[] = [];
	const follows = (crash: Crash, last: Crash | undefined) =>
		!last || crash.sentAtMs > last.atMs + intervalMs;
	for (const crash of [...crashes].sort((a, b) => a.atMs - b.atMs)) {
		const last = sequence.at(-1);
		if (follows(crash, last)) {
			sequence.push(crash);
		} else if (isAnswering(crash) && !isAnswering(last!) && follows(crash, sequence.at(-2))) {
			sequence[sequence.length - 1] = crash;
		}
	}

	return sequence;
};

/** Crashes that count against a request: many callers may send equal sound ones, which stand at all crashes of one moment. */
const requestSequence = (crashes: readonly Crash[]): Crash[] =>
	inSequence(crashes, crashIntervalMs);

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

	const counted = evidence.isRequest ? requestSequence(crashes) : crashes;
	return counted.length > 1 && sumWeights(counted) >= sufficientWeight;
};

const answeringKeys = (evidence: PartEvidence): number[] =>
	crashesSinceAnswer(evidence)
		.filter((crash) => isAnswering(crash))
		.map(({upstreamKey}) => upstreamKey);

/** Whether a request may be what crashes its upstreams, so that it gets no second upstream. */
export const isSuspectedRequest = (evidence: PartEvidence): boolean => {
	const crashes = crashesSinceAnswer(evidence);
	return (
		evidence.isRequest &&
		(crashes.some(({basis}) => basis === 'suspect') ||
			requestSequence(crashes).length >= suspectedInSequence)
	);
};

/** Whether a request is so suspicious that it is sent once at a time. Equal requests of many callers stand at one crash together. */
export const isTriedRequest = (evidence: PartEvidence): boolean => {
	const crashes = crashesSinceAnswer(evidence);
	const known = crashes.filter(({basis}) => basis !== 'break');
	return (
		evidence.isRequest &&
		(sumWeights(inSequence(known)) >= triedWeight || inSequence(crashes).length >= triedInSequence)
	);
};

/** Whether a request that was never answered has crashed so many upstreams that no further trial is made while it keeps coming. */
export const isBeyondTrial = (evidence: PartEvidence): boolean =>
	evidence.isRequest &&
	!wasAnswered(evidence) &&
	requestSequence(crashesSinceAnswer(evidence)).length >= lastTrialCrashes;

/** Equal for parts that no crash tells apart: they were in the same prompts whose answers had begun. A request is told apart by itself. */
export const signatureOf = (evidence: PartEvidence): string => {
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

/** A crash that is known already: an upstream may crash again under the same start, so a request sent later is another one. */
const findKnown = (
	{crashes}: PartEvidence,
	crash: Pick<Crash, 'upstreamKey' | 'sentAtMs'>,
): Crash | undefined =>
	crashes.find(
		({upstreamKey, atMs}) =>
			upstreamKey === crash.upstreamKey && crash.sentAtMs <= atMs + sameCrashMs,
	);

/** Whether the crash adds to what is known: another request may have been closer to its answer. */
const isStrongerThan = (crash: Crash, known: Crash | undefined): boolean =>
	!known ||
	(isAnswering(crash) && !isAnswering(known)) ||
	crashBases.indexOf(crash.basis) < crashBases.indexOf(known.basis);

/** Whether adding a crash would strengthen the evidence. */
export const isNewCrash = (evidence: PartEvidence, crash: Crash): boolean =>
	isStrongerThan(crash, findKnown(evidence, crash));

/** Adds a crash. Returns whether it strengthens the evidence. */
export const addCrash = (evidence: PartEvidence, crash: Crash): boolean => {
	const {crashes} = evidence;
	const known = findKnown(evidence, crash);
	const isStronger = isStrongerThan(crash, known);
	if (known) {
		known.wasAnswering ||= crash.wasAnswering;
		if (isStronger) {
			known.basis = crash.basis;
		}
	} else {
		crashes.push(crash);
		crashes.splice(0, crashes.length - maxCrashes);
	}

	return isStronger;
};
