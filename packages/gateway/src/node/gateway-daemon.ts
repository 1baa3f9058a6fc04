/** One gateway daemon: connects its servers, cluster state and peers, and runs its planned stop. */
import type * as clock from '@hawthornfront/base/common/clock.js';
import type * as datagramSocket from '@hawthornfront/base/common/datagram-socket.js';
import * as disposable from '@hawthornfront/base/common/disposable.js';
import type * as httpClient from '@hawthornfront/base/common/http-client.js';
import type * as random from '@hawthornfront/base/common/random.js';
import * as bindAddress from '@hawthornfront/base/node/bind-address.js';
import type * as metrics from '@hawthornfront/base/node/metrics.js';
import * as hash from '@hawthornfront/decisions/common/hash.js';
import * as answerBuffers from '../common/answer-buffers.js';
import * as budgetSharers from '../common/budget-sharers.js';
import * as crashDetector from '../common/crash-detector.js';
import * as directory from '../common/directory.js';
import * as dispatcher from '../common/dispatcher.js';
import * as fleetView from '../common/fleet-view.js';
import type * as gossipMessage from '../common/gossip-message.js';
import * as informed from '../common/informed.js';
import * as limitSharers from '../common/limit-sharers.js';
import * as memoryBudget from '../common/memory-budget.js';
import * as outsideContact from '../common/outside-contact.js';
import type * as prefixStore from '../common/prefix-store.js';
import * as promptQuarantine from '../common/prompt-quarantine.js';
import * as regionSender from '../common/region-sender.js';
import * as requestEngine from '../common/request-engine.js';
import * as sharedRetryBudget from '../common/shared-retry-budget.js';
import * as upstreamPauses from '../common/upstream-pauses.js';
import * as upstreamRateLimits from '../common/upstream-rate-limits.js';
import * as upstreamWarmth from '../common/upstream-warmth.js';
import * as upstreamRegistry from '../common/upstream-registry.js';
import * as storePosition from '../common/store-position.js';
import * as storeReachability from '../common/store-reachability.js';
import * as storeWatcherElection from '../common/store-watcher-election.js';
import * as teamQuota from '../common/team-quota.js';
import * as teamUsage from '../common/team-usage.js';
import * as teamUseExchange from '../common/team-use-exchange.js';
import type * as wireFormat from '../common/wire-format.js';
import * as clusterState from './cluster-state.js';
import * as callerServer from './caller-server.js';
import * as closeLog from './close-log.js';
import * as connectionBudget from './connection-budget.js';
import * as connectionPool from './connection-pool.js';
import type * as eventWriter from './event-writer.js';
import * as gaveWayLog from './gave-way-log.js';
import * as gossipNode from './gossip-node.js';
import * as membership from './membership.js';
import * as peerCatchUp from './peer-catch-up.js';
import * as plannedStop from './planned-stop.js';
import * as processMonitor from './process-monitor.js';
import * as quarantineStore from './quarantine-store.js';
import * as quotaLog from './quota-log.js';
import * as requestAdmission from './request-admission.js';
import * as serverErrorLog from './server-error-log.js';
import * as serverPort from './server-port.js';
import * as settings from './settings.js';

export type GatewayDaemon = {
	readonly isReady: boolean;
	/** Applies the settings that can change at run time: `resends`, `quotas`, `stop`, `quarantine` and `directory`. */
	applySettings(next: settings.GatewaySettings): void;
	answerDirectory(query: directory.DirectoryQuery): directory.DirectoryAnswer;
	/** State for debugging. */
	dump(): unknown;
	/**
	 * Completes the requests in progress and stops, at the latest when the grace period is over.
	 *
	 * @param waitedMs part of the grace period that has passed, as after a signal during the start
	 */
	stop(waitedMs?: number): Promise<void>;
};

