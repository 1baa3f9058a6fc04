/** Exchanges gossip datagrams with other daemons at regular intervals. */
import type * as clock from '@hawthornfront/base/common/clock.js';
import type * as datagramSocket from '@hawthornfront/base/common/datagram-socket.js';
import * as disposable from '@hawthornfront/base/common/disposable.js';
import * as errorText from '@hawthornfront/base/common/error-text.js';
import type * as random from '@hawthornfront/base/common/random.js';
import type * as fleetView from '../common/fleet-view.js';
import * as gossipMessage from '../common/gossip-message.js';
import type * as gatewayEvent from '../common/gateway-event.js';
import type * as promptCacheView from '../common/prompt-cache-view.js';
import type * as upstreamLoad from '../common/upstream-load.js';

/** Peers of this failure domain that receive each message. */
const maxDomainPeers = 16;
/** Ticks between messages to other regions. */
const otherRegionEveryTicks = 2;
/** Limit of prompt prefixes that one message sends to, or forwards from, other failure domains. */
const maxOtherDomainPrefixes = 40;
/** Members listed in one message, so that it fits into one packet. */
const maxMembersPerMessage = 8;
/** Ticks between messages to this failure domain that list other members. */
const membersEveryTicks = 2;

export type GossipNode = disposable.Disposable & {
	/** Announces the planned stop to all members immediately. */
	announceStop(): void;
	/** Sends a message to this failure domain without waiting for the next tick. */
	sendToDomain(): void;
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
	/** Expected waits of this region; only sent to other regions, because each daemon of this region computes them itself. */
	localExpectedWaits(): gossipMessage.GossipMessage['outlooks'];
	/** Last reported expected waits of other regions. */
	remoteExpectedWaits(): gossipMessage.GossipMessage['outlooks'];
	/** Prompt prefixes that this daemon has sent to runners since the last call. */
	takePromptPrefixes(): promptCacheView.SentPromptPrefix[];
	onMessage(message: gossipMessage.GossipMessage): void;
};

/** Starts the exchange of datagrams. */
export const startGossip = (options: GossipOptions): GossipNode => {
	const {clock, random, socket, fleet} = options;
	const store = disposable.createDisposableStore();
	let tick = 0;
	/** Prompt prefixes of this daemon that were not yet sent to other failure domains. */
	const unsentLocalPrefixes: gossipMessage.GossipPromptPrefix[] = [];
	/** Prompt prefixes of other failure domains to forward within this one. */
	const otherDomainPrefixes: gossipMessage.GossipPromptPrefix[] = [];

	const pickSome = <Item>(items: readonly Item[], count: number): Item[] => {
		const left = [...items];
		const picked: Item[] = [];
		while (picked.length < count && left.length > 0) {
			picked.push(...left.splice(random.integer(0, left.length - 1), 1));
		}

		return picked;
	};

	const buildMessage = (
		content: Partial<Omit<gossipMessage.GossipMessage, 'sender' | 'others'>>,
		includesMembers = true,
	): Uint8Array => {
		const nowMs = clock.nowMs();
		const listed = includesMembers ? pickSome(fleet.alive(), maxMembersPerMessage) : [];
		return gossipMessage.encodeGossip({
			sender: options.self(),
			others: listed.map((record) => ({record, ageMs: nowMs - record.aliveAtMs})),
			outlooks: [],
			promptPrefixes: [],
			...content,
		});
	};

	/** One member of each other failure domain. */
	const otherDomainPeers = (self: gossipMessage.MemberRecord): fleetView.Member[] => {
		const byDomain = new Map<string, fleetView.Member[]>();
		for (const member of fleet.alive()) {
			if (member.failureDomain !== self.failureDomain) {
				const group = byDomain.get(member.failureDomain) ?? [];
				group.push(member);
				byDomain.set(member.failureDomain, group);
			}
		}

		return [...byDomain.values()].flatMap((group) => pickSome(group, 1));
	};

	const sendWithinDomain = () => {
		const self = options.self();
		const domainPeers = fleet
			.alive()
			.filter((member) => member.failureDomain === self.failureDomain);
		const localPrefixes = options
			.takePromptPrefixes()
			.map((prefix) => ({...prefix, isFromOtherDomain: false}));
		unsentLocalPrefixes.push(...localPrefixes);
		const bytes = buildMessage(
			{
				loads: options.localLoads(),
				outlooks: options.remoteExpectedWaits(),
				promptPrefixes: [
					...localPrefixes,
					...otherDomainPrefixes.splice(0, maxOtherDomainPrefixes),
				],
			},
			tick % membersEveryTicks === 0,
		);
		for (const member of pickSome(domainPeers, maxDomainPeers)) {
			socket.send(member.peerAddress, bytes);
		}
	};

	const sendAll = () => {
		tick++;
		fleet.sweep();
		sendWithinDomain();
		const self = options.self();
		const isOtherRegionTick = tick % otherRegionEveryTicks === 0;
		const peers = otherDomainPeers(self);
		const regionPeers = peers.filter(({region}) => region === self.region);
		if (!isOtherRegionTick && regionPeers.length === 0) {
			return;
		}

		const prefixes = isOtherRegionTick ? unsentLocalPrefixes.splice(-maxOtherDomainPrefixes) : [];
		if (regionPeers.length > 0) {
			const bytes = buildMessage({
				loads: options.domainLoads(),
				outlooks: options.remoteExpectedWaits(),
				promptPrefixes: prefixes,
			});
			for (const member of regionPeers) {
				socket.send(member.peerAddress, bytes);
			}
		}

		if (isOtherRegionTick) {
			unsentLocalPrefixes.length = 0;
			const outlooks = [...options.localExpectedWaits(), ...options.remoteExpectedWaits()];
			const bytes = buildMessage({outlooks, promptPrefixes: prefixes});
			for (const member of peers.filter(({region}) => region !== self.region)) {
				socket.send(member.peerAddress, bytes);
			}

			// Seeds let a daemon find its first peers, and reconnect the two sides after a network partition.
			const seed = random.pick(options.seeds.filter((address) => address !== self.peerAddress));
			if (seed && (!fleet.hasLivePeers() || random.next() < 0.1)) {
				socket.send(seed, bytes);
			}
		}
	};

	store.add(
		socket.onDidReceive(({peer, bytes}) => {
			try {
				const message = gossipMessage.decodeGossip(bytes);
				if (message.sender.failureDomain !== options.self().failureDomain) {
					const prefixes = message.promptPrefixes.map((prefix) => ({
						...prefix,
						isFromOtherDomain: true,
					}));
					otherDomainPrefixes.push(...prefixes);
					otherDomainPrefixes.splice(0, otherDomainPrefixes.length - maxOtherDomainPrefixes);
				}

				options.onMessage(message);
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
		announceStop() {
			fleet.noteLocalStop();
			const bytes = buildMessage({});
			for (const member of fleet.alive()) {
				socket.send(member.peerAddress, bytes);
			}
		},
		dispose() {
			store.dispose();
		},
	};
};
