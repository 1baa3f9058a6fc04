/**
 * Detects that an upstream crashed: the connections of its requests broke together, and
 * it refuses new ones. Reports the requests that it may have crashed on, and those whose
 * connections broke otherwise.
 */
import type * as clock from '@hawthornfront/base/common/clock.js';
import * as hash from '@hawthornfront/decisions/common/hash.js';
import type * as gatewayEvent from './gateway-event.js';
import type * as promptQuarantine from './prompt-quarantine.js';
import type * as upstreamRegistry from './upstream-registry.js';
import type * as upstreamTransport from './upstream-transport.js';

/** What may have crashed an upstream. */
export type ObservedRequest = promptQuarantine.JudgedRequest & {
	/** Names one attempt of the caller. */
	attemptId?: string;
};

/** A request at an upstream. */
export type ObservedRun = {
	/** The upstream began its answer. */
	noteHead(): void;
	/** @param count events of a stream that the upstream has sent so far */
	noteEvents(count: number): void;
	/** The upstream sent the whole answer. */
	noteAnswer(): void;
	/** The connection broke after the request was sent. */
	noteBroken(): void;
	/** Call once when the request has left the upstream. */
	end(): void;
};

export type CrashDetector = {
	/** Begins to observe a request. */
	begin(upstream: upstreamRegistry.Upstream, request: ObservedRequest): ObservedRun;
	/** Calls back when it is known whether the upstream crashed: at once unless a connection to it has just broken. */
	whenDecided(upstream: upstreamRegistry.Upstream, callback: (hasCrashed: boolean) => void): void;
	/** Requests that are kept after their connections broke. */
	readonly brokenRequests: number;
};

export type CrashDetectorOptions = {
	clock: clock.Clock;
	transport: Pick<upstreamTransport.UpstreamTransport, 'probe'>;
	quarantine: Pick<
		promptQuarantine.PromptQuarantine,
		'noteAnswer' | 'noteBegun' | 'noteCrash' | 'noteBreaks'
	>;
	log: gatewayEvent.EventLog;
};

/** Time in which the connections to a crashed upstream break. */
const settleMs = 40;
/** An upstream that has sent more events than this has survived the begin of its answer. */
const maxEventsAtCrash = 1;

/** Limit of the log lines on the requests that one crash may be due to. */
const maxLoggedSuspects = 8;
/** Callers choose the ids. */
const maxLoggedIdLength = 64;

type Run = {
	request: ObservedRequest;
	sentAtMs: number;
	hasHead: boolean;
	events: number;
};

type BrokenRun = Run & {brokenAtMs: number};

/** Requests at one start of an upstream. */
type Watched = {
	running: Set<Run>;
	/** Requests whose connections broke, until it is known whether the upstream crashed. */
	broken: BrokenRun[];
	waiting: Array<(hasCrashed: boolean) => void>;
	isChecking: boolean;
};

const wasAnswering = ({hasHead, events}: Run): boolean => hasHead && events === 0;

const victimOf = (run: BrokenRun): promptQuarantine.CrashVictim => ({
	request: run.request,
	sentBeforeMs: run.brokenAtMs - run.sentAtMs,
	wasAnswering: wasAnswering(run),
});

/** Identifies one start of an upstream, since an upstream may start again under its id. */
const keyOf = ({entry}: upstreamRegistry.Upstream): number =>
	hash.hash32(`${entry.id}\n${entry.startedAtUnixMs ?? 0}`);

