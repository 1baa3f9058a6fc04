/**
 * Chooses where a request goes: an upstream of this region, another region, or
 * nowhere. Compares expected times to the first event.
 */
import type * as clock from '@hawthornfront/base/common/clock.js';
import * as coldRamp from './cold-ramp.js';
import * as failureRecord from './failure-record.js';
import type * as fleetView from './fleet-view.js';
import * as loadTable from './load-table.js';
import type * as loadSettings from './load-settings.js';
import * as promptCacheView from './prompt-cache-view.js';
import * as routeConfig from './route-config.js';
import type * as upstreamRegistry from './upstream-registry.js';
import type * as workEstimate from './work-estimate.js';

export type DispatchRequest = {
	route: routeConfig.Route;
	service: routeConfig.Service;
	work: workEstimate.WorkEstimate;
	/** Time in which the first event must come to be of use. */
	remainingMs: number;
	/** Upstreams that were tried already. */
	triedUpstreams: ReadonlySet<string>;
	/** Those of them that refused, were unreachable or broke the connection. */
	failedUpstreams: ReadonlySet<string>;
	/** Regions that refused already. */
	triedRegions: ReadonlySet<string>;
	/** False for a request that came from another region. */
	mayCross: boolean;
	/** An upstream was at work on it, so neither a prediction nor a suspicion refuses it. */
	wasAccepted: boolean;
};

/** What the choice was based on, for the log. */
export type ChoiceBasis = {
	expectedMs: number;
	candidates: number;
	requestsThere?: number;
	heldTokens?: number;
	streamingMs?: number;
	outlookAgeMs?: number;
};

export type Choice =
	| {
			kind: 'upstream';
			upstream: upstreamRegistry.Upstream;
			/** Runner from which it may copy parts of the prompt. */
			promptSource?: upstreamRegistry.Upstream;
			readTokens: number;
			basis: ChoiceBasis;
	  }
	| {kind: 'region'; region: string; member: fleetView.Member; basis: ChoiceBasis}
	| {
			kind: 'refuse';
			reason: 'no-upstream' | 'overloaded';
			retryAfterMs: number;
			basis: ChoiceBasis;
	  };

export type DispatchedRequest = {
	noteFirstEvent(): void;
	noteSuccess(): void;
	/** @param isHard the upstream was unreachable or broke the connection */
	noteFailure(isHard: boolean): void;
	/** Another upstream has the address. */
	noteReplaced(): void;
	noteEvent(): void;
	end(): void;
};

export type Dispatcher = Pick<
	loadTable.LoadTable,
	'localLoads' | 'domainLoads' | 'notePeerLoads' | 'noteDomainLoads'
> & {
	choose(request: DispatchRequest): Choice;
	/** Counts a request that goes to an upstream, until its end. */
	dispatch(choice: Choice & {kind: 'upstream'}, request: DispatchRequest): DispatchedRequest;
	/** Expected wait for work without a prompt of its own; infinite without a usable upstream. */
	predictWaitMs(service: routeConfig.Service, isUrgent: boolean): number;
	/** Prompt parts that this daemon has sent since the last call. */
	takeSentPromptPrefixes(): promptCacheView.SentPromptPrefix[];
	notePeerPromptPrefixes(chains: readonly promptCacheView.SentPromptPrefix[]): void;
	/** Drops what is known about an upstream that is gone or started again. */
	forget(upstreamId: string): void;
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
	/** Failure domains to which nothing may be sent. */
	isEvacuated(failureDomain: string): boolean;
	/** Uniform in [0, 1). */
	random(): number;
};

/** Wait that is assumed of a region that has not told its own. */
const unknownOutlookMs = 250;
/** Time after which a caller is asked back when there is no upstream. */
const noUpstreamRetryMs = 700;
/** Added to the time by which a request would have been late, before its caller is asked back. */
const overloadRetryMs = 200;
/** Width of the range over which callers are asked back, against the time itself. */
const retrySpread = 0.8;
/** Part of a cost by which equals are told apart at random. */
const costNoise = 0.05;
/** Added to the cost of tokens that were read before, since reading again delays everyone. */
const rereadWeight = 0.6;
/** Cost of copying a prompt part from another runner, against reading it. */
const copyWeight = 0.25;
/** Confidence that a runner that should hold a part still holds it. */
const copyConfidence = 0.8;
/** Part of the time to the last event that counts in a comparison, beside the time to the first. */
const streamingWeight = 0.1;
/** Output for which a region tells its expected wait of work that is not urgent. */
const typicalOutputTokens = 300;
/** Shared tokens that are worth a copy. */
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

