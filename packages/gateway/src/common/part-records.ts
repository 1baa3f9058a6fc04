/** What a daemon knows of prompt parts and requests that may crash upstreams, within a bounded memory. */
import * as ownText from '@hawthornfront/base/common/own-text.js';
import * as hash from '@hawthornfront/decisions/common/hash.js';
import * as partEvidence from './part-evidence.js';
import type * as partReports from './part-reports.js';

/** In place of a service: evidence of all services on a part that stands at crashes in several. */
export const anyService = '*';
/** Begins the part ids of requests. */
export const requestPrefix = 'request:';
export const maxPartIdLength = 64;
/** A head of 16 KB has room for so many parts, any of which may be the harmful one. */
const maxRecords = 4096;
/** Records beyond the limit that a crash may add before the least important ones are dropped. */
const maxExcessRecords = 4096;

export type PartRecord = partReports.ReportedPart & {
	/** Parts that a prompt must have together to be harmful; undefined if the evidence does not suffice. */
	group?: readonly PartRecord[];
	changedAtMs: number;
	/** Requests in progress that try the part again. */
	trials: number;
};

export type PartRecords = {
	readonly size: number;
	/** Whether any record is that of a request; without one, no digest is computed. */
	readonly hasRequests: boolean;
	all(): PartRecord[];
	get(service: string, partId: string): PartRecord | undefined;
	getOrCreate(service: string, partId: string): PartRecord;
	/**
	 * Adds a crash to the evidence of a service, and to that of all services once a second one
	 * is concerned.
	 *
	 * @returns the records whose evidence it strengthens
	 */
	addCrash(record: PartRecord, crash: partEvidence.Crash): PartRecord[];
	/**
	 * Whether no answer has refuted the evidence of two services, or a daemon that knew of them
	 * has decided on it.
	 *
	 * @param record evidence of all services
	 */
	spansServices(record: PartRecord): boolean;
	forget(record: PartRecord): void;
	/** Drops the least important records beyond the limit. */
	trim(): void;
};

/** Callers choose the ids, so their length is bounded. */
const boundedId = (partId: string): string =>
	partId.length <= maxPartIdLength ? partId : `#${hash.hash32(partId)}`;

export const keyOf = (service: string, partId: string): string =>
	`${service}\n${boundedId(partId)}`;

/** Whether the evidence suffices, also after the quarantine is over. */
export const isHarmful = ({group}: PartRecord): boolean => group !== undefined;

/** Whether an answer has refuted all crashes of a part. */
export const isCleared = (record: PartRecord): boolean =>
	partEvidence.crashesSinceAnswer(record).length === 0;

/** Orders parts by how likely they crash upstreams, then by the time of their last change. */
export const byImportance = (a: PartRecord, b: PartRecord): number =>
	Number(isHarmful(b)) - Number(isHarmful(a)) ||
	partEvidence.suspicion(b) - partEvidence.suspicion(a) ||
	b.changedAtMs - a.changedAtMs;

/** @param options `answeredAtMs`: time of the last answer known by the key of a part, in monotonic time */
export const createPartRecords = (options: {
	nowMs(): number;
	answeredAtMs(key: string): number | undefined;
}): PartRecords => {
	const records = new Map<string, PartRecord>();
	/** Services with a record on a part, by its id. */
	const servicesByPart = new Map<string, Set<string>>();
	let requestRecords = 0;

	const get = (service: string, partId: string) => records.get(keyOf(service, partId));

	const recordsOfServices = (partId: string): PartRecord[] =>
		[...(servicesByPart.get(partId) ?? [])]
			.map((service) => get(service, partId))
			.filter((record) => record !== undefined);

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

	const dropBeyond = (limit: number) => {
		if (records.size <= limit) {
			return;
		}

		for (const record of [...records.values()].sort(byImportance).slice(maxRecords)) {
			forget(record);
		}
	};

	/** Takes over the evidence of the services. */
	const collect = (overall: PartRecord) => {
		for (const {crashes, answeredAtMs} of recordsOfServices(overall.partId)) {
			overall.answeredAtMs = Math.max(overall.answeredAtMs, answeredAtMs);
			for (const crash of crashes) {
				partEvidence.addCrash(overall, {...crash});
			}
		}
	};

	const getOrCreate = (service: string, partId: string): PartRecord => {
		const known = get(service, partId);
		if (known) {
			return known;
		}

		const key = keyOf(service, partId);
		const record: PartRecord = {
			service: ownText.ownText(service, service.length),
			partId: ownText.ownText(boundedId(partId), maxPartIdLength),
			isRequest: partId.startsWith(requestPrefix),
			crashes: [],
			answeredAtMs: options.answeredAtMs(key) ?? Number.NEGATIVE_INFINITY,
			quarantines: 0,
			changedAtMs: options.nowMs(),
			refusedAtMs: Number.NEGATIVE_INFINITY,
			reportedTurn: 0,
			trials: 0,
		};
		dropBeyond(maxRecords + maxExcessRecords - 1);
		records.set(ownText.ownText(key, key.length), record);
		requestRecords += record.isRequest ? 1 : 0;
		if (record.service === anyService) {
			collect(record);
		} else {
			const services = servicesByPart.get(record.partId) ?? new Set();
			services.add(record.service);
			servicesByPart.set(record.partId, services);
		}

		return record;
	};

	return {
		get size() {
			return records.size;
		},
		get hasRequests() {
			return requestRecords > 0;
		},
		all: () => [...records.values()],
		get,
		getOrCreate,
		addCrash(record, crash) {
			const isConcerned =
				record.service !== anyService && (servicesByPart.get(record.partId)?.size ?? 0) > 1;
			const overall = isConcerned ? [getOrCreate(anyService, record.partId)] : [];
			return [record, ...overall].filter((known) => partEvidence.addCrash(known, {...crash}));
		},
		spansServices: ({partId, quarantines}) =>
			quarantines > 0 ||
			recordsOfServices(partId).filter((record) => !isCleared(record)).length > 1,
		forget,
		trim() {
			dropBeyond(maxRecords);
		},
	};
};
