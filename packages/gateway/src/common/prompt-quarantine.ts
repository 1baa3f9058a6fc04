/**
 * Quarantine of prompt parts and requests that crash upstreams. An upstream may crash
 * whenever it begins an answer to a prompt with a certain part, or whenever it runs a
 * certain request, which comes again. Each crash implicates the requests in progress and
 * their parts, and an answer clears those of its request. Requests whose evidence, or
 * that of one of their parts, suffices are refused. A request counts as a further part
 * of itself, named by its digest.
 *
 * Evidence belongs to a service, since another one may answer what crashes the upstreams of
 * the first. What has crashed upstreams of several services and was answered by none is
 * judged over all of them, so that a route with many services does not give it more tries.
 *
 * Evidence only grows, so daemons can merge the reports of others in any order.
 */
import type * as clock from '@hawthornfront/base/common/clock.js';
import * as disposable from '@hawthornfront/base/common/disposable.js';
import * as ownText from '@hawthornfront/base/common/own-text.js';
import * as event from '@hawthornfront/base/common/event.js';
import * as hash from '@hawthornfront/decisions/common/hash.js';
import * as lruCache from 'lru-cache';
import * as partEvidence from './part-evidence.js';
import * as partReports from './part-reports.js';

/** What a daemon knows of a part, as sent to other daemons. */
export type PartReport = {
	service: string;
	partId: string;
	crashes: ReportedCrash[];
	/** Time since the last answer to a prompt with the part; undefined if none is known. */
	answeredAgeMs?: number;
	/** How often it was quarantined. */
	quarantines: number;
	/** Time since a request was last refused for it; undefined if none is known. */
	refusedAgeMs?: number;
};

export type QuarantineReport = PartReport & {
	/** The evidence suffices for a quarantine, which may be over. */
	isHarmful: boolean;
	/** Number of parts that a prompt must have together to be refused. */
	groupSize: number;
	remainingMs: number;
};

export type ReportedCrash = CrashFacts & {ageMs: number};

type CrashFacts = Pick<partEvidence.Crash, 'upstreamKey' | 'wasAnswering' | 'basis'> & {
	/** Time from the send of the request to the crash. */
	sentBeforeMs: number;
};

/** What may have crashed an upstream. */
export type JudgedRequest = {
	/** Ids of all parts of the prompt that other requests may share; called only where they count. */
	partIds(): readonly string[];
	/** Equal for requests that repeat each other; called only after a crash. */
	digest(): string;
	isStream: boolean;
};

/** A request that was at an upstream when it crashed. */
export type CrashVictim = Omit<CrashFacts, 'upstreamKey' | 'basis'> & {
	request: JudgedRequest;
};

/** In place of a service: evidence of all services on a part that stands at crashes in several. */
export const anyService = '*';

/** Source of evidence that this daemon has observed itself. */
export const ownSource = 'own';

export type PartChange = {
	/** `suspected`: a further crash; `released`: an answer refuted the evidence, or another part explains the crashes. */
	kind: 'suspected' | 'quarantined' | 'released';
	service: string;
	partId: string;
	/** Crashes since the last answer. */
	crashes: number;
	/** Rest of the quarantine; 0 unless it is in force. */
	remainingMs: number;
	/** {@link ownSource}, or who reported the evidence. */
	source: string;
	/** Further parts with the same evidence that changed in the same way and are not named. */
	others: number;
};

export type PromptQuarantine = {
	readonly onDidChange: event.Event<PartChange>;
	/** A quarantined part of a request and the rest of its quarantine; undefined if the request may be sent. */
	quarantinedPart(
		service: string,
		request: JudgedRequest,
	): {partId: string; remainingMs: number} | undefined;
	/**
	 * Whether an upstream crashed as it began to answer a prompt with one of the parts, and
	 * none was ever answered; or whether the request itself is suspected since its last answer.
	 */
	isSuspected(service: string, request: JudgedRequest): boolean;
	/** An upstream sent several events of an answer, so it survived the begin of it, which clears the parts of the prompt. */
	noteBegun(service: string, request: JudgedRequest): void;
	/** An upstream sent a whole answer, which clears the request and the parts of its prompt. */
	noteAnswer(service: string, request: JudgedRequest): void;
	/** An upstream is known to have crashed during the requests. */
	noteCrash(service: string, upstreamKey: number, victims: readonly CrashVictim[]): void;
	/** The connections of the requests broke, which counts against the requests only, not the parts that others share. */
	noteBreaks(
		service: string,
		upstreamKey: number,
		victims: readonly CrashVictim[],
		basis: Exclude<partEvidence.CrashBasis, 'suspect'>,
	): void;
	/**
	 * Counts a request that is sent, until it is disposed: one at a time tries parts again
	 * after their quarantine, and one at a time of the same request after a crash during it.
	 */
	beginTrial(service: string, request: JudgedRequest): disposable.Disposable;
	/** Merges the reports of another daemon. */
	merge(reports: readonly PartReport[], source: string): void;
	/** Reports for the next message: parts that have just changed, and some of the others in turn. */
	takeReports(): PartReport[];
	/** Reports on all parts that are or were quarantined. */
	quarantineReports(): QuarantineReport[];
	/** Forgets old evidence; call it at regular intervals. */
	sweep(): void;
};

