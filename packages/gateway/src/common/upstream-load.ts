/**
 * Load of one upstream: current requests of this daemon, and the last reports of other
 * daemons, one for each daemon of the local failure domain and a sum for each other
 * domain. Predicts when a further request would get its first event.
 */
import * as decayingEstimate from '@hawthornfront/decisions/common/decaying-estimate.js';
import type * as loadSettings from './load-settings.js';
import type * as routeConfig from './route-config.js';
import type * as workEstimate from './work-estimate.js';

/** Load on an upstream by the requests of one daemon or of a group of daemons. */
export type LoadShare = {
	requests: number;
	/** Prompt tokens of urgent and of other requests that await prefill. */
	urgentReadTokens: number;
	otherReadTokens: number;
	memoryTokens: number;
};

export type LoadByUpstream = {upstreamId: string} & LoadShare;

/** A request at the upstream, from its dispatch to its end. */
export type LoadItem = {
	/** Call at the first event or the answer. */
	noteFirstEvent(): void;
	/** Call at each further event of a stream. */
	noteEvent(): void;
	/** Call once when the request has left the upstream. */
	end(): void;
};

export type UpstreamLoad = {
	add(work: workEstimate.WorkEstimate, readTokens: number, predictedMs: number): LoadItem;
	/** Replaces the report of another daemon of the local failure domain. */
	notePeer(peer: string, share: LoadShare): void;
	/** Replaces the sum of another failure domain. */
	noteDomain(failureDomain: string, share: LoadShare): void;
	local(): LoadShare;
	/** Sum of the local failure domain. */
	ofLocalDomain(): LoadShare;
	/** Sum of the region. */
	ofRegion(): LoadShare;
	/** Requests of all daemons. */
	requests(): number;
	/** Requests of the other daemons. */
	otherRequests(): number;
	/** Expected time to the first event, or to the answer of a plain service. */
	predictMs(
		work: workEstimate.WorkEstimate,
		readTokens: number,
		limits: {slots: number; engine?: {memoryTokens: number}},
	): number;
	/** Part of the expected time to the first event that a runner without other work would take. */
	predictReadMs(work: workEstimate.WorkEstimate, readTokens: number): number;
	/** Expected time from the first event of a stream to its last. */
	predictStreamingMs(
		work: workEstimate.WorkEstimate,
		engine: routeConfig.Engine | undefined,
	): number;
};

/** Limit of the latency factor that one observation may yield. */
const maxLatencyFactor = 12;
const latencyLearningRate = 0.15;
const latencyHalfLifeMs = 4000;
const eventLearningRate = 0.05;
const eventHalfLifeMs = 2500;
/** Lower than the rate of a single runner, since the estimate receives the events of all runners. */
const serviceEventLearningRate = 0.02;
const serviceEventHalfLifeMs = 5000;
const serviceLearningRate = 0.1;
const serviceHalfLifeMs = 10_000;
/** Excess over memory or slots at which the whole penalty of a full runner applies. */
const fullExcessShare = 0.25;
/** Urgent work waits for the part of the other work whose prefill has already begun. */
const otherWorkWeight = 0.35;

/** Half-life of the times that the latency of a service is learned from. */
const serviceLatencyHalfLifeMs = 5000;
/** Time of correct predictions that a service begins with; about two first events. */
const serviceLatencyPriorMs = 500;

type Report = {share: LoadShare; atMs: number};

/** A share without requests. */
export const emptyShare = (): LoadShare => ({
	requests: 0,
	urgentReadTokens: 0,
	otherReadTokens: 0,
	memoryTokens: 0,
});

const addShare = (sum: LoadShare, share: LoadShare): void => {
	sum.requests += share.requests;
	sum.urgentReadTokens += share.urgentReadTokens;
	sum.otherReadTokens += share.otherReadTokens;
	sum.memoryTokens += share.memoryTokens;
};

/** Removes a part from a sum that may be older than the part. */
export const subtractShare = (sum: LoadShare, part: LoadShare): LoadShare => ({
	requests: Math.max(0, sum.requests - part.requests),
	urgentReadTokens: Math.max(0, sum.urgentReadTokens - part.urgentReadTokens),
	otherReadTokens: Math.max(0, sum.otherReadTokens - part.otherReadTokens),
	memoryTokens: Math.max(0, sum.memoryTokens - part.memoryTokens),
});

/**
 * Time between events of streams over all runners of a service. A daemon of a large
 * deployment has too few streams at one runner to estimate it for that runner alone.
 */
export const createServiceEventInterval = (
	settings: loadSettings.LoadSettings,
): decayingEstimate.DecayingEstimate =>
	decayingEstimate.createDecayingEstimate({
		initial: settings.initialEventMs,
		learningRate: serviceEventLearningRate,
		halfLifeMs: serviceEventHalfLifeMs,
	});

