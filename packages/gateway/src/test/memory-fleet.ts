/** Daemons that gossip over an in-memory network, on a manual clock. */
import * as datagramSocket from '@hawthornfront/base/common/datagram-socket.js';
import * as event from '@hawthornfront/base/common/event.js';
import * as manualClock from '@hawthornfront/base/common/manual-clock.js';
import * as random from '@hawthornfront/base/common/random.js';
import * as hash from '@hawthornfront/decisions/common/hash.js';
import * as fleetView from '../common/fleet-view.js';
import type * as gossipMessage from '../common/gossip-message.js';
import * as promptQuarantine from '../common/prompt-quarantine.js';
import * as upstreamRateLimits from '../common/upstream-rate-limits.js';
import * as gossipNode from '../node/gossip-node.js';
import * as fixtures from './fixtures.js';

/** The network between the daemons. */
export class Network {
	readonly sockets = new Map<string, MemorySocket>();
	readonly isolatedAddresses = new Set<string>();
	/** Datagrams of one sender that its link takes at one time; further ones are lost. */
	linkQueueLength = Number.POSITIVE_INFINITY;
	/** Delay of each datagram. */
	delayMs = 0;
	bytes = 0;
	readonly sentByAddress = new Map<string, number>();
	readonly #bursts = new Map<string, {atMs: number; datagrams: number}>();
	readonly #clock: manualClock.ManualClock;

	constructor(clock: manualClock.ManualClock) {
		this.#clock = clock;
	}

	deliver(address: string, datagram: datagramSocket.Datagram): void {
		const receive = () => this.sockets.get(address)?.receive(datagram);
		if (this.delayMs > 0) {
			this.#clock.setTimer(receive, this.delayMs);
		} else {
			receive();
		}
	}

	/** Counts a datagram; whether the sender's link takes it. */
	takeFromLink(address: string): boolean {
		const atMs = this.#clock.nowMs();
		const burst = this.#bursts.get(address);
		const datagrams = burst?.atMs === atMs ? burst.datagrams + 1 : 1;
		this.#bursts.set(address, {atMs, datagrams});
		return datagrams <= this.linkQueueLength;
	}
}

class MemorySocket extends datagramSocket.DatagramSocket {
	readonly #network: Network;
	readonly #address: string;
	readonly #didReceive = event.createEmitter<datagramSocket.Datagram>();

	constructor(network: Network, address: string) {
		super();
		this.#network = network;
		this.#address = address;
		network.sockets.set(address, this);
	}

	override get onDidReceive() {
		return this.#didReceive.event;
	}

	override send(peer: string, bytes: Uint8Array): void {
		this.#network.bytes += bytes.length;
		const sent = this.#network.sentByAddress.get(this.#address) ?? 0;
		this.#network.sentByAddress.set(this.#address, sent + 1);
		const isDropped =
			!this.#network.takeFromLink(this.#address) ||
			this.#network.isolatedAddresses.has(peer) ||
			this.#network.isolatedAddresses.has(this.#address);
		if (!isDropped) {
			this.#network.deliver(peer, {peer: this.#address, bytes});
		}
	}

	receive(datagram: datagramSocket.Datagram): void {
		this.#didReceive.fire(datagram);
	}

	override dispose(): void {
		this.#network.sockets.delete(this.#address);
	}
}

/** Starts the gossip of a daemon. */
export const startNode = (
	clock: manualClock.ManualClock,
	network: Network,
	record: gossipMessage.MemberRecord,
	seeds: string[],
) => {
	const fleet = fleetView.createFleetView(clock, record.name, record.startedAtUnixMs);
	const receivedMessages: gossipMessage.GossipMessage[] = [];
	const pendingPromptPrefixes: Array<{partId: string; runner: string}> = [];
	const state = {record};
	const quarantine = promptQuarantine.createPromptQuarantine(
		clock,
		() => fixtures.quarantineSettings,
		(partId) =>
			hash
				.order(partId, [{name: record.name}, ...fleet.alive()])
				.findIndex(({name}) => name === record.name),
	);
	const rateLimits = upstreamRateLimits.createUpstreamRateLimits(clock);
	const socket = new MemorySocket(network, record.peerAddress);
	const node = gossipNode.startGossip({
		clock,
		random: random.createRandom(record.name.codePointAt(1)!),
		socket,
		fleet,
		log: {note: () => undefined},
		intervalMs: 250,
		seeds,
		self: () => state.record,
		localLoads: () => [],
		domainLoads: () => [],
		regionLoads: () => [],
		localExpectedWaits: () => [],
		remoteExpectedWaits: () => [],
		takePromptPrefixes: () => pendingPromptPrefixes.splice(0),
		takePartReports: quarantine.takeReports,
		takeRateLimits: rateLimits.takeReports,
		takeWarmth: () => [],
		teamUse: {
			noteTick: () => undefined,
			localUse: () => undefined,
			domainUse: () => undefined,
			totalUse: () => undefined,
		},
		onMessage(message) {
			for (const report of message.rateLimits) {
				rateLimits.merge(report, message.sender.name);
			}

			quarantine.merge(message.partReports, message.sender.name);

			receivedMessages.push(message);
			fleet.noteMember(message.sender, 0);
			for (const {record: other, ageMs} of message.others) {
				fleet.noteMember(other, ageMs);
			}

			fleet.noteHeartbeats(message.heartbeats);
		},
	});
	quarantine.onDidChange(({source}) => {
		if (source === promptQuarantine.ownSource || node.isRelay()) {
			node.sendReports();
		}
	});
	return {
		fleet,
		quarantine,
		rateLimits,
		receivedMessages,
		pendingPromptPrefixes,
		state,
		node,
		stop() {
			node.dispose();
			socket.dispose();
		},
	};
};

/** Starts two daemons in each of two regions. */
export const startFleet = () => {
	const clock = new manualClock.ManualClock();
	const network = new Network(clock);
	const records = ['n1', 'n2', 's1', 's2'].map((name) =>
		fixtures.member(name, {
			region: name.startsWith('n') ? 'north' : 'south',
			failureDomain: name.startsWith('n') ? 'north-a' : 'south-a',
		}),
	);
	const nodes = Object.fromEntries(
		records.map((record) => [record.name, startNode(clock, network, record, ['n1:90', 's1:90'])]),
	) as Record<'n1' | 'n2' | 's1' | 's2', ReturnType<typeof startNode>>;
	return {clock, network, nodes};
};

/** Starts daemons in two failure domains of each of three regions; `n-a-0` and `s-a-0` are the seeds. */
export const startLargeFleet = (daemonsPerDomain: number) => {
	const clock = new manualClock.ManualClock();
	const network = new Network(clock);
	const nodes = new Map<string, ReturnType<typeof startNode>>();
	for (const failureDomain of ['n-a', 'n-b', 's-a', 's-b', 'w-a', 'w-b']) {
		for (let index = 0; index < daemonsPerDomain; index++) {
			const name = `${failureDomain}-${index}`;
			const record = fixtures.member(name, {region: failureDomain[0]!, failureDomain});
			nodes.set(name, startNode(clock, network, record, ['n-a-0:90', 's-a-0:90']));
		}
	}

	// The list in the store makes all members known at the start.
	for (const node of nodes.values()) {
		for (const {state} of nodes.values()) {
			node.fleet.noteStoreMember(state.record);
		}
	}

	return {clock, network, nodes};
};
