/**
 * Whether upstreams are warm, for a daemon that learns of no changes from the store or from
 * peers. Its listing may be old, and an upstream that came back cold fails under the usual traffic. So
 * it asks an upstream for its health before it sends more than a few requests, and keeps
 * the answer for a moment only. The slow rate bounds one such daemon, not several together.
 */
import type * as clock from '@hawthornfront/base/common/clock.js';
import * as tokenBucket from '@hawthornfront/decisions/common/token-bucket.js';
import type * as gatewayEvent from './gateway-event.js';
import type * as upstreamRegistry from './upstream-registry.js';
import type * as upstreamTransport from './upstream-transport.js';
import type * as wireFormat from './wire-format.js';

export type UpstreamWarmth = {
	/** Whether the usual traffic, or one request within the slow rate, may be sent. */
	mayUse(upstream: upstreamRegistry.Upstream, coldRatePerS: number): boolean;
	/** Asks the upstream for its health unless that is known or being asked. */
	ask(upstream: upstreamRegistry.Upstream): void;
	/** Counts a request. */
	noteUse(upstream: upstreamRegistry.Upstream, coldRatePerS: number): void;
	forget(upstreamId: string): void;
};

export type UpstreamWarmthOptions = {
	clock: clock.Clock;
	transport: upstreamTransport.UpstreamTransport;
	wire: wireFormat.WireFormat;
	log: gatewayEvent.EventLog;
	/** Whether the store or a peer reports how long upstreams stay cold. */
	isInformed(): boolean;
};

/** An answer is kept for this long, in which the usual traffic stays below what a cold upstream bears. */
const maxAgeMs = 200;
const answerTimeoutMs = 300;
/** An upstream that does not answer is asked again after this time. */
const repeatAfterMs = 1000;
/** Share of the cold rate; the daemon that is assigned to a cold upstream uses most of it. */
const coldRateShare = 0.25;
const burstRequests = 1;

type State = {
	kind: 'unknown' | 'warm' | 'cold';
	/** Until when the state holds. */
	untilMs: number;
	isAsking: boolean;
	bucket?: tokenBucket.TokenBucket;
};

export const createUpstreamWarmth = (options: UpstreamWarmthOptions): UpstreamWarmth => {
	const {clock, transport, wire, log} = options;
	const states = new Map<string, State>();

	const stateOf = (id: string): State => {
		let state = states.get(id);
		if (!state) {
			state = {kind: 'unknown', untilMs: clock.nowMs(), isAsking: false};
			states.set(id, state);
		}

		return state;
	};

	const bucketOf = (state: State, coldRatePerS: number): tokenBucket.TokenBucket => {
		state.bucket ??= tokenBucket.createTokenBucket(
			coldRatePerS * coldRateShare,
			burstRequests,
			clock.nowMs(),
		);
		return state.bucket;
	};

	const isWarm = (state: State) => state.kind === 'warm' && clock.nowMs() < state.untilMs;

	const learn = (id: string, kind: State['kind'], holdsMs: number, detail: string) => {
		const state = states.get(id);
		if (!state) {
			// The upstream is gone.
			return;
		}

		if (state.kind !== kind) {
			log.note({kind: 'upstream-warmth', upstream: id, state: kind, holdsMs, detail});
		}

		state.kind = kind;
		state.untilMs = clock.nowMs() + holdsMs;
		state.isAsking = false;
	};

	const learnHealth = (id: string, health: wireFormat.HealthFacts) => {
		if (health.upstreamId !== undefined && health.upstreamId !== id) {
			learn(id, 'unknown', repeatAfterMs, `answered by ${health.upstreamId}`);
		} else if (health.coldMs === 'unusable') {
			learn(id, 'unknown', repeatAfterMs, 'an unusable cold time');
		} else if (health.coldMs > 0) {
			learn(id, 'cold', health.coldMs, 'health');
		} else {
			learn(id, 'warm', maxAgeMs, 'health');
		}
	};

	const warmth: UpstreamWarmth = {
		mayUse({entry}, coldRatePerS) {
			if (coldRatePerS === 0 || options.isInformed()) {
				return true;
			}

			const state = stateOf(entry.id);
			const isKnown = clock.nowMs() < state.untilMs;
			return (
				isWarm(state) || (isKnown && bucketOf(state, coldRatePerS).waitMs(1, clock.nowMs()) === 0)
			);
		},
		ask({entry}) {
			const {id, address} = entry;
			const state = stateOf(id);
			const repeatsAtMs = state.untilMs - (state.kind === 'warm' ? maxAgeMs / 2 : 0);
			if (state.isAsking || clock.nowMs() < repeatsAtMs) {
				return;
			}

			state.isAsking = true;
			let isOver = false;
			const end = (handle: () => void) => {
				if (!isOver) {
					isOver = true;
					timer.dispose();
					handle();
				}
			};

			const noAnswer = (detail: string) => {
				end(() => {
					learn(id, 'unknown', repeatAfterMs, detail);
				});
			};

			const timer = clock.setTimer(() => {
				exchange?.cancel();
				noAnswer('no health answer');
			}, answerTimeoutMs);
			const exchange: upstreamTransport.Exchange | undefined = transport.send(
				{
					address,
					method: 'GET',
					path: wire.healthPath,
					headers: ['host', address],
					needsRecentConnection: false,
				},
				{
					onSent: () => undefined,
					onHead(status, headers) {
						end(() => {
							learnHealth(id, wire.readHealth(status, headers));
						});
					},
					onData: () => undefined,
					onEnd: () => undefined,
					onFailure({detail}) {
						noAnswer(detail);
					},
				},
			);
		},
		noteUse(upstream, coldRatePerS) {
			if (coldRatePerS === 0 || options.isInformed()) {
				return;
			}

			const state = stateOf(upstream.entry.id);
			if (!isWarm(state)) {
				bucketOf(state, coldRatePerS).take(1, clock.nowMs());
			}

			// While requests follow each other, they do not wait for the next answer.
			warmth.ask(upstream);
		},
		forget(upstreamId) {
			states.delete(upstreamId);
		},
	};
	return warmth;
};
