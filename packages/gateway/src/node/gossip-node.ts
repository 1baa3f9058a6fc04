/** Exchanges gossip datagrams with other daemons at regular intervals. */
import type * as clock from '@hawthornfront/base/common/clock.js';
import type * as datagramSocket from '@hawthornfront/base/common/datagram-socket.js';
import * as disposable from '@hawthornfront/base/common/disposable.js';
import * as errorText from '@hawthornfront/base/common/error-text.js';
import type * as random from '@hawthornfront/base/common/random.js';
import type * as fleetView from '../common/fleet-view.js';
import * as gossipMessage from '../common/gossip-message.js';
import * as pacedBroadcasts from '../common/paced-broadcasts.js';
import type * as gatewayEvent from '../common/gateway-event.js';
import type * as promptCacheView from '../common/prompt-cache-view.js';
import type * as promptQuarantine from '../common/prompt-quarantine.js';
import * as relayElection from '../common/relay-election.js';
import type * as teamUseExchange from '../common/team-use-exchange.js';
import type * as upstreamLoad from '../common/upstream-load.js';
import type * as upstreamRateLimits from '../common/upstream-rate-limits.js';
import type * as upstreamWarmth from '../common/upstream-warmth.js';

/** Ticks between messages to other regions. */
const otherRegionEveryTicks = 2;
/** Limit of prompt prefixes in one message. */
const maxPrefixesPerMessage = 80;
/** Limit of heartbeats in one message; larger deployments take turns. */
const maxHeartbeatsPerMessage = 512;
/** Members whose records are in one message, so that it fits into one packet. */
const maxMembersPerMessage = 8;
/** Share of the ticks at which a daemon with live peers also sends to a seed. */
const seedShare = 0.1;
/** Ticks between messages to the relays that list other members. */
const membersEveryTicks = 2;
/** Members whose records a daemon asks for in one message. */
const maxWantedMembers = 32;
/** Answers to such questions between two ticks. */
const maxAnswersPerTick = 16;
/** Delay that collects changed reports in one message. */
const reportDelayMs = 20;

export type GossipNode = disposable.Disposable & {
	/** Announces the planned stop to all members immediately. */
	announceStop(): void;
	/** Sends a message to all of this failure domain without waiting for the next tick. */
	sendToDomain(): void;
	/** Sends changed reports on prompt parts, rate limits and the warmth of upstreams, without waiting for the next tick. */
	sendReports(): void;
	/** Whether this daemon was a relay of its failure domain at the last tick. */
	isRelay(): boolean;
};

export type GossipOptions = {
	clock: clock.Clock;
	random: random.Random;
	socket: datagramSocket.DatagramSocket;
	fleet: fleetView.FleetView;
	log: gatewayEvent.EventLog;
	intervalMs: number;
	seeds: readonly string[];
	/** Current member record of this daemon. */
	self(): gossipMessage.MemberRecord;
	localLoads(): upstreamLoad.LoadByUpstream[];
	/** Requests of this failure domain by upstream. */
	domainLoads(): upstreamLoad.LoadByUpstream[];
	/** Requests of this region by upstream. */
	regionLoads(): upstreamLoad.LoadByUpstream[];
	/** Expected waits of this region; only sent to other regions, because each daemon of this region computes them itself. */
	localExpectedWaits(): gossipMessage.GossipMessage['outlooks'];
	/** Last reported expected waits of other regions. */
	remoteExpectedWaits(): gossipMessage.GossipMessage['outlooks'];
	/** Prompt prefixes that this daemon has sent to runners since the last call. */
	takePromptPrefixes(): promptCacheView.SentPromptPrefix[];
	/** Reports on prompt parts for the next message. */
	takePartReports(): promptQuarantine.PartReport[];
	/** Rate limits of upstreams of this region for the next message. */
	takeRateLimits(): upstreamRateLimits.RateLimitReport[];
	/** Beliefs on upstreams of this region for the next message. */
	takeWarmth(): upstreamWarmth.WarmthReport[];
	/** Use of teams for the next messages. */
	teamUse: Pick<
		teamUseExchange.TeamUseExchange,
		'noteTick' | 'localUse' | 'domainUse' | 'totalUse'
	>;
	onMessage(message: gossipMessage.GossipMessage): void;
};

