/** Combines membership, configuration distribution and load exchange into one fleet. */
import * as events from 'node:events';
import type * as clockService from '@hawthornfront/base/common/clock.js';
import type * as datagramSocket from '@hawthornfront/base/common/datagram-socket.js';
import * as disposable from '@hawthornfront/base/common/disposable.js';
import * as event from '@hawthornfront/base/common/event.js';
import type * as randomNumbers from '@hawthornfront/base/common/random.js';
import * as partition from '@hawthornfront/catalogue/node/partition.js';
import type * as keyValueStore from '@hawthornfront/platform/common/key-value-store.js';
import type * as platformServices from '@hawthornfront/platform/common/platform-services.js';
import type * as datagram from '@hawthornfront/protocol/common/datagram.js';
import * as datagramCodec from '@hawthornfront/protocol/common/datagram-codec.js';
import * as methods from '@hawthornfront/protocol/common/fleet-methods.js';
import * as identities from '@hawthornfront/protocol/common/identity.js';
import type * as rpc from '@hawthornfront/protocol/common/rpc.js';
import * as configurations from '../common/configuration.js';
import * as counting from '../common/counters.js';
import type * as fleetInterface from '../common/fleet-interface.js';
import type * as fleetParts from '../common/fleet-parts.js';
import * as fleetSettings from '../common/fleet-settings.js';
import * as gossips from '../common/gossip.js';
import * as loadExchanges from '../common/load-exchange.js';
import * as memberSyncs from '../common/member-sync.js';
import * as memberships from '../common/membership.js';
import * as messengers from '../common/messenger.js';
import * as peerPulls from '../common/peer-pull.js';
import * as regionWaits from '../common/region-waits.js';
import * as relayParts from '../common/relay.js';
import * as roles from '../common/roles.js';
import * as storeWatchers from '../common/store-watcher.js';
import * as storeWatcherElections from '../common/store-watcher-election.js';

// A tick that is this many periods late indicates a pause of the process.
const pausedTicks = 3;

// In this many ticks a new daemon receives the revisions of several peers, so that it does not
// become ready with the outdated configuration of a single one.
const ticksBeforeReady = 3;

export type FleetOptions = {
	/** This daemon; the incarnation is derived from the wall clock when it is absent. */
	self: Omit<identities.MemberInfo, 'incarnation'> & {incarnation?: number};
	/** Name of the cluster; datagrams and calls of another cluster are dropped. */
	cluster: string;
	/** HTTP addresses of daemons, `host:port`. */
	seeds: readonly string[];
	clock: clockService.Clock;
	random: randomNumbers.Random;
	/** Not disposed by the fleet. */
	socket: datagramSocket.DatagramSocket;
	rpcClient: rpc.RpcClient;
	rpcServer: rpc.RpcServer;
	store: keyValueStore.KeyValueStore;
	vmList: platformServices.VmList;
	logger: fleetParts.FleetLogger;
	settings?: Partial<fleetSettings.FleetSettings>;
};

