/**
 * Routes a request to an upstream of this region or to another region, or refuses
 * it, by comparing expected times to the first event.
 */
import type * as clock from '@hawthornfront/base/common/clock.js';
import * as disposable from '@hawthornfront/base/common/disposable.js';
import * as coldUpstreamLimiter from './cold-upstream-limiter.js';
import * as failureRecord from './failure-record.js';
import type * as fleetView from './fleet-view.js';
import * as loadTable from './load-table.js';
import type * as loadSettings from './load-settings.js';
import * as promptCacheView from './prompt-cache-view.js';
import * as rateLimitShares from './rate-limit-shares.js';
import type * as regionSender from './region-sender.js';
import * as routeConfig from './route-config.js';
import type * as upstreamPauses from './upstream-pauses.js';
import type * as upstreamRateLimits from './upstream-rate-limits.js';
import type * as upstreamWarmth from './upstream-warmth.js';
import type * as upstreamRegistry from './upstream-registry.js';
import type * as workEstimate from './work-estimate.js';

export type DispatchRequest = {
	route: routeConfig.Route;
	/** Its home regions apply in addition to those of the route. */
	team?: routeConfig.Team;
	service: routeConfig.Service;
	work: workEstimate.WorkEstimate;
	/** Time that is left until the deadline of the request. */
	remainingMs: number;
	/** Upstreams that were tried already. */
	triedUpstreams: ReadonlySet<string>;
	/** Tried upstreams that refused, were unreachable or broke the connection. */
	failedUpstreams: ReadonlySet<string>;
	/** Regions that refused already. */
	triedRegions: ReadonlySet<string>;
	/** False for a request that another region relayed to this one. */
	mayRelay: boolean;
	/** An upstream may have run the request before, so neither a prediction nor a suspension refuses it. */
	wasAccepted: boolean;
};

/** Inputs of the choice, for the log. */
export type ChoiceBasis = {
	expectedMs: number;
	candidates: number;
	requestsThere?: number;
	heldTokens?: number;
	streamingMs?: number;
	outlookAgeMs?: number;
	/** Set unless the upstream gets its usual traffic. */
	pace?: upstreamWarmth.Pace;
};

export type Choice =
	| {
			kind: 'upstream';
			upstream: upstreamRegistry.Upstream;
			/** Runner from which the upstream may copy parts of the prompt. */
			promptSource?: upstreamRegistry.Upstream;
			readTokens: number;
			basis: ChoiceBasis;
	  }
	| {kind: 'region'; region: string; member: fleetView.Member; basis: ChoiceBasis}
	| {
			kind: 'refuse';
			/** `paused`: an upstream will accept work after its pause. */
			reason: 'no-upstream' | 'overloaded' | 'paused';
			retryAfterMs: number;
			/** Time until the first pause ends, for `paused`. */
			pauseMs?: number;
			basis: ChoiceBasis;
	  };

export type RestrictReason = 'upstream-paused' | 'upstream-suspected' | 'upstream-cold';

export type DispatchedRequest = {
	noteFirstEvent(): void;
	noteSuccess(): void;
	/** @param isHard the upstream was unreachable or broke the connection */
	noteFailure(isHard: boolean): void;
	/** Another upstream now uses the address. */
	noteReplaced(): void;
	noteEvent(): void;
	/** An answer of the upstream named a rate limit, or none. */
	noteRateLimit(requestsPerS: number | undefined): void;
	/** The upstream said that it leaves. */
	noteLeaving(): void;
	/** The upstream turned a request away and said when it wants work again. */
	notePause(pause: upstreamPauses.NamedPause): void;
	/** Fires when nothing more may be sent to the upstream as usual: it asks for a pause, or may be cold. */
	onDidRestrict(listener: (reason: RestrictReason) => void): disposable.Disposable;
	end(): void;
};

export type Dispatcher = Pick<
	loadTable.LoadTable,
	| 'localLoads'
	| 'domainLoads'
	| 'regionLoads'
	| 'notePeerLoads'
	| 'noteDomainLoads'
	| 'noteRegionLoads'