export type QuarantineSettings = {
	/** Duration of the first quarantine of a part; each further one lasts twice as long. */
	firstMs: number;
	maxMs: number;
};

/** Evidence on parts that are or were quarantined is kept for this long. */
const quarantineMemoryMs = 3_600_000;
const suspicionMemoryMs = 600_000;
/** Refuted suspicions are kept for as long as other daemons may report the crash. */
const refutedMemoryMs = 10_000;
/** Share of these times after which reports of other daemons are ignored. */
const reportedMemoryShare = 0.5;
/** After a quarantine, each daemon in turn may try a part for this long, in which the others learn of a crash. */
const trialTurnMs = 2000;
/** Daemons beyond this rank share a turn. */
const maxTrialTurns = 60;
/** Retry delay while another request tries a part again. */
const trialRetryMs = 1000;
/** A head of 16 KB has room for so many parts, any of which may be the harmful one. */
const maxRecords = 4096;
/** Records beyond the limit that a crash may add before the least important ones are dropped. */
const maxExcessRecords = 4096;
const maxAnsweredParts = 20_000;
/** Limit of the memory of the answered parts. */
export const maxAnsweredBytes = 8_388_608;
/** Estimated memory of an answered part without its key. */
const answeredBytes = 128;
const charBytes = 2;
export const maxPartIdLength = 64;
/** Begins the part ids of requests. */
const requestPrefix = 'request:';
const recentMs = 3000;
/** Changes of parts with equal evidence that are announced one by one. */
const maxNamedChanges = 8;

type PartRecord = partReports.ReportedPart & {
	/** Parts that a prompt must have together to be harmful; undefined if the evidence does not suffice. */
	group?: readonly PartRecord[];
	changedAtMs: number;
	/** Requests in progress that try the part again. */
	trials: number;
};

const requestPartId = ({digest}: JudgedRequest): string => requestPrefix + digest();

/** Callers choose the ids, so their length is bounded. */
const boundedId = (partId: string): string =>
	partId.length <= maxPartIdLength ? partId : `#${hash.hash32(partId)}`;

const keyOf = (service: string, partId: string): string => `${service}\n${boundedId(partId)}`;

/** Whether the evidence suffices, also after the quarantine is over. */
const isHarmful = ({group}: PartRecord): boolean => group !== undefined;

/** Whether an answer has refuted all crashes of a part. */
const isCleared = (record: PartRecord): boolean =>
	partEvidence.crashesSinceAnswer(record).length === 0;

const memoryMs = (wasQuarantined: boolean, isRefuted: boolean): number => {
	if (wasQuarantined) {
		return quarantineMemoryMs;
	}

	return isRefuted ? refutedMemoryMs : suspicionMemoryMs;
};

const changeOf = (
	record: PartRecord,
	before: {isHarmful: boolean; isInForce: boolean},
	hasNewEvidence: boolean,
): PartChange['kind'] | undefined => {
	if (isHarmful(record)) {
		const isNew = !before.isHarmful || (hasNewEvidence && !before.isInForce);
		return isNew ? 'quarantined' : undefined;
	}

	if (before.isHarmful) {
		return 'released';
	}

	// The connections of sound requests break, too; one break is not worth a log line.
	const isSuspected = record.isRequest
		? partEvidence.isSuspectedRequest(record)
		: !isCleared(record);
	return hasNewEvidence && isSuspected ? 'suspected' : undefined;
};