/** Actual times to the first event relative to those that the load alone predicts, over all runners of a service. */
export type ServiceLatency = {
	note(actualMs: number, unscaledMs: number, nowMs: number): void;
	factor(nowMs: number): number;
};

/** Latency of urgent and of other work, which waits for urgent work that arrives later. */
export type ServiceLatencies = {urgent: ServiceLatency; other: ServiceLatency};

const createServiceLatency = (): ServiceLatency => {
	let actualSumMs = 0;
	let unscaledSumMs = 0;
	let notedAtMs = 0;
	let factorNow = 1;
	let factorAtMs: number | undefined;
	const decay = (nowMs: number) => 0.5 ** ((nowMs - notedAtMs) / serviceLatencyHalfLifeMs);

	return {
		note(actualMs, unscaledMs, nowMs) {
			const kept = decay(nowMs);
			actualSumMs = actualSumMs * kept + actualMs;
			unscaledSumMs = unscaledSumMs * kept + unscaledMs;
			notedAtMs = nowMs;
			factorAtMs = undefined;
		},
		factor(nowMs) {
			// One choice reads it for each runner of the service.
			if (nowMs !== factorAtMs) {
				const kept = decay(nowMs);
				const ratio =
					(actualSumMs * kept + serviceLatencyPriorMs) /
					(unscaledSumMs * kept + serviceLatencyPriorMs);
				factorNow = Math.min(maxLatencyFactor, ratio);
				factorAtMs = nowMs;
			}

			return factorNow;
		},
	};
};

/** Latencies of a service, for which a daemon of a large deployment has too few requests at one runner. */
export const createServiceLatencies = (): ServiceLatencies => ({
	urgent: createServiceLatency(),
	other: createServiceLatency(),
});

/**
 * Creates the load of an upstream without requests.
 *
 * @param serviceEventMs time between events at all runners of the service
 * @param serviceLatencies latencies at all runners of the service
 */
