/**
 * Keeps quarantined prompt parts in the store, so that they survive a stop of all
 * daemons and reach daemons without peers. Each daemon reads the parts when it starts.
 * Some daemons watch the parts, and one of these writes each part.
 */
import type * as clock from '@hawthornfront/base/common/clock.js';
import * as disposable from '@hawthornfront/base/common/disposable.js';
import * as errorText from '@hawthornfront/base/common/error-text.js';
import * as hash from '@hawthornfront/decisions/common/hash.js';
import * as zod from 'zod';
import type * as gatewayEvent from '../common/gateway-event.js';
import * as gossipMessage from '../common/gossip-message.js';
import type * as prefixStore from '../common/prefix-store.js';
import * as partEvidence from '../common/part-evidence.js';
import * as partRecords from '../common/part-records.js';
import type * as promptQuarantine from '../common/prompt-quarantine.js';
import * as storeLease from '../common/store-lease.js';
import * as storeFeed from '../common/store-feed.js';
import * as feedLog from './feed-log.js';

/** Source of the evidence in the log. */
const storeSource = 'store';
const checkIntervalMs = 500;
/** Longest wait of one watch while peers report the parts, too. */
const watchWaitMs = 30_000;
const firstReadRetryMs = 1000;
/** Delay of each further daemon that may write a part, in which the write of an earlier one becomes visible. */
const turnMs = 1000;
/** Stored parts outlive their quarantine by this time, so that a crash after it counts as a repetition. */
const leaseMarginMs = 60_000;
/** A larger group of parts that no crash tells apart is not stored; the next crash or answer makes it smaller. */
const maxStoredGroup = 64;
/** Longest lease of the store. */
const maxLeaseMs = 600_000;

/** A report with Unix times, since its reader does not know the age of the value. */
const storedReportSchema = zod.object({
	service: zod.string().max(gossipMessage.maxNameLength),
	partId: zod.string().max(partRecords.maxPartIdLength),
	isHarmful: zod.boolean(),
	answeredAtUnixMs: zod.number().optional(),
	refusedAtUnixMs: zod.number().optional(),
	quarantines: zod.number(),
	crashes: zod
		.array(
			zod.object({
				upstreamKey: zod.number(),
				atUnixMs: zod.number(),
				sentBeforeMs: zod.number(),
				wasAnswering: zod.boolean(),
				basis: zod.enum(partEvidence.crashBases).default('suspect'),
			}),
		)
		.min(1, 'expected a crash'),
});
type StoredReport = zod.infer<typeof storedReportSchema>;

/** State of a part as far as other daemons must read it: the number of its quarantine, 0 if it was released. */
type StoredState = number;

type HarmReport = Omit<promptQuarantine.QuarantineReport, 'remainingMs' | 'groupSize'>;

export type QuarantineStore = disposable.Disposable & {
	/** Starts or stops watching the store; at first, it is only read once. */
	setWatching(isWatching: boolean): void;
	/** Notes whether peers report the parts; without them, a silent connection must not hide parts for long. */
	setPeers(hasPeers: boolean): void;
};

export type QuarantineStoreOptions = {
	clock: clock.Clock;
	random(): number;
	store: prefixStore.PrefixStore;
	prefix: string;
	quarantine: promptQuarantine.PromptQuarantine;
	log: gatewayEvent.EventLog;
	daemonName: string;
	/** Longest wait of one watch without peers. */
	aloneWatchWaitMs: number;
	/** Names of other daemons that may watch the parts. */
	otherWatchers(): readonly string[];
};

