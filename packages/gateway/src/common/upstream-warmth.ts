/**
 * Whether upstreams are warm: a belief with a source and an age. The store tells that an
 * upstream is cold only after it has written its entry, so a daemon whose connections
 * show that an upstream may have restarted suspects it and tells its peers. The suspicion
 * ends with an answer of the upstream for its health, which one daemon of the region asks
 * for and passes on. A daemon that learns of no changes from the store or from peers asks
 * for itself, and keeps the answer for a moment only.
 */
import type * as clock from '@hawthornfront/base/common/clock.js';
import type * as disposable from '@hawthornfront/base/common/disposable.js';
import * as event from '@hawthornfront/base/common/event.js';
import type * as gatewayEvent from './gateway-event.js';
import * as healthQuestion from './health-question.js';
import type * as regionSender from './region-sender.js';
import type * as upstreamRegistry from './upstream-registry.js';

/**
 * Traffic that an upstream may get: `usual`; `slow`, the cold rate from the region's
 * sender; `ask`, none before it has answered for its health; `none`.
 */
export type Pace = 'usual' | 'slow' | 'ask' | 'none';

export type Belief = 'suspected' | 'cold' | 'warm';

/** What a daemon knows of an upstream, as sent to other daemons. */
export type WarmthReport = {
	upstreamId: string;
	belief: Belief;
	/** Time since the evidence. */
	ageMs: number;
	/** Time for which it stays cold; 0 unless it is. */
	coldLeftMs: number;
	/** Number that the daemon which found the evidence gave it, by which a repeated report is known. */
	evidence: number;
};

/** Reason of a suspicion: a connection could not be opened. */
const refusedReason = 'refused';

/** Source of a change that this daemon has found out itself. */
export const ownSource = 'own';

export type WarmthChange = {
	upstreamId: string;
	belief: Belief;
	/** Time for which it stays cold; 0 unless it is. */
	coldLeftMs: number;
	/** {@link ownSource}, or the daemon that reported the change. */
	source: string;
};

export type UpstreamWarmth = {
	/** Fires when the belief on an upstream changes. */
	readonly onDidChange: event.Event<WarmthChange>;
	paceOf(upstream: upstreamRegistry.Upstream, coldRatePerS: number): Pace;
	/** Asks the upstream for its health unless that is known or being asked. */
	ask(upstream: upstreamRegistry.Upstream): void;
	/** Call it for each request, so that requests that follow each other do not wait for the next answer. */
	noteUse(upstream: upstreamRegistry.Upstream, coldRatePerS: number): void;
	/**
	 * Notes that the upstream may have restarted or become cold.
	 *
	 * @param ageMs time since the latest moment at which a proof of its warmth counts
	 */
	suspect(upstream: upstreamRegistry.Upstream, reason: string, ageMs?: number): void;
	/** Holds all traffic back for a moment, until it is known what the end of a connection means. */
	hold(upstream: upstreamRegistry.Upstream): void;
	/** Ends the hold: the upstream did not restart. */
	release(upstreamId: string): void;
	/** Notes that the store says that the upstream is cold. */
	noteCold(upstream: upstreamRegistry.Upstream, coldLeftMs: number): void;
	/** Applies the report of another daemon, unless a newer belief is held. */
	merge(upstream: upstreamRegistry.Upstream, report: WarmthReport, source: string): void;
	/** Reports for the next message: those that have just changed, and open suspicions. */
	takeReports(): WarmthReport[];
	/** Drops what is known of an upstream that is gone or was restarted. */
	forget(upstreamId: string): void;
	/** Upstreams of which anything is kept. */
	readonly size: number;
};

export type UpstreamWarmthOptions = healthQuestion.HealthQuestionOptions & {
	clock: clock.Clock;
	log: gatewayEvent.EventLog;
	sender: Pick<regionSender.RegionSender, 'isSender'>;
	/** Whether the store or a peer reports how long upstreams stay cold. */
	isInformed(): boolean;
	/** Rate that a cold upstream of a service bears; 0 for a service without cold upstreams. */
	coldRatePerS(service: string): number;
	/** Uniform in [0, 1). */
	random(): number;
};

