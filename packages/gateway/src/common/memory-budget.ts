/**
 * Bounds the memory that all requests hold together: bodies of callers and answers that
 * callers have not read. Beyond the bound, the one whose loss costs callers least gives way.
 */

const bytesPerMb = 1_048_576;
/** Resident memory of a busy daemon beside what requests hold. */
const baseMb = 110;
/** Share of the rest for what requests hold; freed bytes stay resident until the next garbage collection. */
const heldShare = 0.4;
const defaultLimitBytes = 64 * bytesPerMb;
const minLimitBytes = 8 * bytesPerMb;
/** Part of the budget for unread answers; bodies have the rest. */
const answerShare = 0.3;
/** Unfinished heads, in addition; Node.js holds several times their bytes. */
const headShare = 0.1;
/** Large bodies together stay below this share of what bodies may hold, so that short requests find room. */
const largeShare = 0.75;
const largeBodyBytes = 65_536;
/** A large body without progress for this long gives way before the others. */
const stalledBodyMs = 1000;

/** Bytes that requests may hold. */
export const heldLimitBytes = (memoryMb: number | undefined): number =>
	memoryMb === undefined
		? defaultLimitBytes
		: Math.max(minLimitBytes, (memoryMb - baseMb) * bytesPerMb * heldShare);

export type HeldBody = {
	/** Counts memory of bytes that have arrived; returns false if the body has given way. */
	grow(bytes: number): boolean;
	/** The body is complete: it does not give way any more, and counts until it is released. */
	complete(): void;
	release(): void;
};

export type UnreadAnswer = {
	/** Sets the number of bytes that wait for the caller. */
	set(bytes: number): void;
	release(): void;
};

export type GaveWay = {what: 'body' | 'answer' | 'head'; count: number; bytes: number};

export type MemoryBudget = {
	/** @param giveWay refuses the request; called at most once, and only for a body that is not complete */
	addBody(giveWay: () => void): HeldBody;
	/** @param giveWay breaks off the answer; called at most once */
	addAnswer(giveWay: () => void): UnreadAnswer;
	/** Counts a head that gave way. */
	noteHead(bytes: number): void;
	readonly limitBytes: number;
	/** Limit of all unfinished heads of a server. */
	readonly headLimitBytes: number;
	readonly bodyBytes: number;
	readonly unfinishedBodies: number;
	readonly answerBytes: number;
	/** Returns and clears what gave way. */
	takeGaveWay(): GaveWay[];
};

type Holder = {bytes: number; progressAtMs: number; giveWay: () => void};

/** The holder for which no other comes before it; the oldest one of equals. */
const findFirst = (
	holders: Iterable<Holder>,
	isBefore: (a: Holder, b: Holder) => boolean,
): Holder | undefined => {
	let first: Holder | undefined;
	for (const holder of holders) {
		if (!first || isBefore(holder, first)) {
			first = holder;
		}
	}

	return first;
};

export const createMemoryBudget = (nowMs: () => number, limitBytes: number): MemoryBudget => {
	const bodyLimitBytes = limitBytes * (1 - answerShare);
	const largeLimitBytes = bodyLimitBytes * largeShare;
	const answerLimitBytes = limitBytes * answerShare;
	/** In the order of their arrival. */
	const unfinished = new Set<Holder>();
	/** Those that hold bytes. */
	const answers = new Set<Holder>();
	let bodyBytes = 0;
	let largeBytes = 0;
	let answerBytes = 0;
	const gaveWay = new Map<GaveWay['what'], GaveWay>();

	const noteGaveWay = (what: GaveWay['what'], bytes: number) => {
		const sum = gaveWay.get(what) ?? {what, count: 0, bytes: 0};
		sum.count++;
		sum.bytes += bytes;
		gaveWay.set(what, sum);
	};

	const setBodyBytes = (body: Holder, bytes: number) => {
		const largePart = (held: number) => (held > largeBodyBytes ? held : 0);
		largeBytes += largePart(bytes) - largePart(body.bytes);
		bodyBytes += bytes - body.bytes;
		body.bytes = bytes;
	};

	const setAnswerBytes = (answer: Holder, bytes: number) => {
		answerBytes += bytes - answer.bytes;
		answer.bytes = bytes;
		if (bytes > 0) {
			answers.add(answer);
		} else {
			answers.delete(answer);
		}
	};

	/** Order in which unfinished bodies give way. */
	const bodyOrder = (atMs: number) => {
		const isStalled = ({bytes, progressAtMs}: Holder) =>
			bytes > largeBodyBytes && atMs - progressAtMs >= stalledBodyMs;
		return (a: Holder, b: Holder): boolean =>
			isStalled(a) === isStalled(b) ? a.bytes > b.bytes : isStalled(a);
	};

	const holdsTooMuch = {
		bodies: () => bodyBytes > bodyLimitBytes || largeBytes > largeLimitBytes,
		answers: () => answerBytes > answerLimitBytes,
	};

	const boundBodies = () => {
		while (holdsTooMuch.bodies()) {
			const body = findFirst(unfinished, bodyOrder(nowMs()));
			if (!body) {
				return;
			}

			noteGaveWay('body', body.bytes);
			unfinished.delete(body);
			setBodyBytes(body, 0);
			body.giveWay();
		}
	};

	const boundAnswers = () => {
		while (holdsTooMuch.answers()) {
			const answer = findFirst(answers, (a, b) => a.progressAtMs < b.progressAtMs);
			if (!answer) {
				return;
			}

			noteGaveWay('answer', answer.bytes);
			setAnswerBytes(answer, 0);
			answer.giveWay();
		}
	};

	return {
		addBody(giveWay) {
			const body: Holder = {bytes: 0, progressAtMs: nowMs(), giveWay};
			unfinished.add(body);
			return {
				grow(bytes) {
					if (!unfinished.has(body)) {
						return false;
					}

					body.progressAtMs = nowMs();
					setBodyBytes(body, body.bytes + bytes);
					boundBodies();
					return unfinished.has(body);
				},
				complete() {
					unfinished.delete(body);
				},
				release() {
					unfinished.delete(body);
					setBodyBytes(body, 0);
				},
			};
		},
		addAnswer(giveWay) {
			let isOver = false;
			const answer: Holder = {
				bytes: 0,
				progressAtMs: nowMs(),
				giveWay() {
					isOver = true;
					giveWay();
				},
			};
			return {
				set(bytes) {
					if (isOver) {
						return;
					}

					if (bytes < answer.bytes || answer.bytes === 0) {
						answer.progressAtMs = nowMs();
					}

					setAnswerBytes(answer, bytes);
					boundAnswers();
				},
				release() {
					isOver = true;
					setAnswerBytes(answer, 0);
				},
			};
		},
		noteHead(bytes) {
			noteGaveWay('head', bytes);
		},
		limitBytes,
		headLimitBytes: limitBytes * headShare,
		get bodyBytes() {
			return bodyBytes;
		},
		get unfinishedBodies() {
			return unfinished.size;
		},
		get answerBytes() {
			return answerBytes;
		},
		takeGaveWay() {
			const taken = [...gaveWay.values()];
			gaveWay.clear();
			return taken;
		},
	};
};