export const createUpstreamLoad = (
	nowMs: () => number,
	settings: loadSettings.LoadSettings,
	serviceEventMs: decayingEstimate.DecayingEstimate,
	serviceLatencies = createServiceLatencies(),
): UpstreamLoad => {
	const local = emptyShare();
	const peers = new Map<string, Report>();
	const domains = new Map<string, Report>();
	const createLatencyFactor = (service: ServiceLatency) =>
		decayingEstimate.createDecayingEstimate({
			initial: 1,
			restingValue: service.factor,
			learningRate: latencyLearningRate,
			halfLifeMs: latencyHalfLifeMs,
		});
	const urgentLatencyFactor = createLatencyFactor(serviceLatencies.urgent);
	const otherLatencyFactor = createLatencyFactor(serviceLatencies.other);
	const latencyFactorOf = ({isUrgent}: workEstimate.WorkEstimate) =>
		isUrgent ? urgentLatencyFactor : otherLatencyFactor;

	const serviceMs = decayingEstimate.createDecayingEstimate({
		initial: settings.initialServiceMs,
		learningRate: serviceLearningRate,
		halfLifeMs: serviceHalfLifeMs,
	});

	const eventMs = decayingEstimate.createDecayingEstimate({
		initial: settings.initialEventMs,
		restingValue: serviceEventMs.value,
		learningRate: eventLearningRate,
		halfLifeMs: eventHalfLifeMs,
	});

	let sums = {peers: emptyShare(), domains: emptyShare(), untilMs: Number.NEGATIVE_INFINITY};

	/** Adds up reports that have not expired, and drops the others. */
	const sumOf = (reports: Map<string, Report>): {sum: LoadShare; oldestMs: number} => {
		const sum = emptyShare();
		const limitMs = nowMs() - settings.peerLoadMaxAgeMs;
		let oldestMs = Number.POSITIVE_INFINITY;
		for (const [name, {share, atMs}] of reports) {
			if (atMs < limitMs) {
				reports.delete(name);
			} else {
				addShare(sum, share);
				oldestMs = Math.min(oldestMs, atMs);
			}
		}

		return {sum, oldestMs};
	};

	/** Sums of the reports; cached until one changes or expires, since each choice reads the sums of all upstreams. */
	const reported = () => {
		if (nowMs() > sums.untilMs) {
			const ofPeers = sumOf(peers);
			const ofDomains = sumOf(domains);
			const oldestMs = Math.min(ofPeers.oldestMs, ofDomains.oldestMs);
			sums = {
				peers: ofPeers.sum,
				domains: ofDomains.sum,
				untilMs: oldestMs + settings.peerLoadMaxAgeMs,
			};
		}

		return sums;
	};

	const noteReport = (reports: Map<string, Report>, name: string, share: LoadShare) => {
		reports.set(name, {share, atMs: nowMs()});
		sums.untilMs = Number.NEGATIVE_INFINITY;
	};

	const ofLocalDomain = (): LoadShare => {
		const sum = {...local};
		addShare(sum, reported().peers);
		return sum;
	};

	const total = (): LoadShare => {
		const sum = ofLocalDomain();
		addShare(sum, reported().domains);
		return sum;
	};

	const otherRequests = (): number => {
		const others = reported();
		return others.peers.requests + others.domains.requests;
	};

	const predictRunner = (
		work: workEstimate.WorkEstimate,
		readTokens: number,
		slots: number,
		memoryTokens: number,
	): number => {
		const load = total();
		const ahead = work.isUrgent
			? load.urgentReadTokens + load.otherReadTokens * otherWorkWeight
			: load.urgentReadTokens + load.otherReadTokens;
		const readMs = (ahead + readTokens) / settings.prefillTokensPerMs;
		const usableTokens = memoryTokens * settings.usableMemoryShare;
		const excessTokens = load.memoryTokens + work.memoryTokens - usableTokens;
		const excessRequests = load.requests + 1 - slots;
		const fullness = Math.max(
			0,
			Math.min(1, excessTokens / (usableTokens * fullExcessShare)),
			Math.min(1, excessRequests / (slots * fullExcessShare)),
		);
		return (
			(settings.baseFirstEventMs + readMs) * latencyFactorOf(work).value(nowMs()) +
			fullness * settings.fullRunnerPenaltyMs
		);
	};

	const predictService = (slots: number): number => {
		const queued = Math.max(0, total().requests + 1 - slots);
		return serviceMs.value(nowMs()) * (1 + queued / slots);
	};

	return {
		add(work, readTokens, predictedMs) {
			const startedAtMs = nowMs();
			const isModelWork = work.promptTokens > 0;
			const latencyFactor = latencyFactorOf(work);
			const unscaledMs = predictedMs / latencyFactor.value(startedAtMs);
			let unreadTokens = readTokens;
			let hasFirstEvent = false;
			let lastEventAtMs = startedAtMs;
			let hasEnded = false;
			local.requests++;
			local.memoryTokens += work.memoryTokens;
			const countUnread = (sign: 1 | -1) => {
				if (work.isUrgent) {
					local.urgentReadTokens += sign * unreadTokens;
				} else {
					local.otherReadTokens += sign * unreadTokens;
				}
			};

			const finishReading = () => {
				countUnread(-1);
				unreadTokens = 0;
			};

			countUnread(1);
			return {
				noteFirstEvent() {
					if (hasFirstEvent || hasEnded) {
						return;
					}

					hasFirstEvent = true;
					finishReading();
					const atMs = nowMs();
					lastEventAtMs = atMs;
					if (isModelWork) {
						const ratio = (atMs - startedAtMs) / Math.max(predictedMs, 1);
						const learned = latencyFactor.value(atMs);
						latencyFactor.add(Math.min(maxLatencyFactor, ratio * learned), atMs);
						const latency = work.isUrgent ? serviceLatencies.urgent : serviceLatencies.other;
						latency.note(atMs - startedAtMs, unscaledMs, atMs);
					} else {
						serviceMs.add(atMs - startedAtMs, atMs);
					}
				},
				noteEvent() {
					if (hasFirstEvent && !hasEnded) {
						const atMs = nowMs();
						eventMs.add(atMs - lastEventAtMs, atMs);
						serviceEventMs.add(atMs - lastEventAtMs, atMs);
						lastEventAtMs = atMs;
					}
				},
				end() {
					if (hasEnded) {
						return;
					}

					hasEnded = true;
					finishReading();
					local.requests--;
					local.memoryTokens -= work.memoryTokens;
				},
			};
		},
		notePeer(peer, share) {
			noteReport(peers, peer, share);
		},
		noteDomain(failureDomain, share) {
			noteReport(domains, failureDomain, share);
		},
		local: () => ({...local}),
		ofLocalDomain,
		ofRegion: total,
		requests: () => local.requests + otherRequests(),
		otherRequests,
		predictMs(work, readTokens, {slots, engine}) {
			return engine
				? predictRunner(work, readTokens, slots, engine.memoryTokens)
				: predictService(slots);
		},
		predictReadMs: (work, readTokens) =>
			(settings.baseFirstEventMs + readTokens / settings.prefillTokensPerMs) *
			latencyFactorOf(work).value(nowMs()),
		predictStreamingMs(work, engine) {
			if (!engine) {
				return 0;
			}

			const load = total();
			const unreadTokens = load.urgentReadTokens + load.otherReadTokens;
			return (
				(work.outputTokens / engine.eventTokens) * eventMs.value(nowMs()) +
				unreadTokens / settings.prefillTokensPerMs
			);
		},
	};
};