/** An own answer is kept for this long, in which the usual traffic stays below what a cold upstream bears. */
const maxProofAgeMs = 200;
/** An upstream that does not answer is asked again after this time. */
const repeatAfterMs = 1000;
/** Interval at which the sender asks a suspected upstream that does not answer. */
const pursueEveryMs = 500;
/** A daemon that is not the sender asks only when the sender has not settled a suspicion for this long. */
const standInAfterMs = 2000;
/** Range of the further delay of the daemons that stand in, so that they do not ask together. */
const standInSpreadMs = 4000;
/** The store has told of a restart by this time after it: a check-in of the upstream and the delay of a watch. */
const settledAfterMs = 5000;
/** Longest time until it is known what the end of a connection means. */
const maxHoldMs = 1000;
/** A daemon that cannot reach an upstream, though others can, tells nobody of its refused connections for this long. */
const noPathMs = 10_000;
/** Pieces of evidence on an upstream that are known again. */
const maxSeen = 32;
const maxEvidence = 2 ** 32;
/** A changed belief is in all messages for this time. */
const reportedForMs = 3000;
const maxReports = 24;
/** Longest cold time that a peer is believed; the entry of the upstream tells the rest. */
const maxReportedColdMs = 5000;

type State = {
	/** Own answer of the upstream. */
	own: 'unknown' | 'warm' | 'cold';
	/** Until when the own answer, or the lack of one, holds. */
	ownUntilMs: number;
	isAsking: boolean;
	/** Time of the newest evidence of a restart that nothing has settled. */
	suspectedAtMs?: number;
	/** No connection could be opened, so nothing is sent until this time. */
	refusedUntilMs: number;
	/** Time of the question whose answer, here or at a peer, settled the last suspicion. */
	settledAtMs: number;
	coldUntilMs: number;
	changedAtMs: number;
	reportedAtMs: number;
	/** Evidence of the belief. */
	evidence: number;
	/** Evidence that was applied, the newest last; reports pass from daemon to daemon and grow younger with each. */
	seen: number[];
	heldUntilMs: number;
	/** When the store or a peer last told this daemon nothing, while it suspected the upstream. */
	uninformedAtMs: number;
	/** A connection of this daemon was refused since the suspicion began. */
	wasRefused: boolean;
	hasNoPathUntilMs: number;
	/** When this daemon asks in the place of the sender. */
	standInAtMs: number;
	pursuit?: disposable.Disposable;
};

