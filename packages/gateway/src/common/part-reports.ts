/**
 * Chooses what a message says of prompt parts. A prompt may have thousands of parts, and
 * after a crash the same is known of all of them, so parts with equal evidence go together,
 * and each of them is named in the end.
 */
import type * as partEvidence from './part-evidence.js';

export type ReportedPart = partEvidence.PartEvidence & {
	service: string;
	quarantines: number;
	refusedAtMs: number;
	/** Number of the message that named it last; 0 for none. */
	reportedTurn: number;
};

/** In the order of their importance. */
export type PartCandidates<Part> = {
	/** Likely to crash upstreams, and changed a moment ago. */
	urgent: readonly Part[];
	/** Others that changed a moment ago. */
	recent: readonly Part[];
	older: readonly Part[];
};

/** Sets of parts with equal evidence in one message, and those of them that have not just changed. */
const maxGroups = 8;
const maxOlderGroups = 2;
/** Groups that each message names, however often they were named before. */
const maxRepeatedGroups = 4;
/** Limit of the ids in one message. */
const maxIdBytes = 2000;

/** Equal for parts of which the same is known. */
const knownOf = (part: ReportedPart): string => {
	const crashes = part.crashes.map(
		({upstreamKey, atMs, sentAtMs, wasAnswering, basis}) =>
			`${upstreamKey} ${atMs} ${sentAtMs} ${wasAnswering} ${basis}`,
	);
	return [part.service, part.answeredAtMs, part.quarantines, part.refusedAtMs, ...crashes].join(
		'\n',
	);
};

const groupsOf = <Part extends ReportedPart>(parts: readonly Part[]): Part[][] => {
	const groups = new Map<string, Part[]>();
	for (const part of parts) {
		const known = knownOf(part);
		const group = groups.get(known);
		if (group) {
			group.push(part);
		} else {
			groups.set(known, [part]);
		}
	}

	return [...groups.values()];
};

const lastTurnOf = (group: readonly ReportedPart[]): number =>
	Math.min(...group.map(({reportedTurn}) => reportedTurn));

const byTurn = (a: ReportedPart, b: ReportedPart): number => a.reportedTurn - b.reportedTurn;

/**
 * Chooses the parts for one message.
 *
 * @param turn number of the message, larger than those before
 */
export const chooseParts = <Part extends ReportedPart>(
	{urgent, recent, older}: PartCandidates<Part>,
	turn: number,
): Part[] => {
	const chosen: Part[] = [];
	let groupCount = 0;
	let leftBytes = maxIdBytes;
	const add = (groups: readonly Part[][], limit: number) => {
		for (const group of groups.slice(0, Math.min(limit, maxGroups - groupCount))) {
			groupCount++;
			for (const part of group.toSorted(byTurn)) {
				leftBytes -= part.partId.length;
				if (leftBytes < 0 && chosen.length > 0) {
					return;
				}

				part.reportedTurn = turn;
				chosen.push(part);
			}
		}
	};

	const addInTurn = (groups: readonly Part[][], limit: number) => {
		add(
			groups.toSorted((a, b) => lastTurnOf(a) - lastTurnOf(b)),
			limit,
		);
	};

	const urgentGroups = groupsOf(urgent);
	add(urgentGroups, maxRepeatedGroups);
	addInTurn(urgentGroups.slice(maxRepeatedGroups), maxGroups);
	addInTurn(groupsOf(recent), maxGroups);
	addInTurn(groupsOf(older), maxOlderGroups);
	return chosen;
};