export type GatewayOptions = {
	settings: settings.GatewaySettings;
	clock: clock.Clock;
	random: random.Random;
	wire: wireFormat.WireFormat;
	/** For calls to other daemons. */
	client: httpClient.HttpClient;
	store: prefixStore.PrefixStore;
	layout: prefixStore.StoreLayout;
	socket: datagramSocket.DatagramSocket;
	/** For the addresses of callers and peers; without it, one that is not available fails the start. */
	bindRetry?: bindAddress.BindRetry;
	log: eventWriter.EventWriter;
	registry: metrics.Registry;
};

/** Callers that cache a directory answer for longer would still connect to stopped daemons. */
const maxTimeToLiveMs = 2000;
const housekeepingIntervalMs = 1000;
/** Time to deliver the responses that are written when the grace period is over. */
const finalResponsesMs = 100;
/** Daemons of a failure domain whose watches end early; one of them reads the quarantined prompt parts. */
const leadingWatchersPerFailureDomain = 1;
/** Watchers of a region that hear of upstreams without a pause and tell the region which ones are cold. */
const promptWatchersPerRegion = 1;
/** Without contact to it for this long, the next one takes its place; until then a cold upstream may be told of too late. */
const promptWatcherTimeoutMs = 1000;
/** Peers send every 250 ms; without any for this long, this daemon may be cut off. */
const maxPeerSilenceMs = 1000;
/** Time for a response of the store after the wait of a watch. */
const maxResponseDelayMs = 1000;
/** Greatest delay between daemons in learning that an evacuation has ended. */
const feedSkewMs = 1500;
/** A daemon that starts knows the others after this time at the earliest, and has a small share of each quota until then. */
const quotaStartMs = 2000;
/** Interval between decisions on whether this daemon watches the store. */
const watchDecisionIntervalMs = 500;

