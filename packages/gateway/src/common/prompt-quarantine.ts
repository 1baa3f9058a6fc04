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
import * as lruCache from 'lru-cache';
import * as partEvidence from './part-evidence.js';
import * as partRecords from './part-records.js';
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
/** Each part counts once for its service and once for all. */
const maxAnsweredParts = 40_000;
/** Limit of the memory of the answered parts. */
export const maxAnsweredBytes = 8_388_608;
/** Estimated memory of an answered part without its key. */
const answeredBytes = 128;
const charBytes = 2;
const recentMs = 3000;
/** Changes of parts with equal evidence that are announced one by one. */
const maxNamedChanges = 8;

const requestPartId = ({digest}: JudgedRequest): string => partRecords.requestPrefix + digest();

const memoryMs = (wasQuarantined: boolean, isRefuted: boolean): number => {
	if (wasQuarantined) {
		return quarantineMemoryMs;
	}

	return isRefuted ? refutedMemoryMs : suspicionMemoryMs;
};

const changeOf = (
	record: partRecords.PartRecord,
	before: {isHarmful: boolean; isInForce: boolean},
	hasNewEvidence: boolean,
): PartChange['kind'] | undefined => {
	if (partRecords.isHarmful(record)) {
		const isNew = !before.isHarmful || (hasNewEvidence && !before.isInForce);
		return isNew ? 'quarantined' : undefined;
	}

	if (before.isHarmful) {
		return 'released';
	}

	// The connections of sound requests break, too; one break is not worth a log line.
	const isSuspected = record.isRequest
		? partEvidence.isSuspectedRequest(record)
		: !partRecords.isCleared(record);
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
	const answeredAtMs = new lruCache.LRUCache<string, number>({
		max: maxAnsweredParts,
		maxSize: maxAnsweredBytes,
		sizeCalculation: (_, key) => answeredBytes + key.length * charBytes,
	});
	const didChange = event.createEmitter<PartChange>();
	let reportTurn = 0;
	const nowMs = () => timeSource.nowMs();

	const records = partRecords.createPartRecords({
		nowMs,
		answeredAtMs: (key) => answeredAtMs.get(key),
	});

	const remainingMs = (record: partRecords.PartRecord): number => {
		if (!partRecords.isHarmful(record)) {
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

	const notify = (
		kind: PartChange['kind'],
		record: partRecords.PartRecord,
		source: string,
		others: number,
	) => {
		const {service, partId} = record;
		const crashes = partEvidence.crashesSinceAnswer(record).length;
		const leftMs = remainingMs(record);
		didChange.fire({kind, service, partId, crashes, remainingMs: leftMs, source, others});
	};

	/** Marks the parts that the evidence shows as harmful. */
	const markHarmful = () => {
		for (const record of records.all()) {
			record.group = undefined;
		}

		const all = records.all();
		// A crash that a part explains within its service may be one of several of another part in all services.
		const ofServices = all.filter(({service}) => service !== partRecords.anyService);
		const ofAll = all.filter(
			(record) => record.service === partRecords.anyService && records.spansServices(record),
		);
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
	const update = (source: string, apply: () => readonly partRecords.PartRecord[]) => {
		const before = new Map(
			records
				.all()
				.map((record) => [
					record,
					{isHarmful: partRecords.isHarmful(record), isInForce: remainingMs(record) > 0},
				]),
		);
		const changed = new Set(apply());
		if (changed.size === 0) {
			return;
		}

		markHarmful();
		/** Changed parts by their change and their evidence. */
		const changes = new Map<string, {kind: PartChange['kind']; parts: partRecords.PartRecord[]}>();
		for (const record of records.all()) {
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
		const record = records.get(service, partId);
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
	const mergeReport = (report: PartReport): partRecords.PartRecord[] => {
		const record = records.getOrCreate(report.service, report.partId);
		const answeredMs = nowMs() - (report.answeredAgeMs ?? Number.POSITIVE_INFINITY);
		const hasAnswer = partEvidence.crashesSinceAnswer(record).some(({atMs}) => atMs <= answeredMs);
		record.answeredAtMs = Math.max(record.answeredAtMs, answeredMs);
		record.quarantines = Math.max(record.quarantines, report.quarantines);
		const refusedMs = nowMs() - (report.refusedAgeMs ?? Number.POSITIVE_INFINITY);
		record.refusedAtMs = Math.max(record.refusedAtMs, refusedMs);
		const stronger = report.crashes.flatMap((crash) => records.addCrash(record, crashOf(crash)));
		const overall = records.get(partRecords.anyService, report.partId);
		const isRefuted = overall !== undefined && !partRecords.isCleared(overall) && hasAnswer;
		if (isRefuted) {
			overall.answeredAtMs = Math.max(overall.answeredAtMs, answeredMs);
		}

		return [...(hasAnswer ? [record] : []), ...(isRefuted ? [overall] : []), ...stronger];
	};

	const recordsFor = (service: string, request: JudgedRequest): partRecords.PartRecord[] => {
		if (records.size === 0) {
			return [];
		}

		const ids = [...request.partIds()];
		if (records.hasRequests) {
			ids.push(requestPartId(request));
		}

		const found = ids.flatMap((id) => [
			records.get(service, id),
			records.get(partRecords.anyService, id),
		]);
		return [...new Set(found.filter((record) => record !== undefined))];
	};

	/** Ids of the parts, and of the request, to which a crash may be due. */
	const suspectIds = (service: string, {request, wasAnswering}: CrashVictim): string[] => {
		const ids = request
			.partIds()
			// Requests that wait are many, and most of their parts are sound.
			.filter((id) => wasAnswering || !answeredAtMs.has(partRecords.keyOf(service, id)));
		// A stream begins its answer when it begins to run; of other requests nothing is known until their end.
		return wasAnswering || !request.isStream ? [...ids, requestPartId(request)] : ids;
	};

	/** Whether only one request with the part may be in progress. */
	const isTried = (record: partRecords.PartRecord): boolean =>
		partRecords.isHarmful(record) || partEvidence.isTriedRequest(record);

	const reportOf = (record: partRecords.PartRecord): PartReport => ({
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
	const refute = (found: readonly partRecords.PartRecord[]) => {
		const refuted = found.filter((record) => !partRecords.isCleared(record));
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
			for (const scope of [service, partRecords.anyService]) {
				const key = partRecords.keyOf(scope, id);
				answeredAtMs.set(answeredAtMs.has(key) ? key : ownText.ownText(key, key.length), nowMs());
			}
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
			const changed: partRecords.PartRecord[] = [];
			for (const victim of victims) {
				const {sentBeforeMs, wasAnswering} = victim;
				const facts = {...crash, ageMs: 0, sentBeforeMs, wasAnswering};
				for (const id of idsOf(victim)) {
					const record = records.getOrCreate(service, id);
					changed.push(...records.addCrash(record, crashOf(facts)));
				}
			}

			return changed;
		});
	};

	return {
		onDidChange: didChange.event,
		quarantinedPart(service, request) {
			const found = recordsFor(service, request);
			const counts = new Map<partRecords.PartRecord['group'], number>();
			for (const {group} of found) {
				counts.set(group, (counts.get(group) ?? 0) + 1);
			}

			const isWhole = ({group}: partRecords.PartRecord) => group?.length === counts.get(group);
			for (const record of found) {
				const waitMs = remainingMs(record);
				const isRefused = waitMs > 0 || (isTried(record) && record.trials > 0);
				if (isRefused && (!partRecords.isHarmful(record) || isWhole(record))) {
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

			const isUrgent = (record: partRecords.PartRecord) =>
				partRecords.isHarmful(record) || partEvidence.suspicion(record) > 1;
			const all = records.all();
			const changed = all.filter(({changedAtMs}) => changedAtMs >= nowMs() - recentMs);
			const candidates = {
				urgent: changed.filter((record) => isUrgent(record)).sort(partRecords.byImportance),
				recent: changed.filter((record) => !isUrgent(record)),
				older: all.filter(
					(record) =>
						record.changedAtMs < nowMs() - recentMs &&
						(record.quarantines > 0 || !partRecords.isCleared(record)),
				),
			};
			reportTurn++;
			return partReports.chooseParts(candidates, reportTurn).map((record) => reportOf(record));
		},
		quarantineReports: () =>
			records
				.all()
				.filter(({quarantines}) => quarantines > 0)
				.map((record) => ({
					...reportOf(record),
					isHarmful: partRecords.isHarmful(record),
					groupSize: record.group?.length ?? 0,
					remainingMs: remainingMs(record),
				})),
		sweep() {
			records.trim();

			for (const record of records.all()) {
				const retentionMs = memoryMs(record.quarantines > 0, partRecords.isCleared(record));
				const lastNeededAtMs = Math.max(partEvidence.lastCrashAtMs(record), record.refusedAtMs);
				if (lastNeededAtMs < nowMs() - retentionMs) {
					records.forget(record);
				}
			}
		},
	};
};
