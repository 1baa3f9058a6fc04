/** Exchanges datagrams with other daemons at regular intervals. */
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

/** Peers of the own failure domain that get each message. */
const maxDomainPeers = 16;
/** Messages to other regions go out once in so many ticks. */
const farEveryTicks = 2;
/** Prompt chains told in one message to or from other failure domains. */
const maxFarChains = 40;
/** Members told in one message, so that it fits into one packet. */
const maxToldMembers = 8;
/** Messages to the own failure domain tell of other members once in so many ticks. */
const tellMembersEveryTicks = 2;

export type GossipNode = disposable.Disposable & {
	/** Tells all members at once, as on a stop. */
	announceStop(): void;
	/** Tells the own failure domain without waiting for the next tick. */
	sendToDomain(): void;
};

export type GossipOptions = {
	clock: clock.Clock;
	random: random.Random;
	socket: datagramSocket.DatagramSocket;
	fleet: fleetView.FleetView;
	log: gatewayEvent.EventLog;
	everyMs: number;
	seeds: readonly string[];
	/** This daemon as it is now. */
	self(): gossipMessage.MemberRecord;
	ownLoads(): upstreamLoad.LoadByUpstream[];
	/** Requests of the own failure domain by upstream. */
	domainLoads(): upstreamLoad.LoadByUpstream[];
	/** Expected waits of the own region; daemons of the region know them by themselves. */
	ownOutlooks(): gossipMessage.GossipMessage['outlooks'];
	/** What is known of the expected waits of other regions. */
	farOutlooks(): gossipMessage.GossipMessage['outlooks'];
	/** Prompt chains sent by this daemon since the last call. */
	takeChains(): promptCacheView.SentPromptPrefix[];
	onMessage(message: gossipMessage.GossipMessage): void;
};

/** Starts to exchange datagrams. */
export const startGossip = (options: GossipOptions): GossipNode => {
	const {clock, random, socket, fleet} = options;
	const store = disposable.createDisposableStore();
	let tick = 0;
	/** Own chains that other failure domains were not told. */
	const ownSinceFar: gossipMessage.GossipPromptPrefix[] = [];
	/** Chains of other failure domains that the own one is told. */
	const fromFar: gossipMessage.GossipPromptPrefix[] = [];

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
		tellsMembers = true,
	): Uint8Array => {
		const nowMs = clock.nowMs();
		const told = tellsMembers ? pickSome(fleet.alive(), maxToldMembers) : [];
		return gossipMessage.encodeGossip({
			sender: options.self(),
			others: told.map((record) => ({record, ageMs: nowMs - record.aliveAtMs})),
			outlooks: [],
			promptPrefixes: [],
			...content,
		});
	};

	/** One member of each other failure domain. */
	const farPeers = (self: gossipMessage.MemberRecord): fleetView.Member[] => {
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

	const sendNear = () => {
		const self = options.self();
		const near = fleet.alive().filter((member) => member.failureDomain === self.failureDomain);
		const own = options.takeChains().map((chain) => ({...chain, isFromOtherDomain: false}));
		ownSinceFar.push(...own);
		const bytes = buildMessage(
			{
				loads: options.ownLoads(),
				outlooks: options.farOutlooks(),
				promptPrefixes: [...own, ...fromFar.splice(0, maxFarChains)],
			},
			tick % tellMembersEveryTicks === 0,
		);
		for (const member of pickSome(near, maxDomainPeers)) {
			socket.send(member.peerAddress, bytes);
		}
	};

	const sendAll = () => {
		tick++;
		fleet.sweep();
		sendNear();
		const self = options.self();
		const isFarTick = tick % farEveryTicks === 0;
		const far = farPeers(self);
		const inRegion = far.filter(({region}) => region === self.region);
		if (!isFarTick && inRegion.length === 0) {
			return;
		}

		const chains = isFarTick ? ownSinceFar.splice(-maxFarChains) : [];
		if (inRegion.length > 0) {
			const bytes = buildMessage({
				loads: options.domainLoads(),
				outlooks: options.farOutlooks(),
				promptPrefixes: chains,
			});
			for (const member of inRegion) {
				socket.send(member.peerAddress, bytes);
			}
		}

		if (isFarTick) {
			ownSinceFar.length = 0;
			const outlooks = [...options.ownOutlooks(), ...options.farOutlooks()];
			const bytes = buildMessage({outlooks, promptPrefixes: chains});
			for (const member of far.filter(({region}) => region !== self.region)) {
				socket.send(member.peerAddress, bytes);
			}

			// Seeds help to find the others, and heal a view that was split.
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
					const chains = message.promptPrefixes.map((chain) => ({
						...chain,
						isFromOtherDomain: true,
					}));
					fromFar.push(...chains);
					fromFar.splice(0, fromFar.length - maxFarChains);
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
	store.add(clock.setPeriodicTimer(sendAll, options.everyMs));
	sendAll();
	return {
		sendToDomain: sendNear,
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