/** Creates and starts the fleet of one daemon. */
export const createFleet = (options: FleetOptions): fleetInterface.Fleet => {
	const {clock, random} = options;
	const settings = fleetSettings.fleetSettingsSchema.parse(options.settings ?? {});
	const stop = new AbortController();
	// Each call in progress adds a listener, and reading a new configuration makes many at once.
	events.EventEmitter.setMaxListeners(0, stop.signal);
	const disposables = disposable.createDisposableStore();
	// The wall clock is read only here: it makes incarnations grow across restarts without a disk.
	const incarnation = options.self.incarnation ?? Math.max(1, Math.floor(clock.wallMs() / 1000));
	const membership = memberships.createMembership({...options.self, incarnation}, settings);
	const configuration = configurations.createConfiguration(clock, partition.digestOf);
	const counters = counting.createCounters();
	const parts: fleetParts.FleetParts = {
		...options,
		settings,
		counters,
		membership,
		configuration,
		signal: stop.signal,
	};
	const {name, failureDomain} = options.self;
	const didChangeMembers = event.createEmitter<readonly memberships.Member[]>();
	const didChangeIdentity = event.createEmitter<identities.Identity>();
	let announcedIncarnation = incarnation;
	let waits: datagram.WaitEntry[] = [];
	let cachedRelayOrder: string[] | undefined;
	let pollersByUpstream = new Map<string, string[]>();

	const relayOrder = (): string[] => {
		cachedRelayOrder ??= roles.relayOrder(membership.members(), failureDomain);
		return cachedRelayOrder;
	};

	const relays = () => relayOrder().slice(0, settings.relayCount);
	const isRelay = () => relays().includes(name);

	const pollersOf = (upstream: string): readonly string[] => {
		let names = pollersByUpstream.get(upstream);
		if (!names) {
			const {pollerCount} = settings;
			names = roles.pollersFor(membership.members(), failureDomain, upstream, pollerCount);
			pollersByUpstream.set(upstream, names);
		}

		return names;
	};

	const codec = datagramCodec.createDatagramCodec(options.cluster);
	const loads = loadExchanges.createLoadExchange(settings);
	const regions = regionWaits.createRegionWaitTable(options.self.region);
	const messenger = messengers.createMessenger(parts, options.socket, codec, loads, regions);
	const pull = disposables.add(peerPulls.createPeerPull(parts, isRelay));
	const sync = disposables.add(
		memberSyncs.createMemberSync(parts, options.seeds, (httpAddress, answer) => {
			const isNear = membership.claimOf(answer.name)?.member.failureDomain === failureDomain;
			pull.offer({...answer, httpAddress, isNear});
		}),
	);
	const gossip = gossips.createGossip({...parts, messenger, sync, pull, loads, regions});
	const relay = relayParts.createRelay({
		...parts,
		messenger,
		sync,
		pull,
		regions,
		waits: () => waits,
	});
	const watcher = disposables.add(
		storeWatchers.createStoreWatcher(parts, () => {
			membership.setSelf({isWatching: watcher.isHealthy()});
		}),
	);
	const election = storeWatcherElections.createStoreWatcherElection(settings, random.next());
	let ticksSinceJoin = 0;
	let isReady = false;

	const updateReadiness = () => {
		ticksSinceJoin += sync.hasJoined() ? 1 : 0;
		const isCollectingRevisions = ticksSinceJoin < ticksBeforeReady;
		if (
			!isReady &&
			!isCollectingRevisions &&
			configuration.snapshot().revision > 0 &&
			!pull.isBehind()
		) {
			isReady = true;
			options.logger.info({revision: configuration.snapshot().revision}, 'ready');
		}
	};

	disposables.add(
		membership.onDidChange(() => {
			cachedRelayOrder = undefined;
			pollersByUpstream = new Map();
			const self = membership.self().member;
			if (self.incarnation !== announcedIncarnation) {
				announcedIncarnation = self.incarnation;
				options.logger.warn(
					{incarnation: announcedIncarnation},
					'a peer holds a higher incarnation of this daemon; incarnation raised',
				);
				didChangeIdentity.fire({name, incarnation: announcedIncarnation});
			}

			didChangeMembers.fire(membership.members());
		}),
	);
	disposables.add(
		configuration.onDidChangeSnapshot((snapshot) => {
			const localUpstreams = [...snapshot.upstreams].filter(
				([, upstream]) => upstream.failureDomain === failureDomain,
			);
			loads.setUpstreams(new Map(localUpstreams));
			options.logger.info({revision: snapshot.revision}, 'configuration applied');
			gossip.gossipNow();
		}),
	);
	disposables.add(
		options.socket.onDidReceive(({peer, bytes}) => {
			counters.messagesReceived++;
			counters.bytesReceived += bytes.byteLength;
			const item = codec.decode(bytes);
			if (stop.signal.aborted) {
				return;
			}

			if (!item) {
				counters.datagramsDropped++;
			} else if (item.kind === 'heartbeat') {
				gossip.receive(item, peer);
			} else {
				relay.receive(item, peer, isRelay());
			}
		}),
	);
	options.rpcServer.handle(methods.configPull, (params) => pull.answer(params));
	options.rpcServer.handle(methods.membersSync, (params) => sync.answer(params));

	const updateStoreWatcher = (nowMs: number) => {
		const rank = relayOrder().indexOf(name);
		const higherRanked = new Set(rank === -1 ? relayOrder() : relayOrder().slice(0, rank));
		const hasHigherRankedWatcher = membership
			.members()
			.some((member) => member.isWatching && higherRanked.has(member.name));
		watcher.setActive(
			sync.hasJoined() && election.shouldWatch(rank, hasHigherRankedWatcher, nowMs),
		);
	};

	let lastTickMs = clock.nowMs();
	let nextReconnectMs = 0;
	let nextCandidateCheckMs = clock.nowMs() + settings.candidateCheckMs * random.next();
	let nextStoreReadMs = clock.nowMs() + settings.selfHelpMs * (1 + random.next());

	const jittered = (periodMs: number) => periodMs * (0.5 + random.next());

	const reconnect = (nowMs: number) => {
		if (nowMs >= nextReconnectMs) {
			nextReconnectMs = nowMs + jittered(settings.reconnectMs);
			gossip.reconnect(1);
		} else if (gossip.seemsIsolated()) {
			// Peers may still receive the heartbeats of this daemon, so it keeps sending.
			gossip.reconnect(settings.gossipFanout + 1);
		}

		if (nowMs >= nextCandidateCheckMs) {
			nextCandidateCheckMs = nowMs + jittered(settings.candidateCheckMs);
			void sync.checkCandidates();
		}
	};

	const readStoreIfEmpty = (nowMs: number) => {
		if (sync.hasJoined() && configuration.snapshot().revision === 0 && nowMs >= nextStoreReadMs) {
			nextStoreReadMs = nowMs + jittered(settings.selfHelpMs * 4);
			void watcher.readOnce();
		}
	};

	const tick = () => {
		const nowMs = clock.nowMs();
		const elapsedMs = nowMs - lastTickMs;
		lastTickMs = nowMs;
		if (elapsedMs > pausedTicks * settings.tickMs) {
			// Heartbeats were missed because this process was paused, not because peers failed.
			membership.extendDeadlines(elapsedMs);
			gossip.reset();
		}

		membership.expire(nowMs);
		membership.incrementSequence();
		updateStoreWatcher(nowMs);
		gossip.tick();
		relay.tick(isRelay());
		reconnect(nowMs);
		readStoreIfEmpty(nowMs);
		updateReadiness();
	};

	disposables.add(
		clock.setTimer(() => {
			disposables.add(clock.setPeriodicTimer(tick, settings.tickMs));
			tick();
		}, settings.tickMs * random.next()),
	);
	sync.start();

	return {
		identity: () => ({name, incarnation: membership.self().member.incarnation}),
		onDidChangeIdentity: didChangeIdentity.event,
		members: () => membership.members(),
		onDidChangeMembers: didChangeMembers.event,
		snapshot: () => configuration.snapshot(),
		onDidChangeSnapshot: configuration.onDidChangeSnapshot,
		isReady: () => isReady,
		relays,
		pollersOf,
		isPollerOf: (upstream) => pollersOf(upstream).includes(name),
		publishLoad(upstream, report) {
			const nowMs = clock.nowMs();
			if (loads.publish(upstream, report, nowMs)) {
				// An upstream that sets `leaving` must be known in the whole domain within 3 s.
				const delta = loads.toDelta(upstream, nowMs);
				gossip.broadcast({loads: delta ? [delta] : []});
			}
		},
		loadReports: () => loads.reports(),
		onDidReceiveLoad: loads.onDidReceive,
		publishWaits(next) {
			waits = next;
		},
		regionSummaries: () => regions.current(clock.nowMs(), settings.regionSummaryLifeMs),
		announceStopping() {
			membership.setSelf({state: 'stopping'});
			gossip.broadcast({});
		},
		counters: () => ({...counters}),
		dump: () => ({
			identity: identities.identityText(membership.self().member),
			state: membership.self().state,
			isReady,
			isRelay: isRelay(),
			relays: relays(),
			members: membership
				.claims()
				.map(({member, state, sequence, isWatching}) => ({...member, state, sequence, isWatching})),
			membership: membership.counters(),
			sync: sync.dump(),
			configuration: configuration.dump(),
			pull: pull.dump(),
			storeWatch: watcher.dump(),
			loads: loads.reports().size,
			regions: regions.current(clock.nowMs(), settings.regionSummaryLifeMs),
			counters: {...counters},
		}),
		dispose() {
			if (stop.signal.aborted) {
				return;
			}

			if (membership.self().state === 'stopping') {
				membership.setSelf({state: 'left'});
				gossip.broadcast({});
			}

			stop.abort(new Error('the daemon is stopping'));
			disposables.dispose();
		},
	};
};