/**
 * Starts the exchange of datagrams. At each tick a daemon reports to the relays of its
 * failure domain. The relays take turns to send the sums of the region to all daemons
 * of their failure domain, and only relays send to other failure domains.
 */
export const startGossip = (options: GossipOptions): GossipNode => {
	const {clock, random, socket, fleet} = options;
	const store = disposable.createDisposableStore();
	const broadcasts = store.add(
		pacedBroadcasts.createPacedBroadcasts({
			clock,
			send(address, bytes) {
				socket.send(address, bytes);
			},
		}),
	);
	let tick = 0;
	let isRelay = false;
	/** Messages with records that peers asked for, since the last tick. */
	let answers = 0;
	let reportTimer: disposable.Disposable | undefined;
	/** Prompt prefixes of this failure domain that this relay has not sent to other ones. */
	const domainPrefixes: promptCacheView.SentPromptPrefix[] = [];
	/** Prompt prefixes that this relay has not sent within its failure domain. */
	const relayedPrefixes: promptCacheView.SentPromptPrefix[] = [];
	/** State of each member in the last message with its record. */
	const sentStates = new Map<string, string>();

	const keepNewest = (
		prefixes: promptCacheView.SentPromptPrefix[],
		added: readonly promptCacheView.SentPromptPrefix[],
	) => {
		prefixes.push(...added);
		prefixes.splice(0, prefixes.length - maxPrefixesPerMessage);
	};

	const pickSome = <Item>(items: readonly Item[], count: number): Item[] => {
		const left = [...items];
		const picked: Item[] = [];
		while (picked.length < count && left.length > 0) {
			picked.push(...left.splice(random.integer(0, left.length - 1), 1));
		}

		return picked;
	};

	const limitHeartbeats = (members: readonly fleetView.Member[]) =>
		members.length <= maxHeartbeatsPerMessage
			? members
			: pickSome(members, maxHeartbeatsPerMessage);

	const stateOf = (member: gossipMessage.MemberRecord): string =>
		`${member.startedAtUnixMs} ${member.isReady} ${member.isLeaving} ${member.storeContact}`;

	/** Members to list: those that have changed since they were listed, then any others. */
	const pickMembers = (): fleetView.Member[] => {
		const alive = fleet.confirmed();
		const changed = alive.filter((member) => sentStates.get(member.name) !== stateOf(member));
		const listed = pickSome(changed, maxMembersPerMessage);
		if (listed.length < maxMembersPerMessage) {
			const others = alive.filter((member) => !listed.includes(member));
			listed.push(...pickSome(others, maxMembersPerMessage - listed.length));
		}

		for (const member of listed) {
			sentStates.set(member.name, stateOf(member));
		}

		return listed;
	};

	const forgetLostMembers = () => {
		for (const name of sentStates.keys()) {
			if (!fleet.member(name)) {
				sentStates.delete(name);
			}
		}
	};

	const buildMessage = (
		content: Partial<Omit<gossipMessage.GossipMessage, 'sender' | 'others' | 'heartbeats'>>,
		listed: {records: readonly fleetView.Member[]; heartbeats: readonly fleetView.Member[]},
	): Uint8Array => {
		const nowMs = clock.nowMs();
		return gossipMessage.encodeGossip({
			sender: options.self(),
			others: listed.records.map((record) => ({record, ageMs: nowMs - record.aliveAtMs})),
			heartbeats: limitHeartbeats(listed.heartbeats).map((member) => ({
				memberId: gossipMessage.memberId(member),
				ageMs: nowMs - member.aliveAtMs,
			})),
			outlooks: [],
			promptPrefixes: [],
			wantedMembers: [],
			isRelayed: false,
			partReports: options.takePartReports(),
			rateLimits: options.takeRateLimits(),
			warmth: options.takeWarmth(),
			...content,
		});
	};

	const send = (members: readonly gossipMessage.MemberRecord[], bytes: Uint8Array) => {
		for (const member of members) {
			socket.send(member.peerAddress, bytes);
		}
	};

	const relaysOf = (failureDomain: string) =>
		relayElection.electRelays<gossipMessage.MemberRecord>(failureDomain, [
			options.self(),
			...fleet.alive(),
		]);

	const domainPeers = (self: gossipMessage.MemberRecord) =>
		fleet.alive().filter((member) => member.failureDomain === self.failureDomain);

	/** Ids of members to ask for; a different choice each time, since a relay may not know them either. */
	const pickWanted = () => pickSome(fleet.unknownMembers(), maxWantedMembers);

	/** Reports to the relays; one of them in turn gets the prompt prefixes and passes them on. */
	const reportToRelays = (
		self: gossipMessage.MemberRecord,
		relays: gossipMessage.MemberRecord[],
	) => {
		const prefixes = options.takePromptPrefixes();
		const target = relays[tick % relays.length];
		const others = relays.filter((relay) => relay !== target && relay.name !== self.name);
		const records = tick % membersEveryTicks === 0 ? pickSome(fleet.confirmed(), 2) : [];
		const teamUse = options.teamUse.localUse();
		const report = {loads: options.localLoads(), outlooks: [], teamUse};
		const listed = {records, heartbeats: []};
		if (target?.name === self.name) {
			keepNewest(domainPrefixes, prefixes);
			keepNewest(relayedPrefixes, prefixes);
		} else if (target) {
			const content = {...report, promptPrefixes: prefixes, wantedMembers: pickWanted()};
			send([target], buildMessage(content, listed));
		}

		if (others.length > 0) {
			send(others, buildMessage(report, listed));
		}
	};

	/** Relays first, since they pass on what they hear; the others in an order that is drawn anew. */
	const inOrder = (
		members: readonly gossipMessage.MemberRecord[],
		relays: ReadonlySet<string>,
	): string[] => {
		const first = members.filter(({name}) => relays.has(name));
		const others = members.filter(({name}) => !relays.has(name));
		return [...first, ...pickSome(others, others.length)].map(({peerAddress}) => peerAddress);
	};

	const namesOf = (members: readonly gossipMessage.MemberRecord[]) =>
		new Set(members.map(({name}) => name));

	const sendWithinDomain = () => {
		broadcasts.request('domain', () => {
			const self = options.self();
			return {
				addresses: inOrder(domainPeers(self), namesOf(relaysOf(self.failureDomain))),
				bytes: buildMessage(
					{
						loads: isRelay ? options.regionLoads() : undefined,
						outlooks: options.remoteExpectedWaits(),
						promptPrefixes: relayedPrefixes.splice(0),
						teamUse: isRelay ? options.teamUse.totalUse() : undefined,
						isRelayed: true,
					},
					{records: pickMembers(), heartbeats: fleet.confirmed()},
				),
			};
		});
	};

	/** One relay of each other failure domain. */
	const otherDomainRelays = (self: gossipMessage.MemberRecord): gossipMessage.MemberRecord[] => {
		const domains = new Set(fleet.alive().map(({failureDomain}) => failureDomain));
		domains.delete(self.failureDomain);
		return [...domains].flatMap((failureDomain) => pickSome(relaysOf(failureDomain), 1));
	};

	const sendToOtherDomains = (self: gossipMessage.MemberRecord) => {
		const isOtherRegionTick = tick % otherRegionEveryTicks === 0;
		const peers = otherDomainRelays(self);
		const regionPeers = peers.filter(({region}) => region === self.region);
		const prefixes = isOtherRegionTick ? domainPrefixes.splice(0) : [];
		const teamUse = options.teamUse.domainUse();
		const listed = {
			records: pickSome(fleet.confirmed(), maxMembersPerMessage),
			heartbeats: domainPeers(self).filter(({isUnconfirmed}) => !isUnconfirmed),
		};
		if (regionPeers.length > 0) {
			const content = {
				loads: options.domainLoads(),
				outlooks: options.remoteExpectedWaits(),
				promptPrefixes: prefixes,
				wantedMembers: pickWanted(),
				teamUse,
			};
			send(regionPeers, buildMessage(content, listed));
		}

		if (isOtherRegionTick) {
			const outlooks = [...options.localExpectedWaits(), ...options.remoteExpectedWaits()];
			const wantedMembers = pickWanted();
			const bytes = buildMessage(
				{outlooks, promptPrefixes: prefixes, wantedMembers, teamUse},
				listed,
			);
			send(
				peers.filter(({region}) => region !== self.region),
				bytes,
			);
		}
	};

	/** To the relays of this failure domain and one of each other one, and from a relay to its failure domain. */
	const sendReports = () => {
		broadcasts.request('reports', () => {
			const self = options.self();
			const relays = [...relaysOf(self.failureDomain), ...otherDomainRelays(self)];
			const targets = new Map<string, gossipMessage.MemberRecord>();
			for (const peer of [...relays, ...(isRelay ? domainPeers(self) : [])]) {
				if (peer.name !== self.name) {
					targets.set(peer.name, peer);
				}
			}

			return {
				addresses: inOrder([...targets.values()], namesOf(relays)),
				bytes: buildMessage({}, {records: [], heartbeats: []}),
			};
		});
	};

	/** Sends once for changes that come together. */
	const scheduleReports = () => {
		reportTimer ??= clock.setTimer(() => {
			reportTimer = undefined;
			sendReports();
		}, reportDelayMs);
	};

	/** Seeds let a daemon find its first peers, and reconnect the two sides after a network partition. */
	const sendToSeed = (self: gossipMessage.MemberRecord) => {
		const seed = random.pick(options.seeds.filter((address) => address !== self.peerAddress));
		const isNeeded = !fleet.hasLivePeers() || random.next() < seedShare;
		if (seed && isNeeded && tick % otherRegionEveryTicks === 0) {
			const records = pickSome(fleet.confirmed(), maxMembersPerMessage);
			socket.send(seed, buildMessage({}, {records, heartbeats: []}));
		}
	};

	const sendAll = () => {
		tick++;
		answers = 0;
		fleet.noteListening();
		fleet.sweep();
		forgetLostMembers();
		const self = options.self();
		const relays = relaysOf(self.failureDomain);
		const turn = relays.findIndex(({name}) => name === self.name);
		isRelay = turn !== -1;
		options.teamUse.noteTick(isRelay);
		reportToRelays(self, relays);
		if (isRelay) {
			if (tick % relays.length === turn) {
				sendWithinDomain();
			}

			sendToOtherDomains(self);
		}

		sendToSeed(self);
	};

	const collectPrefixes = (message: gossipMessage.GossipMessage) => {
		if (!message.isRelayed) {
			keepNewest(relayedPrefixes, message.promptPrefixes);
			if (message.sender.failureDomain === options.self().failureDomain) {
				keepNewest(domainPrefixes, message.promptPrefixes);
			}
		}
	};

	/**
	 * Sends the records that a peer lacks, a few in each message, to where the question came
	 * from: the address that a datagram names may be anybody's.
	 */
	const answerWanted = (
		peer: string,
		{wantedMembers}: Pick<gossipMessage.GossipMessage, 'wantedMembers'>,
	) => {
		const ids = [...new Set(wantedMembers.slice(0, maxWantedMembers))];
		const records = fleet.membersById(ids);
		while (records.length > 0 && answers < maxAnswersPerTick) {
			answers++;
			const listed = {records: records.splice(0, maxMembersPerMessage), heartbeats: []};
			socket.send(peer, buildMessage({}, listed));
		}
	};

	store.add(
		socket.onDidReceive(({peer, bytes}) => {
			try {
				const message = gossipMessage.decodeGossip(bytes);
				collectPrefixes(message);
				options.onMessage(message);
				answerWanted(peer, message);
			} catch (error) {
				options.log.note({
					kind: 'datagram-rejected',
					peer,
					detail: errorText.errorText(error, errorText.maxLoggedLength),
				});
			}
		}),
	);
	store.add(clock.setPeriodicTimer(sendAll, options.intervalMs));
	sendAll();
	return {
		sendToDomain: sendWithinDomain,
		sendReports: scheduleReports,
		isRelay: () => isRelay,
		announceStop() {
			fleet.noteLocalStop();
			broadcasts.request('stop', () => ({
				addresses: inOrder(fleet.alive(), namesOf(relaysOf(options.self().failureDomain))),
				bytes: buildMessage({}, {records: [], heartbeats: []}),
			}));
		},
		dispose() {
			reportTimer?.dispose();
			store.dispose();
		},
	};
};