/** Starts a daemon; resolves when its servers listen. */
export const startGatewayDaemon = async (options: GatewayOptions): Promise<GatewayDaemon> => {
	const {clock, random, wire, log} = options;
	let current = options.settings;
	const {vm, listen, peers} = current;
	const disposables = disposable.createDisposableStore();
	const nowMs = () => clock.nowMs();
	const peerPort = settings.splitAddress(listen.peers).port;
	const seeds = peers.seedAddresses.map(
		(address) => `${settings.splitAddress(address).host}:${peerPort}`,
	);
	const startedAtUnixMs = Math.round(clock.wallMs());
	const failureDomains = new Map(Object.entries(current.failureDomains));
	const regions = [...new Set(failureDomains.values())];
	let stopping: {startedAtMs: number; graceMs: number} | undefined;
	let wasReady = false;
	/** Until its addresses are bound, the start may fail, so nothing is accepted. */
	let isListening = false;
	/** Bounds how long a silent connection to the store can hide changes from the failure domain. */
	let isLeadingWatcher = true;
	let isPromptWatcher = true;

	log.note({kind: 'started', name: vm.name, region: vm.region, startedAtUnixMs});
	disposables.add(
		options.store.era.onDidRise((change) => {
			log.note({kind: 'store-era', ...change});
		}),
	);
	disposables.add(
		options.store.era.onDidIgnore((ignored) => {
			log.note({kind: 'store-era-ignored', ...ignored});
		}),
	);
	const reachability = storeReachability.createStoreReachability(nowMs);
	const registry = upstreamRegistry.createUpstreamRegistry(
		clock,
		(name) => failureDomains.get(name),
		reachability,
	);
	const fleet = fleetView.createFleetView(clock, vm.name, startedAtUnixMs);
	const hasColdUpstreams = (): boolean =>
		cluster.routeTable?.config.services.some(({coldRatePerS}) => coldRatePerS > 0) ?? false;
	const cluster: clusterState.ClusterState = disposables.add(
		clusterState.startClusterState({
			clock,
			store: options.store,
			layout: options.layout,
			registry,
			reachability,
			log,
			watchWaitMs: () =>
				isLeadingWatcher ? current.store.leadingWatchWaitMs : current.store.watchWaitMs,
			// Usual traffic crashes a cold upstream within a fraction of a second; other changes may wait.
			upstreamPace: () => (isPromptWatcher && hasColdUpstreams() ? 'prompt' : 'sparing'),
			random: random.next,
		}),
	);
	const rateLimits = upstreamRateLimits.createUpstreamRateLimits(clock);
	const pauses = upstreamPauses.createUpstreamPauses(clock, random.next);
	const pool = new connectionPool.ConnectionPool(nowMs);
	let heardPeerAtMs = Number.NEGATIVE_INFINITY;
	const outside = outsideContact.createOutsideContact({
		nowMs,
		region: vm.region,
		failureDomain: vm.failureDomain,
		members: fleet.alive,
		storeResponseAgeMs: cluster.upstreamResponseAgeMs,
		storeReachedMs: reachability.reachableMs,
	});
	disposables.add(
		outside.onDidFallSilent((silentMs) => {
			log.note({kind: 'outside-silent', silentMs: Math.round(silentMs)});
			// A pending watch would find out later.
			cluster.suspectStore();
		}),
	);
	const hasNews = () => {
		// Peers send nothing to a daemon in its planned stop.
		if (stopping) {
			return false;
		}

		return fleet.hasLivePeers()
			? reachability.isReachable && nowMs() - heardPeerAtMs < maxPeerSilenceMs && outside.isHeard()
			: cluster.upstreamResponseAgeMs() < current.store.leadingWatchWaitMs + maxResponseDelayMs;
	};

	/** Whether the store, or a peer that this daemon hears, tells it of changes. */
	const {isInformed, noteRunning} = informed.createInformed(nowMs, hasNews);
	const sender = regionSender.createRegionSender({
		nowMs,
		daemonName: vm.name,
		members: () => fleet.knownIn(vm.region),
		unknownMembers: () => fleet.unknownMembers().length,
		isStopping: () => stopping !== undefined,
	});
	const warmth = upstreamWarmth.createUpstreamWarmth({
		clock,
		transport: pool,
		wire,
		log,
		sender,
		isInformed,
		coldRatePerS: (service) => cluster.routeTable?.service(service)?.coldRatePerS ?? 0,
		random: random.next,
	});
	const limitSharing = limitSharers.createLimitSharers({
		nowMs,
		daemonName: vm.name,
		region: vm.region,
		alive: () => fleet.aliveIn(vm.region).map(({name}) => name),
		hasLivePeers: fleet.hasLivePeers,
	});
	const dispatch = dispatcher.createDispatcher({
		clock,
		settings: current.decisions,
		daemonName: vm.name,
		localRegion: vm.region,
		localFailureDomain: vm.failureDomain,
		regions,
		registry,
		fleet,
		rateLimits,
		pauses,
		isEvacuated: cluster.isEvacuated,
		warmth,
		limitSharers: limitSharing,
		sender,
		random: random.next,
	});
	const sharers = budgetSharers.createBudgetSharers(nowMs, () => current.resends.windowS * 1000);
	const budget = sharedRetryBudget.createSharedRetryBudget(
		nowMs,
		() => ({
			share: current.resends.share,
			extraPerWindow: current.resends.extraPerWindow,
			windowMs: current.resends.windowS * 1000,
		}),
		sharers.count,
	);
	const quotaSharers = budgetSharers.createBudgetSharers(nowMs, () => quotaStartMs);
	const isQuotaFleetKnown = () => Number.isFinite(quotaSharers.count());
	const quota = teamQuota.createTeamQuota({
		nowMs,
		random: random.next,
		bounds: () => current.quotas,
		quotaOf: (team) => cluster.routeTable?.team(team)?.quota,
		sharers: quotaSharers.count,
	});
	const teamUse = teamUsage.createTeamUsage({
		nowMs,
		localUse: quota.localUse,
		members: () => (isQuotaFleetKnown() ? quotaSharers.members() : undefined),
		failureDomain: vm.failureDomain,
	});
	const useExchange = teamUseExchange.createTeamUseExchange({
		nowMs,
		quota,
		usage: teamUse,
		hasQuotas: () => current.quotas !== undefined && cluster.routeTable?.hasQuotas === true,
		isFleetKnown: isQuotaFleetKnown,
		failureDomain: vm.failureDomain,
	});
	const versions = () => ({
		configVersion: cluster.configVersion,
		upstreamRevision: storePosition.revisionOf(registry.position),
	});
	const quarantine = promptQuarantine.createPromptQuarantine(
		clock,
		() => ({
			firstMs: current.quarantine.firstS * 1000,
			maxMs: current.quarantine.maxS * 1000,
		}),
		(partId) =>
			hash
				.order(partId, [{name: vm.name}, ...fleet.alive()])
				.findIndex(({name}) => name === vm.name),
	);
	const crashes = crashDetector.createCrashDetector({clock, transport: pool, quarantine, log});
	const buffers = answerBuffers.createAnswerBuffers();
	const engine = requestEngine.createRequestEngine({
		buffers,
		clock,
		wire,
		dispatcher: dispatch,
		transport: pool,
		budget,
		quarantine,
		crashes,
		log,
		localRegion: vm.region,
		isReachable: fleet.isReachable,
		onLaterConfig(peer, version) {
			const member = fleet.member(peer);
			if (member) {
				catchUp.noteConfigInUse(member, version);
			}
		},
		versions,
	});

	const isReady = () => isListening && cluster.isComplete && !stopping;

	const self = (): gossipMessage.MemberRecord => ({
		name: vm.name,
		region: vm.region,
		failureDomain: vm.failureDomain,
		callerAddress: listen.callers,
		peerAddress: listen.peers,
		startedAtUnixMs,
		isReady: isReady(),
		isLeaving: stopping !== undefined,
		configVersion: cluster.configVersion,
		upstreamRevision: registry.position,
		operatorRevision: cluster.operatorPosition,
		upstreamLastChange: registry.lastChange,
		operatorLastChange: cluster.operatorLastChange,
		storeContact: cluster.storeContact,
		capacity: vm.processorShare,
	});

	const createCheck = (isPeerPort: boolean) =>
		requestAdmission.createAdmissionCheck({
			wire,
			engine,
			log,
			isPeerPort,
			quota: isPeerPort ? undefined : quota,
			routeTable: () => (isListening && registry.isLoaded ? cluster.routeTable : undefined),
			snapshot: cluster.snapshot,
			stopProgress: () =>
				stopping && {elapsedMs: nowMs() - stopping.startedAtMs, graceMs: stopping.graceMs},
		});

	const callerCloseLog = closeLog.createCloseLog(log, 'callers');
	const peerCloseLog = closeLog.createCloseLog(log, 'peers');
	const connections = connectionBudget.createConnectionBudget({
		maxConnections: connectionBudget.maxConnectionsFor(current.limits.maxDescriptors),
		openConnections: () =>
			callerHttpServer.openConnections + peerHttpServer.openConnections + pool.openConnections,
		closeLongestIdle: () =>
			callerHttpServer.closeLongestIdle() || peerHttpServer.closeLongestIdle(),
	});
	const heldMemory = memoryBudget.createMemoryBudget(
		nowMs,
		memoryBudget.heldLimitBytes(current.limits.memoryMb),
	);
	const serverOptions = {budget: heldMemory, makeRoom: connections.makeRoom};
	const callerHttpServer: callerServer.CallerServer = callerServer.createCallerServer(
		nowMs,
		createCheck(false),
		callerCloseLog,
		serverOptions,
	);
	const peerHttpServer: callerServer.CallerServer = callerServer.createCallerServer(
		nowMs,
		createCheck(true),
		peerCloseLog,
		{...serverOptions, port: new serverPort.PeerPort()},
	);

	const inFlight = () => callerHttpServer.inFlight + peerHttpServer.inFlight;

	const localExpectedWaits = (): gossipMessage.GossipMessage['outlooks'] =>
		(cluster.routeTable?.config.services ?? []).map((service) => ({
			region: vm.region,
			service: service.name,
			urgentMs: dispatch.predictWaitMs(service, true),
			otherMs: dispatch.predictWaitMs(service, false),
			ageMs: 0,
		}));

	const remoteExpectedWaits = (): gossipMessage.GossipMessage['outlooks'] =>
		fleet
			.allRegionWaits()
			.filter(({region}) => region !== vm.region)
			.map(({region, service, waits}) => ({region, service, ...waits}));

	const catchUp = peerCatchUp.createCatchUp({
		clock,
		client: options.client,
		cluster,
		localFailureDomain: vm.failureDomain,
		upstreams: registry,
		log,
	});

	const gossip = disposables.add(
		gossipNode.startGossip({
			clock,
			random,
			socket: options.socket,
			fleet,
			log,
			intervalMs: peers.gossipEveryMs,
			seeds,
			self,
			localLoads: dispatch.localLoads,
			domainLoads: dispatch.domainLoads,
			regionLoads: dispatch.regionLoads,
			localExpectedWaits,
			remoteExpectedWaits,
			takePromptPrefixes: dispatch.takeSentPromptPrefixes,
			takePartReports: quarantine.takeReports,
			takeRateLimits: rateLimits.takeReports,
			takeWarmth: warmth.takeReports,
			teamUse: useExchange,
			onMessage(message) {
				heardPeerAtMs = nowMs();
				quarantine.merge(message.partReports, message.sender.name);

				dispatch.notePeerPromptPrefixes(message.promptPrefixes);
				for (const report of message.rateLimits) {
					// Only daemons of its region send to an upstream.
					const upstream = registry.get(report.upstreamId);
					if (upstream?.region === vm.region) {
						const {id: upstreamId} = upstream.entry;
						rateLimits.merge({...report, upstreamId}, message.sender.name);
					}
				}

				for (const report of message.warmth) {
					const upstream = registry.get(report.upstreamId);
					if (upstream?.region === vm.region) {
						warmth.merge(upstream, report, message.sender.name);
					}
				}

				fleet.noteMember(message.sender, 0);
				for (const {record, ageMs} of message.others) {
					fleet.noteMember(record, ageMs);
				}

				fleet.noteHeartbeats(message.heartbeats);
				for (const {region, service, ...regionWaits} of message.outlooks) {
					if (region !== vm.region) {
						fleet.noteRegionWaits(region, service, regionWaits);
					}
				}

				if (message.loads && message.isRelayed) {
					// A relay has the reports of all daemons itself, and only a relay has them.
					if (!gossip.isRelay()) {
						dispatch.noteRegionLoads(message.loads);
					}
				} else if (message.loads && message.sender.failureDomain === vm.failureDomain) {
					if (gossip.isRelay()) {
						dispatch.notePeerLoads(message.sender.name, message.loads);
					}
				} else if (message.loads && message.sender.region === vm.region) {
					dispatch.noteDomainLoads(message.sender.failureDomain, message.loads);
				}

				useExchange.receive(message);
				catchUp.notePeer(message.sender);
			},
		}),
	);
	disposables.add(cluster.onDidApplyStoreUpdate(gossip.sendToDomain));
	disposables.add(
		quarantine.onDidChange(({kind, partId, source, ...change}) => {
			const isOwn = source === promptQuarantine.ownSource;
			if (isOwn || kind !== 'suspected') {
				const remainingMs = Math.round(change.remainingMs);
				log.note({kind: 'prompt-part', change: kind, part: partId, source, ...change, remainingMs});
			}

			// Relays pass on what others report.
			if (isOwn || gossip.isRelay()) {
				gossip.sendReports();
			}
		}),
	);
	disposables.add(
		rateLimits.onDidChange(({upstreamId, requestsPerS, source}) => {
			log.note({kind: 'upstream-limit', upstream: upstreamId, requestsPerS, source});
			if (source === upstreamRateLimits.ownSource || gossip.isRelay()) {
				gossip.sendReports();
			}
		}),
	);
	disposables.add(
		warmth.onDidChange(({source}) => {
			if (source === upstreamWarmth.ownSource || gossip.isRelay()) {
				gossip.sendReports();
			}
		}),
	);
	disposables.add(
		cluster.onDidEndEvacuation((failureDomain) => {
			for (const upstream of registry.all()) {
				const isConcerned =
					upstream.entry.failureDomain === failureDomain && upstream.region === vm.region;
				if (isConcerned) {
					// An evacuated upstream may have become cold, and its entry comes with another feed.
					warmth.suspect(upstream, 'evacuated', feedSkewMs);
				}
			}
		}),
	);
	disposables.add(
		pool.onDidLosePeer(({address, reason}) => {
			for (const upstream of registry.all()) {
				const isConcerned = upstream.entry.address === address && upstream.region === vm.region;
				if (isConcerned && reason === 'unclear') {
					warmth.hold(upstream);
				} else if (isConcerned && reason === 'kept') {
					warmth.release(upstream.entry.id);
				} else if (isConcerned) {
					warmth.suspect(upstream, reason);
				}
			}
		}),
	);
	disposables.add(
		pauses.onDidPause(({upstreamId, remainingMs, named}) => {
			log.note({
				kind: 'upstream-pause',
				upstream: upstreamId,
				remainingMs: remainingMs === undefined ? undefined : Math.round(remainingMs),
				named: named.kind === 'pause' ? named.pauseMs : named.text,
			});
		}),
	);
	const storedQuarantine = disposables.add(
		quarantineStore.startQuarantineStore({
			clock,
			random: random.next,
			store: options.store,
			prefix: options.layout.quarantinePrefix,
			quarantine,
			log,
			daemonName: vm.name,
			aloneWatchWaitMs: current.store.leadingWatchWaitMs,
			otherWatchers: () =>
				fleet
					.alive()
					.filter(({storeContact}) => storeContact === 'reached')
					.map(({name}) => name),
		}),
	);
	let isWatching = true;
	const members = membership.startMembership({
		clock,
		random: random.next,
		store: options.store,
		prefix: options.layout.memberPrefix,
		leaseMs: current.store.memberLeaseMs,
		fleet,
		log,
		self,
		// Watchers are relays too, and a renewal shows them an outage before their watch ends.
		isEntryPoint: () => gossip.isRelay() || !fleet.hasLivePeers(),
		onStoreFailure() {
			if (cluster.storeContact === 'reached') {
				cluster.suspectStore();
			}
		},
	});

	const watcherElection = storeWatcherElection.createStoreWatcherElection({
		nowMs,
		daemonName: vm.name,
		capacity: vm.processorShare,
		place: vm.failureDomain,
		watchers: current.store.watchersPerFailureDomain,
	});
	const promptWatcherElection = storeWatcherElection.createStoreWatcherElection({
		nowMs,
		daemonName: vm.name,
		capacity: vm.processorShare,
		place: vm.region,
		watchers: promptWatchersPerRegion,
		peerTimeoutMs: promptWatcherTimeoutMs,
	});
	const leadingWatcherElection = storeWatcherElection.createStoreWatcherElection({
		nowMs,
		daemonName: vm.name,
		capacity: vm.processorShare,
		place: vm.failureDomain,
		watchers: leadingWatchersPerFailureDomain,
	});
	const updateWatch = () => {
		const alive = fleet.alive();
		reachability.setReachedByPeers(
			alive.some(({storeContact}) => storeContact === 'reached'),
			alive.some(({storeContact}) => storeContact === 'lost'),
		);
		const candidateOf = ({name, capacity, aliveAtMs, storeContact}: fleetView.Member) => ({
			name,
			capacity,
			lastContactAgeMs: nowMs() - aliveAtMs,
			storeContact,
		});
		const domainPeers = alive
			.filter(({failureDomain}) => failureDomain === vm.failureDomain)
			.map((member) => candidateOf(member));
		const regionWatchers = alive
			.filter(({region, storeContact}) => region === vm.region && storeContact === 'reached')
			.map((member) => candidateOf(member));
		const isPrompt = promptWatcherElection.update(regionWatchers, 0);
		if (isPrompt !== isPromptWatcher) {
			isPromptWatcher = isPrompt;
			log.note({kind: 'store-pace', isPrompt, watchers: regionWatchers.length});
		}

		const behindMs = catchUp.behindMs();
		const next = watcherElection.update(domainPeers, behindMs) || !cluster.isComplete;
		const isLeading = leadingWatcherElection.update(domainPeers, behindMs);
		if (isLeading && !isLeadingWatcher) {
			// The pending watches may be silent, and the daemon that led before cannot tell any more.
			cluster.refresh();
		}

		isLeadingWatcher = isLeading;
		// The other feeds find out whether the store responds.
		const canRead = next && cluster.storeContact === 'reached';
		storedQuarantine.setWatching(canRead && isLeading);
		storedQuarantine.setPeers(fleet.hasLivePeers());
		if (next !== isWatching) {
			isWatching = next;
			cluster.setWatching(next);
			log.note({kind: 'store-watch', isWatching, peers: domainPeers.length, behindMs});
		}
	};

	disposables.add(clock.setPeriodicTimer(updateWatch, watchDecisionIntervalMs));
	disposables.add(clock.setPeriodicTimer(noteRunning, watchDecisionIntervalMs));

	const isolation = {wasInformed: true};
	const noteIsolation = () => {
		if (isInformed() !== isolation.wasInformed) {
			isolation.wasInformed = isInformed();
			const silentMs = Math.round(nowMs() - heardPeerAtMs);
			log.note({kind: 'isolation', isInformed: isolation.wasInformed, silentMs});
		}
	};

	const noteReadiness = () => {
		if (isReady() !== wasReady) {
			wasReady = isReady();
			const reason = stopping ? 'stopping' : wasReady ? 'complete' : 'incomplete';
			log.note({kind: 'readiness', isReady: wasReady, reason});
		}
	};

	disposables.add(
		registry.onDidChange(({kind, upstream, revision, source}) => {
			const {entry} = upstream;
			log.note({
				kind: 'upstream',
				change: kind,
				upstream: entry.id,
				service: entry.service,
				address: entry.address,
				failureDomain: entry.failureDomain,
				coldMs: Math.max(0, Math.round(upstream.coldUntilMs - nowMs())),
				revision,
				source,
			});
			if (kind === 'gone' || kind === 'restarted') {
				dispatch.forget(entry.id);
				pool.drop(entry.address);
			}

			const coldLeftMs = upstream.coldUntilMs - nowMs();
			const isFromStore = source === upstreamRegistry.storeSource;
			if (isFromStore && kind !== 'gone' && coldLeftMs > 0 && upstream.region === vm.region) {
				warmth.noteCold(upstream, coldLeftMs);
			}
		}),
	);
	disposables.add(
		reachability.onDidChange((change) => {
			if (change.isReachable) {
				sharers.noteStoreReached();
				limitSharing.noteStoreReached();
				quotaSharers.noteStoreReached();
			}

			log.note({kind: 'store-reachability', ...change});
		}),
	);
	disposables.add(
		fleet.onDidChange(({kind, member}) => {
			sharers.noteMember({kind, member});
			limitSharing.noteMember({kind, member});
			quotaSharers.noteMember({kind, member});
			log.note({
				kind: 'member',
				change: kind,
				member: member.name,
				region: member.region,
				ageMs: Math.round(nowMs() - member.aliveAtMs),
			});
		}),
	);
	disposables.add(
		cluster.onDidChangeConfig((table) => {
			callerHttpServer.applyLimits(table.config.limits);
		}),
	);
	const monitor = processMonitor.createProcessMonitor({
		nowMs,
		registry: options.registry,
		log,
		memoryLimitMb: current.limits.memoryMb,
		held: () => ({
			callerConnections: callerHttpServer.openConnections,
			peerConnections: peerHttpServer.openConnections,
			upstreamConnections: pool.openConnections,
			electionMembers: sender.size,
			lostLimitSharers: limitSharing.size,
			requests: inFlight(),
			...dispatch.held(),
			members: fleet.size,
			brokenRequests: crashes.brokenRequests,
			bodyBytes: heldMemory.bodyBytes,
			unfinishedBodies: heldMemory.unfinishedBodies,
			unreadAnswerBytes: heldMemory.answerBytes,
			heldBackBytes: buffers.bytes,
			...quota.held(),
			useReporters: teamUse.reporters,
		}),
		readMemoryUse: processMonitor.readMemoryUse,
	});
	const quotaRefusals = quotaLog.createQuotaLog(quota, log, options.registry);
	const gaveWay = gaveWayLog.createGaveWayLog(heldMemory, log, options.registry);
	disposables.add(
		clock.setPeriodicTimer(() => {
			monitor.sample(housekeepingIntervalMs);
			pool.sweep();
			quarantine.sweep();
			sender.update();
			noteReadiness();
			noteIsolation();
			quota.forget();
			quotaRefusals.flush();
			gaveWay.flush();
			callerCloseLog.flush();
			peerCloseLog.flush();
		}, housekeepingIntervalMs),
	);
	const callersAt = settings.splitAddress(listen.callers);
	const peersAt = settings.splitAddress(listen.peers);
	const {bindRetry = {timeoutMs: 0, onRetry: () => undefined}} = options;
	const createErrorListener = serverErrorLog.createServerErrorLog(log, nowMs);
	// A caller that connects is served at once, because its address is bound last.
	for (const [server, {host, port}, onLaterError] of [
		[peerHttpServer, peersAt, createErrorListener('peers')],
		[callerHttpServer, callersAt, createErrorListener('callers')],
	] as const) {
		await bindAddress.bindWhenFree(async () => server.listen(host, port, onLaterError), bindRetry);
	}

	isListening = true;

	const noteDirectoryAnswer = directory.createAnswerChangeDetector((region, {basis, addresses}) => {
		log.note({kind: 'directory', region, basis, named: addresses.length, addresses});
	});

	return {
		get isReady() {
			return isReady();
		},
		applySettings(next) {
			const {resends, stop, quarantine: quarantineSettings, directory: directorySettings} = next;
			current = {
				...current,
				resends,
				quotas: next.quotas,
				stop,
				quarantine: quarantineSettings,
				directory: directorySettings,
			};
		},
		answerDirectory(query) {
			const answer = directory.answerDirectory(
				query,
				self(),
				fleet,
				cluster.routeTable?.homeCoverage(query.host ?? '') ?? new Map(),
				Math.min(maxTimeToLiveMs, current.directory.timeToLiveS * 1000),
			);
			noteDirectoryAnswer(query, answer);
			return answer;
		},
		dump: () => ({
			self: self(),
			versions: versions(),
			evacuated: cluster.evacuatedDomains(),
			upstreams: registry.all(),
			members: fleet.alive(),
			outlooks: [...localExpectedWaits(), ...remoteExpectedWaits()],
			loads: dispatch.localLoads(),
			quarantine: quarantine.quarantineReports(),
			rateLimits: rateLimits.takeReports(),
			quotas: quota.dump(),
			inFlight: inFlight(),
		}),
		async stop(waitedMs = 0) {
			const graceMs = plannedStop.remainingGraceMs(current.stop.graceS * 1000, waitedMs);
			stopping = {startedAtMs: nowMs(), graceMs};
			log.note({kind: 'stopping', inFlight: inFlight(), graceMs});
			noteReadiness();
			gossip.announceStop();
			void members.leave();
			await plannedStop.drainCallers({clock, servers: [callerHttpServer, peerHttpServer], graceMs});
			log.note({
				kind: 'stopped',
				inFlight: inFlight(),
				reason: inFlight() === 0 ? 'idle' : 'grace-over',
			});
			if (callerHttpServer.inFlight > 0) {
				callerHttpServer.abortRequests();
				await clock.sleep(finalResponsesMs);
			}

			disposables.dispose();
			callerHttpServer.destroy();
			peerHttpServer.destroy();
			quotaRefusals.flush();
			gaveWay.flush();
			callerCloseLog.flush();
			peerCloseLog.flush();
			pool.dispose();
			options.socket.dispose();
			log.flush();
		},
	};
};