/** A runner that holds parts of a prompt, for the others to copy. */
type Holder = {upstream: upstreamRegistry.Upstream; tokens: number};

/** Creates a dispatcher without knowledge of any load. */
export const createDispatcher = (options: DispatcherOptions): Dispatcher => {
	const {clock, settings, registry, fleet} = options;
	let decisionMs: number | undefined;
	const nowMs = () => decisionMs ?? clock.nowMs();
	const loads = loadTable.createLoadTable(nowMs, settings, registry);
	const failureRecords = new Map<string, failureRecord.FailureRecord>();
	const cache = promptCacheView.createPromptCacheView(nowMs, settings.cachedPartMs);
	const ramp = coldRamp.createColdRamp(nowMs, options.daemonName, () => [
		options.daemonName,
		...fleet.aliveIn(options.localRegion).map((member) => member.name),
	]);

	/** Decides with the time of its start, since one choice asks for it hundreds of times. */
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

	const slotsOf = (upstream: upstreamRegistry.Upstream, service: routeConfig.Service) =>
		service.engine?.slots ?? Math.max(1, upstream.entry.slots);

	const isCold = (upstream: upstreamRegistry.Upstream, service: routeConfig.Service) =>
		service.coldRatePerS > 0 && nowMs() < upstream.coldUntilMs;

	const isUsable = (upstream: upstreamRegistry.Upstream, service: routeConfig.Service): boolean =>
		!failuresOf(upstream.entry.id).isSuspended(nowMs()) && mayBeSentTo(upstream, service);

	/** Whether the rules of the deployment allow a send, whatever the upstream's failures. */
	const mayBeSentTo = (
		upstream: upstreamRegistry.Upstream,
		service: routeConfig.Service,
	): boolean =>
		!options.isEvacuated(upstream.entry.failureDomain) &&
		(!isCold(upstream, service) || ramp.mayUse(upstream.entry.id, service.coldRatePerS));

	const sharedTokensOf = (work: workEstimate.WorkEstimate) =>
		work.sharedParts.reduce((sum, part) => sum + part.tokens, 0);

	/** Copies come cheapest from the own failure domain, then from the own region. */
	const distanceTo = (upstream: upstreamRegistry.Upstream): number => {
		if (upstream.entry.failureDomain === options.localFailureDomain) {
			return 0;
		}

		return upstream.region === options.localRegion ? 1 : 2;
	};

	/**
	 * Nearest runner that holds most of the shared parts of a prompt. Where they are
	 * known to have been sent to none, it is the runner that all daemons of all
	 * regions prefer.
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

	/** Cost of an upstream: expected time, corrected for failures and for bytes between domains. */
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
		const savedTokens = heldTokens + (isCopyWorthwhile ? copiedTokens * copyConfidence : 0);
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

	/** Upstreams among which the request may choose, in the order of the sets that are tried. */
	const candidatesFor = (request: DispatchRequest): upstreamRegistry.Upstream[] => {
		const untried = usableIn(request, request.triedUpstreams);
		if (untried.length > 0) {
			return untried;
		}

		// The only upstream of a region may be asked again: its failure may concern one run.
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
		for (const upstream of usable) {
			const scored = costOf(upstream, request, preferred, holder);
			// A little noise keeps daemons from all choosing the same of two equals.
			scored.costMs *= 1 + options.random() * costNoise;
			if (!best || scored.costMs < best.costMs) {
				best = scored;
			}
		}

		return {best, candidates: usable.length};
	};

	const bestRegion = (request: DispatchRequest) => {
		let best: {region: string; member: fleetView.Member; basis: ChoiceBasis} | undefined;
		for (const region of options.regions) {
			const isAllowed =
				region !== options.localRegion &&
				!request.triedRegions.has(region) &&
				routeConfig.mayUseRegion(request.route, region);
			const members = isAllowed ? fleet.aliveIn(region).filter((member) => member.isReady) : [];
			const member = members[Math.floor(options.random() * members.length)];
			if (!member) {
				continue;
			}

			const outlook = fleet.regionWaits(region, request.service.name);
			const waitMs =
				(request.work.isUrgent ? outlook?.urgentMs : outlook?.otherMs) ?? unknownOutlookMs;
			const readMs = request.work.promptTokens / settings.prefillTokensPerMs;
			const expectedMs = waitMs + readMs + settings.regionRoundTripMs;
			if (!Number.isFinite(waitMs)) {
				continue;
			}

			if (!best || expectedMs < best.basis.expectedMs) {
				best = {
					region,
					member,
					basis: {expectedMs, candidates: members.length, outlookAgeMs: outlook?.ageMs},
				};
			}
		}

		return best;
	};

	const isWorthCrossing = (request: DispatchRequest, localMs: number, remoteMs: number) =>
		localMs > request.route.goalMs * settings.localGoalShare &&
		localMs > remoteMs + settings.otherRegionMarginMs;

	const refuse = (
		reason: 'no-upstream' | 'overloaded',
		basis: ChoiceBasis,
		waitMs: number,
	): Choice => ({
		kind: 'refuse',
		reason,
		// Spread, so that callers that were refused together do not return together.
		retryAfterMs: waitMs * (1 + (options.random() - 0.5) * retrySpread),
		basis,
	});

	/** Longest expected time to the first event with which a request is taken. */
	const admissionLimitMs = ({service, route, remainingMs, wasAccepted}: DispatchRequest) => {
		if (wasAccepted) {
			return Number.POSITIVE_INFINITY;
		}

		const limitMs = remainingMs * settings.admissionShare;
		// A queue of long work grows on what is late; a plain request is short.
		return service.engine
			? Math.min(limitMs, route.goalMs * settings.admissionGoalFactor)
			: limitMs;
	};

	const choose = (request: DispatchRequest): Choice => {
		const isLocalAllowed = routeConfig.mayUseRegion(request.route, options.localRegion);
		const {best, candidates} = isLocalAllowed
			? bestLocal(request)
			: {best: undefined, candidates: 0};
		const localMs = best?.expectedMs ?? Number.POSITIVE_INFINITY;
		const streamingMs = best?.streamingMs ?? 0;
		const remote = request.mayCross ? bestRegion(request) : undefined;
		const limitMs = admissionLimitMs(request);
		if (remote && isWorthCrossing(request, localMs, remote.basis.expectedMs)) {
			return remote.basis.expectedMs > limitMs
				? refuse('overloaded', remote.basis, remote.basis.expectedMs - limitMs + overloadRetryMs)
				: {kind: 'region', ...remote};
		}

		if (!best) {
			return refuse('no-upstream', {expectedMs: -1, candidates}, noUpstreamRetryMs);
		}

		const basis: ChoiceBasis = {
			expectedMs: localMs,
			candidates,
			requestsThere: loads.of(best.upstream.entry.id).requests(),
			heldTokens: Math.round(request.work.promptTokens - best.readTokens),
			streamingMs: Math.round(streamingMs),
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

	const outlook = (service: routeConfig.Service, isUrgent: boolean): number => {
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
			if (isCold(upstream, request.service)) {
				ramp.noteUse(id, request.service.coldRatePerS);
			}

			cache.noteSent(id, request.work.sharedParts);
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
				end() {
					item.end();
				},
			};
		},
		predictWaitMs: (service, isUrgent) => decideNow(() => outlook(service, isUrgent)),
		localLoads: loads.localLoads,
		domainLoads: loads.domainLoads,
		notePeerLoads: loads.notePeerLoads,
		noteDomainLoads: loads.noteDomainLoads,
		takeSentPromptPrefixes: () => cache.takeSent(),
		notePeerPromptPrefixes(chains) {
			for (const chain of chains) {
				if (registry.get(chain.runner)) {
					cache.notePeerSent(chain);
				}
			}
		},
		forget(upstreamId) {
			loads.forget(upstreamId);
			failureRecords.delete(upstreamId);
			cache.forget(upstreamId);
			ramp.forget(upstreamId);
		},
	};
};
