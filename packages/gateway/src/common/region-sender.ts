/**
 * Elects, for each upstream, the one daemon of the region that may send to it while its
 * state is in doubt. The order comes from rendezvous hashing over the daemons that are
 * heard. A daemon takes over only when those before it have been silent for so long that
 * they no longer count themselves as elected, and only while it hears most of its region.
 * So there is one sender whatever the number of daemons, and at times none.
 */
import * as hash from '@hawthornfront/decisions/common/hash.js';
import * as fleetView from './fleet-view.js';

export type RegionMember = {
	name: string;
	isLeaving: boolean;
	/** Distinguishes two starts. */
	startedAtUnixMs: number;
};

export type RegionSender = {
	isSender(upstreamId: string): boolean;
	/** Notes which members are alive; call it at least every few seconds. */
	update(): void;
	/** Other daemons that it remembers. */
	readonly size: number;
};

export type RegionSenderOptions = {
	nowMs(): number;
	daemonName: string;
	/** Other daemons of the region that are alive, and those in their planned stop. */
	members(): readonly RegionMember[];
	/** Number of members that peers say are alive and of which this daemon knows no more. */
	unknownMembers(): number;
	/** Whether this daemon is in its planned stop. */
	isStopping(): boolean;
};

/** Time from the start of a daemon until it knows the others and they know it. */
export const startMs = 4000;
/** Time from the loss of a daemon to the takeover; the loss itself takes several heartbeats. */
const lostHandoverMs = 1000;
/** Time for the announcement of a planned stop to reach all daemons. */
const leftHandoverMs = 500;
/** A daemon that has just started is before the others only when it begins to count itself. */
const startHandoverMs = 3000;
/** Lost daemons count for this long in the majority that a daemon must hear; it exceeds the usual cuts. */
const rememberedMs = 600_000;
const sampleEveryMs = 250;
/** A daemon that did not sample for this long did not run, and knows the others as they were. */
const maxSampleGapMs = 3000;
/** Time from the end of such a pause until it has heard the others. */
const resumeMs = 1000;
/** More unknown members than this may be before this daemon in the order. */
const mostUnknownMembers = 2;
/** Key of the order that decides between two halves of a region. */
const tieKey = 'region';

type Known = {
	aliveAtMs: number;
	/** When this start of it was first seen. */
	startSeenAtMs: number;
	startedAtUnixMs: number;
	isAlive: boolean;
	isLeaving: boolean;
};

/** Creates the election state of a daemon that has just started. */
export const createRegionSender = (options: RegionSenderOptions): RegionSender => {
	const {nowMs, daemonName} = options;
	const startedAtMs = nowMs();
	const others = new Map<string, Known>();
	/** Results since the last sample. */
	const decided = new Map<string, boolean>();
	let sampledAtMs = startedAtMs;
	let resumedAtMs = Number.NEGATIVE_INFINITY;
	let isEligible = false;

	const hearsMajority = (): boolean => {
		const counted = [...others].filter(([, {isLeaving}]) => !isLeaving);
		const heard = counted.filter(([, {isAlive}]) => isAlive);
		const all = counted.length + 1;
		const heardCount = heard.length + 1;
		if (2 * heardCount !== all) {
			return 2 * heardCount > all;
		}

		const [first] = hash.order(
			tieKey,
			[daemonName, ...counted.map(([name]) => name)].map((name) => ({name})),
		);
		return first?.name === daemonName || heard.some(([name]) => name === first?.name);
	};

	const sample = () => {
		const atMs = nowMs();
		if (atMs - sampledAtMs > maxSampleGapMs) {
			resumedAtMs = atMs;
		}

		let isOverfull = false;
		for (const known of others.values()) {
			known.isAlive = false;
		}

		for (const {name, isLeaving, startedAtUnixMs} of options.members()) {
			const known = others.get(name);
			if (!known && others.size >= fleetView.maxMembers) {
				isOverfull = true;
				continue;
			}

			const isSameStart = known?.startedAtUnixMs === startedAtUnixMs;
			others.set(name, {
				aliveAtMs: isLeaving ? (known?.aliveAtMs ?? atMs) : atMs,
				startSeenAtMs: isSameStart ? known.startSeenAtMs : atMs,
				startedAtUnixMs,
				isAlive: !isLeaving,
				isLeaving,
			});
		}

		for (const [name, {aliveAtMs}] of others) {
			if (atMs - aliveAtMs > rememberedMs) {
				others.delete(name);
			}
		}

		isEligible =
			!options.isStopping() &&
			!isOverfull &&
			atMs - startedAtMs >= startMs &&
			atMs - resumedAtMs >= resumeMs &&
			options.unknownMembers() <= mostUnknownMembers &&
			hearsMajority();
		decided.clear();
		sampledAtMs = atMs;
	};

	/** Whether a member does not count itself as elected. */
	const isOut = ({aliveAtMs, startSeenAtMs, isAlive, isLeaving}: Known): boolean =>
		isAlive
			? nowMs() - startSeenAtMs < startHandoverMs
			: nowMs() - aliveAtMs >= (isLeaving ? leftHandoverMs : lostHandoverMs);

	const decide = (upstreamId: string): boolean => {
		if (!isEligible) {
			return false;
		}

		const ownRank = hash.uniform(upstreamId, daemonName);
		return ![...others].some(([name, known]) => {
			const rank = hash.uniform(upstreamId, name);
			const isBefore = rank > ownRank || (rank === ownRank && name < daemonName);
			return isBefore && !isOut(known);
		});
	};

	return {
		isSender(upstreamId) {
			if (nowMs() - sampledAtMs >= sampleEveryMs) {
				sample();
			}

			let isSender = decided.get(upstreamId);
			if (isSender === undefined) {
				isSender = decide(upstreamId);
				decided.set(upstreamId, isSender);
			}

			return isSender;
		},
		update: sample,
		get size() {
			return others.size;
		},
	};
};
