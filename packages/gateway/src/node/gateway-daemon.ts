/** One gateway daemon: its servers, its beliefs, its peers, and its stop. */
import type * as clock from '@hawthornfront/base/common/clock.js';
import type * as datagramSocket from '@hawthornfront/base/common/datagram-socket.js';
import * as disposable from '@hawthornfront/base/common/disposable.js';
import * as httpClient from '@hawthornfront/base/common/http-client.js';
import type * as random from '@hawthornfront/base/common/random.js';
import type * as metrics from '@hawthornfront/base/node/metrics.js';
import * as hash from '@hawthornfront/decisions/common/hash.js';
import * as directory from '../common/directory.js';
import * as dispatcher from '../common/dispatcher.js';
import * as fleetView from '../common/fleet-view.js';
import type * as gossipMessage from '../common/gossip-message.js';
import type * as prefixStore from '../common/prefix-store.js';
import * as relayHeaders from '../common/relay-headers.js';
import * as requestEngine from '../common/request-engine.js';
import * as resendBudget from '../common/resend-budget.js';
import * as routeConfig from '../common/route-config.js';
import * as upstreamRegistry from '../common/upstream-registry.js';
import type * as wireFormat from '../common/wire-format.js';
import * as beliefs from './beliefs.js';
import * as callerServer from './caller-server.js';
import * as connectionPool from './connection-pool.js';
import type * as eventWriter from './event-writer.js';
import * as gossipNode from './gossip-node.js';
import * as membership from './membership.js';
import * as settings from './settings.js';

export type GatewayDaemon = {
	readonly isReady: boolean;
	/** Takes over the settings that may change while it runs: limits of resends, stop and directory. */
	applySettings(next: settings.GatewaySettings): void;
	answerDirectory(query: directory.DirectoryQuery): directory.DirectoryAnswer;
	/** State for people. */
	dump(): unknown;
	/** Serves what is in progress to its end and returns then, within the grace. */
	stop(): Promise<void>;
};

export type GatewayOptions = {
	settings: settings.GatewaySettings;
	clock: clock.Clock;
	random: random.Random;
	wire: wireFormat.WireFormat;
	/** For calls of other daemons. */
	client: httpClient.HttpClient;
	store: prefixStore.PrefixStore;
	layout: prefixStore.StoreLayout;
	socket: datagramSocket.DatagramSocket;
	log: eventWriter.EventWriter;
	registry: metrics.Registry;
};

/** Callers that keep an answer for longer still ask daemons that have stopped. */
const maxTimeToLiveMs = 2000;
const snapshotPath = '/hawthornfront/snapshot';
const pullTimeoutMs = 1500;
const maxSnapshotBytes = 16_777_216;
const housekeepingMs = 1000;
/** Delay between two pulls from peers while the store is out of reach. */
const pullEveryMs = 500;
const notReadyRetryMs = 500;
/** Another daemon can take the request at once. */
const stoppingRetryMs = 20;
/** Callers that learned of this daemon before the stop may still connect for this long. */
const stopAcceptingMs = 2200;
const closeIdleAfterMs = 1300;
/** Part of the grace that is kept for the end of the process. */
const stopMarginMs = 250;
const stopStepMs = 100;