export const createUpstreamWarmth = (options: UpstreamWarmthOptions): UpstreamWarmth => {
	const {clock, log, sender} = options;
	const states = new Map<string, State>();
	const didChange = event.createEmitter<WarmthChange>();
	const nowMs = () => clock.nowMs();

	const stateOf = (id: string): State => {
		let state = states.get(id);
		if (!state) {
			state = {
				own: 'unknown',
				ownUntilMs: nowMs(),
				isAsking: false,
				refusedUntilMs: Number.NEGATIVE_INFINITY,
				settledAtMs: Number.NEGATIVE_INFINITY,
				coldUntilMs: Number.NEGATIVE_INFINITY,
				changedAtMs: Number.NEGATIVE_INFINITY,
				reportedAtMs: Number.NEGATIVE_INFINITY,
				evidence: 0,
				seen: [],
				heldUntilMs: Number.NEGATIVE_INFINITY,
				uninformedAtMs: Number.NEGATIVE_INFINITY,
				wasRefused: false,
				hasNoPathUntilMs: Number.NEGATIVE_INFINITY,
				standInAtMs: Number.POSITIVE_INFINITY,
			};
			states.set(id, state);
		}

		return state;
	};

	const newEvidence = () => Math.floor(options.random() * maxEvidence);

	const noteEvidence = (state: State, evidence: number) => {
		state.evidence = evidence;
		state.seen.push(evidence);
		state.seen.splice(0, state.seen.length - maxSeen);
	};

	const coldLeftMs = (state: State) => Math.max(0, Math.round(state.coldUntilMs - nowMs()));

	const beliefOf = (state: State): Belief => {
		if (state.suspectedAtMs !== undefined) {
			return 'suspected';
		}

		return coldLeftMs(state) > 0 ? 'cold' : 'warm';
	};

	const announce = (id: string, state: State, source: string, detail: string) => {
		const belief = beliefOf(state);
		const holdsMs = coldLeftMs(state);
		state.changedAtMs = nowMs();
		log.note({kind: 'upstream-warmth', upstream: id, state: belief, holdsMs, source, detail});
		didChange.fire({upstreamId: id, belief, coldLeftMs: holdsMs, source});
	};

	/** Logs what this daemon has seen itself and tells nobody. */
	const noteOwn = (
		id: string,
		state: Belief | 'unknown' | 'unclear',
		holdsMs: number,
		detail: string,
	) => {
		const source = ownSource;
		log.note({kind: 'upstream-warmth', upstream: id, state, holdsMs, source, detail});
	};

	const settle = (state: State, atMs: number, coldUntilMs: number, evidence = newEvidence()) => {
		noteEvidence(state, evidence);
		state.wasRefused = false;
		state.heldUntilMs = Number.NEGATIVE_INFINITY;
		state.suspectedAtMs = undefined;
		state.pursuit?.dispose();
		state.pursuit = undefined;
		state.refusedUntilMs = Number.NEGATIVE_INFINITY;
		state.settledAtMs = atMs;
		state.coldUntilMs = coldUntilMs;
	};

	const learnAnswer = (id: string, askedAtMs: number, answer: healthQuestion.HealthAnswer) => {
		const state = states.get(id);
		if (!state) {
			// The upstream is gone.
			return;
		}

		const before = beliefOf(state);
		const ownBefore = state.own;
		state.isAsking = false;
		state.own = answer.kind;
		if (answer.kind === 'unknown') {
			const isPursued = state.suspectedAtMs !== undefined;
			state.ownUntilMs = nowMs() + (isPursued ? pursueEveryMs : repeatAfterMs);
			if (answer.isRefused) {
				state.refusedUntilMs = state.ownUntilMs;
			}

			if (ownBefore !== 'unknown' || isPursued) {
				noteOwn(id, 'unknown', state.ownUntilMs - nowMs(), answer.detail);
			}

			return;
		}

		if (askedAtMs < Math.max(state.settledAtMs, state.suspectedAtMs ?? askedAtMs)) {
			// What came after the question is not settled by its answer.
			state.own = 'unknown';
			state.ownUntilMs = nowMs();
			return;
		}

		const leftMs = answer.kind === 'cold' ? answer.coldLeftMs : 0;
		state.ownUntilMs = nowMs() + (answer.kind === 'cold' ? leftMs : maxProofAgeMs);
		settle(state, askedAtMs, answer.kind === 'cold' ? nowMs() + leftMs : Number.NEGATIVE_INFINITY);

		if (before !== beliefOf(state)) {
			announce(id, state, ownSource, 'health');
		} else if (ownBefore !== state.own) {
			noteOwn(id, state.own, leftMs, 'health');
		}
	};

	const startQuestion = (entry: upstreamRegistry.Upstream['entry'], state: State) => {
		const askedAtMs = nowMs();
		state.isAsking = true;
		healthQuestion.askHealth(options, entry, (answer) => {
			learnAnswer(entry.id, askedAtMs, answer);
		});
	};

	/** Ends a suspicion of which the store would have told by now if it were right. */
	const expireIfOld = (id: string, state: State) => {
		if (state.suspectedAtMs === undefined) {
			return;
		}

		if (!options.isInformed()) {
			state.uninformedAtMs = nowMs();
		} else if (nowMs() - Math.max(state.suspectedAtMs, state.uninformedAtMs) >= settledAfterMs) {
			settle(state, nowMs() - settledAfterMs, state.coldUntilMs);
			announce(id, state, ownSource, 'no word of a restart');
		}
	};

	/** Asks a suspected upstream until its state is known. */
	const pursue = (entry: upstreamRegistry.Upstream['entry']) => {
		const state = states.get(entry.id);
		if (!state) {
			return;
		}

		expireIfOld(entry.id, state);
		if (state.suspectedAtMs === undefined) {
			return;
		}

		if (!state.isAsking) {
			if (sender.isSender(entry.id)) {
				startQuestion(entry, state);
			} else if (nowMs() >= state.standInAtMs) {
				state.standInAtMs = nowMs() + standInAfterMs + options.random() * standInSpreadMs;
				startQuestion(entry, state);
			}
		}

		state.pursuit = clock.setTimer(() => {
			pursue(entry);
		}, pursueEveryMs);
	};

	const noteSuspicion = (
		{entry}: upstreamRegistry.Upstream,
		atMs: number,
		source: string,
		reason: string,
		evidence: number,
	) => {
		const state = stateOf(entry.id);
		noteEvidence(state, evidence);
		state.wasRefused ||= source === ownSource && reason === refusedReason;
		const isNew = state.suspectedAtMs === undefined;
		state.suspectedAtMs = Math.max(atMs, state.suspectedAtMs ?? Number.NEGATIVE_INFINITY);
		state.own = 'unknown';
		state.ownUntilMs = nowMs();
		if (isNew) {
			state.standInAtMs = nowMs() + standInAfterMs + options.random() * standInSpreadMs;
			announce(entry.id, state, source, reason);
			pursue(entry);
		}
	};

	const mayBeCold = (service: string) => options.coldRatePerS(service) > 0;

	const warmth: UpstreamWarmth = {
		onDidChange: didChange.event,
		paceOf({entry}, coldRatePerS) {
			if (coldRatePerS === 0) {
				return 'usual';
			}

			const state = states.get(entry.id);
			if (state) {
				expireIfOld(entry.id, state);
				if (nowMs() < Math.max(state.refusedUntilMs, state.heldUntilMs)) {
					return 'none';
				}

				if (nowMs() < state.coldUntilMs) {
					return 'slow';
				}
			}

			if (options.isInformed()) {
				return state?.suspectedAtMs === undefined ? 'usual' : 'slow';
			}

			if (!state || nowMs() >= state.ownUntilMs) {
				return 'ask';
			}

			return state.own === 'warm' ? 'usual' : 'slow';
		},
		ask({entry}) {
			const state = stateOf(entry.id);
			const repeatsAtMs = state.ownUntilMs - (state.own === 'warm' ? maxProofAgeMs / 2 : 0);
			if (!state.isAsking && nowMs() >= repeatsAtMs) {
				startQuestion(entry, state);
			}
		},
		noteUse(upstream, coldRatePerS) {
			if (coldRatePerS > 0 && !options.isInformed()) {
				warmth.ask(upstream);
			}
		},
		suspect(upstream, reason, ageMs = 0) {
			const {id, service, isDraining} = upstream.entry;
			if (!mayBeCold(service) || isDraining) {
				return;
			}

			const state = stateOf(id);
			const atMs = nowMs() - ageMs;
			if (reason === refusedReason && nowMs() < state.hasNoPathUntilMs) {
				state.refusedUntilMs = nowMs() + repeatAfterMs;
			} else if (atMs >= state.settledAtMs) {
				noteSuspicion(upstream, atMs, ownSource, reason, newEvidence());
			}
		},
		hold({entry}) {
			if (!mayBeCold(entry.service)) {
				return;
			}

			const state = stateOf(entry.id);
			if (nowMs() >= state.heldUntilMs) {
				noteOwn(entry.id, 'unclear', maxHoldMs, 'a connection ended');
			}

			state.heldUntilMs = nowMs() + maxHoldMs;
		},
		release(upstreamId) {
			const state = states.get(upstreamId);
			if (state && nowMs() < state.heldUntilMs) {
				state.heldUntilMs = Number.NEGATIVE_INFINITY;
				noteOwn(upstreamId, beliefOf(state), coldLeftMs(state), 'kept connections');
			}
		},
		noteCold({entry}, leftMs) {
			const state = stateOf(entry.id);
			const before = beliefOf(state);
			settle(state, nowMs(), nowMs() + leftMs);
			if (before !== 'cold') {
				announce(entry.id, state, ownSource, 'store');
			}
		},
		merge(upstream, {belief, ageMs, coldLeftMs: leftMs, evidence}, source) {
			const {id, service} = upstream.entry;
			if (!mayBeCold(service)) {
				return;
			}

			const state = stateOf(id);
			const atMs = nowMs() - Math.max(0, ageMs);
			if (state.seen.includes(evidence) || atMs < state.settledAtMs) {
				return;
			}

			if (belief === 'suspected') {
				noteSuspicion(upstream, atMs, source, 'reported', evidence);
				return;
			}

			if (atMs < (state.suspectedAtMs ?? atMs)) {
				return;
			}

			const before = beliefOf(state);
			if (state.wasRefused && belief === 'warm') {
				state.hasNoPathUntilMs = nowMs() + noPathMs;
			}

			const coldUntilMs =
				belief === 'cold'
					? nowMs() + Math.min(maxReportedColdMs, Math.max(0, leftMs))
					: Number.NEGATIVE_INFINITY;
			settle(state, atMs, coldUntilMs, evidence);
			if (before === beliefOf(state)) {
				state.changedAtMs = nowMs();
			} else {
				announce(id, state, source, 'reported');
			}
		},
		takeReports() {
			const oldestMs = nowMs() - reportedForMs;
			return [...states]
				.filter(
					([, {changedAtMs, suspectedAtMs}]) =>
						changedAtMs >= oldestMs || suspectedAtMs !== undefined,
				)
				.sort(([, a], [, b]) => a.reportedAtMs - b.reportedAtMs || b.changedAtMs - a.changedAtMs)
				.slice(0, maxReports)
				.map(([upstreamId, state]) => {
					state.reportedAtMs = nowMs();
					return {
						upstreamId,
						belief: beliefOf(state),
						ageMs: Math.max(0, nowMs() - (state.suspectedAtMs ?? state.settledAtMs)),
						coldLeftMs: coldLeftMs(state),
						evidence: state.evidence,
					};
				});
		},
		forget(upstreamId) {
			states.get(upstreamId)?.pursuit?.dispose();
			states.delete(upstreamId);
		},
		get size() {
			return states.size;
		},
	};
	return warmth;
};