/**
 * Creates a quarantine without evidence.
 *
 * @param trialRank position of this daemon in the order in which daemons try a part again
 */
export const createPromptQuarantine = (
	timeSource: Pick<clock.Clock, 'nowMs'>,
	settings: () => QuarantineSettings,
	trialRank: (partId: string) => number = () => 0,
): PromptQuarantine => {
	const records = new Map<string, PartRecord>();
	const answeredAtMs = new lruCache.LRUCache<string, number>({
		max: maxAnsweredParts,
		maxSize: maxAnsweredBytes,
		sizeCalculation: (_, key) => answeredBytes + key.length * charBytes,
	});
	const didChange = event.createEmitter<PartChange>();
	let reportTurn = 0;
	/** Records of requests; without any, no digest is computed. */
	let requestRecords = 0;
	/** Services with a record on a part, by its id. */
	const servicesByPart = new Map<string, Set<string>>();

	const nowMs = () => timeSource.nowMs();

	const remainingMs = (record: PartRecord): number => {
		if (!isHarmful(record)) {
			return 0;
		}

		const {firstMs, maxMs} = settings();
		// Callers that send the same request again and again would otherwise crash one more upstream after each quarantine.
		if (partEvidence.isBeyondTrial(record)) {
			return maxMs;
		}

		const durationMs = Math.min(maxMs, firstMs * 2 ** Math.max(0, record.quarantines - 1));
		const leftMs = partEvidence.lastCrashAtMs(record) + durationMs - nowMs();
		// The order of the daemons is needed only while they take turns.
		return leftMs > 0 || leftMs <= -trialTurnMs * maxTrialTurns
			? Math.max(0, leftMs)
			: Math.max(0, leftMs + trialTurnMs * Math.min(maxTrialTurns, trialRank(record.partId)));
	};

	const notify = (kind: PartChange['kind'], record: PartRecord, source: string, others: number) => {
		const {service, partId} = record;
		const crashes = partEvidence.crashesSinceAnswer(record).length;
		const leftMs = remainingMs(record);
		didChange.fire({kind, service, partId, crashes, remainingMs: leftMs, source, others});
	};

	/** Records of the services on a part. */
	const recordsOfServices = (partId: string): PartRecord[] =>
		[...(servicesByPart.get(partId) ?? [])]
			.map((service) => records.get(keyOf(service, partId)))
			.filter((record) => record !== undefined);

	/** Whether no answer has refuted the evidence of two services, or a daemon that knew of them has decided on it. */
	const spansServices = ({partId, quarantines}: PartRecord): boolean =>
		quarantines > 0 || recordsOfServices(partId).filter((record) => !isCleared(record)).length > 1;

	/** Marks the parts that the evidence shows as harmful. */
	const markHarmful = () => {
		for (const record of records.values()) {
			record.group = undefined;
		}

		const all = [...records.values()];
		// A crash that a part explains within its service may be one of several of another part in all services.
		const ofServices = all.filter(({service}) => service !== anyService);
		const ofAll = all.filter((record) => record.service === anyService && spansServices(record));
		for (const group of [ofServices, ofAll].flatMap((parts) => partEvidence.findHarmful(parts))) {
			for (const record of group) {
				record.group = group;
			}
		}
	};

	/**
	 * Applies new evidence, and decides on quarantines.
	 *
	 * @param apply returns the parts with new evidence
	 */
	const update = (source: string, apply: () => readonly PartRecord[]) => {
		const before = new Map(
			[...records.values()].map((record) => [
				record,
				{isHarmful: isHarmful(record), isInForce: remainingMs(record) > 0},
			]),
		);
		const changed = new Set(apply());
		if (changed.size === 0) {
			return;
		}

		markHarmful();
		/** Changed parts by their change and their evidence. */
		const changes = new Map<string, {kind: PartChange['kind']; parts: PartRecord[]}>();
		for (const record of records.values()) {
			const previous = before.get(record) ?? {isHarmful: false, isInForce: false};
			const change = changeOf(record, previous, changed.has(record));
			if (changed.has(record) || change === 'released') {
				record.changedAtMs = nowMs();
			}

			if (change === 'quarantined') {
				record.quarantines =
					source === ownSource ? record.quarantines + 1 : Math.max(1, record.quarantines);
			}

			if (change) {
				const key = `${change}\n${record.service}\n${partEvidence.signatureOf(record)}`;
				const same = changes.get(key) ?? {kind: change, parts: []};
				same.parts.push(record);
				changes.set(key, same);
			}
		}

		// Listeners are called after all decisions, since several parts may change together.
		for (const {kind, parts} of changes.values()) {
			const named = parts.slice(0, maxNamedChanges);
			for (const record of named) {
				notify(kind, record, source, record === named.at(-1) ? parts.length - named.length : 0);
			}
		}
	};

	const crashOf = (crash: ReportedCrash): partEvidence.Crash => {
		const {upstreamKey, ageMs, sentBeforeMs, wasAnswering, basis} = crash;
		const atMs = nowMs() - ageMs;
		return {upstreamKey, atMs, sentAtMs: atMs - sentBeforeMs, wasAnswering, basis};
	};

	/** Orders parts by how likely they crash upstreams, then by the time of their last change. */
	const byImportance = (a: PartRecord, b: PartRecord): number =>
		Number(isHarmful(b)) - Number(isHarmful(a)) ||
		partEvidence.suspicion(b) - partEvidence.suspicion(a) ||
		b.changedAtMs - a.changedAtMs;

	const forget = (record: PartRecord) => {
		const {service, partId, isRequest} = record;
		if (!records.delete(keyOf(service, partId))) {
			return;
		}

		requestRecords -= isRequest ? 1 : 0;
		const services = servicesByPart.get(partId);
		services?.delete(service);
		if (services?.size === 0) {
			servicesByPart.delete(partId);
		}
	};

	const dropLeastImportant = () => {
		for (const record of [...records.values()].sort(byImportance).slice(maxRecords)) {
			forget(record);
		}
	};

	const recordOf = (service: string, partId: string): PartRecord => {
		const key = keyOf(service, partId);
		const known = records.get(key);
		if (known) {
			return known;
		}

		const record: PartRecord = {
			service: ownText.ownText(service, service.length),
			partId: ownText.ownText(boundedId(partId), maxPartIdLength),
			isRequest: partId.startsWith(requestPrefix),
			crashes: [],
			answeredAtMs: answeredAtMs.get(key) ?? Number.NEGATIVE_INFINITY,
			quarantines: 0,
			changedAtMs: nowMs(),
			refusedAtMs: Number.NEGATIVE_INFINITY,
			reportedTurn: 0,
			trials: 0,
		};
		if (records.size >= maxRecords + maxExcessRecords) {
			dropLeastImportant();
		}

		records.set(ownText.ownText(key, key.length), record);
		requestRecords += record.isRequest ? 1 : 0;
		if (service === anyService) {
			for (const {crashes, answeredAtMs: atMs} of recordsOfServices(record.partId)) {
				record.answeredAtMs = Math.max(record.answeredAtMs, atMs);
				for (const crash of crashes) {
					partEvidence.addCrash(record, {...crash});
				}
			}
		} else {
			const services = servicesByPart.get(record.partId) ?? new Set();
			services.add(record.service);
			servicesByPart.set(record.partId, services);
		}

		return record;
	};

	/** Adds a crash to the evidence of a service, and of all once a second one is concerned. Returns the records that it strengthens. */
	const addCrash = (record: PartRecord, crash: partEvidence.Crash): PartRecord[] => {
		const isConcerned =
			record.service !== anyService && (servicesByPart.get(record.partId)?.size ?? 0) > 1;
		const overall = isConcerned ? [recordOf(anyService, record.partId)] : [];
		return [record, ...overall].filter((known) => partEvidence.addCrash(known, {...crash}));
	};

	/** Old reports are ignored, since daemons that have forgotten a part would learn of it from each other again and again. */
	const isCurrent = ({crashes, answeredAgeMs, quarantines, refusedAgeMs}: PartReport): boolean => {
		const lastCrashAgeMs = Math.min(...crashes.map(({ageMs}) => ageMs));
		const isRefuted = (answeredAgeMs ?? Number.POSITIVE_INFINITY) <= lastCrashAgeMs;
		const retentionMs = memoryMs(quarantines > 0, isRefuted);
		const lastNeededAgeMs = Math.min(lastCrashAgeMs, refusedAgeMs ?? Number.POSITIVE_INFINITY);
		return lastNeededAgeMs < retentionMs * reportedMemoryShare;
	};

	/** Whether a report has evidence that is not held yet. Most reports repeat what is known, and applying one compares all records. */
	const hasNews = ({service, partId, crashes, answeredAgeMs, quarantines}: PartReport): boolean => {
		const record = records.get(keyOf(service, partId));
		if (!record) {
			return true;
		}

		const answeredMs = nowMs() - (answeredAgeMs ?? Number.POSITIVE_INFINITY);
		return (
			quarantines > record.quarantines ||
			(answeredAgeMs !== undefined && !partEvidence.wasAnswered(record)) ||
			partEvidence.crashesSinceAnswer(record).some(({atMs}) => atMs <= answeredMs) ||
			crashes.some((crash) => partEvidence.isNewCrash(record, crashOf(crash)))
		);
	};

	/** Returns the records on which the report has new evidence. */
	const mergeReport = (report: PartReport): PartRecord[] => {
		const record = recordOf(report.service, report.partId);
		const answeredMs = nowMs() - (report.answeredAgeMs ?? Number.POSITIVE_INFINITY);
		const hasAnswer = partEvidence.crashesSinceAnswer(record).some(({atMs}) => atMs <= answeredMs);
		record.answeredAtMs = Math.max(record.answeredAtMs, answeredMs);
		record.quarantines = Math.max(record.quarantines, report.quarantines);
		const refusedMs = nowMs() - (report.refusedAgeMs ?? Number.POSITIVE_INFINITY);
		record.refusedAtMs = Math.max(record.refusedAtMs, refusedMs);
		const stronger = report.crashes.flatMap((crash) => addCrash(record, crashOf(crash)));
		const overall = records.get(keyOf(anyService, report.partId));
		const isRefuted = overall !== undefined && !isCleared(overall) && hasAnswer;
		if (isRefuted) {
			overall.answeredAtMs = Math.max(overall.answeredAtMs, answeredMs);
		}

		return [...(hasAnswer ? [record] : []), ...(isRefuted ? [overall] : []), ...stronger];
	};

	const recordsFor = (service: string, request: JudgedRequest): PartRecord[] => {
		if (records.size === 0) {
			return [];
		}

		const ids = [...request.partIds()];
		if (requestRecords > 0) {
			ids.push(requestPartId(request));
		}

		const found = ids.flatMap((id) => [
			records.get(keyOf(service, id)),
			records.get(keyOf(anyService, id)),
		]);
		return [...new Set(found.filter((record) => record !== undefined))];
	};

	/** Ids of the parts, and of the request, to which a crash may be due. */
	const suspectIds = (service: string, {request, wasAnswering}: CrashVictim): string[] => {
		const ids = request
			.partIds()
			// Requests that wait are many, and most of their parts are sound.
			.filter((id) => wasAnswering || !answeredAtMs.has(keyOf(service, id)));
		// A stream begins its answer when it begins to run; of other requests nothing is known until their end.
		return wasAnswering || !request.isStream ? [...ids, requestPartId(request)] : ids;
	};

	/** Whether only one request with the part may be in progress. */
	const isTried = (record: PartRecord): boolean =>
		isHarmful(record) || partEvidence.isTriedRequest(record);

	const reportOf = (record: PartRecord): PartReport => ({
		service: record.service,
		partId: record.partId,
		crashes: record.crashes.map(({atMs, sentAtMs, ...crash}) => ({
			...crash,
			ageMs: nowMs() - atMs,
			sentBeforeMs: atMs - sentAtMs,
		})),
		answeredAgeMs: partEvidence.wasAnswered(record) ? nowMs() - record.answeredAtMs : undefined,
		quarantines: record.quarantines,
		refusedAgeMs: Number.isFinite(record.refusedAtMs) ? nowMs() - record.refusedAtMs : undefined,
	});

	/** Refutes the evidence against parts that an answer has cleared. */
	const refute = (found: readonly PartRecord[]) => {
		const refuted = found.filter((record) => !isCleared(record));
		if (refuted.length > 0) {
			update(ownSource, () => {
				for (const record of refuted) {
					record.answeredAtMs = nowMs();
				}

				return refuted;
			});
		}
	};

	const noteBegun = (service: string, request: JudgedRequest) => {
		for (const id of request.partIds()) {
			const key = keyOf(service, id);
			answeredAtMs.set(answeredAtMs.has(key) ? key : ownText.ownText(key, key.length), nowMs());
		}
	};

	/** @param idsOf ids of the parts, and of the request, against which the crash counts */
	const noteVictims = (
		service: string,
		crash: Pick<partEvidence.Crash, 'upstreamKey' | 'basis'>,
		victims: readonly CrashVictim[],
		idsOf: (victim: CrashVictim) => readonly string[],
	) => {
		update(ownSource, () => {
			const changed: PartRecord[] = [];
			for (const victim of victims) {
				const {sentBeforeMs, wasAnswering} = victim;
				const facts = {...crash, ageMs: 0, sentBeforeMs, wasAnswering};
				for (const id of idsOf(victim)) {
					changed.push(...addCrash(recordOf(service, id), crashOf(facts)));
				}
			}

			return changed;
		});
	};

	return {
		onDidChange: didChange.event,
		quarantinedPart(service, request) {
			const found = recordsFor(service, request);
			const counts = new Map<PartRecord['group'], number>();
			for (const {group} of found) {
				counts.set(group, (counts.get(group) ?? 0) + 1);
			}

			const isWhole = ({group}: PartRecord) => group?.length === counts.get(group);
			for (const record of found) {
				const waitMs = remainingMs(record);
				const isRefused = waitMs > 0 || (isTried(record) && record.trials > 0);
				if (isRefused && (!isHarmful(record) || isWhole(record))) {
					record.refusedAtMs = nowMs();
					return {partId: record.partId, remainingMs: Math.max(waitMs, trialRetryMs)};
				}
			}

			return undefined;
		},
		isSuspected: (service, request) =>
			recordsFor(service, request).some((record) =>
				record.isRequest
					? partEvidence.isSuspectedRequest(record)
					: !partEvidence.wasAnswered(record) &&
						record.crashes.some(({wasAnswering}) => wasAnswering),
			),
		noteBegun(service, request) {
			noteBegun(service, request);
			refute(recordsFor(service, request).filter(({isRequest}) => !isRequest));
		},
		noteAnswer(service, request) {
			noteBegun(service, request);
			refute(recordsFor(service, request));
		},
		noteCrash(service, upstreamKey, victims) {
			noteVictims(service, {upstreamKey, basis: 'suspect'}, victims, (victim) =>
				suspectIds(service, victim),
			);
		},
		noteBreaks(service, upstreamKey, victims, basis) {
			noteVictims(service, {upstreamKey, basis}, victims, ({request}) => [requestPartId(request)]);
		},
		beginTrial(service, request) {
			const tried = recordsFor(service, request).filter((record) => isTried(record));
			for (const record of tried) {
				record.trials++;
			}

			return disposable.toDisposable(() => {
				for (const record of tried) {
					record.trials--;
				}
			});
		},
		merge(reports, source) {
			const current = reports.filter((report) => isCurrent(report) && hasNews(report));
			if (current.length > 0) {
				update(source, () => current.flatMap((report) => mergeReport(report)));
			}
		},
		takeReports() {
			if (records.size === 0) {
				return [];
			}

			const isUrgent = (record: PartRecord) =>
				isHarmful(record) || partEvidence.suspicion(record) > 1;
			const all = [...records.values()];
			const changed = all.filter(({changedAtMs}) => changedAtMs >= nowMs() - recentMs);
			const candidates = {
				urgent: changed.filter((record) => isUrgent(record)).sort(byImportance),
				recent: changed.filter((record) => !isUrgent(record)),
				older: all.filter(
					(record) =>
						record.changedAtMs < nowMs() - recentMs &&
						(record.quarantines > 0 || !isCleared(record)),
				),
			};
			reportTurn++;
			return partReports.chooseParts(candidates, reportTurn).map((record) => reportOf(record));
		},
		quarantineReports: () =>
			[...records.values()]
				.filter(({quarantines}) => quarantines > 0)
				.map((record) => ({
					...reportOf(record),
					isHarmful: isHarmful(record),
					groupSize: record.group?.length ?? 0,
					remainingMs: remainingMs(record),
				})),
		sweep() {
			if (records.size > maxRecords) {
				dropLeastImportant();
			}

			for (const record of records.values()) {
				const retentionMs = memoryMs(record.quarantines > 0, isCleared(record));
				const lastNeededAtMs = Math.max(partEvidence.lastCrashAtMs(record), record.refusedAtMs);
				if (lastNeededAtMs < nowMs() - retentionMs) {
					forget(record);
				}
			}
		},
	};
};