/** Starts a daemon; returns when its servers listen. */
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
	let isLeaving = false;
	let wasReady = false;

	log.note({kind: 'started', name: vm.name, region: vm.region, startedAtUnixMs});
	const registry = upstreamRegistry.createUpstreamRegistry(clock, (name) =>
		failureDomains.get(name),
	);
	const fleet = fleetView.createFleetView(clock, vm.name);
	const belief = disposables.add(
		beliefs.startBeliefs({
			clock,
			store: options.store,
			layout: options.layout,
			registry,
			log,
			watchWaitMs: current.store.watchWaitMs,
			random: random.next,
		}),
	);
	const dispatch = dispatcher.createDispatcher({
		clock,
		settings: current.decisions,
		ownName: vm.name,
		ownRegion: vm.region,
		ownFailureDomain: vm.failureDomain,
		regions,
		registry,
		fleet,
		isEvacuated: belief.isEvacuated,
		random: random.next,
	});
	const pool = new connectionPool.ConnectionPool(nowMs);
	const budget = resendBudget.createResendBudget(
		nowMs,
		() => ({
			share: current.resends.share,
			extraPerWindow: current.resends.extraPerWindow,
			windowMs: current.resends.windowS * 1000,
		}),
		() => 1 + fleet.alive().length,
	);
	const versions = () => ({
		configVersion: belief.configVersion,
		upstreamRevision: registry.revision,
	});
	const engine = requestEngine.createRequestEngine({
		clock,
		wire,
		dispatcher: dispatch,
		transport: pool,
		budget,
		log,
		ownRegion: vm.region,
		versions,
	});

	const isReady = () => belief.isComplete && !isLeaving;

	const self = (): gossipMessage.MemberRecord => ({
		name: vm.name,
		region: vm.region,
		failureDomain: vm.failureDomain,
		callerAddress: listen.callers,
		peerAddress: listen.peers,
		startedAtUnixMs,
		isReady: isReady(),
		isLeaving,
		configVersion: belief.configVersion,
		upstreamRevision: registry.revision,
		capacity: vm.processorShare,
	});

	const judge =
		(isPeerPort: boolean) =>
		(head: callerServer.CallerHead): callerServer.Verdict => {
			if (isPeerPort && head.path === snapshotPath) {
				return {kind: 'respond', body: JSON.stringify(belief.snapshot())};
			}

			const {table} = belief;
			if (!table || !registry.isLoaded) {
				return {
					kind: 'reject',
					status: 503,
					reason: 'no-configuration',
					retryAfterMs: notReadyRetryMs,
				};
			}

			const route = table.select(head.host, head.path);
			if (!route) {
				return {kind: 'reject', status: 404, reason: 'no-route'};
			}

			// A stream that may not move is better begun at a daemon that stays.
			if (isLeaving && route.work === 'stream' && !route.canResume) {
				return {kind: 'reject', status: 503, reason: 'stopping', retryAfterMs: stoppingRetryMs};
			}

			const facts = wire.readRequest(head.headers);
			const share = 1 - hash.uniform(facts.attemptId ?? '', route.name);
			const service = table.service(routeConfig.chooseService(route, share));
			if (!service) {
				return {
					kind: 'reject',
					status: 503,
					reason: 'no-service',
					retryAfterMs: notReadyRetryMs,
				};
			}

			const upstreamsLeft = isPeerPort
				? Number(head.headers[relayHeaders.upstreamsLeftHeader])
				: Number.NaN;
			const relayedFrom = isPeerPort ? head.headers[relayHeaders.relayedFromHeader] : undefined;
			return {
				kind: 'accept',
				run: (body, reply, onEnd) =>
					engine.handle(
						{
							method: head.method,
							path: head.path,
							rawHeaders: head.rawHeaders,
							facts,
							body,
							route,
							service,
							arrivedAtMs: head.arrivedAtMs,
							maxUpstreams: upstreamsLeft > 0 ? upstreamsLeft : route.maxUpstreams,
							relayedFrom: typeof relayedFrom === 'string' ? relayedFrom : undefined,
						},
						reply,
						onEnd,
					),
			};
		};

	const callers = callerServer.createCallerServer(nowMs, judge(false));
	const relays = callerServer.createCallerServer(nowMs, judge(true));

	const ownOutlooks = (): gossipMessage.GossipMessage['outlooks'] =>
		(belief.table?.config.services ?? []).map((service) => ({
			region: vm.region,
			service: service.name,
			urgentMs: dispatch.outlook(service, true),
			otherMs: dispatch.outlook(service, false),
			ageMs: 0,
		}));

	const allOutlooks = () => [
		...ownOutlooks(),
		...fleet
			.outlooks()
			.filter(({region}) => region !== vm.region)
			.map(({region, service, outlook}) => ({region, service, ...outlook})),
	];

	let isPulling = false;
	let pulledAtMs = Number.NEGATIVE_INFINITY;
	const pullFrom = async (peer: gossipMessage.MemberRecord) => {
		isPulling = true;
		pulledAtMs = nowMs();
		try {
			const answer = await options.client.request({
				peer: peer.peerAddress,
				method: 'GET',
				path: snapshotPath,
				headers: {},
				timeoutMs: pullTimeoutMs,
			});
			const text = await httpClient.readText(answer.body, maxSnapshotBytes);
			const snapshot = beliefs.snapshotSchema.parse(JSON.parse(text));
			belief.merge(snapshot, peer.name);
			log.note({
				kind: 'snapshot-pulled',
				peer: peer.name,
				configVersion: snapshot.config?.version ?? 0,
				upstreamRevision: snapshot.upstreamRevision,
			});
		} catch (error) {
			const detail = error instanceof Error ? error.message.slice(0, 200) : String(error);
			log.note({kind: 'snapshot-pull-failed', peer: peer.name, detail});
		} finally {
			isPulling = false;
		}
	};

	/** Catches up with a peer that knows more while the store does not answer. */
	const considerPull = (peer: gossipMessage.MemberRecord) => {
		const knowsMore =
			peer.configVersion > belief.configVersion ||
			(!belief.isStoreReachable && peer.upstreamRevision > registry.revision);
		if (knowsMore && !isPulling && nowMs() - pulledAtMs > pullEveryMs) {
			void pullFrom(peer);
		}
	};

	const gossip = disposables.add(
		gossipNode.startGossip({
			clock,
			random,
			socket: options.socket,
			fleet,
			log,
			everyMs: peers.gossipEveryMs,
			seeds,
			self,
			ownLoads: dispatch.ownLoads,
			outlooks: allOutlooks,
			takeChains: dispatch.takeSentChains,
			onMessage(message) {
				dispatch.noteSentChains(message.chains);
				fleet.noteMember(message.sender, 0);
				for (const {record, ageMs} of message.others) {
					fleet.noteMember(record, ageMs);
				}

				for (const {region, service, ...outlook} of message.outlooks) {
					if (region !== vm.region) {
						fleet.noteOutlook(region, service, outlook);
					}
				}

				if (message.sender.failureDomain === vm.failureDomain) {
					dispatch.notePeerLoads(message.sender.name, message.loads);
				}

				considerPull(message.sender);
			},
		}),
	);
	const members = membership.startMembership({
		clock,
		random: random.next,
		store: options.store,
		prefix: options.layout.memberPrefix,
		leaseMs: current.store.memberLeaseMs,
		fleet,
		log,
		self,
		onFailure() {
			if (belief.isStoreReachable) {
				belief.suspectStore();
			}
		},
	});

	const noteReadiness = () => {
		if (isReady() !== wasReady) {
			wasReady = isReady();
			const reason = isLeaving ? 'stopping' : wasReady ? 'complete' : 'incomplete';
			log.note({kind: 'readiness', isReady: wasReady, reason});
		}
	};

	disposables.add(
		registry.onDidChange(({kind, upstream, revision}) => {
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
			});
			if (kind === 'gone' || kind === 'restarted') {
				dispatch.forget(entry.id);
				pool.drop(entry.address);
			}
		}),
	);
	disposables.add(
		fleet.onDidChange(({kind, member}) => {
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
		belief.onDidChangeConfig((table) => {
			callers.applyLimits(table.config.limits);
			relays.applyLimits(table.config.limits);
		}),
	);
	disposables.add(
		clock.setPeriodicTimer(() => {
			pool.sweep();
			noteReadiness();
		}, housekeepingMs),
	);
	const callersAt = settings.splitAddress(listen.callers);
	const peersAt = settings.splitAddress(listen.peers);
	await callers.listen(callersAt.host, callersAt.port);
	await relays.listen(peersAt.host, peersAt.port);

	const inFlight = () => callers.inFlight + relays.inFlight;

	return {
		get isReady() {
			return isReady();
		},
		applySettings(next) {
			current = {...current, resends: next.resends, stop: next.stop, directory: next.directory};
		},
		answerDirectory: (query) =>
			directory.answerDirectory(
				query,
				self(),
				fleet,
				belief.table?.commonHomes(query.host ?? '') ?? [],
				Math.min(maxTimeToLiveMs, current.directory.timeToLiveS * 1000),
			),
		dump: () => ({
			self: self(),
			versions: versions(),
			evacuated: belief.evacuated(),
			upstreams: registry.all(),
			members: fleet.alive(),
			outlooks: allOutlooks(),
			loads: dispatch.ownLoads(),
			inFlight: inFlight(),
		}),
		async stop() {
			const startedAtMs = nowMs();
			const graceMs = current.stop.graceS * 1000;
			isLeaving = true;
			log.note({kind: 'stopping', inFlight: inFlight(), graceMs});
			noteReadiness();
			gossip.announce();
			callers.startDraining();
			void members.leave();
			let hasStoppedListening = false;
			for (;;) {
				await clock.sleep(stopStepMs);
				const elapsedMs = nowMs() - startedAtMs;
				if (elapsedMs > closeIdleAfterMs) {
					callers.closeIdle();
				}

				if (elapsedMs > stopAcceptingMs && !hasStoppedListening) {
					hasStoppedListening = true;
					callers.stopListening();
				}

				const isDone = hasStoppedListening && inFlight() === 0;
				if (isDone || elapsedMs > graceMs - stopMarginMs) {
					break;
				}
			}

			log.note({
				kind: 'stopped',
				inFlight: inFlight(),
				reason: inFlight() === 0 ? 'idle' : 'grace-over',
			});
			disposables.dispose();
			callers.destroy();
			relays.destroy();
			pool.dispose();
			options.socket.dispose();
			log.flush();
		},
	};
};