/** Creates a detector without requests. */
export const createCrashDetector = ({
	clock: time,
	transport,
	quarantine,
	log,
}: CrashDetectorOptions): CrashDetector => {
	const watchedByKey = new Map<number, Watched>();

	const watchedOf = (key: number): Watched => {
		let watched = watchedByKey.get(key);
		if (!watched) {
			watched = {running: new Set(), broken: [], waiting: [], isChecking: false};
			watchedByKey.set(key, watched);
		}

		return watched;
	};

	const forgetIfIdle = (key: number, watched: Watched) => {
		const isIdle = watched.running.size === 0 && !watched.isChecking;
		if (isIdle && watchedByKey.get(key) === watched) {
			watchedByKey.delete(key);
		}
	};

	/** Reports requests whose connections broke although the upstream may be sound: one that breaks again and again may be the cause. */
	const reportBreaks = (
		upstream: upstreamRegistry.Upstream,
		broken: readonly BrokenRun[],
		basis: 'bystander' | 'break',
	) => {
		quarantine.noteBreaks(
			upstream.entry.service,
			keyOf(upstream),
			broken.map((run) => victimOf(run)),
			basis,
		);
	};

	/** Reports and forgets requests whose connections broke long before: they belong to another failure. */
	const settleOldBroken = (upstream: upstreamRegistry.Upstream, watched: Watched) => {
		const oldestMs = time.nowMs() - settleMs;
		const old = watched.broken.filter(({brokenAtMs}) => brokenAtMs <= oldestMs);
		watched.broken = watched.broken.filter(({brokenAtMs}) => brokenAtMs > oldestMs);
		reportBreaks(upstream, old, 'break');
	};

	const reportCrash = (upstream: upstreamRegistry.Upstream, watched: Watched) => {
		const suspects = watched.broken.filter(({events}) => events <= maxEventsAtCrash);
		log.note({
			kind: 'upstream-crashed',
			upstream: upstream.entry.id,
			service: upstream.entry.service,
			broken: watched.broken.length,
			suspects: suspects.length,
			answering: suspects.filter((run) => wasAnswering(run)).length,
		});
		const byLikelihood = (a: Run, b: Run) => Number(wasAnswering(b)) - Number(wasAnswering(a));
		for (const run of [...suspects].sort(byLikelihood).slice(0, maxLoggedSuspects)) {
			log.note({
				kind: 'crash-suspect',
				upstream: upstream.entry.id,
				request: (run.request.attemptId ?? '').slice(0, maxLoggedIdLength),
				digest: run.request.digest(),
				wasAnswering: wasAnswering(run),
			});
		}

		quarantine.noteCrash(
			upstream.entry.service,
			keyOf(upstream),
			suspects.map((run) => victimOf(run)),
		);
		// The crash alone makes no suspects of these: they waited, or had survived the begin of their answer.
		const others = watched.broken.filter(
			(run) => run.events > maxEventsAtCrash || (run.request.isStream && !wasAnswering(run)),
		);
		reportBreaks(upstream, others, 'bystander');
	};

	const decide = (upstream: upstreamRegistry.Upstream, watched: Watched, hasCrashed: boolean) => {
		if (hasCrashed) {
			reportCrash(upstream, watched);
		} else {
			reportBreaks(upstream, watched.broken, 'break');
		}

		watched.isChecking = false;
		watched.broken.length = 0;
		forgetIfIdle(keyOf(upstream), watched);
		for (const callback of watched.waiting.splice(0)) {
			callback(hasCrashed);
		}
	};

	const check = (upstream: upstreamRegistry.Upstream, watched: Watched) => {
		const firstBrokenAtMs = Math.min(...watched.broken.map(({brokenAtMs}) => brokenAtMs));
		const hasSurvivor = [...watched.running].some(({sentAtMs}) => sentAtMs < firstBrokenAtMs);
		if (hasSurvivor) {
			decide(upstream, watched, false);
			return;
		}

		transport.probe(upstream.entry.address, (result) => {
			decide(upstream, watched, result === 'refused');
		});
	};

	return {
		begin(upstream, request) {
			const {service} = upstream.entry;
			const key = keyOf(upstream);
			const watched = watchedOf(key);
			const run: Run = {request, sentAtMs: time.nowMs(), hasHead: false, events: 0};
			watched.running.add(run);

			const leave = () => {
				watched.running.delete(run);
				forgetIfIdle(key, watched);
			};

			return {
				noteHead() {
					run.hasHead = true;
				},
				noteEvents(count) {
					if (run.events <= maxEventsAtCrash && count > maxEventsAtCrash) {
						quarantine.noteBegun(service, request);
					}

					run.events = count;
				},
				noteAnswer() {
					quarantine.noteAnswer(service, request);
				},
				noteBroken() {
					const brokenAtMs = time.nowMs();
					watched.running.delete(run);
					if (!watched.isChecking) {
						settleOldBroken(upstream, watched);
					}

					watched.broken.push({...run, brokenAtMs});
					if (!watched.isChecking && run.events <= maxEventsAtCrash) {
						watched.isChecking = true;
						time.setTimer(() => {
							check(upstream, watched);
						}, settleMs);
					} else if (!watched.isChecking) {
						// Otherwise it would be kept, with its body, for as long as the upstream has others.
						time.setTimer(() => {
							if (!watched.isChecking) {
								settleOldBroken(upstream, watched);
							}
						}, 2 * settleMs);
					}
				},
				end: leave,
			};
		},
		whenDecided(upstream, callback) {
			const watched = watchedByKey.get(keyOf(upstream));
			if (watched?.isChecking) {
				watched.waiting.push(callback);
			} else {
				callback(false);
			}
		},
		get brokenRequests() {
			return [...watchedByKey.values()].reduce((sum, {broken}) => sum + broken.length, 0);
		},
	};
};