> & {
	choose(request: DispatchRequest): Choice;
	/** Counts a request that goes to an upstream, until its end. */
	dispatch(choice: Choice & {kind: 'upstream'}, request: DispatchRequest): DispatchedRequest;
	/** Expected wait for a request with a minimal prompt; infinite without a usable upstream. */
	predictWaitMs(service: routeConfig.Service, isUrgent: boolean): number;
	/** Prompt prefixes that this daemon has sent since the last call. */
	takeSentPromptPrefixes(): promptCacheView.SentPromptPrefix[];
	notePeerPromptPrefixes(prefixes: readonly promptCacheView.SentPromptPrefix[]): void;
	/** Drops the state of an upstream that is gone or was restarted. */
	forget(upstreamId: string): void;
	/** Entries and bytes that it keeps beyond requests, by name. */
	held(): Record<string, number>;
};

export type DispatcherOptions = {
	clock: clock.Clock;
	settings: loadSettings.LoadSettings;
	daemonName: string;
	localRegion: string;
	localFailureDomain: string;
	/** All regions of the deployment. */
	regions: readonly string[];
	registry: upstreamRegistry.UpstreamRegistry;
	fleet: fleetView.FleetView;
	rateLimits: upstreamRateLimits.UpstreamRateLimits;
	pauses: upstreamPauses.UpstreamPauses;
	/** Failure domains to which nothing may be sent. */
	isEvacuated(failureDomain: string): boolean;
	/** Without it, the registry decides which upstreams are cold. */
	warmth?: upstreamWarmth.UpstreamWarmth;
	/** Elects the daemon that sends to an upstream that is cold or may be. */
	sender: Pick<regionSender.RegionSender, 'isSender'>;
	/** Uniform in [0, 1). */
	random(): number;
};

/** Assumed wait of a region that has not reported its waits. */
const unknownWaitMs = 250;
/** Retry delay for callers when there is no upstream. */
const noUpstreamRetryMs = 700;
/** Added to the time by which a request would be late, for the caller's retry delay. */
const overloadRetryMs = 200;
/** Width of the range of retry delays, relative to the delay. */
const retryJitter = 0.8;
/** Share of a cost that is added at random, to break ties. */
const costNoise = 0.05;
/** Weight of prompt tokens that were read before, since a repeated prefill delays all requests. */
const rereadWeight = 0.6;
/** Cost of copying a prompt part from another runner, relative to reading it. */
const copyWeight = 0.25;
/** Probability that a runner that should hold a part still holds it. */
const copyProbability = 0.8;
/** Weight of the time from the first to the last event, added to the time to the first. */
const streamingWeight = 0.1;
/** Output length for which a region reports its expected wait of work that is not urgent. */
const typicalOutputTokens = 300;
/** Fewest shared tokens that are worth a copy. */
const minCopyTokens = 150;

type Scored = {
	upstream: upstreamRegistry.Upstream;
	promptSource?: upstreamRegistry.Upstream;
	expectedMs: number;
	/** Expected time from the first event to the last. */
	streamingMs: number;
	readTokens: number;
	costMs: number;
};

/** A runner that holds parts of a prompt, from which other runners can copy them. */
type Holder = {upstream: upstreamRegistry.Upstream; tokens: number};

