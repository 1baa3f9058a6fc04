/** Builds, sends and reads the datagrams of one daemon and counts them. */
import type * as datagramSocket from '@hawthornfront/base/common/datagram-socket.js';
import type * as datagram from '@hawthornfront/protocol/common/datagram.js';
import type * as datagramCodec from '@hawthornfront/protocol/common/datagram-codec.js';
import type * as claim from '@hawthornfront/protocol/common/claim.js';
import type * as fleetParts from './fleet-parts.js';
import type * as loadExchange from './load-exchange.js';
import type * as regionWaits from './region-waits.js';

// Bounds keep a heartbeat below the largest datagram.
const maxChanges = 5;
const maxLoads = 30;

/** Parts of a heartbeat beyond the ones that every heartbeat has. */
export type HeartbeatOptions = {
	wantsAnswer?: boolean;
	wantsStatus?: boolean;
	/** Carries the full claim of this daemon. */
	hasStatus?: boolean;
	/** Carries pending loads and waits; answers go without. */
	hasNews?: boolean;
	claims?: claim.Claim[];
	probes?: string[];
	loads?: datagram.LoadDelta[];
};

export type Messenger = {
	sendHeartbeat(address: string, options?: HeartbeatOptions): void;
	sendSummary(address: string, waits: datagram.WaitEntry[]): void;
};

/** Creates a messenger on a socket. */
export const createMessenger = (
	parts: fleetParts.FleetParts,
	socket: datagramSocket.DatagramSocket,
	codec: datagramCodec.DatagramCodec,
	loads: loadExchange.LoadExchange,
	regions: regionWaits.RegionTable,
): Messenger => {
	const {membership, configuration, counters, settings, clock} = parts;

	const sender = () => {
		const {member, sequence, state, isWatching} = membership.self();
		return {
			name: member.name,
			incarnation: member.incarnation,
			sequence,
			state,
			isWatching,
			revision: configuration.snapshot().revision,
		};
	};

	const send = (address: string, item: datagram.Datagram) => {
		const bytes = codec.encode(item);
		counters.messagesSent++;
		counters.bytesSent += bytes.byteLength;
		socket.send(address, bytes);
	};

	const newsFor = (options: HeartbeatOptions, nowMs: number) => {
		if (!options.hasNews) {
			return {loads: options.loads ?? [], regions: []};
		}

		// A full status repeats every report that this daemon polled.
		const own = settings.sendsFullStatus ? loads.all(nowMs) : [];
		const deltas = [...(options.loads ?? []), ...own, ...loads.take(maxLoads, nowMs)];
		return {loads: deltas.slice(0, maxLoads), regions: regions.take(nowMs)};
	};

	return {
		sendHeartbeat(address, options = {}) {
			const changes = membership.takeChanges(maxChanges);
			const hasStatus = options.hasStatus ?? settings.sendsFullStatus;
			const status = hasStatus ? [membership.self()] : [];
			send(address, {
				kind: 'heartbeat',
				...sender(),
				wantsAnswer: options.wantsAnswer ?? false,
				wantsStatus: options.wantsStatus ?? false,
				digest: membership.digest(),
				claims: [...status, ...(options.claims ?? []), ...changes.claims],
				shortClaims: changes.shortClaims,
				probes: options.probes ?? [],
				...newsFor(options, clock.nowMs()),
			});
		},
		sendSummary(address, waits) {
			const {region, failureDomain} = membership.self().member;
			const digest = membership.digest(failureDomain);
			const fullDigest = membership.digest();
			send(address, {
				kind: 'summary',
				...sender(),
				region,
				failureDomain,
				digest,
				fullDigest,
				waits,
			});
		},
	};
};