/** Starts to read and write the quarantined parts. */
export const startQuarantineStore = (options: QuarantineStoreOptions): QuarantineStore => {
	const {clock, store, prefix, quarantine, log, daemonName} = options;
	const disposables = disposable.createDisposableStore();
	const storedStates = new Map<string, StoredState>();
	/** Since when the state of a part differs from the stored one. */
	const unsavedSinceMs = new Map<string, number>();
	let isSaving = false;
	let hasPeers = true;

	const noteError = (error: unknown) => {
		const detail = errorText.errorText(error, errorText.maxLoggedLength);
		log.note({kind: 'store-lost', feed: 'quarantine', detail});
	};

	const keyOf = ({service, partId}: promptQuarantine.PartReport) =>
		`${prefix}${hash.hash32(`${service}\n${partId}`)}`;

	const encode = (report: HarmReport): Uint8Array => {
		const {answeredAgeMs, refusedAgeMs, crashes, ...rest} = report;
		const unixMs = (ageMs: number) => Math.round(clock.wallMs() - ageMs);
		const stored: StoredReport = {
			...rest,
			answeredAtUnixMs: answeredAgeMs === undefined ? undefined : unixMs(answeredAgeMs),
			refusedAtUnixMs: refusedAgeMs === undefined ? undefined : unixMs(refusedAgeMs),
			crashes: crashes.map(({ageMs, ...crash}) => ({...crash, atUnixMs: unixMs(ageMs)})),
		};
		return new TextEncoder().encode(JSON.stringify(stored));
	};

	const decode = (value: Uint8Array): HarmReport => {
		const {answeredAtUnixMs, refusedAtUnixMs, crashes, ...rest} = storedReportSchema.parse(
			JSON.parse(new TextDecoder().decode(value)),
		);
		// The clocks of two VMs differ, but evidence is never from the future.
		const ageMs = (unixMs: number) => Math.max(0, clock.wallMs() - unixMs);
		return {
			...rest,
			answeredAgeMs: answeredAtUnixMs === undefined ? undefined : ageMs(answeredAtUnixMs),
			refusedAgeMs: refusedAtUnixMs === undefined ? undefined : ageMs(refusedAtUnixMs),
			crashes: crashes.map(({atUnixMs, ...crash}) => ({...crash, ageMs: ageMs(atUnixMs)})),
		};
	};

	/** Applies items together, since the parts of one prompt are judged together. */
	const apply = (items: readonly prefixStore.StoreItem[]) => {
		const reports: promptQuarantine.PartReport[] = [];
		for (const {key, value, revision} of items) {
			try {
				const {isHarmful, ...report} = decode(value);
				storedStates.set(key, isHarmful ? report.quarantines : 0);
				reports.push(report);
			} catch (error) {
				const detail = errorText.errorText(error, errorText.maxLoggedLength);
				log.note({kind: 'entry-rejected', key, revision, detail});
			}
		}

		quarantine.merge(reports, storeSource);
	};

	const feed = disposables.add(
		storeFeed.startStoreFeed({
			clock,
			store,
			prefix,
			watchWaitMs: () => (hasPeers ? watchWaitMs : options.aloneWatchWaitMs),
			mayListStale: true,
			isFollowing: false,
			random: options.random,
			handler: {
				onListing({items}) {
					storedStates.clear();
					apply(items);
				},
				onEvents(events) {
					apply(
						events.flatMap(({key, revision, value}) => (value ? [{key, revision, value}] : [])),
					);
					for (const {key} of events.filter(({value}) => !value)) {
						storedStates.delete(key);
					}
				},
				...feedLog.createFeedLog(log, 'quarantine'),
				onDidChangeContact: () => undefined,
			},
		}),
	);

	/** Reads the parts once, also in a daemon that will not watch the store. */
	const readOnce = async () => {
		while (!disposables.isDisposed && feed.contact === 'none') {
			try {
				const {items} = await store.list(prefix, true);
				apply(items);
				return;
			} catch (error) {
				noteError(error);
				await clock.sleep(firstReadRetryMs * (0.5 + options.random()));
			}
		}
	};

	/** Position of this daemon in the order of those that may write a part. */
	const turnOf = (key: string): number =>
		hash
			.order(
				key,
				[daemonName, ...options.otherWatchers()].map((name) => ({name})),
			)
			.findIndex(({name}) => name === daemonName);

	const isUnsaved = (key: string, report: promptQuarantine.QuarantineReport): boolean => {
		const stored = storedStates.get(key);
		return report.isHarmful
			? report.remainingMs > 0 &&
					report.groupSize <= maxStoredGroup &&
					stored !== report.quarantines
			: stored !== undefined && stored !== 0;
	};

	const save = async (key: string, report: promptQuarantine.QuarantineReport) => {
		const {remainingMs, groupSize: _, ...rest} = report;
		const lease = await storeLease.grantStoreLease(
			store,
			Math.min(maxLeaseMs, Math.ceil(remainingMs) + leaseMarginMs),
		);
		await lease.put(key, encode(rest));
		storedStates.set(key, report.isHarmful ? report.quarantines : 0);
		unsavedSinceMs.delete(key);
	};

	/** Writes parts that differ from the stored ones, when it is the turn of this daemon. */
	const saveChanges = async () => {
		const reports = quarantine.quarantineReports();
		const unsaved = new Map(
			reports
				.map((report) => [keyOf(report), report] as const)
				.filter(([key, report]) => isUnsaved(key, report)),
		);
		for (const key of unsavedSinceMs.keys()) {
			if (!unsaved.has(key)) {
				unsavedSinceMs.delete(key);
			}
		}

		for (const [key, report] of unsaved) {
			const sinceMs = unsavedSinceMs.get(key) ?? clock.nowMs();
			unsavedSinceMs.set(key, sinceMs);
			if (clock.nowMs() - sinceMs >= turnOf(key) * turnMs) {
				await save(key, report);
			}
		}
	};

	disposables.add(
		clock.setPeriodicTimer(() => {
			if (isSaving || feed.contact !== 'reached') {
				return;
			}

			isSaving = true;
			saveChanges()
				.catch(noteError)
				.finally(() => {
					isSaving = false;
				});
		}, checkIntervalMs),
	);
	void readOnce();
	return {
		setWatching(isWatching) {
			feed.setFollowing(isWatching);
		},
		setPeers(next) {
			if (hasPeers && !next) {
				feed.refresh();
			}

			hasPeers = next;
		},
		dispose() {
			disposables.dispose();
		},
	};
};