/** Creates a dispatcher without any load. */
export const createDispatcher = (options: DispatcherOptions): Dispatcher => {
	const {clock, settings, registry, fleet, rateLimits, pauses, warmth} = options;
	let decisionMs: number | undefined;
	const nowMs = () => decisionMs ?? clock.nowMs();
	const loads = loadTable.createLoadTable(nowMs, settings, registry);
	const failureRecords = new Map<string, failureRecord.FailureRecord>();
	const cache = promptCacheView.createPromptCacheView(nowMs, settings.cachedPartMs);
	const regionMembers = () => [
		options.daemonName,
		...fleet.aliveIn(options.localRegion).map((member) => member.name),
	];
	const coldLimiter = coldUpstreamLimiter.createColdUpstreamLimiter(nowMs, options.sender);
	const limitShares = rateLimitShares.createRateLimitShares(
		nowMs,
		options.daemonName,
		regionMembers,
	);

	/** Reads the clock once for each decision, since a decision uses the time hundreds of times. */
	const decideNow = <Result>(decide: () => Result): Result => {
		decisionMs = clock.nowMs();
		try {
			return decide();
		} finally {
			decisionMs = undefined;
		}
	};

	const failuresOf = (id: string): failureRecord.FailureRecord => {
		let record = failureRecords.get(id);
		if (!record) {
			record = failureRecord.createFailureRecord();
			failureRecords.set(id, record);
		}

		return record;
	};

	/** An answer may come after its upstream is gone, which would never be forgotten again. */
	const forgetIfGone = (id: string) => {
		if (!registry.get(id)) {
			rateLimits.forget(id);
			pauses.forget(id);
		}
	};

	const slotsOf = (upstream: upstreamRegistry.Upstream, service: routeConfig.Service) =>
		service.engine?.slots ?? Math.max(1, upstream.entry.slots);

	const paceOf = (
		upstream: upstreamRegistry.Upstream,
		{coldRatePerS}: routeConfig.Service,
	): upstreamWarmth.Pace => {
		const pace = warmth?.paceOf(upstream, coldRatePerS) ?? 'usual';
		const isListedCold = coldRatePerS > 0 && nowMs() < upstream.coldUntilMs;
		return isListedCold && pace !== 'none' ? 'slow' : pace;
	};

	const loggedPaceOf = (upstream: upstreamRegistry.Upstream, service: routeConfig.Service) => {
		const pace = paceOf(upstream, service);
		return pace === 'usual' ? undefined : pace;
	};

	/** Whether this daemon may send to an upstream now, if only one daemon may. */
	const isWithinPace = (
		upstream: upstreamRegistry.Upstream,
		service: routeConfig.Service,
	): boolean => {
		const pace = paceOf(upstream, service);
		return pace === 'slow'
			? coldLimiter.mayUse(upstream.entry.id, service.coldRatePerS)
			: pace !== 'none';
	};

	const isUsable = (upstream: upstreamRegistry.Upstream, service: routeConfig.Service): boolean =>
		!failuresOf(upstream.entry.id).isSuspended(nowMs()) && mayBeSentTo(upstream, service);

	const isWithinRateLimit = (upstreamId: string): boolean => {
		const requestsPerS = rateLimits.limitOf(upstreamId);
		return requestsPerS === undefined || limitShares.mayUse(upstreamId, requestsPerS);
	};

	/** Whether evacuation, pauses, warmth and named limits allow a send, whatever the upstream's failures. */
	const mayBeSentTo = (
		upstream: upstreamRegistry.Upstream,
		service: routeConfig.Service,
	): boolean =>
		!options.isEvacuated(upstream.entry.failureDomain) &&
		pauses.remainingMs(upstream.entry.id) === 0 &&
		isWithinPace(upstream, service) &&
		isWithinRateLimit(upstream.entry.id);

	const sharedTokensOf = (work: workEstimate.WorkEstimate) =>
		work.sharedParts.reduce((sum, part) => sum + part.tokens, 0);

	/** Rank by copy cost: lowest from the local failure domain, then from the local region. */
	const distanceTo = (upstream: upstreamRegistry.Upstream): number => {
		if (upstream.entry.failureDomain === options.localFailureDomain) {
			return 0;
		}

		return upstream.region === options.localRegion ? 1 : 2;
	};

	/**
	 * Nearest runner that holds most of the shared parts of a prompt. If no runner is
	 * known to hold them, it is the runner that all daemons of all regions prefer.
	 */
	const findHolder = (
		service: routeConfig.Service,
		work: workEstimate.WorkEstimate,
	): Holder | undefined => {
		if (work.sharedParts.length === 0) {
			return undefined;
		}

		const held = cache.holders(work.sharedParts);
		let best: Holder | undefined;
		for (const id of held.runners) {
			const upstream = registry.get(id);
			const isCandidate =
				upstream && !upstream.entry.isDraining && upstream.entry.service === service.name;
			if (isCandidate && (!best || distanceTo(upstream) < distanceTo(best.upstream))) {
				best = {upstream, tokens: held.tokens};
			}
		}

		if (best) {
			return best;
		}

		const preferred = cache.preferredRunner(
			work.sharedParts,
			options.regions
				.flatMap((region) => registry.usable(service.name, region))
				.map((upstream) => upstream.entry.id),
		);
		const upstream = preferred === undefined ? undefined : registry.get(preferred);
		return upstream && {upstream, tokens: sharedTokensOf(work)};
	};

	/** Cost of an upstream: expected time, plus penalties for failures and for traffic between domains. */
	const costOf = (
		upstream: upstreamRegistry.Upstream,
		{work, service}: Pick<DispatchRequest, 'work' | 'service'>,
		preferred: string | undefined,
		holder: Holder | undefined,
	): Scored => {
		const load = loads.of(upstream.entry.id);
		const heldTokens = cache.heldTokens(upstream.entry.id, work.sharedParts, preferred);
		const isHolder = holder?.upstream.entry.id === upstream.entry.id;
		const copiedTokens = isHolder ? 0 : Math.max(0, (holder?.tokens ?? 0) - heldTokens);
		const isCopyWorthwhile = copiedTokens >= minCopyTokens;
		const savedTokens = heldTokens + (isCopyWorthwhile ? copiedTokens * copyProbability : 0);
		const readTokens = Math.max(0, work.promptTokens - savedTokens);
		const rereadTokens =
			Math.max(0, sharedTokensOf(work) - savedTokens) + copiedTokens * copyWeight;
		const expectedMs = load.predictMs(work, readTokens, {
			slots: slotsOf(upstream, service),
			engine: service.engine,
		});
		const streamingMs = load.predictStreamingMs(work, service.engine);
		const domainMs =
			upstream.entry.failureDomain === options.localFailureDomain
				? 0
				: settings.otherDomainMarginMs;
		const costMs =
			expectedMs +
			streamingMs * streamingWeight +
			failuresOf(upstream.entry.id).rate(nowMs()) * settings.failurePenaltyMs +
			(rereadTokens * rereadWeight) / settings.prefillTokensPerMs +
			domainMs;
		return {
			upstream,
			promptSource: isCopyWorthwhile ? holder?.upstream : undefined,
			expectedMs,
			streamingMs,
			readTokens,
			costMs,
		};
	};

	const usableIn = (request: Pick<DispatchRequest, 'service'>, tried?: ReadonlySet<string>) =>
		registry
			.usable(request.service.name, options.localRegion)
			.filter((upstream) => !tried?.has(upstream.entry.id) && isUsable(upstream, request.service));

	/** Candidates of the first set that is not empty: untried, not failed, suspended but not failed. */
	const candidatesFor = (request: DispatchRequest): upstreamRegistry.Upstream[] => {
		const untried = usableIn(request, request.triedUpstreams);
		if (untried.length > 0) {
			return untried;
		}

		// The only upstream of a region may be tried again: its failure may concern a single run.
		const usable = usableIn(request, request.failedUpstreams);
		if (usable.length > 0 || !request.wasAccepted) {
			return usable;
		}

		return registry
			.usable(request.service.name, options.localRegion)
			.filter(
				(upstream) =>
					!request.failedUpstreams.has(upstream.entry.id) && mayBeSentTo(upstream, request.service),
			);
	};

	const bestLocal = (request: DispatchRequest): {best?: Scored; candidates: number} => {
		const usable = candidatesFor(request);
		const preferred = cache.preferredRunner(
			request.work.sharedParts,
			usable.map((upstream) => upstream.entry.id),
		);
		const holder = findHolder(request.service, request.work);
		let best: Scored | undefined;
		/** Best one that has to be asked whether it is warm. */
		let doubtful: Scored | undefined;
		for (const upstream of usable) {
			const scored = costOf(upstream, request, preferred, holder);
			// The noise keeps daemons from all choosing the same of two equal upstreams.
			scored.costMs *= 1 + options.random() * costNoise;
			if (paceOf(upstream, request.service) === 'ask') {
				doubtful = !doubtful || scored.costMs < doubtful.costMs ? scored : doubtful;
			} else if (!best || scored.costMs < best.costMs) {
				best = scored;
			}
		}

		if (doubtful && (!best || doubtful.costMs < best.costMs)) {
			warmth?.ask(doubtful.upstream);
		}

		return {best, candidates: usable.length};
	};

	const bestRegion = (request: DispatchRequest) => {
		let best: {region: string; member: fleetView.Member; basis: ChoiceBasis} | undefined;
		for (const region of options.regions) {
			const isAllowed =
				region !== options.localRegion &&
				!request.triedRegions.has(region) &&
				routeConfig.mayUseRegion(request, region);
			const members = isAllowed ? fleet.aliveIn(region).filter((member) => member.isReady) : [];
			const member = members[Math.floor(options.random() * members.length)];
			if (!member) {
				continue;
			}

			const regionWaits = fleet.regionWaits(region, request.service.name);
			const waitMs =
				(request.work.isUrgent ? regionWaits?.urgentMs : regionWaits?.otherMs) ?? unknownWaitMs;
			const readMs = request.work.promptTokens / settings.prefillTokensPerMs;
			const expectedMs = waitMs + readMs + settings.regionRoundTripMs;
			if (!Number.isFinite(waitMs)) {
				continue;
			}

			if (!best || expectedMs < best.basis.expectedMs) {
				best = {
					region,
					member,
					basis: {expectedMs, candidates: members.length, outlookAgeMs: regionWaits?.ageMs},
				};
			}
		}

		return best;
	};

	const shouldRelay = (request: DispatchRequest, localMs: number, remoteMs: number) =>
		localMs > request.route.goalMs * settings.localGoalShare &&
		localMs > remoteMs + settings.otherRegionMarginMs;

	const refuse = (
		reason: 'no-upstream' | 'overloaded' | 'paused',
		basis: ChoiceBasis,
		waitMs: number,
	): Choice => ({
		kind: 'refuse',
		reason,
		// Jitter, so that callers that were refused together do not retry together.
		retryAfterMs: waitMs * (1 + (options.random() - 0.5) * retryJitter),
		basis,
	});

	/** Shortest pause of the upstreams that may be sent to but for their pauses; undefined without any. */
	const shortestPauseMs = (request: DispatchRequest): number | undefined => {
		const pausesMs = registry
			.usable(request.service.name, options.localRegion)
			.filter(({entry}) => !options.isEvacuated(entry.failureDomain))
			.map(({entry}) => pauses.remainingMs(entry.id))
			.filter((pauseMs) => pauseMs > 0);
		return pausesMs.length === 0 ? undefined : Math.min(...pausesMs);
	};

	/** Refuses a request for which there is no upstream now. */
	const refuseWithout = (
		request: DispatchRequest,
		basis: ChoiceBasis,
		isLocalAllowed: boolean,
	): Choice => {
		const pauseMs = isLocalAllowed ? shortestPauseMs(request) : undefined;
		return pauseMs === undefined
			? refuse('no-upstream', basis, noUpstreamRetryMs)
			: {
					kind: 'refuse',
					reason: 'paused',
					pauseMs,
					// Never shorter than the pause.
					retryAfterMs: pauseMs + noUpstreamRetryMs * options.random() * retryJitter,
					basis,
				};
	};

	/** Longest expected time to the first event at which a request is admitted. */
	const admissionLimitMs = ({service, route, remainingMs, wasAccepted}: DispatchRequest) => {
		if (wasAccepted) {
			return Number.POSITIVE_INFINITY;
		}

		const limitMs = remainingMs * settings.admissionShare;
		// Late work lengthens the queue of a runner, so the goal limits it too; plain requests are short.
		return service.engine
			? Math.min(limitMs, route.goalMs * settings.admissionGoalFactor)
			: limitMs;
	};

	const choose = (request: DispatchRequest): Choice => {
		const isLocalAllowed = routeConfig.mayUseRegion(request, options.localRegion);
		const {best, candidates} = isLocalAllowed
			? bestLocal(request)
			: {best: undefined, candidates: 0};
		const localMs = best?.expectedMs ?? Number.POSITIVE_INFINITY;
		const streamingMs = best?.streamingMs ?? 0;
		const remote = request.mayRelay ? bestRegion(request) : undefined;
		const limitMs = admissionLimitMs(request);
		if (remote && shouldRelay(request, localMs, remote.basis.expectedMs)) {
			return remote.basis.expectedMs > limitMs
				? refuse('overloaded', remote.basis, remote.basis.expectedMs - limitMs + overloadRetryMs)
				: {kind: 'region', ...remote};
		}

		if (!best) {
			return refuseWithout(request, {expectedMs: -1, candidates}, isLocalAllowed);
		}

		const basis: ChoiceBasis = {
			expectedMs: localMs,
			candidates,
			requestsThere: loads.of(best.upstream.entry.id).requests(),
			heldTokens: Math.round(request.work.promptTokens - best.readTokens),
			streamingMs: Math.round(streamingMs),
			pace: loggedPaceOf(best.upstream, request.service),
		};
		const endsLateMs = request.wasAccepted ? 0 : localMs + streamingMs - request.remainingMs;
		const lateMs = Math.max(localMs - limitMs, endsLateMs);
		return lateMs > 0
			? refuse('overloaded', basis, lateMs + overloadRetryMs)
			: {
					kind: 'upstream',
					upstream: best.upstream,
					promptSource: best.promptSource,
					readTokens: best.readTokens,
					basis,
				};
	};

	const predictWaitMs = (service: routeConfig.Service, isUrgent: boolean): number => {
		const work: workEstimate.WorkEstimate = {
			promptTokens: 1,
			memoryTokens: 0,
			outputTokens: isUrgent ? 0 : typicalOutputTokens,
			sharedParts: [],
			isUrgent,
		};
		let best: Scored | undefined;
		for (const upstream of usableIn({service})) {
			const scored = costOf(upstream, {work, service}, undefined, undefined);
			if (!best || scored.costMs < best.costMs) {
				best = scored;
			}
		}

		return best ? best.expectedMs + best.streamingMs * streamingWeight : Number.POSITIVE_INFINITY;
	};

	return {
		choose: (request) => decideNow(() => choose(request)),
		dispatch(choice, request) {
			const {upstream, readTokens, basis} = choice;
			const {id} = upstream.entry;
			const failures = failuresOf(id);
			if (paceOf(upstream, request.service) === 'slow') {
				coldLimiter.noteUse(id, request.service.coldRatePerS);
			}

			warmth?.noteUse(upstream, request.service.coldRatePerS);
			const requestsPerS = rateLimits.limitOf(id);
			if (requestsPerS !== undefined) {
				limitShares.noteUse(id, requestsPerS);
			}

			cache.noteSent(id, request.work.sharedParts);
			const sentAtMs = nowMs();
			const item = loads.of(id).add(request.work, readTokens, basis.expectedMs);
			return {
				noteFirstEvent() {
					item.noteFirstEvent();
				},
				noteSuccess() {
					failures.noteSuccess(nowMs());
				},
				noteFailure(isHard) {
					failures.noteFailure(nowMs(), isHard);
				},
				noteReplaced() {
					failures.noteReplaced(nowMs());
				},
				noteEvent() {
					item.noteEvent();
				},
				noteRateLimit(namedPerS) {
					rateLimits.noteAnswer(id, namedPerS, sentAtMs);
					forgetIfGone(id);
				},
				noteLeaving() {
					registry.noteLeaving(upstream);
				},
				notePause(pause) {
					pauses.note(id, pause);
					forgetIfGone(id);
				},
				onDidRestrict(listener) {
					const subscriptions = disposable.createDisposableStore();
					subscriptions.add(
						pauses.onDidPause(({upstreamId, named}) => {
							if (upstreamId === id && named.kind === 'pause') {
								listener('upstream-paused');
							}
						}),
					);
					if (warmth && request.service.coldRatePerS > 0) {
						subscriptions.add(
							warmth.onDidChange(({upstreamId, belief}) => {
								if (upstreamId === id && belief !== 'warm') {
									listener(`upstream-${belief}`);
								}
							}),
						);
					}

					return subscriptions;
				},
				end() {
					item.end();
				},
			};
		},
		predictWaitMs: (service, isUrgent) => decideNow(() => predictWaitMs(service, isUrgent)),
		localLoads: loads.localLoads,
		domainLoads: loads.domainLoads,
		regionLoads: loads.regionLoads,
		noteRegionLoads: loads.noteRegionLoads,
		notePeerLoads: loads.notePeerLoads,
		noteDomainLoads: loads.noteDomainLoads,
		takeSentPromptPrefixes: () => cache.takeSent(),
		notePeerPromptPrefixes(prefixes) {
			for (const {partId, runner} of prefixes) {
				const upstream = registry.get(runner);
				if (upstream) {
					cache.notePeerSent({partId, runner: upstream.entry.id});
				}
			}
		},
		forget(upstreamId) {
			loads.forget(upstreamId);
			failureRecords.delete(upstreamId);
			cache.forget(upstreamId);
			coldLimiter.forget(upstreamId);
			rateLimits.forget(upstreamId);
			limitShares.forget(upstreamId);
			pauses.forget(upstreamId);
			warmth?.forget(upstreamId);
		},
		held: () => ({
			promptParts: cache.trackedParts,
			promptPartBytes: cache.trackedBytes,
			upstreamLoads: loads.size,
			upstreamFailures: failureRecords.size,
			loadReporters: loads.reporters,
			upstreamBeliefs: warmth?.size ?? 0,
		}),
	};
};
